package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// stableRunTime is how long a run must keep running to count as a success of its
// worker.
const stableRunTime = 10 * time.Second

// maxUnknownRunsStopped bounds the stop commands that follow one answer of a worker for
// runs which are not in the partition's rows. The next answer lists the others again.
const maxUnknownRunsStopped = 32

// syncWorkers runs periodically for each owned partition: it renews the leases on
// the workers, requests the state of their runs and handles what waits for a
// deadline.
func (s *State) syncWorkers(p *partition) {
	o := p.owned
	if o == nil || !o.loaded || s.now < o.tasks.nextSync {
		// The timer was set before the partition was lost and acquired again.
		return
	}
	o.tasks.nextSync = s.now + workerSyncInterval
	s.setTimer(o.tasks.nextSync, timerWorkerSync, uint64(p.id))
	s.recordFormerRelease(o)
	s.readConfigHead(o)
	for _, w := range o.tasks.workerList {
		if s.syncDue(o, w) {
			s.syncWorker(o, w)
		}
		s.checkUnresponsive(o, w)
		s.checkQuarantine(o, w)
	}
	s.enqueueDelayed(o)
	s.retrySetAside(o)
	s.removeRetired(o)
	s.inboxTick(o)
	if o.tasks.pending > 0 || o.tasks.reconcile.active {
		s.capacityChanged(o)
	}
	if !o.tasks.policyScheduled {
		o.tasks.policyScheduled = true
		s.setTimer(s.now+policyStepInterval, timerPolicy, uint64(p.id))
	}
}

// syncWorker renews the leases on one worker and requests the state of its runs.
// One synchronization per worker is in flight at a time.
func (s *State) syncWorker(o *ownedPartition, w *workerState) {
	if w.syncing || w.spec.Address == "" || !s.mayRenewLeases(o) {
		return
	}
	w.syncing, w.syncedAt = true, s.now
	runs := make([]RunRef, 0, len(w.row.Commitments))
	for _, c := range w.row.Commitments {
		runs = append(runs, RunRef{c.Task, c.Run})
	}
	lease := w.leaseUntil
	if w.boot != "" && !w.unresponsive {
		// The leases of an unresponsive worker are left to expire, even if only
		// its answers are lost.
		lease = max(lease, w.clockNow(s.now)+taskLease)
		w.leaseUntil = lease
	}
	s.emit(SyncWorker{
		WorkerCommand: s.command(o, w, syncOutcome{o: o, w: w, sent: s.now}),
		Boot:          w.boot, LeaseUntil: lease, Runs: runs,
	})
}

// syncOutcome handles the outcome of a synchronization.
type syncOutcome struct {
	o    *ownedPartition
	w    *workerState
	sent Instant
}

func (c syncOutcome) complete(s *State, result EventBody) {
	r := result.(WorkerSynced)
	c.w.syncing = false
	if c.o.partition.owned != c.o || c.o.tasks.workers[c.w.id] != c.w {
		return
	}
	if r.Outcome != OutcomeDone {
		c.w.missedSyncs++
		return
	}
	c.w.missedSyncs = 0
	s.workerAnswered(c.o, c.w, r)
	unknown := 0
	for _, run := range r.Runs {
		if s.isUnknownRun(c.o, c.w, run) {
			if unknown++; unknown <= maxUnknownRunsStopped {
				s.stopUnknownRun(c.o, c.w, RunRef{run.Task, run.Run})
			}
			continue
		}
		s.handleRunStatus(c.o, c.w, run, c.sent)
	}
	s.learnUsage(c.o, c.w, r.Usage)
}

// workerAnswered processes what an answer reports about the worker itself.
func (s *State) workerAnswered(o *ownedPartition, w *workerState, r WorkerSynced) {
	previousBoot := w.boot
	w.boot, w.clock, w.answeredAt = r.Boot, r.Clock, s.now
	switch {
	case previousBoot == "":
		// The worker now refuses commands of any former owner, whose leases end
		// at most one lease after the clock reading in this answer.
		w.leaseUntil = r.Clock + taskLease
		s.capacityChanged(o)
	case previousBoot != r.Boot:
		w.leaseUntil = r.Clock
		s.workerRestarted(o, w)
	}
	if w.unresponsive {
		w.unresponsive = false
		s.targetsChanged(o)
		s.recordDecision(DecisionRecord{Part: "worker", Action: "answers again", Subject: string(w.id)})
		s.capacityChanged(o)
	}
	wasLeaving := w.isLeaving()
	w.reportsLeaving = r.Leaving
	if w.isLeaving() && !wasLeaving {
		s.evacuateWorker(o, w)
		s.targetsChanged(o)
	}
}

// workerRestarted ends the runs of earlier boots: the restart proves that they
// are gone.
func (s *State) workerRestarted(o *ownedPartition, w *workerState) {
	for _, c := range w.row.Commitments {
		t := o.tasks.byID[c.Task]
		if t == nil || !t.isRun(RunRef{c.Task, c.Run}) {
			continue
		}
		if t.run.boot != w.boot {
			s.runEnded(o, t, w, structs.RunStatus{Task: c.Task, Run: c.Run, State: structs.RunGone, Detail: "the worker restarted"})
		}
	}
}

// isUnknownRun reports whether a running run is not in the partition's rows.
func (s *State) isUnknownRun(o *ownedPartition, w *workerState, st structs.RunStatus) bool {
	ref := RunRef{st.Task, st.Run}
	t := o.tasks.byID[st.Task]
	known := t != nil && t.isRun(ref) && t.row.Worker == w.id
	return st.State == structs.RunRunning && !known && !w.hasCommitment(ref)
}

// handleRunStatus processes a worker's status of one run. A status sent before
// the last command to the run was answered is out of date.
func (s *State) handleRunStatus(o *ownedPartition, w *workerState, st structs.RunStatus, sent Instant) {
	t := o.tasks.byID[st.Task]
	if t == nil || !t.isRun(RunRef{st.Task, st.Run}) || t.row.Worker != w.id {
		return
	}
	if t.writing {
		// A change is being written; the next answer repeats the status.
		return
	}
	if t.run.presumedRunning && st.State != structs.RunRunning {
		t.run.presumedRunning = false
		s.targetsChanged(o)
	}
	switch st.State {
	case structs.RunRunning:
		s.handleRunningRun(o, t, w, st)
	case structs.RunGone:
		s.handleMissingRun(o, t, w, sent)
	default:
		s.runEnded(o, t, w, st)
	}
}

// hasCommitment reports whether the worker's row contains the run, even if the
// task's row no longer does.
func (w *workerState) hasCommitment(ref RunRef) bool {
	for _, c := range w.row.Commitments {
		if c.Task == ref.Task && c.Run == ref.Run {
			return true
		}
	}
	return false
}

// handleRunningRun processes the report that a run is running.
func (s *State) handleRunningRun(o *ownedPartition, t *task, w *workerState, st structs.RunStatus) {
	if t.run.stopConfirmed {
		return // reported before the stop
	}
	if t.run.boot == "" {
		t.run.boot = w.boot // adopted from a former owner
	}
	if !t.run.startConfirmed {
		t.run.startConfirmed, t.run.startConfirmedAt = true, s.now
	}
	if !t.run.running {
		t.run.running = true
		if t.run.runningSince == 0 {
			t.run.runningSince = s.now
		}
		if t.row.Kind == structs.KindService {
			s.targetsChanged(o)
		}
	}
	if t.resumeProgress > 0 {
		s.rowOf(o, t.row.Row).resume.Learn(t.resumeProgress, st.Progress)
		t.resumeProgress = 0
	}
	t.run.progress = st.Progress
	if !t.run.provedStable && s.now-t.run.runningSince >= stableRunTime {
		t.run.provedStable = true
		t.failures = 0
		s.recordWorkerSuccess(o, w)
	}
	s.moveOrReplaceRun(o, t, w)
	s.advance(o, t)
}

// moveOrReplaceRun moves or replaces a run whose worker is leaving or whose row
// has changed, if that could not start earlier because a change was being
// written.
func (s *State) moveOrReplaceRun(o *ownedPartition, t *task, w *workerState) {
	if t.row.Phase != structs.TaskAssigned || t.intent != intentKeep {
		return
	}
	if w.isLeaving() {
		s.moveOffWorker(o, t)
	} else if r := s.rowOf(o, t.row.Row); r.listed && !s.fromNewerConfig(t) && t.row.SpecHash != r.specHash {
		s.applySpecChange(o, t)
	}
}

// handleMissingRun handles a run that the worker does not have. That alone does
// not prove that the run has ended: a start may still be in transit. Only after a
// confirmed stop is it proof.
func (s *State) handleMissingRun(o *ownedPartition, t *task, w *workerState, sent Instant) {
	run := &t.run
	switch {
	case run.stopConfirmed && sent >= run.stopConfirmedAt:
		s.runEnded(o, t, w, structs.RunStatus{Task: t.row.Task, Run: t.row.Run, State: structs.RunGone, Detail: run.endReason})
	case run.stopConfirmed, run.stopInFlight, run.startInFlight, run.startConfirmed && sent < run.startConfirmedAt:
		// Wait for the outcome of the command, or for a newer status.
	case !run.startConfirmed && run.startsSent > 0 && t.row.Phase == structs.TaskAssigned && t.intent == intentKeep:
		s.startRun(o, t, w)
	default:
		if run.endReason == "" {
			run.endReason = "the worker lost the run"
		}
		s.stopRun(o, t, w)
	}
}
