package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// saveTask queues the task's row, and the row of the worker if given, for the
// next transaction. Until the transaction is durable, the task is marked as being
// written and nothing else changes it.
func (s *State) saveTask(o *ownedPartition, t *task, w *workerState) {
	t.writeSubmitted()
	writes := []structs.Write{{Key: structs.TaskKey(o.partition.id, t.row.Task), Row: t.row}}
	if w != nil {
		writes = append(writes, structs.Write{Key: structs.WorkerKey(o.partition.id, w.id), Row: w.row})
	}
	s.submit(o, change{writes: writes, onCommit: taskSaved{t}})
}

// stored reports whether the store has a row of the task.
func (o *ownedPartition) stored(t *task) bool {
	return o.versions[structs.TaskKey(o.partition.id, t.row.Task)] > 0
}

// writeSubmitted records that a change of the row was submitted.
func (t *task) writeSubmitted() {
	t.writesInFlight++
	t.writing = true
}

// writeCommitted records that a change of the row is durable. It reports whether
// all submitted changes are: the actions that follow a change, such as a start,
// must wait for later changes as well.
func (t *task) writeCommitted() bool {
	t.writesInFlight--
	t.writing = t.writesInFlight > 0
	return !t.writing
}

// taskSaved runs once a change of a task is durable.
type taskSaved struct{ t *task }

func (c taskSaved) changeCommitted(s *State, o *ownedPartition) {
	if !c.t.writeCommitted() {
		return
	}
	s.deleteUnusedCheckpoints(c.t)
	if c.t.row.Phase == structs.TaskEvicting {
		c.t.run.evictedAt = s.now
	}
	s.advance(o, c.t)
}

// deleteTask deletes the task's row. The task stays in memory until the deletion
// is durable, so that it cannot be created again earlier.
func (s *State) deleteTask(o *ownedPartition, t *task, w *workerState) {
	s.dequeue(o, t)
	if t.row.Phase != structs.TaskMoved {
		t.dropCheckpoint() // the checkpoint of a moved task belongs to the other partition
	}
	o.tasks.setPhase(t, structs.TaskStopped)
	t.row.Worker = ""
	t.writeSubmitted()
	writes := []structs.Write{{Key: structs.TaskKey(o.partition.id, t.row.Task)}}
	if w != nil {
		writes = append(writes, structs.Write{Key: structs.WorkerKey(o.partition.id, w.id), Row: w.row})
	}
	s.submit(o, change{writes: writes, onCommit: taskDeleted{t}})
}

// taskDeleted runs once the deletion of a task is durable.
type taskDeleted struct{ t *task }

func (c taskDeleted) changeCommitted(s *State, o *ownedPartition) {
	s.deleteUnusedCheckpoints(c.t)
	o.tasks.remove(c.t)
	if s.configUpToDate(o) {
		s.reconcileSlot(o, c.t.row.Row, c.t.row.Index, c.t.row.Run)
	}
}

// advance performs the next action for a task whose row is durable.
func (s *State) advance(o *ownedPartition, t *task) {
	if t.writing {
		return
	}
	switch t.row.Phase {
	case structs.TaskPending:
		s.advancePending(o, t)
	case structs.TaskAssigned, structs.TaskEvicting:
		s.advanceRun(o, t)
	case structs.TaskMoved:
		// checkMarker deletes it once the other partition no longer has the task.
		if t.intent == intentRemove {
			o.tasks.unwantedMarkers = append(o.tasks.unwantedMarkers, t)
		}
	default:
		s.advanceEnded(o, t)
	}
}

// advancePending deletes, stops or enqueues a pending task.
func (s *State) advancePending(o *ownedPartition, t *task) {
	switch t.intent {
	case intentRemove:
		s.deleteTask(o, t, nil)
	case intentStop:
		s.dequeue(o, t)
		o.tasks.setPhase(t, structs.TaskStopped)
		s.saveTask(o, t, nil)
	default:
		s.enqueue(o, t)
	}
}

// advanceEnded deletes a task that is stopped, finished or failed, or makes it
// pending again, as the sheet requires.
func (s *State) advanceEnded(o *ownedPartition, t *task) {
	switch {
	case t.intent == intentRemove:
		s.deleteTask(o, t, nil)
	case t.intent == intentKeep && t.row.Phase == structs.TaskStopped:
		o.tasks.setPhase(t, structs.TaskPending)
		s.saveTask(o, t, nil)
	case t.intent == intentKeep && t.row.Phase == structs.TaskFailed && t.row.SpecHash != s.rowOf(o, t.row.Row).specHash:
		// The row was changed after the task was given up, so the task is tried
		// again.
		o.tasks.setPhase(t, structs.TaskPending)
		s.updateSpec(o, t)
		t.row.FailedOn, t.row.Reason, t.failures, t.retryAt = nil, "", 0, 0
		s.saveTask(o, t, nil)
	}
}

// updateSpec updates a task that does not run to its current sheet row.
func (s *State) updateSpec(o *ownedPartition, t *task) {
	r := s.rowOf(o, t.row.Row)
	t.row.SpecHash, t.row.Request, t.row.Generation = r.specHash, r.sheet.Request, s.config.current.Generation
}

// advanceRun performs the next action for a run that is committed to a worker.
func (s *State) advanceRun(o *ownedPartition, t *task) {
	w := o.tasks.workers[t.row.Worker]
	switch {
	case w == nil || w.boot == "":
		// Its worker has not answered yet.
	case t.intent != intentKeep && t.draining(s.now):
		// The next synchronization calls advance again.
	case t.intent != intentKeep:
		s.stopRun(o, t, w)
	case t.row.Phase == structs.TaskEvicting:
		s.checkpointRun(o, t, w)
	case !t.run.startSent:
		s.startRun(o, t, w)
	}
}
