package control

import (
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxFailedOn bounds the workers in a task's row on which it failed. The newest count:
// a task fails for good after three workers that run others well.
const maxFailedOn = 32

// runEnded handles a run that has certainly ended. The proof is a status that
// says how it ended, a confirmed stop, a restart of its worker, or an expired
// lease. The commitment is removed in the same transaction as the change of the
// task's phase.
func (s *State) runEnded(o *ownedPartition, t *task, w *workerState, st structs.RunStatus) {
	if t.writing {
		return
	}
	if st.State == structs.RunCheckpointed && st.Checkpoint != checkpointObject(t.ref()) {
		// Not the requested checkpoint: the run counts as stopped.
		st.State, st.Detail = structs.RunStopped, "its checkpoint has another name"
	}
	if t.row.Phase == structs.TaskEvicting {
		// Its worker may have written it, whether or not the row will name it.
		t.unusedCheckpoints = append(t.unusedCheckpoints, checkpointObject(t.ref()))
	}
	duration := s.now - t.run.runningSince
	wasTarget := t.answersCalls()
	s.releaseRun(o, t, w)
	switch {
	case t.intent == intentRemove || o.tasks.newest(t) != t && o.stored(o.tasks.newest(t)):
		s.recordRunEnd(t, w, "removed", st)
		s.deleteTask(o, t, w)
	case st.State == structs.RunSucceeded && t.row.Kind == structs.KindBatch:
		s.handleSucceededRun(o, t, w, duration)
	case t.intent == intentStop:
		s.recordRunEnd(t, w, "stopped", st)
		t.row.Reason = "stopped by an operator"
		s.recordCheckpoint(t, st)
		s.unplace(o, t, w, structs.TaskStopped)
	case st.State == structs.RunFailed, st.State == structs.RunSucceeded:
		s.handleFailedRun(o, t, w, st)
	default:
		s.requeue(o, t, w, st)
	}
	t.run = runState{share: 1}
	if wasTarget {
		s.targetsChanged(o)
	}
	s.capacityChanged(o)
}

// releaseRun removes the commitment of a run from its worker.
func (s *State) releaseRun(o *ownedPartition, t *task, w *workerState) {
	request, ok := w.release(t.ref())
	if !ok {
		return
	}
	o.uncharge(t, request)
	r := s.rowOf(o, t.row.Row)
	r.removePlacement(t)
	w.addPastRun(pastRun{row: r.name, request: request, start: t.run.runningSince, end: s.now})
	if t.run.evictedFor != nil {
		t.run.evictedFor.pendingEvictions--
		w.pendingEvictions--
	}
}

// unplace saves a task that is no longer on a worker, with its new phase.
func (s *State) unplace(o *ownedPartition, t *task, w *workerState, phase structs.TaskPhase) {
	o.tasks.setPhase(t, phase)
	t.row.Worker = ""
	s.saveTask(o, t, w)
}

// recordCheckpoint sets the checkpoint of the ended run in the task's row.
func (s *State) recordCheckpoint(t *task, st structs.RunStatus) {
	if st.State == structs.RunCheckpointed {
		t.dropCheckpoint()
		t.row.Checkpoint = st.Checkpoint
		t.resumeProgress = t.run.progress
	}
}

// recordRunEnd records the decision that follows the end of a run, with the
// reason for the end.
func (s *State) recordRunEnd(t *task, w *workerState, action string, st structs.RunStatus) {
	reason := t.run.endReason
	if reason == "" {
		reason = st.Detail
	}
	if reason == "" {
		reason = string(st.State)
	}
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: action, Subject: string(t.row.Task), Where: string(w.id),
		Reason: reason, Request: string(t.row.Task),
	})
}

// handleSucceededRun marks a batch task as finished and learns its run time if
// the run was observed from start to end.
func (s *State) handleSucceededRun(o *ownedPartition, t *task, w *workerState, duration Instant) {
	r := s.rowOf(o, t.row.Row)
	if t.row.Checkpoint == "" && t.run.runningSince > 0 && t.run.startsSent > 0 {
		r.runTime.Learn(duration)
	}
	t.dropCheckpoint()
	s.recordWorkerSuccess(o, w)
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "finished", Subject: string(t.row.Task), Where: string(w.id), Request: string(t.row.Task),
	})
	s.unplace(o, t, w, structs.TaskFinished)
}

// requeue makes a task pending again, with its newest checkpoint.
func (s *State) requeue(o *ownedPartition, t *task, w *workerState, st structs.RunStatus) {
	s.recordRunEnd(t, w, "requeued", st)
	s.recordCheckpoint(t, st)
	if t.row.Phase == structs.TaskEvicting {
		t.row.Evictions++
	}
	if r := s.rowOf(o, t.row.Row); r.listed && t.row.SpecHash != r.specHash {
		s.updateSpec(o, t)
	}
	s.unplace(o, t, w, structs.TaskPending)
}

// handleFailedRun counts a failed run against the task and the worker. The task
// is tried again on another worker after a delay, or given up.
func (s *State) handleFailedRun(o *ownedPartition, t *task, w *workerState, st structs.RunStatus) {
	t.failures++
	if !failedOn(t, w.id) {
		kept := t.row.FailedOn[max(0, len(t.row.FailedOn)+1-maxFailedOn):]
		t.row.FailedOn = append(kept[:len(kept):len(kept)], w.id)
	}
	s.recordWorkerFailure(o, w, t.row.Row)
	if n := s.failuresOnGoodWorkers(o, t); n >= policy.JobFailureLimit {
		t.row.Reason = shortened(fmt.Sprintf("failed on %d workers that run others well: %s", n, st.Detail), maxReasonBytes)
		s.recordDecision(DecisionRecord{
			Part: "placement", Action: "given up", Subject: string(t.row.Task), Where: string(w.id),
			Reason: t.row.Reason, Request: string(t.row.Task),
		})
		s.unplace(o, t, w, structs.TaskFailed)
		return
	}
	t.retryAt = s.now + retryBackoff(t.failures)
	s.requeue(o, t, w, st)
}
