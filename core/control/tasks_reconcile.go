package control

import (
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// runsPerGeneration is the range of run numbers reserved for a task before the
	// first run number of a task with the same id created in a later generation. A
	// task id is reused only after its sheet row was removed and added again, so run
	// numbers and checkpoint names are never used twice.
	runsPerGeneration = 1 << 20
	// runsPerTask is the range of run numbers reserved for a task before the
	// first run number of the next task in its slot: another partition may have
	// run the task under numbers that this owner does not know.
	runsPerTask = 1 << 12
)

// reconcileCursor is the position in the comparison of the sheet with the tasks:
// first over the sheet rows, slot by slot, then over the tasks, from the last to
// the first.
type reconcileCursor struct {
	active bool
	row    int
	index  int
	task   int // -1 during the comparison of the rows
	quotas map[string]teamQuota
}

// scheduleReconcile restarts the comparison from the beginning.
func (s *State) scheduleReconcile(o *ownedPartition) {
	o.tasks.reconcile = reconcileCursor{active: true, task: -1, quotas: make(map[string]teamQuota)}
	s.scheduleWork(o)
}

// reconcileStep performs a bounded part of the comparison. It reports whether
// more is left.
func (s *State) reconcileStep(o *ownedPartition) bool {
	if !s.configUpToDate(o) {
		// The arrival of the configuration or of its head row schedules the next
		// step.
		return false
	}
	c := &o.tasks.reconcile
	for n := 0; n < itemsPerStep && c.active; n++ {
		if !o.outboxHasCapacity() {
			// Every change that becomes durable schedules the next step.
			return false
		}
		if c.task < 0 {
			s.reconcileNextRow(o, c)
			continue
		}
		if c.task == 0 {
			c.active = false
			break
		}
		c.task--
		if c.task < len(o.tasks.all) {
			s.reconcileTask(o, o.tasks.all[c.task])
		}
	}
	return c.active
}

// reconcileNextRow checks one slot of the current row.
func (s *State) reconcileNextRow(o *ownedPartition, c *reconcileCursor) {
	rows := s.config.current.Rows
	if c.row >= len(rows) {
		o.tasks.quotas = c.quotas
		c.task = len(o.tasks.all)
		return
	}
	row := rows[c.row]
	if c.index == 0 {
		addTeamDemand(c.quotas, row)
		if r := o.tasks.rows[row.Name]; r != nil {
			s.refreshRow(o, r)
		}
	}
	if row.Kind == structs.KindTeam || c.index >= row.Count || sheet.IsStopped(s.config.current, row.Name) {
		c.row, c.index = c.row+1, 0
		return
	}
	s.reconcileSlot(o, row.Name, c.index, 0)
	c.index++
}

// reconcileSlot creates the task of a slot whose home is this partition, unless
// the slot has one. lastRun is the newest known run of the previous task in the
// slot.
func (s *State) reconcileSlot(o *ownedPartition, name string, index int, lastRun structs.Run) {
	id := taskID(name, index, 0)
	if HomePartition(name, index, len(s.partitions)) != o.partition.id || o.tasks.byID[id] != nil ||
		len(o.tasks.bySlot[slotKey{name, index}]) > 0 || o.tasks.unreadable[id] {
		return
	}
	row, ok := s.config.row(name)
	if !ok || row.Kind == structs.KindTeam || index >= row.Count || sheet.IsStopped(s.config.current, name) {
		return
	}
	s.createTask(o, s.rowOf(o, name), id, index, lastRun)
}

// createTask writes a new pending task. Its run numbers are higher than lastRun,
// the newest known run of the previous task in the slot.
func (s *State) createTask(o *ownedPartition, r *rowState, id structs.TaskID, index int, lastRun structs.Run) {
	firstRun := (lastRun + runsPerTask) / runsPerTask * runsPerTask
	t := &task{row: structs.TaskRow{
		Task: id, Row: r.name, Index: index, Kind: r.sheet.Kind, Request: r.sheet.Request,
		Generation: s.config.current.Generation, SpecHash: r.specHash, Phase: structs.TaskPending,
		Run: max(structs.Run(s.config.current.Generation)*runsPerGeneration, firstRun),
	}}
	o.tasks.insert(t)
	s.saveTask(o, t, nil)
}

// reconcileTask updates one task to match the sheet.
func (s *State) reconcileTask(o *ownedPartition, t *task) {
	r := s.rowOf(o, t.row.Row)
	if _, ok := s.config.row(r.name); ok != r.listed {
		s.refreshRow(o, r)
	}
	if s.fromNewerConfig(t) || !s.configUpToDate(o) {
		return
	}
	previous := t.intent
	t.intent = s.intentOf(o, t, r)
	if t.intent != intentKeep && t.intent != previous {
		if t.run.endReason == "" {
			t.run.endReason = "the sheet asks for it"
		}
		s.drainReplica(o, t)
	}
	if t.intent == intentKeep {
		t.run.drainingSince = 0
	}
	if t.writing {
		return
	}
	if t.intent == intentKeep && t.row.SpecHash != r.specHash {
		s.applySpecChange(o, t)
	}
	s.advance(o, t)
}

// fromNewerConfig reports whether the task was written under a configuration that
// this host does not have yet. Decisions based on an older one do not apply to
// it.
func (s *State) fromNewerConfig(t *task) bool { return t.row.Generation > s.config.current.Generation }

// intentOf returns what the sheet requires of a task.
func (s *State) intentOf(o *ownedPartition, t *task, r *rowState) intent {
	row, ok := s.config.row(t.row.Row)
	switch {
	case !ok || row.Kind != t.row.Kind || t.row.Index >= row.Count:
		return intentRemove
	case o.tasks.newest(t) != t:
		// It is being replaced, so the sheet no longer decides.
		return t.intent
	case sheet.IsStopped(s.config.current, row.Name):
		return intentStop
	}
	return intentKeep
}

// applySpecChange applies a changed sheet row to a task: at once if it is
// pending, by a checkpoint and a new run for batch, and by a replacement for
// replicas.
func (s *State) applySpecChange(o *ownedPartition, t *task) {
	switch t.row.Phase {
	case structs.TaskPending:
		s.dequeue(o, t) // it must not be placed before the change is durable
		s.updateSpec(o, t)
		t.unplaceableReported, t.row.Reason = false, ""
		s.saveTask(o, t, nil)
	case structs.TaskAssigned:
		if t.row.Kind == structs.KindService {
			s.replaceReplica(o, t, "its row was changed")
		} else {
			s.evict(o, t, "its row was changed", nil)
		}
	}
}
