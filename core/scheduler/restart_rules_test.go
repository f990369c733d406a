package scheduler

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// jobC is a third job.
const jobC = "00000000000000cc"

// TestClaimedJobOfLostWorkerStays guards against a second run of a task in another shard: a
// worker that does not answer the new leader still runs it, and the job counts as untouched.
func TestClaimedJobOfLostWorkerStays(t *testing.T) {
	sim := newShardedSimulation(t, 3, 4, 2)
	sim.waitForLeader()
	h := sim.leaderOf(0)
	sim.addJob(jobB, singleStepJob(1, time.Minute, 1000), 0)
	sim.waitFor(2*time.Second, "the start", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobB}) != nil })
	sim.workerRunning(structs.TaskRef{Job: jobB}).disconnected = true
	h.kill()
	sim.waitFor(leaderLease+3*time.Second, "the next leader", func() bool { return sim.leaderOf(0) != nil })
	sim.advance(leaderLease)
	if len(sim.leaderOf(0).state.leaderOf(0).unreconciled) == 0 {
		t.Error("no worker is unreconciled, so the test shows nothing")
	}
	sim.advance(testBounds.MaxLease)
}

// TestStartWaitsForStoredLease guards against a second run of a task by a new leader that does
// not know of the longest lease: the former one was cut off from the store when it started the
// task on the next incarnation of a worker.
func TestStartWaitsForStoredLease(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	h := sim.leader()
	l := h.state.leaderOf(0)
	f := sim.workers["w00"]
	l.workers["w01"].pauseStarts(5 * time.Second)
	sim.submitAndWait(h, jobA, persistentJob(1, 1000))
	sim.waitFor(time.Second, "the start", func() bool { return f.starts == 1 })
	sim.advance(2 * time.Second)
	f.onStart = func(StartTask) startOutcome {
		if sim.leader() == h {
			sim.after(2*workerDelay, func() { f.disconnected = true })
		}
		return startAnswered
	}
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return callFate{answerDelay: 100 * time.Millisecond} }}
	f.restartFarBehind()
	sim.waitFor(time.Second, "the entry of the next incarnation", func() bool { return l.workers["w00"].entry.Incarnation == f.incarnation })
	h.storeCut = true
	if l.workers["w00"].incarnation == f.incarnation {
		t.Fatal("the restart was known before the store was cut off")
	}
	sim.waitFor(time.Second, "the lists of the next incarnation", func() bool { return l.workers["w00"].incarnation == f.incarnation && l.workers["w00"].listsRead })
	sim.waitFor(leaderLease+3*time.Second, "the next leader", func() bool { return sim.leader() != nil && sim.leader() != h })
	sim.advance(testBounds.MaxLease)
}

// TestLeaseOfStartInTransit guards against a second run of a task whose start took long to reach
// the next incarnation of a worker: the lease that it granted began only then.
func TestLeaseOfStartInTransit(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	f := sim.workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	sim.advance(maxLeaseDuration(testBounds))
	l.workers["w01"].pauseStarts(200 * time.Millisecond)
	f.unlisted = true
	f.restartFarBehind()
	f.onStart = func(StartTask) startOutcome {
		sim.after(time.Millisecond, func() { f.disconnected = true })
		return startUnanswered
	}
	fate.requestDelay = 1400 * time.Millisecond
	sim.submitAndWait(sim.hosts[0], jobA, gangOfOne(time.Minute)) // its start may be on its way longest
	sim.waitFor(time.Second, "the order of the start", func() bool { return len(l.workers["w00"].runs) == 1 })
	fate = callFate{requestLost: true} // no later sync gets through and renews the lease
	f.writeEntry(false)
	sim.waitFor(2*time.Second, "the start", func() bool { return f.starts == 1 })
	fate = callFate{}
	sim.advance(2 * maxLeaseDuration(testBounds))
}

// TestAckOfFormerIncarnation guards against ends of a worker that are never acknowledged: their
// numbers count as acknowledged since the next incarnation answered an acknowledgement that was
// meant for the former one.
func TestAckOfFormerIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "the end", func() bool { return len(f.endedRuns) > 0 })
	f.syncTransit = 400 * time.Millisecond
	sim.waitFor(time.Second, "an acknowledgement on its way", func() bool { return w.acks.inFlight })
	f.restartAccepting()
	sim.advance(time.Second)
	f.syncTransit = 0
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	sim.waitFor(4*time.Second, "the acknowledgement of the end", func() bool { return len(f.endedRuns) == 0 })
}

// TestStopAnsweredByFormerIncarnation guards against a run that goes on although it should stop:
// the answer of the former incarnation to the stop arrives after the lists of the next one, which
// has carried out the start.
func TestStopAnsweredByFormerIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	var start StartTask
	f.onStart = func(e StartTask) startOutcome {
		start = e
		return startLost
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "the order of the start", func() bool { return len(w.runs) == 1 })
	r := w.sortedRuns()[0]
	fate.answerDelay = stopTimeout - 20*time.Millisecond
	sim.waitFor(4*time.Second, "a stop on its way", func() bool { return r.stopInFlight })
	fate.answerDelay = 0
	sim.advance(2 * workerDelay)
	f.restartAccepting()
	f.executeStart(start)
	sim.waitFor(600*time.Millisecond, "the lists of the next incarnation", func() bool { return w.incarnation == f.incarnation })
	if !r.stopInFlight {
		t.Fatal("the stop was answered before the restart was known")
	}
	sim.waitFor(2*time.Second, "the end of the run", func() bool { return f.highestRun[start.Task] == start.Run })
}

// TestStartsGoOnBesideLostStop guards against a worker on which nothing starts for seconds: an
// end cannot be acknowledged as long as a lost start has not been stopped, and starts wait for it.
func TestStartsGoOnBesideLostStop(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	w := sim.leader().state.leaderOf(0).workers["w00"]
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate {
		for _, r := range w.runs {
			if r.stopInFlight && r.stopSentAt == w.leader.state.now {
				return callFate{requestLost: true}
			}
		}
		return callFate{}
	}}
	f.onStart = func(e StartTask) startOutcome {
		if e.Task.Job == jobA {
			return startLost
		}
		return startAnswered
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.waitFor(time.Second, "the order of the first start", func() bool { return len(w.runs) == 1 })
	lost := w.sortedRuns()[0]
	sim.advance(time.Second)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 700*time.Millisecond, 1000))
	sim.waitFor(2*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	sim.waitFor(time.Second, "an overdue acknowledgement", func() bool { return w.acks.overdue(sim.now) })
	sim.submitAndWait(sim.hosts[0], jobC, singleStepJob(1, time.Second, 1000))
	sim.waitFor(300*time.Millisecond, "the start of the third job", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobC}) != nil })
	if !lost.stopInFlight {
		t.Error("the stop is not on its way, so the test shows nothing")
	}
}

// TestListsOfFormerIncarnation guards against a run of the next incarnation of a worker that is
// stopped because the lists of the former one, which arrive late, do not have it.
func TestListsOfFormerIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.commandsNameIncarnation = true
	w := sim.leader().state.leaderOf(0).workers["w00"]
	var fate callFate
	sim.network = &fakeNetwork{sim: sim, fate: func() callFate { return fate }}
	sim.advance(time.Second)
	fate = callFate{requestDelay: startTimeout - 50*time.Millisecond, answerLost: true}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 5*time.Second, 1000))
	sim.waitFor(time.Second, "the order of the start", func() bool { return len(w.runs) == 1 })
	fate = callFate{}
	sim.submitAndWait(sim.hosts[0], jobB, persistentJob(1, 1000))
	sim.waitFor(time.Second, "the start by the former incarnation", func() bool { return f.starts == 1 })
	fate.answerDelay = 1100 * time.Millisecond
	sim.waitFor(time.Second, "lists on their way", func() bool { return w.syncInFlight })
	fate.answerDelay = 0
	sim.advance(2 * workerDelay)
	f.unlisted = true
	f.restartAccepting()
	sim.submitAndWait(sim.hosts[0], jobC, persistentJob(1, 1000))
	sim.waitFor(500*time.Millisecond, "the answer that shows the restart", func() bool { return w.incarnation == f.incarnation })
	if !w.syncInFlight {
		t.Fatal("the lists of the former incarnation arrived before the restart was known")
	}
	sim.advance(2 * time.Second)
	if r := f.highestRun[structs.TaskRef{Job: jobA}]; r != 0 || sim.workerRunning(structs.TaskRef{Job: jobA}) == nil {
		t.Error("the run of the next incarnation was stopped")
	}
}

// gangOfOne returns a job with one task, whose start has the time limit of a gang's member.
func gangOfOne(work time.Duration) structs.Job {
	job := singleStepJob(1, work, 1000)
	job.Steps[0].Gang = true
	return job
}
