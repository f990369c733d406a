package scheduler

import (
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/core/timers"
)

// reconcile updates the leader's view of a worker's runs from the worker's list
// of active runs, which answers a sync sent at sent. A run that is not listed may be among
// the ends that the worker has not listed yet.
func (w *worker) reconcile(active []structs.ActiveRun, sent Instant) {
	l := w.leader
	listed := make(map[runKey]bool, len(active))
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			if r = w.adoptRun(a, sent); r == nil {
				continue
			}
		}
		if r.phase == phaseUnknown || r.phase == phaseStarting {
			r.phase, r.confirmedAt = phaseRunning, sent
			l.markStarted(r.job)
		}
		if a.Percent != r.percent {
			r.progressedAt = l.state.now
		}
		r.percent, r.gauge = a.Percent, a.Gauge
		timers.TrackSince(&r.readySince, r.step.Persistent && r.percent == fullSpeed, l.state.now)
		w.recordWorking(r)
		if a.Checkpoint != "" {
			r.checkpoint = a.Checkpoint
		}
	}
	for _, r := range w.sortedRuns() {
		if !listed[r.key()] {
			w.handleUnlistedRun(r, sent)
		}
	}
}

// handleUnlistedRun handles a run that the worker does not list as active.
func (w *worker) handleUnlistedRun(r *run, sent Instant) {
	l := w.leader
	switch {
	case w.moreEnded && r.phase != phaseUnknown:
		// Its end may be among those that follow.
	case r.stopAckedAt > 0 && r.stopAckedAt <= sent:
		l.runLost(r, "stopped before it began") // the worker refuses the run from now on
	case r.phase == phaseStarting:
		// The command may still be in transit.
	case r.phase == phaseUnknown:
		l.stopRun(r, "start without an answer")
	case r.confirmedAt > 0 && r.confirmedAt <= sent:
		l.runLost(r, "not on the worker's lists")
	}
}

// adoptRun adopts a run that a former leader started, or stops it when it should
// not run. The answer to a sync that was sent at sent lists it.
func (w *worker) adoptRun(a structs.ActiveRun, sent Instant) *run {
	l := w.leader
	j := l.jobs[a.Task.Job]
	if j == nil || j.taskAt(a.Task) == nil {
		l.state.logDecision(Decision{Part: "task", Action: "stop ordered", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run), Reason: "unknown job"})
		e := StopTask{WorkerCommand: l.newCommand(w), Task: a.Task, Run: a.Run}
		e.ID = l.expectAnswer(func(CommandDone) { w.syncSoon() }) // the next sync repeats the command if needed
		l.state.emit(e)
		return nil
	}
	n, _ := j.taskNumber(a.Task)
	t := &j.tasks[n]
	r := &run{
		job: j, ref: a.Task, step: &j.Steps[a.Task.Step], worker: w, id: a.Run, address: w.entry.Address, phase: phaseRunning, startSentAt: l.state.now,
		confirmedAt: sent, progressedAt: l.state.now, speedLimit: unknownSpeed, checkpoint: a.Checkpoint, adopted: true,
	}
	w.addRun(r)
	t.lastRun = max(t.lastRun, a.Run)
	if !j.schedulable() || j.IsDone(n) || t.run != nil || t.elsewhere {
		l.stopRun(r, "the task is done, running elsewhere, or its job has ended")
		return r
	}
	j.setRun(a.Task, r, l.state.now)
	l.markStarted(j)
	l.state.logDecision(Decision{Part: "task", Action: "run adopted", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run)})
	return r
}

// handleMisdirected handles the answer of another worker at an address: what ran there has
// ended. The worker may have started again at another address, and may run there what was
// sent to that one; a start on its way may meet it at this one later. It reports whether the
// worker is gone.
func (w *worker) handleMisdirected(address string) bool {
	elsewhere := func(r *run) bool { return r.address != address || r.startInFlight && r.confirmedAt == 0 }
	if address != w.entry.Address || slices.ContainsFunc(w.sortedRuns(), elsewhere) {
		return false
	}
	w.handleGone("another incarnation of the worker answered")
	return true
}

// handleGone handles a worker whose incarnation has ended.
func (w *worker) handleGone(reason string) {
	w.leader.state.logDecision(Decision{Part: "worker", Action: "gone", Subject: string(w.id), Reason: reason, Age: w.leader.state.now - w.answeredSyncSentAt})
	w.loseRuns(reason)
	w.leader.removeWorker(w)
}

// handleLeaseEnd handles a worker that did not answer until its lease had expired.
func (w *worker) handleLeaseEnd() {
	w.leader.markReconciled(w.id)
	if len(w.runs) > 0 {
		w.loseRuns("the lease expired while the worker did not answer")
	}
	w.leader.schedule.requestPass()
}

// markReconciled records that the runs of former leaders on a worker are known or over.
func (l *leaderState) markReconciled(id structs.WorkerID) {
	if !l.unreconciled[id] {
		return
	}
	delete(l.unreconciled, id)
	if len(l.unreconciled) == 0 {
		l.state.logDecision(Decision{Part: "leader", Action: "all runs of former leaders accounted for", Subject: l.state.self.Host, Number: uint64(l.epoch), Age: l.state.now - l.tookOverAt})
	}
	l.schedule.requestPass()
}

func (w *worker) loseRuns(reason string) {
	for _, r := range w.sortedRuns() {
		w.leader.runLost(r, reason)
	}
}

func (l *leaderState) removeWorker(w *worker) {
	if l.workers[w.id] != w {
		return
	}
	l.markReconciled(w.id)
	delete(l.workers, w.id)
	if at, ok := slices.BinarySearch(l.workerIDs, w.id); ok {
		l.workerIDs = slices.Delete(l.workerIDs, at, at+1)
	}
	if w.used {
		l.commits.usedWorkersChanged = true
	}
	l.schedule.requestPass()
}
