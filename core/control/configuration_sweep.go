package control

import "github.com/tamarackstep/tamarackstep/core/structs"

const (
	// keptGenerations is the number of newest generations whose sheets and rows are
	// kept. A host that reads the sheet of an older one finds it gone, and reads the
	// newer head row first. The object store holds 400 MB in total, a sheet up to 15 MB.
	keptGenerations = 16
	sweepLimit      = 8 // old generations deleted after each commit, so that a backlog shrinks
)

// sweepGenerations deletes the oldest sheets, and then the rows that name them.
func (s *State) sweepGenerations() {
	s.emit(ReadRows{ID: s.effectID(generationSweep{}), Prefix: structs.GenerationPrefix, Limit: sweepLimit, Timeout: storeTimeout})
}

// generationSweep handles the rows of the oldest generations. A sweep that fails is
// made up for by those after later commits.
type generationSweep struct{}

func (generationSweep) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	for _, kr := range r.Rows {
		row, ok := kr.Row.(structs.ConfigHead)
		if ok && row.Generation+keptGenerations <= s.config.current.Generation {
			s.emit(DeleteObject{ID: s.effectID(oldSheet{kr}), Name: row.Object, Timeout: objectTimeout})
		}
	}
}

// oldSheet deletes the row of a generation once its sheet is deleted.
type oldSheet struct{ row structs.KeyedRow }

func (o oldSheet) complete(s *State, result EventBody) {
	if result.(ObjectDeleted).Outcome != OutcomeDone {
		return
	}
	s.commit([]structs.Condition{{Key: o.row.Key, Version: o.row.Version}}, []structs.Write{{Key: o.row.Key}}, rowRemoval{})
}

// deleteUnusedSheet deletes the sheet of an attempt that certainly did not take effect.
func (s *State) deleteUnusedSheet(name string) {
	s.emit(DeleteObject{ID: s.effectID(nil), Name: name, Timeout: objectTimeout})
}
