package scheduler

import (
	"testing"
	"time"
)

// claimInFlight returns a simulation of two shards in which the leader of shard 0 has claimed
// a waiting job, and the commit of the claim has no answer yet. Shard 1 has room.
func claimInFlight(t *testing.T, hosts, tasks int, work time.Duration, persistent bool) (*simulation, *fakeHost, *job) {
	t.Helper()
	sim := newShardedSimulation(t, hosts, 4, 2)
	sim.waitForLeader()
	h := sim.leaderOf(0)
	l := h.state.leaderOf(0)
	plan := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for _, f := range sim.workers {
		if plan.Racks[f.rack] == 0 {
			l.workers[f.id].pauseStarts(time.Hour)
			continue
		}
		sim.leaderOf(1).state.leaderOf(1).workers[f.id].pauseStarts(1900 * time.Millisecond)
	}
	sim.advance(500 * time.Millisecond)
	job := singleStepJob(tasks, work, 1000)
	job.Steps[0].Persistent = persistent
	sim.addJob(jobB, job, 0)
	sim.waitFor(time.Second, "the job", func() bool { return l.jobs[jobB] != nil })
	sim.advance(1300 * time.Millisecond)
	j := l.jobs[jobB]
	l.claim(j)
	h.deliver(TimerFired{})
	if !l.commits.inFlight {
		t.Fatal("no commit is in flight")
	}
	return sim, h, j
}

// storedProgress returns the progress of a job in shard 0 as the store has it.
func (sim *simulation) storedProgress(id string) ProgressRow {
	p, _ := sim.store.rows[fakeRowID{TableProgress, ShardID(0).partition(), id}].Value.(ProgressRow)
	return p
}

// TestMoveWaitsForMark guards against a job of two shards: an earlier commit of its progress
// counted as the stored mark of its move.
func TestMoveWaitsForMark(t *testing.T) {
	sim, h, j := claimInFlight(t, 2, 1, time.Second, false)
	h.state.leaderOf(0).startMove(j, 1)
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if row, ok := write.Value.(JobRow); ok && row.Shard == 1 && !sim.storedProgress(jobB).Moving {
				t.Error("the job row names the new shard before the mark is stored")
			}
		}
		return commitAnswered
	}
	sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobB) == "completed" })
}

// TestLateMoveRunsJobOnce guards against two runs of such a job: its leader is lost, the next
// one starts it, and the move is performed late.
func TestLateMoveRunsJobOnce(t *testing.T) {
	sim, h, j := claimInFlight(t, 3, 1, 20*time.Second, false)
	h.state.leaderOf(0).startMove(j, 1)
	sim.store.commitOutcome = func(by *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			row, isJob := write.Value.(JobRow)
			p, isProgress := write.Value.(ProgressRow)
			if by == h && (isJob && row.Shard == 1 || isProgress && p.Moving) {
				sim.after(time.Millisecond, h.kill)
				return commitLate
			}
		}
		return commitAnswered
	}
	sim.advance(10 * time.Second)
}

// TestPartWaitsForList guards against a part of a job that two shards run: an earlier commit
// of the progress counted as the stored list of its parts.
func TestPartWaitsForList(t *testing.T) {
	sim, h, j := claimInFlight(t, 2, 2, time.Second, true)
	h.state.leaderOf(0).giveTasks(j, 1, []int{1}, nil)
	written := false
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if row, ok := write.Value.(JobRow); ok && row.Part != nil {
				written = true
				if len(sim.storedProgress(jobB).Given) == 0 {
					t.Error("the part is written before the list of parts is stored")
				}
			}
		}
		return commitAnswered
	}
	sim.waitFor(2*time.Second, "the part", func() bool { return written })
}

// TestFinalStateWaitsForStore guards against a final state that counts as stored because an
// earlier commit of the progress succeeded.
func TestFinalStateWaitsForStore(t *testing.T) {
	sim, h, j := claimInFlight(t, 2, 1, time.Second, false)
	l := h.state.leaderOf(0)
	l.progressStored(j, sim.storedProgress(jobB).Progress)
	before := j.storedState
	j.State = "completed"
	l.progressStored(j, sim.storedProgress(jobB).Progress)
	if j.storedState != before {
		t.Errorf("stored state %q, want %q", j.storedState, before)
	}
}
