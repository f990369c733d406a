package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestWorkerRestart guards against tasks that are lost when their worker restarts
// under the same ID, and against ends of the new incarnation that are taken for
// those of the old one, since both are numbered from 1.
func TestWorkerRestart(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, time.Second, 1000))
	sim.advance(1500 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(2, time.Second, 1000))
	sim.advance(500 * time.Millisecond)
	f := sim.workers["w00"]
	f.crash()
	f.boot()
	sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
}

// TestAckDoesNotReachNextIncarnation guards against an acknowledgement of ends of
// one incarnation of a worker that reaches the next one and makes it discard an end
// that the leader has not read.
func TestAckDoesNotReachNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(200 * time.Millisecond)
	f.unlisted = true
	f.restartAccepting()
	f.onStart = func(StartTask) startOutcome { return startUnanswered }
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks, want 2", f.starts)
	}
}

// TestStartConfirmedByNextIncarnation guards against a second run of a task that the next
// incarnation of an idle worker has confirmed: the leader learns of the restart from the
// list of workers only afterwards, since answers to starts do not name the incarnation.
func TestStartConfirmedByNextIncarnation(t *testing.T) {
	for _, named := range []bool{false, true} {
		sim := newSimulation(t, 1, 2)
		sim.waitForLeader()
		sim.advance(testBounds.MaxLease)
		l := sim.leader().state.leaderOf(0)
		l.workers["w01"].pauseStarts(200 * time.Millisecond)
		f := sim.workers["w00"]
		f.commandsNameIncarnation = named
		f.unlisted = true
		f.restartAccepting()
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(3, 2*time.Second, 1000))
		sim.waitFor(time.Second, "starts", func() bool { return f.starts == 3 })
		sim.advance(20 * time.Millisecond)
		f.writeEntry(false)
		sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
		if n := f.starts + sim.workers["w01"].starts; n != 3 {
			t.Errorf("%d starts of 3 tasks", n)
		}
	}
}

// TestAckDoesNotDiscardEndOfConfirmedRun guards against an acknowledgement of ends of one
// incarnation that makes the next one discard the end of a run that it has confirmed, so
// that the task runs again although it is done.
func TestAckDoesNotDiscardEndOfConfirmedRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(200 * time.Millisecond)
	f.unlisted = true
	f.restartAccepting()
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 2*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks, want 2", f.starts)
	}
}

// TestDueAckDoesNotDiscardEndOfConfirmedRun guards against the same when an end is due at the
// restart: the next start follows that end, and the worker restarts before it arrives.
func TestDueAckDoesNotDiscardEndOfConfirmedRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.onStart = func(e StartTask) startOutcome {
		if e.Task.Job == jobB && !f.unlisted {
			f.unlisted = true
			f.restartAccepting()
		}
		return startAnswered
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 8000))
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 2*time.Millisecond, 8000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks, want 2", f.starts)
	}
}

// TestAckInFlightDoesNotDiscardEnd guards against the same by an acknowledgement that is on
// its way while a task is started: the next incarnation confirms the start, ends the run,
// and then receives the acknowledgement.
func TestAckInFlightDoesNotDiscardEnd(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "the end", func() bool { return len(f.endedRuns) > 0 })
	f.syncTransit = 400 * time.Millisecond
	sim.waitFor(time.Second, "an acknowledgement on its way", func() bool { return w.acks.inFlight })
	f.unlisted = true
	f.restartAccepting()
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 2*time.Millisecond, 1000))
	sim.advance(time.Second)
	f.syncTransit = 0
	f.writeEntry(false)
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks, want 2", f.starts)
	}
}

// TestClockOfDelayedAnswer guards against a lease that is computed with the clock of a former
// incarnation: an answer to a start that arrives after the lists of the next one shows it.
func TestClockOfDelayedAnswer(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	former := f.clock()
	f.restartAccepting()
	sim.waitFor(5*time.Second, "the lists of the next incarnation", func() bool { return w.incarnation == f.incarnation && w.listsRead })
	w.observeAnswer(CommandDone{Outcome: structs.OutcomeDone, ClockMS: former}, nil)
	if lead := w.clockLowerBound(sim.now) - f.clock(); lead > 0 {
		t.Errorf("the clock of the worker is taken to be %d ms ahead", lead)
	}
}

// TestEndsAreAcknowledgedUnderLoad guards against ends that stay unacknowledged for as long as
// tasks are started on their worker: the clock in the answer to a start shows that it is of
// the incarnation that the leader knows.
func TestEndsAreAcknowledgedUnderLoad(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.advance(5 * time.Second)
	f := sim.workers["w00"]
	most := 0
	for i := range 100 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i), singleStepJob(1, 100*time.Millisecond, 100))
		sim.advance(25 * time.Millisecond)
		most = max(most, len(f.endedRuns))
	}
	const limit = 16 // ends within a few syncs
	if most > limit {
		t.Errorf("%d ends are not acknowledged, want at most %d", most, limit)
	}
}

// TestStartReachesNextIncarnation guards against a second run of a task whose start
// was in flight while a sync detected a restart of the worker: the new incarnation
// carries it out.
func TestStartReachesNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.crash()
	f.boot()
	sim.advance(testBounds.MaxLease) // an idle worker is synchronized rarely, so the next start precedes the detection of a restart
	f.unlisted = true
	f.restartAccepting()
	f.onStart = func(StartTask) startOutcome { return startUnanswered }
	l := sim.leader().state.leaderOf(0)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 3*time.Second, 1000))
	sim.advance(20 * time.Millisecond)
	if r := l.workers["w00"].runs; len(r) != 1 {
		t.Fatalf("%d runs on the worker, want 1", len(r))
	}
	l.workers["w00"].handleRestart(f.incarnation, shownByLists)
	sim.waitFor(12*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if f.starts != 1 {
		t.Errorf("%d starts of one task, want 1", f.starts)
	}
}

// TestNextIncarnationWithLowerStartTime guards against a worker whose answers are ignored
// for good because its time of day has jumped back before it started again.
func TestNextIncarnationWithLowerStartTime(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, time.Second, 1000))
	f := sim.workers["w00"]
	sim.waitFor(time.Second, "starts", func() bool { return len(f.runs) == 2 })
	f.crash()
	f.clockBehind = time.Minute
	f.boot()
	sim.waitFor(10*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestEntryOfEarlierIncarnation guards against runs that count as ended because the list of
// workers shows an incarnation that has ended already, which started later by its own clock.
func TestEntryOfEarlierIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	f := sim.workers["w00"]
	l := sim.leader().state.leaderOf(0)
	w := l.workers["w00"]
	f.restartAccepting()
	second := w.entry
	second.Incarnation = f.incarnation
	f.clockBehind = time.Minute
	f.restartAccepting()
	sim.waitFor(5*time.Second, "the lists of the third incarnation", func() bool { return w.incarnation == f.incarnation && w.entryIsCurrent() })
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 5*time.Second, 1000))
	sim.waitFor(3*time.Second, "the lists that show the run", func() bool { return len(w.runs) == 1 && w.answeredSyncSentAt > w.sortedRuns()[0].confirmedAt })
	sim.store.set(TableWorkers, "w00", WorkerRow{second})
	sim.advance(200 * time.Millisecond)
	f.writeEntry(false)
	sim.waitFor(6*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if n := f.starts + sim.workers["w01"].starts; n != 1 {
		t.Errorf("%d starts of one task, want 1", n)
	}
}

// TestAnswerAtFormerAddress guards against a second run of a task whose worker has started
// again at another address: a command that was on its way to the former address is answered
// by another worker there.
func TestAnswerAtFormerAddress(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	w, f := l.workers["w00"], sim.workers["w00"]
	sync := SyncWorker{WorkerCommand: l.newCommand(w)}
	f.address = "10.0.0.2:w00"
	f.restartAccepting()
	sim.waitFor(5*time.Second, "the entry with the new address", func() bool { return w.entry.Address == f.address && w.incarnation == f.incarnation })
	misdirected := WorkerSynced{Outcome: structs.OutcomeNotDone, Refused: RefusedIncarnation}
	if w.handleSyncAnswer(misdirected, sync, sim.now); l.workers["w00"] != w {
		t.Fatal("the worker counts as gone")
	}
	sim.waitFor(2*time.Second, "an answer at the new address", w.acceptsStarts)
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 2*time.Second, 1000))
	sim.waitFor(time.Second, "start", func() bool { return f.starts == 1 })
	w.handleSyncAnswer(misdirected, sync, sim.now)
	sim.waitFor(6*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if n := f.starts + sim.workers["w01"].starts; n != 1 {
		t.Errorf("%d starts of one task, want 1", n)
	}
}

// TestAnswerAtReturnedAddress guards against the same when the entry names the address at which
// another worker answers, and a run was started at another one before.
func TestAnswerAtReturnedAddress(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	w, f := l.workers["w00"], sim.workers["w00"]
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 2*time.Second, 1000))
	sim.waitFor(time.Second, "start", func() bool { return f.starts == 1 })
	address := f.address
	w.entry.Address = "10.0.0.2:w00"
	w.handleSyncAnswer(WorkerSynced{Outcome: structs.OutcomeNotDone, Refused: RefusedIncarnation}, SyncWorker{WorkerCommand: l.newCommand(w)}, sim.now)
	w.entry.Address = address
	sim.waitFor(6*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if n := f.starts + sim.workers["w01"].starts; n != 1 {
		t.Errorf("%d starts of one task, want 1", n)
	}
}

// TestNewAddressIsStoredBeforeStart guards against a second run of a task after a change of
// the leader: the next leader asks for runs at the stored address of a worker whose entry is
// gone, and another worker answers at a former one.
func TestNewAddressIsStoredBeforeStart(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	sim.store.commitTime = 100 * time.Millisecond
	f.address = "10.0.0.2:w00"
	f.restartAccepting()
	sim.waitFor(10*time.Second, "starts at the new address", func() bool {
		stored := sim.store.get(TableControl, KeyUsedWorkers).(UsedWorkersRow).Workers["w00"]
		if w.acceptsStarts() && stored != w.entry.Address {
			t.Fatalf("starts go to %s while %s is stored", w.entry.Address, stored)
		}
		return w.acceptsStarts() && stored == f.address
	})
}

// TestStopReachesNextIncarnation guards against a run that goes on although it should stop: the
// former incarnation has acknowledged the stop, and the next one has carried out the start.
func TestStopReachesNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	var start StartTask
	f.onStart = func(e StartTask) startOutcome {
		start = e
		return startLost
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(4*time.Second, "a stop that is acknowledged", func() bool {
		runs := w.sortedRuns()
		return len(runs) == 1 && runs[0].stopAckedAt > 0
	})
	f.restartAccepting()
	f.executeStart(start)
	sim.waitFor(4*time.Second, "the end of the run", func() bool { return f.highestRun[start.Task] == start.Run })
}

// TestLateStartIsRefusedByNextIncarnation guards against a second run of a task by a start
// without an answer that is carried out seconds later: the former incarnation has acknowledged
// a stop, after which the task was started elsewhere, and the next one does not know of it.
func TestLateStartIsRefusedByNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workers["w01"].pauseStarts(time.Second)
	f := sim.workers["w00"]
	var late StartTask
	f.onStart = func(e StartTask) startOutcome {
		late = e
		l.workers["w00"].pauseStarts(10 * time.Second)
		return startLost
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(6*time.Second, "the start elsewhere", func() bool { return sim.workers["w01"].starts == 1 })
	f.onStart = nil
	f.restartAccepting()
	sim.waitFor(4*time.Second, "the stop at the next incarnation", func() bool { return f.highestRun[late.Task] >= late.Run })
	if o := f.executeStart(late); o.Refused != RefusedRun {
		t.Errorf("the late start is answered with %v", o.Refused)
	}
}

// TestLateStartIsRefusedAfterTwoRestarts guards against the same when the worker has started
// again twice: only the first of its next incarnations knew of the stop.
func TestLateStartIsRefusedAfterTwoRestarts(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workers["w01"].pauseStarts(time.Second)
	f := sim.workers["w00"]
	var late StartTask
	f.onStart = func(e StartTask) startOutcome {
		late = e
		l.workers["w00"].pauseStarts(10 * time.Second)
		return startLost
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(6*time.Second, "the start elsewhere", func() bool { return sim.workers["w01"].starts == 1 })
	f.onStart = nil
	for range 2 {
		f.restartAccepting()
		sim.waitFor(4*time.Second, "the stop at the next incarnation", func() bool { return f.highestRun[late.Task] >= late.Run })
	}
	if o := f.executeStart(late); o.Refused != RefusedRun {
		t.Errorf("the late start is answered with %v", o.Refused)
	}
}

// TestFormerLeadersRunsAcrossRestart guards against a task that a new leader starts although the
// next incarnation of a worker may run it: the former leader's start reached that one, and its
// lists are not read yet.
func TestFormerLeadersRunsAcrossRestart(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.unreconciled["w00"] = true
	l.workers["w00"].handleRestart(1, shownByCommand)
	if !l.unreconciled["w00"] {
		t.Error("the runs of former leaders count as known before the lists of the next incarnation are read")
	}
}

// restartBusyWorker starts a task on w00 and then, between two syncs, its next incarnation,
// whose clock shows clockMS, waits until the task has been started there again, and ends the worker.
func restartBusyWorker(t *testing.T, clockMS func(former int64) int64, end func(*fakeWorker)) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	w, f := l.workers["w00"], sim.workers["w00"]
	l.workers["w01"].pauseStarts(5 * time.Second)
	job := singleStepJob(1, time.Minute, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.advance(2 * time.Second)
	sim.waitFor(time.Second, "the end of a sync", func() bool { return !w.syncInFlight })
	former := f.clock()
	f.crash()
	f.boot()
	f.clockOrigin = clockMS(former)
	sim.waitFor(5*time.Second, "the start by the next incarnation", func() bool { return f.starts == 2 })
	l.workers["w01"].startsPausedUntil = 0
	sim.advance(20 * time.Millisecond)
	end(f)
	return sim
}

// TestLeaseOfSyncAcrossRestart guards against a second run of a task on a worker that falls
// silent: the sync that showed its restart was meant for the former incarnation and granted
// the longest lease, since the clock of the next one is behind.
func TestLeaseOfSyncAcrossRestart(t *testing.T) {
	sim := restartBusyWorker(t, func(former int64) int64 { return former / 2 }, func(f *fakeWorker) { f.disconnected = true })
	sim.advance(2 * maxLeaseDuration(testBounds))
}

// TestClockAheadShortensWait guards against tasks that wait for the longest lease after a worker
// restarted and was lost: the clock of the next incarnation was ahead, so that it took the
// lease ends that were meant for the former one for over.
func TestClockAheadShortensWait(t *testing.T) {
	sim := restartBusyWorker(t, func(former int64) int64 { return former + time.Hour.Milliseconds() }, (*fakeWorker).crash)
	sim.waitFor(maxLeaseDuration(testBounds)+syncWait+syncTimeoutSlack, "the start elsewhere", func() bool { return sim.workers["w01"].starts == 1 })
}

// TestIdleWorkerGrantsNoLease guards against tasks that wait for the longest lease after an idle
// worker restarted and was lost soon after.
func TestIdleWorkerGrantsNoLease(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	w, f := l.workers["w00"], sim.workers["w00"]
	sim.advance(testBounds.MaxLease)
	f.restartFarBehind()
	sim.waitFor(5*time.Second, "the lists of the next incarnation", func() bool { return w.incarnation == f.incarnation && w.acceptsStarts() })
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "start", func() bool { return f.starts == 1 })
	f.crash()
	sim.waitFor(maxLeaseDuration(testBounds)+syncWait+syncTimeoutSlack, "the start elsewhere", func() bool { return sim.workers["w01"].starts == 1 })
}

// TestLeaseOfUnnoticedRestart guards against the same when no answer has shown the restart: the
// next incarnation carries a start out and falls silent, and only its entry is read.
func TestLeaseOfUnnoticedRestart(t *testing.T) {
	for _, outcome := range []startOutcome{startAnswered, startUnanswered} {
		sim := newSimulation(t, 1, 2)
		sim.waitForLeader()
		l := sim.leader().state.leaderOf(0)
		f := sim.workers["w00"]
		sim.advance(maxLeaseDuration(testBounds))
		l.workers["w01"].pauseStarts(200 * time.Millisecond)
		f.unlisted = true
		f.restartFarBehind()
		f.onStart = func(StartTask) startOutcome {
			sim.after(time.Millisecond, func() { f.disconnected = true })
			return outcome
		}
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
		sim.waitFor(4*time.Second, "start", func() bool { return f.starts == 1 })
		sim.advance(10 * time.Millisecond)
		f.writeEntry(false)
		sim.advance(2 * maxLeaseDuration(testBounds))
	}
}

// TestStartOvertakesLists guards against a second run of a task when the lists that show a
// restart were sent before the run began there, and the answer to its start overtakes them.
func TestStartOvertakesLists(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	f := sim.workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	f.restartAccepting()
	fate.answerDelay = 300 * time.Millisecond
	sim.waitFor(4*time.Second, "a sync on its way", func() bool { return l.workers["w00"].syncInFlight })
	fate.answerDelay = 0
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	l.workers["w00"].entry.Incarnation = 0 // the entry is not read yet
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 5*time.Second, 1000))
	sim.waitFor(time.Second, "start", func() bool { return f.starts == 1 })
	sim.advance(3 * time.Second)
}

// TestLabelsOfNextIncarnation guards against a start by the labels of a worker's former
// incarnation: the lists show the next one before its entry is read.
func TestLabelsOfNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.unlisted = true
	f.crash()
	f.boot()
	l := sim.leader().state.leaderOf(0)
	sim.waitFor(5*time.Second, "detection of the restart", func() bool { return l.workers["w00"].incarnation == f.incarnation })
	job := singleStepJob(1, time.Second, 1000)
	job.Steps[0].Label = "a"
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.advance(time.Second)
	if f.starts > 0 {
		t.Fatal("a task was started by the labels of the former incarnation")
	}
	f.writeEntry(false)
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestLeaseOfStartAcrossRestart guards against a second run of a task whose start was
// carried out by the next incarnation of a worker: that start granted a lease there, so
// that a sync without an answer, sent before the restart, must not end the run.
func TestLeaseOfStartAcrossRestart(t *testing.T) {
	for _, named := range []bool{false, true} {
		sim := newSimulation(t, 1, 2)
		sim.waitForLeader()
		l := sim.leader().state.leaderOf(0)
		sim.advance(maxLeaseDuration(testBounds))
		l.workers["w01"].pauseStarts(time.Second)
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
		sim.waitFor(time.Second, "a sync that waits for the end of a run", func() bool {
			return sim.workerRunning(structs.TaskRef{Job: jobA}) != nil && l.workers["w00"].syncInFlight
		})
		f := sim.workers["w00"]
		f.commandsNameIncarnation = named
		f.unlisted = true
		f.restartFarBehind()
		sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 5*time.Second, 1000))
		sim.waitFor(time.Second, "the start by the next incarnation", func() bool { return f.starts == 2 })
		f.disconnected = true // the run goes on, and no answer comes back
		sim.advance(syncWait + 2*syncTimeoutSlack + time.Second)
	}
}
