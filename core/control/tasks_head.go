package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// headState is what a new owner knows of the newest configuration.
type headState struct {
	reading bool
	known   bool
	need    structs.Generation // accepted when the partition was taken over
}

// readHead reads the head row after a takeover. The former owner may have acted on
// a sheet that this host has not heard of: until the sheet in force is at least as
// new, no task is created, changed or removed because of it. A task that an older
// sheet brought back would use run numbers again.
func (s *State) readHead(o *ownedPartition) {
	h := &o.tasks.head
	if h.known || h.reading {
		return
	}
	h.reading = true
	s.emit(ReadRows{ID: s.effectID(takeoverHead{o}), Prefix: string(structs.ConfigHeadKey), Limit: 1, Timeout: storeTimeout})
}

// takeoverHead handles the head row as read after a takeover. A failed read is
// repeated with the next synchronization.
type takeoverHead struct{ o *ownedPartition }

func (c takeoverHead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	h := &c.o.tasks.head
	h.reading = false
	if c.o.p.own != c.o || r.Outcome != OutcomeDone {
		return
	}
	var head structs.KeyedRow
	if len(r.Rows) > 0 {
		head = r.Rows[0]
	}
	row, _ := head.Row.(structs.ConfigHead)
	h.known, h.need = true, row.Generation
	s.handleConfigHead(head)
	s.reconcileSoon(c.o)
}

// configFresh reports whether the configuration in force is at least as new as
// any that a former owner of the partition can have acted on.
func (s *State) configFresh(o *ownedPartition) bool {
	return o.tasks.head.known && s.config.current.Generation >= o.tasks.head.need
}
