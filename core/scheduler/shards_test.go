package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestShardsSpreadOverHosts guards against one host that leads all shards, and against
// shards without workers or with workers of other shards.
func TestShardsSpreadOverHosts(t *testing.T) {
	sim := newShardedSimulation(t, 4, 12, 4)
	sim.waitForLeader()
	if got := sim.shards(); got != 3 {
		t.Fatalf("%d shards for 12 workers, want 3", got)
	}
	for _, h := range sim.hosts {
		if n := len(h.state.leaders); n > 1 {
			t.Errorf("%s leads %d of 3 shards, want at most 1 of 4 hosts", h.name, n)
		}
		for _, l := range h.state.leaders {
			if len(l.workers) != 4 {
				t.Errorf("%v has %d workers, want 4", l.shard, len(l.workers))
			}
		}
	}
}

// TestJobsOfAllShards guards against jobs that are not found, not cancelled or not
// completed because another host leads their shard.
func TestJobsOfAllShards(t *testing.T) {
	sim := newShardedSimulation(t, 3, 6, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	const jobs = 24
	shards := make(map[int]bool)
	id := func(i int) string { return fmt.Sprintf("%016x", i+1) }
	for i := range jobs {
		job := singleStepJob(2, time.Second, 500)
		if i%3 == 0 {
			job.Steps[0].Persistent = true
		}
		sim.submitAndWait(sim.hosts[i%3], id(i), job)
		row, _ := sim.store.get(TableJobs, id(i)).(JobRow)
		shards[row.Shard] = true
	}
	if len(shards) != 3 {
		t.Errorf("jobs were accepted for %d shards, want 3", len(shards))
	}
	sim.advance(4 * time.Second)
	for i := range jobs {
		req := sim.request(sim.hosts[(i+1)%3], RequestState, "/q/"+id(i))
		sim.advance(50 * time.Millisecond)
		want := structs.JobCompleted
		if i%3 == 0 {
			want = structs.JobRunning
		}
		if a := sim.answers[req]; a.State != want {
			t.Errorf("job %d: answer %+v, want state %s", i, a, want)
		}
	}
	for i := 0; i < jobs; i += 3 {
		req := sim.request(sim.hosts[(i+2)%3], RequestCancel, "/q/"+id(i))
		sim.waitFor(time.Second, "the answer to a cancellation", func() bool { return sim.answers[req].Status == AnswerOK })
	}
	sim.waitFor(3*time.Second, "the end of cancelled runs", func() bool {
		for i := 0; i < jobs; i += 3 {
			if sim.jobState(id(i)) != structs.JobCancelled || sim.workerRunning(structs.TaskRef{Job: structs.JobID(id(i))}) != nil {
				return false
			}
		}
		return true
	})
	req := sim.request(sim.hosts[0], RequestState, "/q/")
	sim.advance(time.Second)
	if a := sim.answers[req]; a.Status != AnswerOK || !a.HasQueueLength || a.QueueLength != 0 {
		t.Errorf("answer %+v, want an empty queue", a)
	}
}

// TestLossOfOneLeaderKeepsOtherShards guards against a lost leader that interrupts
// other shards, and against a shard that is left without a leader.
func TestLossOfOneLeaderKeepsOtherShards(t *testing.T) {
	sim := newShardedSimulation(t, 3, 6, 2)
	sim.waitForLeader()
	epochs := make(map[ShardID]structs.Epoch)
	for id := range ShardID(3) {
		epochs[id] = sim.leaderOf(id).state.leaderOf(id).epoch
	}
	sim.leaderOf(1).kill()
	// The lease, its margin, and two polls by hosts that each lead a shard.
	limit := leaderLease + leaderLeaseMargin + 2*(vacancyPollInterval+busyTakeoverDelay)
	sim.waitFor(limit, "another leader", func() bool {
		h := sim.leaderOf(1)
		return h != nil && h.state.leaderOf(1).isLoaded()
	})
	for id := range ShardID(3) {
		got := sim.leaderOf(id).state.leaderOf(id).epoch
		if want := epochs[id]; id != 1 && got != want {
			t.Errorf("%v is led in epoch %d, want %d as before", id, got, want)
		}
	}
}

// TestIdleHostTakesVacantShard guards against a host that leads a shard and takes
// another one while an idle host could.
func TestIdleHostTakesVacantShard(t *testing.T) {
	sim := newShardedSimulation(t, 4, 6, 2)
	sim.waitForLeader()
	for round := range 9 {
		lost := sim.leaderOf(ShardID(round % 3))
		lost.kill()
		sim.advance(leaderLease + leaderLeaseMargin + 2*vacancyPollInterval)
		for _, h := range sim.hosts {
			if n := len(h.state.leaders); h.alive && n != 1 {
				t.Errorf("round %d: %s leads %d shards, want 1", round, h.name, n)
			}
		}
		lost.start()
		sim.advance(3 * time.Second)
	}
}

// TestIdleHostTakesShard guards against a host that keeps two shards although another
// host leads none.
func TestIdleHostTakesShard(t *testing.T) {
	sim := newShardedSimulation(t, 1, 4, 2)
	sim.waitForLeader()
	idle := sim.addHost("idle")
	sim.waitFor(challengeDelay+4*time.Second, "a shard led by the idle host", func() bool {
		return len(idle.state.leaders) == 1 && idle.state.leaders[0].isLoaded()
	})
	sim.advance(3 * challengeDelay)
	if a, b := len(sim.hosts[0].state.leaders), len(idle.state.leaders); a != 1 || b != 1 {
		t.Errorf("the hosts lead %d and %d shards, want 1 each", a, b)
	}
}

// fillShard fills the workers of shard 0 with a persistent job, and returns a job that
// only the other shard has room for.
func fillShard(sim *simulation) structs.Job {
	sim.t.Helper()
	full := singleStepJob(2, time.Second, 8000)
	full.Steps[0].Persistent = true
	sim.addJob(jobA, full, 0)
	sim.waitFor(2*time.Second, "a full shard", func() bool {
		return sim.workerRunning(structs.TaskRef{Job: jobA, Index: 1}) != nil && sim.workerRunning(structs.TaskRef{Job: jobA}) != nil
	})
	sim.advance(2 * loadInterval)
	return singleStepJob(2, 200*time.Millisecond, 4000)
}

// addJob stores a job for a shard, as a host with outdated loads does.
func (sim *simulation) addJob(id string, job structs.Job, shard ShardID) {
	job.ID, job.Queue, job.Shard, job.SubmittedMS = structs.JobID(id), queueName, int(shard), sim.wall()
	sim.submittedJobs[job.ID] = job
	sim.store.set(TableJobs, id, JobRow{job})
}

// TestJobMovesToShardWithRoom guards against a job that waits in a full shard for more
// than the three seconds within which it must start when there is room elsewhere.
func TestJobMovesToShardWithRoom(t *testing.T) {
	const startLimit = 3 * time.Second
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.addJob(jobB, fillShard(sim), 0)
	sim.waitFor(startLimit, "the start in the other shard", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobB}) != nil })
	sim.waitFor(2*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	sim.advance(time.Second)
	if row := sim.store.rows[fakeRowID{TableProgress, ShardID(0).partition(), jobB}]; row.Value != nil {
		t.Errorf("the former shard keeps %+v", row.Value)
	}
}

// TestClaimedJobMovesToShardWithRoom guards against a job that waits for good in a shard that
// has lost its workers, because its leader has claimed the job and ordered a start.
func TestClaimedJobMovesToShardWithRoom(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	plan := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	var lost []*fakeWorker
	for _, f := range sim.workers {
		if plan.Racks[f.rack] == 0 {
			lost = append(lost, f)
			f.onStart = func(StartTask) startOutcome {
				for _, f := range lost {
					f.crash()
					sim.store.set(TableWorkers, string(f.id), nil)
				}
				return startLost
			}
		}
	}
	sim.addJob(jobB, singleStepJob(1, time.Second, 1000), 0)
	sim.waitFor(maxLeaseDuration(testBounds)+5*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
}

// TestMoveSurvivesLossOfLeader guards against a job without a shard, or with two, when
// the leader is lost between the two transactions of a move, or when the second has no
// answer and is performed late while the former shard has room again.
func TestMoveSurvivesLossOfLeader(t *testing.T) {
	for name, outcome := range map[string]int{"leader lost": commitAnswered, "no answer": commitUnanswered, "late": commitLate} {
		t.Run(name, func(t *testing.T) {
			sim := newShardedSimulation(t, 3, 4, 2)
			sim.waitForLeader()
			job := fillShard(sim)
			seen := false
			sim.store.commitOutcome = func(h *fakeHost, e Commit) int {
				for _, write := range e.Writes {
					p, isProgress := write.Value.(ProgressRow)
					if outcome == commitAnswered && isProgress && p.Moving && !seen {
						seen = true
						sim.after(storeDelay+time.Millisecond, h.kill) // stored, but the job row is not written
					}
					if row, ok := write.Value.(JobRow); ok && row.Shard == 1 && outcome != commitAnswered && !seen {
						seen = true
						sim.request(sim.hosts[2], RequestCancel, "/q/"+jobA) // the former shard has room again
						return outcome
					}
				}
				return commitAnswered
			}
			sim.addJob(jobB, job, 0)
			sim.waitFor(12*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
			sim.advance(5 * time.Second)
			if !seen {
				t.Error("no move was disturbed, so the test shows nothing")
			}
		})
	}
}

// TestCancelFollowsMovedJob guards against a cancellation that only the former shard
// of a job sees.
func TestCancelFollowsMovedJob(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	job := fillShard(sim)
	job.Spec = time.Hour.String()
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if row, ok := write.Value.(JobRow); ok && row.Shard == 1 {
				return commitLate // the other shard sees the cancellation first
			}
		}
		return commitAnswered
	}
	sim.addJob(jobB, job, 0)
	sim.waitFor(3*time.Second, "a marked move", func() bool {
		p, _ := sim.store.rows[fakeRowID{TableProgress, 0, jobB}].Value.(ProgressRow)
		return p.Moving
	})
	req := sim.request(sim.hosts[0], RequestCancel, "/q/"+jobB)
	sim.waitFor(time.Second, "confirmation", func() bool { return sim.answers[req].Status == AnswerOK })
	sim.waitFor(5*time.Second, "the cancelled state", func() bool { return sim.jobState(jobB) == structs.JobCancelled })
	sim.advance(time.Second)
	if sim.workerRunning(structs.TaskRef{Job: jobB}) != nil {
		t.Error("a task of the cancelled job runs")
	}
}

// TestGrowingDeploymentAddsShards guards against workers that change their shard when
// shards are added: they would refuse the commands of a leader with a lower epoch.
func TestGrowingDeploymentAddsShards(t *testing.T) {
	sim := newShardedSimulation(t, 3, 2, 2)
	sim.waitForLeader()
	sim.leader().kill() // the next leader of shard 0 has a higher epoch than those of new shards
	sim.waitForLeader()
	before, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("x%02d", i))
		sim.advance(200 * time.Millisecond)
	}
	sim.waitForLeader()
	after, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	if after.Shards != 3 {
		t.Errorf("%d shards for 6 workers, want 3", after.Shards)
	}
	for rack, shard := range before.Racks {
		if got, ok := after.Racks[rack]; !ok || got != shard {
			t.Errorf("rack %s moved from %v to %v (assigned: %v)", rack, shard, got, ok)
		}
	}
	for i := range 12 {
		sim.submitAndWait(sim.hosts[1], fmt.Sprintf("%016x", i+1), singleStepJob(2, 100*time.Millisecond, 4000))
	}
	for i := range 12 {
		sim.waitFor(5*time.Second, "completion", func() bool { return sim.jobState(fmt.Sprintf("%016x", i+1)) == structs.JobCompleted })
	}
}

// TestDeploymentWithoutPlanKeepsOneShard guards against workers that a former version
// used under the epochs of its single leader and that are given to other shards.
func TestDeploymentWithoutPlanKeepsOneShard(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 0)
	sim.waitForLeader()
	sim.store.version++
	sim.store.put(fakeRowID{TableShards, 0, KeyPlan}, nil)
	for _, h := range sim.hosts {
		h.kill()
	}
	sim.shardWorkers = 2
	sim.advance(3 * time.Second)
	for _, h := range sim.hosts {
		h.start()
	}
	sim.waitForLeader()
	plan, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for rack, shard := range plan.Racks {
		if shard != 0 {
			t.Errorf("rack %s was given to %v", rack, shard)
		}
	}
}

// TestPlanWaitsForWorkers guards against a number of shards that follows the first few
// entries of a list of workers that fills while the first leader reads it.
func TestPlanWaitsForWorkers(t *testing.T) {
	sim := newShardedSimulation(t, 2, 1, 4)
	for i := range 11 {
		sim.after(time.Duration(i)*150*time.Millisecond, func() { sim.addWorker(fmt.Sprintf("x%02d", i)) })
	}
	sim.advance(2 * time.Second)
	sim.waitForLeader()
	if got := sim.shards(); got != 3 {
		t.Errorf("%d shards for 12 workers, want 3", got)
	}
}

// TestPlansInFlight guards against racks that a plan in flight has assigned and that the
// next plan assigns anew, with other sizes of the shards: two leaders would command
// their workers. The store checks each plan against the one before.
func TestPlansInFlight(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	sim.store.commitTime = 400 * time.Millisecond
	racks := []string{"z0", "y0", "x0", "w0"}
	for _, rack := range racks {
		f := sim.addWorker("worker of " + rack)
		f.rack = rack
		f.writeEntry(false)
		sim.advance(workerWatchDelay / 2)
	}
	sim.advance(5 * time.Second)
	after, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for _, rack := range racks {
		if _, ok := after.Racks[rack]; !ok {
			t.Errorf("rack %s is in no shard", rack)
		}
	}
}

// TestSlowStoreKeepsLeaders guards against loads of many shards that hold up the commits
// of a leader while the store is slow, so that its lease expires: a partition performs
// 2.5 transactions a second, and five shards write their loads.
func TestSlowStoreKeepsLeaders(t *testing.T) {
	sim := newShardedSimulation(t, 6, 10, 2)
	sim.waitForLeader()
	sim.advance(2 * time.Second)
	epochs := make(map[ShardID]structs.Epoch)
	for id := range ShardID(5) {
		epochs[id] = sim.leaderOf(id).state.leaderOf(id).epoch
	}
	sim.store.commitTime = 400 * time.Millisecond
	sim.advance(10 * time.Second)
	sim.store.commitTime = 0
	sim.advance(2 * time.Second)
	for id := range ShardID(5) {
		if h := sim.leaderOf(id); h == nil || h.state.leaderOf(id).epoch != epochs[id] {
			t.Errorf("%v changed its leader while the store was slow", id)
		}
	}
}
