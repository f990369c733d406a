package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// lostLimit is how long a task of a persistent job may be without a run while there is
// room for it on any worker.
const lostLimit = 6 * time.Second

// persistentJob returns a job of one persistent step.
func persistentJob(count int, milliCores int64) structs.Job {
	job := singleStepJob(count, 100*time.Millisecond, milliCores)
	job.Steps[0].Persistent = true
	return job
}

// runningTasks returns how many tasks of a job of one step run.
func (sim *simulation) runningTasks(id string) int {
	n := 0
	for index := range sim.submittedJobs[structs.JobID(id)].Steps[0].Count {
		if sim.workerRunning(structs.TaskRef{Job: structs.JobID(id), Index: index}) != nil {
			n++
		}
	}
	return n
}

// TestTasksFindRoomInOtherShard guards against tasks of a persistent job that wait in a
// full shard although another one has room, at its start and after the loss of a worker.
func TestTasksFindRoomInOtherShard(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.addJob(jobA, persistentJob(6, 4000), 0) // two workers have room for four of its tasks
	sim.waitFor(lostLimit, "the start of all tasks", func() bool { return sim.runningTasks(jobA) == 6 })
	for _, f := range sim.workers {
		if f.rack == "r0" {
			f.crash()
			break
		}
	}
	sim.waitFor(maxLeaseDuration(testBounds)+lostLimit, "the start of the tasks of a lost worker", func() bool { return sim.runningTasks(jobA) == 6 })
	req := sim.request(sim.hosts[1], RequestCancel, "/q/"+jobA)
	sim.waitFor(time.Second, "confirmation", func() bool { return sim.answers[req].Status == AnswerOK })
	sim.waitFor(2*time.Second, "the end of the runs in both shards", func() bool { return sim.runningTasks(jobA) == 0 })
	sim.advance(testBounds.FinalStateRetention + 2*keepStateMargin)
	for id := range sim.store.rows {
		if (id.table == TableJobs || id.table == TableProgress) && (id.key == jobA || isPartKey(id.key, jobA)) {
			t.Errorf("row %v was not removed", id)
		}
	}
}

// TestGivenTasksSurviveLossOfLeaders guards against tasks that no shard schedules, or
// that two do, when leaders are lost around the two transactions that give them away.
func TestGivenTasksSurviveLossOfLeaders(t *testing.T) {
	for name, lost := range map[string]struct {
		afterList, afterRow bool
		rowOutcome          int
	}{
		"after the list":    {afterList: true},
		"after the row":     {afterRow: true},
		"row without reply": {rowOutcome: commitUnanswered},
		"row late":          {rowOutcome: commitLate},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newShardedSimulation(t, 3, 4, 2)
			sim.waitForLeader()
			seen := false
			sim.store.commitOutcome = func(h *fakeHost, e Commit) int {
				for _, write := range e.Writes {
					p, isProgress := write.Value.(ProgressRow)
					row, isRow := write.Value.(JobRow)
					switch {
					case seen:
					case isProgress && len(p.Given) > 0 && lost.afterList, isRow && row.Part != nil && lost.afterRow:
						seen = true
						sim.after(storeDelay+time.Millisecond, h.kill)
					case isRow && row.Part != nil && lost.rowOutcome != commitAnswered:
						seen = true
						return lost.rowOutcome
					}
				}
				return commitAnswered
			}
			sim.addJob(jobA, persistentJob(6, 4000), 0)
			sim.waitFor(leaderLease+2*lostLimit, "the start of all tasks", func() bool { return sim.runningTasks(jobA) == 6 })
			for id := range ShardID(2) {
				sim.waitForLeader()
				sim.leaderOf(id).kill()
				sim.waitFor(10*time.Second, "another leader", func() bool { return sim.leaderOf(id) != nil })
				for _, h := range sim.hosts {
					if !h.alive {
						h.start()
					}
				}
			}
			sim.advance(10 * time.Second)
			if got := sim.runningTasks(jobA); got != 6 || !seen {
				t.Errorf("%d tasks run, want 6; a transaction was disturbed: %v", got, seen)
			}
		})
	}
}

// TestGivenTaskComesBack guards against a task that waits for good in a shard that has lost its
// room, while the shard that gave the task away has room again; also when leaders are lost on
// the way. Each shard loses and regains its workers in turn.
func TestGivenTaskComesBack(t *testing.T) {
	for name, loseLeaders := range map[string]bool{"leaders stay": false, "leaders are lost": true} {
		t.Run(name, func(t *testing.T) {
			sim := newShardedSimulation(t, 3, 4, 2)
			sim.waitForLeader()
			sim.advance(time.Second)
			sim.addJob(jobA, persistentJob(2, 4000), 0)
			sim.waitFor(startLimit, "the start of both tasks", func() bool { return sim.runningTasks(jobA) == 2 })
			plan := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
			for round := range 4 {
				lost := ShardID(round % 2)
				for _, f := range sim.workers {
					if plan.Racks[f.rack] == lost {
						f.crash()
						sim.store.set(TableWorkers, string(f.id), nil)
					} else if !f.alive {
						f.boot()
					}
				}
				if loseLeaders {
					h := sim.leaderOf(lost)
					sim.after(maxLeaseDuration(testBounds)+revisitDelay, func() {
						h.kill()
						sim.after(100*time.Millisecond, h.start)
					})
				}
				limit := maxLeaseDuration(testBounds) + lostLimit
				if loseLeaders {
					limit += leaderLease + lostLimit
				}
				sim.waitFor(limit, fmt.Sprintf("the start in the other shard, round %d", round), func() bool { return sim.runningTasks(jobA) == 2 })
				sim.advance(time.Second)
			}
			for _, f := range sim.workers {
				if !f.alive {
					f.boot()
				}
			}
			req := sim.request(sim.hosts[1], RequestCancel, "/q/"+jobA)
			sim.waitFor(time.Second, "confirmation", func() bool { return sim.answers[req].Status == AnswerOK })
			sim.waitFor(2*time.Second, "the end of the runs", func() bool { return sim.runningTasks(jobA) == 0 })
			sim.advance(testBounds.FinalStateRetention + 2*keepStateMargin)
			for id := range sim.store.rows {
				if (id.table == TableJobs || id.table == TableProgress) && (id.key == jobA || isPartKey(id.key, jobA)) {
					t.Errorf("row %v was not removed", id)
				}
			}
		})
	}
}

// TestFullShardKeepsRoomOfFailedTask guards against a persistent task whose room is taken
// by other tasks while it waits for its retry.
func TestFullShardKeepsRoomOfFailedTask(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(1, 8000))
	sim.waitFor(time.Second, "the start", func() bool { return sim.runningTasks(jobA) == 1 })
	for i := range 8 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i+1), singleStepJob(1, 10*time.Second, 1000))
	}
	f := sim.workers["w00"]
	for _, r := range f.sortedRuns() {
		f.endRun(r, structs.EndFailed, "")
	}
	sim.waitFor(time.Second, "the next run", func() bool { return sim.runningTasks(jobA) == 1 })
}
