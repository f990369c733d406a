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
	w := newWorld(t, 3, 4)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(8, 6*time.Second, 1000))
	w.run(time.Second)
	w.leader().kill()
	w.until(12*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	starts := 0
	for _, f := range w.workers {
		starts += f.starts
	}
	if starts != 8 {
		t.Errorf("%d starts of 8 tasks", starts)
	}
}

// Guards against a host that cannot carry the work and leads while stronger hosts
// are there: it gives the lead up when asked, and yields to them when it is vacant.
func TestStrongHostLeads(t *testing.T) {
	w := newWorld(t, 0, 2)
	weak := w.addHostOf("weak", 0.1)
	w.settled()
	strong := []*fakeHost{w.addHost("strong1"), w.addHost("strong2")}
	w.until(challengeAfter+2*time.Second, "a strong leader", func() bool {
		h := w.leader()
		return h != nil && h != weak && h.state.leader.isLoaded()
	})
	for range 4 {
		for i := range 6 {
			w.addHostOf(fmt.Sprintf("weak%d", i), 0.1)
		}
		h := w.leader()
		h.kill()
		w.run(leadLease + 2*time.Second)
		if got := w.leader(); got != strong[0] && got != strong[1] {
			t.Fatalf("%v leads", got)
		}
		h.start()
	}
	strong[0].kill()
	strong[1].kill()
	w.until(leadLease+leadYield+2*time.Second, "a weak leader where no other host is left", func() bool { return w.leader() != nil })
}

// Guards against a takeover that took effect without an answer being given up, so
// that nobody schedules until its lease has run out.
func TestTakeoverWithoutAnswer(t *testing.T) {
	w := newWorld(t, 0, 1)
	lost := 0
	w.store.lose = func(_ *fakeHost, c Commit) int {
		for _, write := range c.Writes {
			if write.Key == KeyLeader && lost == 0 {
				lost++
				return commitUnanswered
			}
		}
		return commitAnswered
	}
	w.addHost("host0")
	w.until(commitTimeout+leadPoll*2, "a leader", func() bool { return w.leader() != nil })
	if lost != 1 {
		t.Fatalf("%d answers lost", lost)
	}
	w.accepted(w.hosts[0], jobA, oneStep(1, 100*time.Millisecond, 1000))
	w.until(3*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
}

// Guards against jobs that no leader has started waiting, after a loss of the
// leader, for workers that cannot be reached.
func TestUnclaimedJobsStartAtOnce(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(3, time.Minute, 1000))
	w.until(time.Second, "all workers in use", func() bool {
		for i := range 3 {
			if w.running(structs.TaskRef{Job: jobA, Index: i}) == nil {
				return false
			}
		}
		return true
	})
	w.leader().kill()
	w.workers["w00"].cut = true
	alive := w.hosts[0]
	if !alive.alive {
		alive = w.hosts[1]
	}
	w.accepted(alive, jobB, oneStep(1, time.Second, 1000))
	w.until(leadLease+2*time.Second, "a leader", func() bool { return w.leader() != nil })
	w.until(time.Second, "the start of a job that no leader had claimed", func() bool {
		return w.running(structs.TaskRef{Job: jobB}) != nil
	})
	if len(w.leader().state.leader.unaccounted) == 0 {
		t.Error("the worker that cannot be reached is accounted for, so that nothing was shown")
	}
}

// Guards against a leader that acts after it was suspended beyond its lease.
func TestFrozenLeaderWakes(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(8, 3*time.Second, 1000))
	w.run(500 * time.Millisecond)
	old := w.leader()
	old.frozen = true
	w.run(6 * time.Second)
	old.thaw()
	w.accepted(w.hosts[1], jobB, oneStep(4, time.Second, 1000))
	w.until(12*time.Second, "completion", func() bool {
		return w.progress(jobA) == structs.JobCompleted && w.progress(jobB) == structs.JobCompleted
	})
}

// Guards against a commit that the store performs late and that overwrites a
// newer state.
func TestLateCommitDoesNotRevert(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settled()
	lost := false
	w.store.lose = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if p, ok := write.Value.(ProgressRow); ok && p.State == structs.JobRunning && !lost {
				lost = true
				return commitLate
			}
		}
		return commitAnswered
	}
	w.accepted(w.hosts[0], jobA, oneStep(2, 100*time.Millisecond, 1000))
	w.until(5*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	w.run(5 * time.Second)
	if !lost || w.progress(jobA) != structs.JobCompleted {
		t.Errorf("lost %v, state %s", lost, w.progress(jobA))
	}
}
