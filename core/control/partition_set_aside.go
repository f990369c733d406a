package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	setAsideRetry     = 60 * time.Second // until a change that the store refused is tried again
	maxRetriedChanges = 4                // of one partition, each second
)

// setAsideChange is a change that the store refuses. Its task stays marked as being
// written, so that nothing else changes it.
type setAsideChange struct {
	change  change
	slot    slotKey // of a task whose creation was refused; the change is empty then
	retryAt Instant
}

// setAsideChange keeps a change for a later attempt. An assignment that is not stored
// is taken back.
func (s *State) setAsideChange(o *ownedPartition, c change) {
	key := c.writes[0].Key
	d := DecisionRecord{Part: "store", Action: "row set aside", Subject: string(key), Reason: "the store refuses it; its task stays as it is"}
	if row, ok := c.writes[0].Row.(structs.TaskRow); ok {
		d.Subject, d.Request = string(row.Task), string(row.Task)
	}
	s.recordDecision(d)
	saved, ok := c.onCommit.(taskSaved)
	if ok && !o.stored(saved.t) {
		s.takeBackCreation(o, saved.t)
		return
	}
	if ok && saved.t.row.Phase == structs.TaskAssigned && !saved.t.run.startSent {
		c = s.takeBackAssignment(o, saved.t, c)
	}
	o.setAside = append(o.setAside, setAsideChange{change: c, retryAt: s.now + setAsideRetry})
}

// takeBackCreation forgets a task that was never stored. The replica that it was to
// replace must not be removed for it: without any row of the slot, run numbers would
// begin anew.
func (s *State) takeBackCreation(o *ownedPartition, t *task) {
	slot := slotKey{t.row.Row, t.row.Index}
	o.tasks.remove(t)
	for _, x := range o.tasks.bySlot[slot] {
		s.reconcileTask(o, x)
	}
	o.setAside = append(o.setAside, setAsideChange{slot: slot, retryAt: s.now + setAsideRetry})
}

// takeBackAssignment releases the commitment of a run that was never stored and returns
// the change that makes its task pending.
func (s *State) takeBackAssignment(o *ownedPartition, t *task, c change) change {
	if w := o.tasks.workers[t.row.Worker]; w != nil {
		s.releaseRun(o, t, w)
		s.submit(o, change{writes: []structs.Write{{Key: structs.WorkerKey(o.partition.id, w.id), Row: w.row}}})
	}
	o.tasks.setPhase(t, structs.TaskPending)
	t.row.Worker, t.run = "", runState{share: 1}
	s.capacityChanged(o)
	return change{writes: []structs.Write{{Key: structs.TaskKey(o.partition.id, t.row.Task), Row: t.row}}, onCommit: c.onCommit}
}

// retrySetAside tries some of the changes again that were set aside long enough ago.
func (s *State) retrySetAside(o *ownedPartition) {
	n := 0
	for ; n < len(o.setAside) && n < maxRetriedChanges && o.setAside[n].retryAt <= s.now; n++ {
		if slot := o.setAside[n].slot; slot.row != "" {
			s.reconcileSlot(o, slot.row, slot.index, 0)
			continue
		}
		if c := o.refreshed(o.setAside[n].change); len(c.writes) > 0 {
			s.submit(o, c)
		}
	}
	o.setAside = o.setAside[n:]
}

// refreshed returns a change with the newest contents of its rows, which other changes
// may have written since.
func (o *ownedPartition) refreshed(c change) change {
	writes := make([]structs.Write, 0, len(c.writes))
	for _, x := range c.writes {
		switch row := x.Row.(type) {
		case structs.WorkerRow:
			w := o.tasks.workers[row.Worker]
			if w == nil {
				continue // gone, with its row
			}
			x.Row = w.row
		case structs.TaskRow:
			if t := o.tasks.byID[row.Task]; t != nil && x.Key == structs.TaskKey(o.partition.id, row.Task) {
				x.Row = t.row
			}
		}
		writes = append(writes, x)
	}
	return change{writes: writes, onCommit: c.onCommit}
}
