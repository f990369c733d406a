package scheduler

import (
	"testing"
	"time"
)

// TestStartInFlightToAddressOfOtherWorker guards against a second run of a task whose start is
// on its way to an address at which another worker has answered: the start still reaches
// its worker if that one has returned there.
func TestStartInFlightToAddressOfOtherWorker(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workers["w01"].pauseStarts(300 * time.Millisecond)
	a, b := sim.workers["w00"], sim.workers["w01"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	fate.requestDelay = 600 * time.Millisecond
	sim.submitAndWait(sim.hosts[0], jobA, gangOfOne(time.Minute))
	sim.advance(20 * time.Millisecond)
	fate.requestDelay = 0
	a.unlisted, b.unlisted = true, true
	sim.swapWorkers(a, b)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, time.Minute, 1000))
	sim.advance(100 * time.Millisecond)
	sim.swapWorkers(a, b)
	sim.advance(time.Second)
	a.writeEntry(false)
	b.writeEntry(false)
	sim.advance(3 * time.Second)
}

// TestLateStartAfterRestart guards against a second run of a task whose start had no answer
// and was stopped: the next incarnation has not seen that stop, and carries the start out
// seconds later.
func TestLateStartAfterRestart(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	f := sim.workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	l.workers["w01"].pauseStarts(time.Second)
	fate.late = 4 * time.Second
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "a start on its way", func() bool { return len(l.workers["w00"].runs) == 1 })
	fate.late = 0
	l.workers["w00"].pauseStarts(5 * time.Second)
	sim.waitFor(4*time.Second, "the start on the other worker", func() bool { return sim.workers["w01"].starts == 1 })
	f.restartAccepting()
	sim.advance(5 * time.Second)
}

// TestLateAckAfterRestart guards against an acknowledgement without an answer that the next
// incarnation carries out seconds later: it discards the end of a run that was started there
// meanwhile, so that the task runs again although it is done.
func TestLateAckAfterRestart(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	w := sim.leader().state.leaderOf(0).workers["w00"]
	f := sim.workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "the end", func() bool { return len(f.endedRuns) > 0 })
	fate.late = 2500 * time.Millisecond
	sim.waitFor(time.Second, "an acknowledgement on its way", func() bool { return w.acks.inFlight })
	fate.late = 0
	f.restartAccepting()
	sim.waitFor(3*time.Second, "the lists of the next incarnation", func() bool { return w.incarnation == f.incarnation && w.listsRead })
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 500*time.Millisecond, 1000))
	f.onStart = func(StartTask) startOutcome { fate.requestDelay = time.Second; return startAnswered } // later calls arrive after the acknowledgement
	sim.advance(2 * time.Second)
	fate.requestDelay = 0
	sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobB).Final() })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks, want 2", f.starts)
	}
}
