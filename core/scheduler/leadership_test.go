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

// TestChangesOfLeaderDoNotProlongWait guards against tasks of a lost worker that stay down
// for as long as leaders follow each other: each of them waited anew until the worker's
// lease had certainly run out.
func TestChangesOfLeaderDoNotProlongWait(t *testing.T) {
	sim := newSimulation(t, 4, 4)
	sim.waitForLeader()
	job := singleStepJob(8, 200*time.Millisecond, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	running := func() (n int) {
		for _, f := range sim.workers {
			n += len(f.runs)
		}
		return n
	}
	sim.waitFor(5*time.Second, "starts", func() bool { return running() == 8 })
	sim.advance(3 * time.Second)
	lost := sim.workerRunning(structs.TaskRef{Job: jobA})
	lost.crash()
	sim.store.set(TableWorkers, string(lost.id), nil)
	const changes, between = 5, 2500 * time.Millisecond
	began := sim.now
	for range changes {
		sim.advance(between)
		h := sim.leader()
		h.deliver(StopRequested{})
		sim.after(time.Second, h.start)
		if running() == 8 {
			break
		}
	}
	if got, limit := sim.now-began, maxLeaseDuration(testBounds)+between+time.Second; running() != 8 || got > limit {
		t.Errorf("%d of 8 tasks run %v after the loss, want all within %v", running(), got, limit)
	}
}

// lostAndPublished returns a worker with runs of a persistent job that nobody reaches any
// more, once the store tells when its runs end.
func (sim *simulation) lostAndPublished() *fakeWorker {
	sim.t.Helper()
	sim.waitForLeader()
	job := singleStepJob(4, 200*time.Millisecond, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.advance(3 * time.Second)
	f := sim.workerRunning(structs.TaskRef{Job: jobA})
	f.disconnected = true
	sim.waitFor(6*time.Second, "a published end", func() bool { return sim.publishedEnd(f) > 0 })
	return f
}

// publishedEnd returns when the runs of a worker end, as the store tells; 0: it does not.
func (sim *simulation) publishedEnd(f *fakeWorker) int64 {
	u, _ := sim.store.get(TableControl, KeyUsedWorkers).(UsedWorkersRow)
	return u.RunsEndMS[f.id]
}

// TestLeaseAfterPublishedEnd guards against a worker whose lease is never renewed again
// after it did not answer for a while.
func TestLeaseAfterPublishedEnd(t *testing.T) {
	sim := newSimulation(t, 3, 2)
	f := sim.lostAndPublished()
	f.disconnected = false
	sim.waitFor(3*time.Second, "the removal of the published end", func() bool { return sim.publishedEnd(f) == 0 })
	sim.advance(2 * workerLease)
	if len(f.runs) == 0 {
		t.Error("the worker's lease has run out")
	}
}

// TestNoLeaseBeforeEndIsRemoved guards against a second run of a task: the next leader
// relies on the stored end of a worker's runs, so that the lease of a worker that answers
// again must not be renewed while the store still has it.
func TestNoLeaseBeforeEndIsRemoved(t *testing.T) {
	sim := newSimulation(t, 3, 2)
	f := sim.lostAndPublished()
	sim.store.refuseCommits = true
	f.disconnected = false
	sim.advance(1500 * time.Millisecond)
	sim.leader().kill()
	sim.store.refuseCommits = false
	f.disconnected = true // its runs go on until the lease runs out
	sim.advance(leaderLease + maxLeaseDuration(testBounds) + 3*time.Second)
	if sim.leader() == nil { // the oracle fails the test if a task runs twice
		t.Error("no leader")
	}
}

// TestWorkerIsAskedBeforeItsRunsAreGivenUp guards against tasks that run again although they
// are done: a leader that takes long to read its state must not give up a worker's runs
// after a single sync without an answer, although their lease has run out by then.
func TestWorkerIsAskedBeforeItsRunsAreGivenUp(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(6, 3*time.Second, 1000))
	sim.waitFor(time.Second, "starts", func() bool { return len(sim.workers["w00"].runs)+len(sim.workers["w01"].runs) == 6 })
	sim.leader().kill()
	sim.waitFor(8*time.Second, "a takeover", func() bool { return sim.leader() != nil })
	l := sim.leader().state.leaderOf(0)
	l.tookOverAt -= 2 * maxLeaseDuration(testBounds) // as if the state had been read for long
	f := sim.workers["w00"]
	f.disconnected = true
	sim.advance(syncTimeoutSlack + 500*time.Millisecond)
	f.disconnected = false
	sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if n := f.starts + sim.workers["w01"].starts; n != 6 {
		t.Errorf("%d starts of 6 tasks", n)
	}
}
