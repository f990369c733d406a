package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Guards against a lost leader that leaves jobs without a scheduler, and
// against tasks that a new leader starts although they still run.
func TestNewLeaderAdoptsRuns(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(8, 6*time.Second, 1000))
	sim.advance(time.Second)
	sim.leader().kill()
	sim.waitFor(12*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	starts := 0
	for _, f := range sim.workers {
		starts += f.starts
	}
	if starts != 8 {
		t.Errorf("%d starts of 8 tasks", starts)
	}
}

// Guards against a host that cannot carry the work and leads while stronger hosts
// are there: it gives the lead up when asked, and yields to them when it is vacant.
func TestStrongHostLeads(t *testing.T) {
	sim := newSimulation(t, 0, 2)
	weak := sim.addHostWith("weak", 0.1)
	sim.waitForLeader()
	strong := []*fakeHost{sim.addHost("strong1"), sim.addHost("strong2")}
	sim.waitFor(challengeDelay+2*time.Second, "a strong leader", func() bool {
		h := sim.leader()
		return h != nil && h != weak && h.state.leader.isLoaded()
	})
	for range 4 {
		for i := range 6 {
			sim.addHostWith(fmt.Sprintf("weak%d", i), 0.1)
		}
		h := sim.leader()
		h.kill()
		sim.advance(leaderLease + 2*time.Second)
		if got := sim.leader(); got != strong[0] && got != strong[1] {
			t.Fatalf("%v leads", got)
		}
		h.start()
	}
	strong[0].kill()
	strong[1].kill()
	sim.waitFor(leaderLease+weakTakeoverDelay+2*time.Second, "a weak leader where no other host is left", func() bool { return sim.leader() != nil })
}

// Guards against a takeover that took effect without an answer being given up, so
// that nobody schedules until its lease has run out.
func TestTakeoverWithoutAnswer(t *testing.T) {
	sim := newSimulation(t, 0, 1)
	lost := 0
	sim.store.commitOutcome = func(_ *fakeHost, c Commit) int {
		for _, write := range c.Writes {
			if write.Key == KeyLeader && lost == 0 {
				lost++
				return commitUnanswered
			}
		}
		return commitAnswered
	}
	sim.addHost("host0")
	sim.waitFor(commitTimeout+leasePollInterval*2, "a leader", func() bool { return sim.leader() != nil })
	if lost != 1 {
		t.Fatalf("%d answers lost", lost)
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// Guards against jobs that no leader has started waiting, after a loss of the
// leader, for workers that cannot be reached.
func TestUnclaimedJobsStartAtOnce(t *testing.T) {
	sim := newSimulation(t, 2, 3)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(3, time.Minute, 1000))
	sim.waitFor(time.Second, "all workers in use", func() bool {
		for i := range 3 {
			if sim.workerRunning(structs.TaskRef{Job: jobA, Index: i}) == nil {
				return false
			}
		}
		return true
	})
	sim.leader().kill()
	sim.workers["w00"].disconnected = true
	alive := sim.hosts[0]
	if !alive.alive {
		alive = sim.hosts[1]
	}
	sim.submitAndWait(alive, jobB, singleStepJob(1, time.Second, 1000))
	sim.waitFor(leaderLease+2*time.Second, "a leader", func() bool { return sim.leader() != nil })
	sim.waitFor(time.Second, "the start of a job that no leader had claimed", func() bool {
		return sim.workerRunning(structs.TaskRef{Job: jobB}) != nil
	})
	if len(sim.leader().state.leader.unreconciled) == 0 {
		t.Error("the worker that cannot be reached is accounted for, so that nothing was shown")
	}
}

// Guards against a leader that acts after it was suspended beyond its lease.
func TestFrozenLeaderWakes(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(8, 3*time.Second, 1000))
	sim.advance(500 * time.Millisecond)
	old := sim.leader()
	old.suspended = true
	sim.advance(6 * time.Second)
	old.resume()
	sim.submitAndWait(sim.hosts[1], jobB, singleStepJob(4, time.Second, 1000))
	sim.waitFor(12*time.Second, "completion", func() bool {
		return sim.jobState(jobA) == structs.JobCompleted && sim.jobState(jobB) == structs.JobCompleted
	})
}

// Guards against a commit that the store performs late and that overwrites a
// newer state.
func TestLateCommitDoesNotRevert(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	lost := false
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if p, ok := write.Value.(ProgressRow); ok && p.State == structs.JobRunning && !lost {
				lost = true
				return commitLate
			}
		}
		return commitAnswered
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, 100*time.Millisecond, 1000))
	sim.waitFor(5*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(5 * time.Second)
	if !lost || sim.jobState(jobA) != structs.JobCompleted {
		t.Errorf("lost %v, state %s", lost, sim.jobState(jobA))
	}
}
