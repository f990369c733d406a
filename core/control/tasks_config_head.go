package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// configHeadState is what a new owner knows of the newest configuration.
type configHeadState struct {
	reading       bool
	known         bool
	minGeneration structs.Generation // newest generation when the partition was taken over
}

// readConfigHead reads the configuration's head row after a takeover. The former
// owner may have acted on a sheet that this host has not received yet: until the
// configuration in force is at least as new, no task is created, changed or
// removed because of it. A task re-created from an older sheet would reuse run
// numbers.
func (s *State) readConfigHead(o *ownedPartition) {
	h := &o.tasks.configHead
	if h.known || h.reading {
		return
	}
	h.reading = true
	s.emit(ReadRows{ID: s.effectID(takeoverConfigHead{o}), Prefix: string(structs.ConfigHeadKey), Limit: 1, Timeout: storeTimeout})
}

// takeoverConfigHead handles the head row read after a takeover. A failed read is
// repeated with the next synchronization.
type takeoverConfigHead struct{ o *ownedPartition }

func (c takeoverConfigHead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	h := &c.o.tasks.configHead
	h.reading = false
	if c.o.partition.owned != c.o || r.Outcome != OutcomeDone {
		return
	}
	var head structs.KeyedRow
	if len(r.Rows) > 0 {
		head = r.Rows[0]
	}
	if head.Unreadable() {
		return // nothing is decided by a sheet that may be older than the former owner's
	}
	row, _ := head.Row.(structs.ConfigHead)
	h.known, h.minGeneration = true, row.Generation
	s.handleConfigHead(head)
	s.scheduleReconcile(c.o)
}

// configUpToDate reports whether the configuration in force is at least as new as
// any that a former owner of the partition can have acted on.
func (s *State) configUpToDate(o *ownedPartition) bool {
	return o.tasks.configHead.known && s.config.current.Generation >= o.tasks.configHead.minGeneration
}
