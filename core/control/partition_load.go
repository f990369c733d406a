package control

import (
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const maxRowsPerRead = 200

// loadPartition reads a page of the partition's rows that starts after a key.
// The handler of each page reads the next one.
func (s *State) loadPartition(o *ownedPartition, prefix string, after structs.RowKey) {
	s.emit(partitionLoad{o: o, prefix: prefix, after: after}.read(s))
}

// partitionLoad handles one page of a partition's rows: tasks, then workers.
type partitionLoad struct {
	o      *ownedPartition
	prefix string
	after  structs.RowKey

	failures int // of this page
}

func (l partitionLoad) read(s *State) ReadRows {
	return ReadRows{ID: s.effectID(l), Prefix: l.prefix, After: l.after, Limit: maxRowsPerRead, Timeout: storeTimeout}
}

func (l partitionLoad) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	o := l.o
	if o.partition.owned != o {
		return
	}
	if r.Outcome != OutcomeDone {
		l.failures++
		s.emitAfter(s.retryDelay(l.failures), l.read(s))
		return
	}
	for _, row := range r.Rows {
		o.versions[row.Key] = row.Version
		s.loadRow(o, row)
	}
	switch {
	case r.More && len(r.Rows) > 0:
		s.loadPartition(o, l.prefix, r.Rows[len(r.Rows)-1].Key)
	case l.prefix == structs.TaskKeyPrefix(o.partition.id):
		s.loadPartition(o, structs.WorkerKeyPrefix(o.partition.id), "")
	default:
		o.loaded = true
		s.partitionLoaded(o)
	}
}
