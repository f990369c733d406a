package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// moveDelay is how long a job waits for room in its shard before it is given to
	// another one. It is well below the three seconds within which a waiting job must
	// start when there is room elsewhere.
	moveDelay = 600 * time.Millisecond
	// moveInterval separates searches for jobs to move.
	moveInterval = 200 * time.Millisecond
	// maxMoves bounds how often a job moves, and maxMovesAtOnce how many jobs a shard
	// gives away between two reports of the loads.
	maxMoves       = 3
	maxMovesAtOnce = 8
)

// A job moves between shards in two transactions, since they are in two partitions.
// The first, conditional on the leader's lease, marks the progress as moving: no
// leader of this shard ever starts a task of the job from then on. The second names
// the new shard in the job row, if the row has not changed, and makes its leader see
// the job. A leader that finds a job marked as moving repeats the second. Only jobs
// move of which no run exists anywhere and none has had an effect, so that the other
// shard starts them from the beginning.

// moveLoop gives jobs that find no room, or tasks of them, to shards with room.
func (l *leaderState) moveLoop() {
	l.after(moveInterval, l.moveLoop)
	if !l.isLoaded() || !l.leaseValid() || l.state.shards.count() == 1 {
		return
	}
	now := l.state.now
	room := l.otherLoads()
	moved := 0
	for _, j := range l.waitingJobs(now) {
		if moved == maxMovesAtOnce {
			return
		}
		if j.canBeDivided() {
			if now-j.waitingSince >= divideDelay && l.giveWaitingTasks(j, room) {
				moved++
			}
			continue
		}
		if !l.isUntouched(j) || now-max(j.admittedAt, j.lastRunEndedAt) < moveDelay || len(j.MovedFrom) >= maxMoves {
			continue
		}
		if target, ok := l.shardWithRoom(j, room); ok {
			moved++
			l.startMove(j, target)
		}
	}
}

// isUntouched reports whether no run of a job exists and none has had an effect. Of a job that
// a former leader claimed, a run may exist until the workers that it used are reconciled.
func (l *leaderState) isUntouched(j *job) bool {
	if j.ClaimEpoch == 0 {
		return true
	}
	reconciled := !j.inherited || len(l.unreconciled) == 0
	return reconciled && j.activeRuns == 0 && len(j.Done) == 0 && len(j.Failures) == 0 && len(j.Checkpoints) == 0 && len(j.Given) == 0
}

// otherLoads returns a copy of the recent loads of the other shards.
func (l *leaderState) otherLoads() map[ShardID]map[string]ServiceLoad {
	v := &l.state.shards
	loads := make(map[ShardID]map[string]ServiceLoad)
	for id := range ShardID(v.count()) {
		load, ok := v.loads[id]
		if id == l.shard || !ok || load.AtMS == 0 || v.age(load, l.state.now) > leaderSilence {
			continue
		}
		services := make(map[string]ServiceLoad, len(load.Services))
		for name, s := range load.Services {
			services[name] = s
		}
		loads[id] = services
	}
	return loads
}

// shardWithRoom returns the shard with the most room for a job among those that have
// not had it, and subtracts the job from its room.
func (l *leaderState) shardWithRoom(j *job, loads map[ShardID]map[string]ServiceLoad) (ShardID, bool) {
	service := l.state.config.policyOf(&j.Job).Service
	step := &j.Steps[0]
	best, bestRoom := ShardID(-1), int64(0)
	for id := range ShardID(l.state.shards.count()) {
		load, ok := loads[id][service]
		row := l.state.shards.loads[id]
		if !ok || slices.Contains(j.MovedFrom, int(id)) || !row.hasLabels(&j.Job, false) {
			continue
		}
		if room := load.roomFor(step); room >= 0 && (best < 0 || room > bestRoom) {
			best, bestRoom = id, room
		}
	}
	if best < 0 {
		return 0, false
	}
	load := loads[best][service]
	load.subtract(step, step.Count)
	loads[best][service] = load
	return best, true
}

// startMove marks a job as moving. The move goes on once the mark is stored.
func (l *leaderState) startMove(j *job, to ShardID) {
	j.Moving, j.MovingTo = true, int(to)
	l.markDirty(j)
	l.state.logDecision(Decision{Part: "job", Action: "moves to another shard", Subject: string(j.ID), Where: to.String(), Reason: "no room in " + l.shard.String(), Age: l.state.now - j.submittedAt})
}

// continueMove names the new shard in the job row.
func (l *leaderState) continueMove(j *job) {
	if j.moveInFlight || l.jobs[j.ID] != j {
		return
	}
	j.moveInFlight = true
	row := j.Job
	row.Shard, row.MovedFrom = j.MovingTo, append(slices.Clone(j.MovedFrom), int(l.shard))
	partition := jobPartition(j.ID)
	l.state.commit(Commit{
		Conditions: []Condition{{TableJobs, partition, string(j.ID), j.rowVersion}},
		Writes:     []Write{{TableJobs, partition, string(j.ID), JobRow{row}}},
	}, func(c Committed) {
		j.moveInFlight = false
		if l.steppedDown {
			return
		}
		if c.Outcome == structs.OutcomeDone || len(c.Conflicts) > 0 {
			// After a conflict, the row has been changed by an earlier attempt: nobody
			// else changes it.
			l.forgetMoved(j)
			return
		}
		if c.Rejected {
			l.state.logDecision(Decision{Part: "store", Action: "row rejected, dropped", Subject: string(j.ID), Where: TableJobs.String()})
			return
		}
		l.after(storeRetryDelay, func() { l.continueMove(j) })
	})
}

// forgetMoved drops a job that belongs to another shard now, and removes its mark.
func (l *leaderState) forgetMoved(j *job) {
	delete(l.jobs, j.ID)
	delete(l.commits.dirtyJobs, j.ID)
	l.openJobs = slices.DeleteFunc(l.openJobs, func(o *job) bool { return o == j })
	l.commits.removedProgress = append(l.commits.removedProgress, j.progressKeys()...)
}
