package scheduler

import (
	"testing"
	"time"
)

// TestLeaseOfStartByUnknownIncarnation guards against a second run of a task that the next
// incarnation of an idle worker started before the leader knew of the restart: the lease
// that it granted may be the longest one.
func TestLeaseOfStartByUnknownIncarnation(t *testing.T) {
	startOnUnknownIncarnation(t, startAnswered)
}

// TestLeaseOfUnansweredStartByUnknownIncarnation guards against the same without an answer,
// whose clock would show the restart.
func TestLeaseOfUnansweredStartByUnknownIncarnation(t *testing.T) {
	startOnUnknownIncarnation(t, startUnanswered)
}

// startOnUnknownIncarnation starts a task on the next incarnation of an idle worker, which
// then falls silent. No entry of it is read.
func startOnUnknownIncarnation(t *testing.T, outcome startOutcome) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workers["w01"].pauseStarts(time.Second)
	f := sim.workers["w00"]
	f.onStart = func(StartTask) startOutcome {
		sim.after(2*workerDelay, func() { f.disconnected = true })
		return outcome
	}
	f.unlisted = true
	f.restartFarBehind()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "the start", func() bool { return f.starts == 1 })
	sim.advance(testBounds.MaxLease)
}

// TestLeaseAcrossRestartAndTakeover guards against a second run of a task by a new leader
// that takes leases of the former one to be shorter than those that a worker granted after
// a restart.
func TestLeaseAcrossRestartAndTakeover(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		sim := newSimulation(t, 2, 2)
		sim.waitForLeader()
		h := sim.leader()
		l := h.state.leaderOf(0)
		l.workers["w01"].pauseStarts(time.Second)
		f := sim.workers["w00"]
		f.unlisted = !noticed
		f.restartFarBehind()
		if noticed {
			sim.waitFor(time.Second, "the lists of the next incarnation", func() bool { return l.workers["w00"].incarnation == f.incarnation })
		}
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
		sim.waitFor(time.Second, "the start", func() bool { return f.starts == 1 })
		f.disconnected = true
		h.deliver(StopRequested{})
		sim.advance(testBounds.MaxLease)
	}
}

// swapWorkers restarts two workers with each other's address.
func (sim *simulation) swapWorkers(a, b *fakeWorker) {
	formerA, formerB := a.clock(), b.clock()
	a.crash()
	b.crash()
	a.address, b.address = b.address, a.address
	a.boot()
	b.boot()
	a.clockOrigin, b.clockOrigin = formerA/2, formerB/2
}

// TestMisdirectedAnswerAfterTakeover guards against a second run of a task by a new leader
// that knows only a former address of its worker, where another worker answers.
func TestMisdirectedAnswerAfterTakeover(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	h := sim.leader()
	l := h.state.leaderOf(0)
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return callFate{} }}
	f := sim.workers["w00"]
	sim.swapWorkers(f, sim.workers["w01"])
	sim.waitFor(time.Second, "the lists of the next incarnations", func() bool {
		return l.workers["w00"].incarnation == f.incarnation && l.workers["w01"].incarnation == sim.workers["w01"].incarnation
	})
	l.workers["w01"].pauseStarts(time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "the start", func() bool { return f.starts == 1 })
	sim.store.set(TableWorkers, "w00", nil)
	h.deliver(StopRequested{})
	sim.advance(5 * time.Second)
}

// TestDelayedStartOfFormerLeader guards against a second run of a task whose start was on
// its way when its leader released the lead: after a restart, the worker knows neither that
// leader's successor nor its epoch, and carries the start out.
func TestDelayedStartOfFormerLeader(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	h := sim.leader()
	l := h.state.leaderOf(0)
	l.workers["w01"].pauseStarts(time.Second)
	f := sim.workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	fate.requestDelay = 1300 * time.Millisecond
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.advance(20 * time.Millisecond)
	fate.requestDelay = 0
	if len(l.workers["w00"].runs) != 1 {
		t.Fatalf("%d starts on their way, want 1", len(l.workers["w00"].runs))
	}
	h.deliver(StopRequested{})
	sim.after(800*time.Millisecond, f.restartFarBehind)
	sim.waitFor(3*time.Second, "the next leader", func() bool { return sim.leader() != nil && sim.leader() != h })
	sim.advance(3 * time.Second)
	if n := f.starts + sim.workers["w01"].starts; n != 1 {
		t.Errorf("%d starts of one task, want 1", n)
	}
}

// TestStartEndsWithLease guards against the same by a leader that is cut off from the store: a
// start that it orders at the end of its lease must not arrive after the next leader has read
// the worker's lists.
func TestStartEndsWithLease(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	h := sim.leader()
	l := h.state.leaderOf(0)
	for _, id := range l.workerIDs {
		l.workers[id].pauseStarts(time.Hour)
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	l.claim(l.jobs[jobA])
	h.deliver(TimerFired{})
	sim.advance(200 * time.Millisecond)
	h.storeCut = true
	sim.advance(leaderLease - 600*time.Millisecond)
	ordered := false
	sim.workers["w00"].onStart = func(e StartTask) startOutcome {
		ordered = true
		if left := e.NotAfter - h.state.now; e.Timeout > left {
			t.Errorf("the start may take %v, and the lease ends in %v", e.Timeout, left)
		}
		return startAnswered
	}
	l.workers["w00"].startsPausedUntil = 0
	l.schedule.requestPass()
	h.deliver(TimerFired{})
	sim.waitFor(time.Second, "a start", func() bool { return ordered })
}

// TestLeaseOfFormerLeadersSync guards against a second run of a task by a new leader on a worker
// that falls silent: the last sync of the former leader reached the next incarnation, which
// granted the longest lease, and nothing shows the new leader that there was another one.
func TestLeaseOfFormerLeadersSync(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	h := sim.leader()
	l := h.state.leaderOf(0)
	f := sim.workers["w00"]
	l.workers["w01"].pauseStarts(time.Second)
	job := singleStepJob(1, time.Second, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobB, job)
	sim.advance(2 * time.Second)
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	sim.waitFor(time.Second, "no sync in flight", func() bool { return !l.workers["w00"].syncInFlight })
	f.unlisted = true
	f.restartFarBehind()
	fate.answerDelay = 300 * time.Millisecond
	sim.waitFor(5*time.Second, "the lease by the next incarnation", func() bool { return f.leaseEnd > 0 })
	h.deliver(StopRequested{})
	fate.answerDelay = 0
	sim.waitFor(3*time.Second, "the next leader", func() bool { return sim.leader() != nil && sim.leader() != h })
	n := sim.leader().state.leaderOf(0)
	f.writeEntry(false)
	sim.waitFor(3*time.Second, "the lists", func() bool { return n.workers["w00"] != nil && n.workers["w00"].acceptsStarts() })
	n.workers["w01"].pauseStarts(time.Second)
	sim.submitAndWait(sim.leader(), jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "the start", func() bool { return len(f.runs) > 0 })
	f.disconnected = true
	sim.advance(2 * testBounds.MaxLease)
}
