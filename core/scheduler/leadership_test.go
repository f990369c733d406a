package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestNewLeaderAdoptsRuns guards against jobs that are not scheduled after the loss
// of a leader, and against a new leader that starts tasks again although they still
// run.
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
		t.Errorf("%d starts of 8 tasks, want 8", starts)
	}
}

// TestStrongHostLeads guards against a weak host that leads although stronger hosts
// are available: it must release leadership when challenged, and let stronger hosts
// take over vacant leadership first.
func TestStrongHostLeads(t *testing.T) {
	sim := newSimulation(t, 0, 2)
	weak := sim.addHostWith("weak", 0.1)
	sim.waitForLeader()
	strong := []*fakeHost{sim.addHost("strong1"), sim.addHost("strong2")}
	sim.waitFor(challengeDelay+2*time.Second, "a strong leader", func() bool {
		h := sim.leader()
		return h != nil && h != weak && h.state.leaderOf(0).isLoaded()
	})
	for range 4 {
		for i := range 6 {
			sim.addHostWith(fmt.Sprintf("weak%d", i), 0.1)
		}
		h := sim.leader()
		h.kill()
		sim.advance(leaderLease + 2*time.Second)
		if got := sim.leader(); got != strong[0] && got != strong[1] {
			t.Fatalf("leader is %v, want strong1 or strong2", got)
		}
		h.start()
	}
	strong[0].kill()
	strong[1].kill()
	sim.waitFor(leaderLease+weakTakeoverDelay+2*time.Second, "takeover by a weak host after the loss of all strong hosts", func() bool { return sim.leader() != nil })
}

// TestTakeoverWithoutAnswer guards against a pause until the lease expires after a
// takeover whose answer was lost: the host must detect from the rows that it is the
// leader.
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
		t.Fatalf("%d answers of takeovers were lost, want 1", lost)
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestUnclaimedJobsStartAtOnce guards against delayed starts of jobs that no former
// leader has claimed: after the loss of a leader, they must not wait for unreachable
// workers.
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
	if len(sim.leader().state.leaderOf(0).unreconciled) == 0 {
		t.Error("no worker is unreconciled, so the test shows nothing")
	}
}

// TestFrozenLeaderStepsDown guards against a leader that sends commands after it was
// frozen until its lease had expired and another host had taken over.
func TestFrozenLeaderStepsDown(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(8, 3*time.Second, 1000))
	sim.advance(500 * time.Millisecond)
	old := sim.leader()
	old.frozen = true
	sim.advance(6 * time.Second)
	old.thaw()
	sim.submitAndWait(sim.hosts[1], jobB, singleStepJob(4, time.Second, 1000))
	sim.waitFor(12*time.Second, "completion", func() bool {
		return sim.jobState(jobA) == structs.JobCompleted && sim.jobState(jobB) == structs.JobCompleted
	})
}

// TestLateCommitDoesNotRevert guards against a commit that the store performs late
// and that overwrites newer rows.
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
		t.Errorf("a commit was late: %v, want true; job state %s, want completed", lost, sim.jobState(jobA))
	}
}
