package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// maxListedRows bounds the rows of a list that is read as a whole: those of the
// partitions, of which the settings allow as many, and of the entry hosts.
const maxListedRows = 4096

// rowList handles a list of rows that was read as a whole.
type rowList interface {
	// listed receives all rows in key order, or none and another outcome than done.
	listed(s *State, rows []structs.KeyedRow, outcome Outcome)
}

// readList reads all rows under a prefix, page by page.
func (s *State) readList(prefix string, list rowList) {
	s.emit(listRead{prefix: prefix, list: list}.nextPage(s, ""))
}

// listRead collects the pages of a list.
type listRead struct {
	prefix string
	list   rowList
	rows   []structs.KeyedRow
}

func (l listRead) nextPage(s *State, after structs.RowKey) ReadRows {
	return ReadRows{ID: s.effectID(l), Prefix: l.prefix, After: after, Limit: maxRowsPerRead, Timeout: storeTimeout}
}

func (l listRead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	if r.Outcome != OutcomeDone {
		l.list.listed(s, nil, r.Outcome)
		return
	}
	l.rows = append(l.rows, r.Rows...)
	if r.More && len(r.Rows) > 0 && len(l.rows) < maxListedRows {
		s.emit(l.nextPage(s, r.Rows[len(r.Rows)-1].Key))
		return
	}
	l.list.listed(s, l.rows, OutcomeDone)
}
