package scheduler

import "time"

// drainMargin is the least time between the expected end of a run and the time at which its
// worker leaves.
const drainMargin = 300 * time.Millisecond

// moveFromDrainingWorker moves tasks that cannot end on a draining worker: persistent tasks,
// and tasks that need longer than the worker stays. A task is moved only when another worker
// has room for it.
func (w *worker) moveFromDrainingWorker() {
	if !w.entry.Draining {
		return
	}
	l := w.leader
	for _, r := range w.sortedRuns() {
		if r.phase != phaseRunning || r.stopRequestedAt > 0 || r.step.Gang {
			continue
		}
		if !r.step.Persistent && !r.outlasts(l.state.now, w.leavesAt) {
			continue
		}
		if l.pick(r.job, r.ref, r.job.taskAt(r.ref)) == nil {
			continue
		}
		l.stopRun(r, "the worker drains")
	}
}

// outlasts reports whether a run that saves its progress is expected to be
// unfinished when its worker leaves, extrapolating its progress so far.
func (r *run) outlasts(now, leaves Instant) bool {
	if !r.step.SavesProgress || r.percent <= 0 {
		return false
	}
	return now+r.expectedRemaining(now)+drainMargin > leaves
}
