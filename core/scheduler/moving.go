package scheduler

import (
	"bytes"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// moveDelay is how long a job waits for room in its shard before it is given to
	// another one. It is well below the three seconds within which a waiting job must
	// start when there is room elsewhere.
	moveDelay = 600 * time.Millisecond
	// revisitDelay is the same for shards that have had the job since its last progress. It
	// doubles once the job has come back to one.
	revisitDelay = 1200 * time.Millisecond
	// maxMovesListed bounds the shards that are listed as having had a job.
	maxMovesListed = 8
	// moveInterval separates searches for jobs to move.
	moveInterval = 200 * time.Millisecond
	// maxMovesAtOnce bounds how many jobs a shard gives away between two reports of the loads.
	maxMovesAtOnce = 8
)

// A job moves between shards in two transactions, since they are in two partitions.
// The first, conditional on the leader's lease, marks the progress as moving: no
// leader of this shard ever starts a task of the job from then on. The second names
// the new shard in the job row, if the row has not changed, and makes its leader see
// the job. It contains the progress so far, and the new shard goes on from there. A
// leader that finds a job marked as moving repeats the second. A job moves only while
// no run of it exists anywhere.

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
		if target, ok := l.shardForJob(j, room); ok {
			moved++
			l.startMove(j, target)
		}
	}
}

// waitingStep is a step of a job whose turn has come.
type waitingStep struct {
	*structs.Step
	tasks  int           // that wait for a run
	waited time.Duration // since its turn has come and nothing of the job runs
}

// waitingSteps returns the steps of a job that may run and have waiting tasks.
func (l *leaderState) waitingSteps(j *job) []waitingStep {
	var steps []waitingStep
	idle := l.state.now - max(j.admittedAt, j.lastRunEndedAt)
	for occurrence, waiting := range j.waitingByStep {
		waited := idle
		if j.Repeat != nil {
			waited = min(idle, time.Duration(-l.untilDueMS(j, occurrence))*time.Millisecond)
		}
		for i, tasks := range waiting {
			if tasks > 0 && waited >= 0 && j.stepReady(occurrence, i) {
				steps = append(steps, waitingStep{&j.Steps[i], tasks, waited})
			}
		}
	}
	return steps
}

// shardForJob returns the shard that a job is to move to. It may move once a step has waited
// long enough and no task of the job runs.
func (l *leaderState) shardForJob(j *job, loads map[ShardID]map[string]ServiceLoad) (ShardID, bool) {
	if !l.isSettled(j) {
		return 0, false
	}
	for _, step := range l.waitingSteps(j) {
		if step.waited < moveDelay {
			continue
		}
		if target, ok := l.shardWithRoom(j, step, loads); ok {
			return target, true
		}
	}
	return 0, false
}

// isSettled reports whether no run of a job exists. Of a job that a former leader claimed, a
// run may exist until the workers that it used are reconciled.
func (l *leaderState) isSettled(j *job) bool {
	if j.ClaimEpoch == 0 {
		return true
	}
	reconciled := !j.inherited || len(l.unreconciled) == 0
	return reconciled && j.activeRuns == 0 && len(j.Given) == 0
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

// shardWithRoom returns the shard with the most room for the waiting tasks of a step, and
// subtracts them from its room. Once the step has waited longer, shards that have had the job
// since its last progress come into question, and those where something is free for a task
// although others wait.
func (l *leaderState) shardWithRoom(j *job, step waitingStep, loads map[ShardID]map[string]ServiceLoad) (ShardID, bool) {
	service := l.state.config.policyOf(&j.Job).Service
	revisits := step.waited >= j.revisitDelay()
	best, bestRoom := ShardID(-1), int64(0)
	for id := range ShardID(l.state.shards.count()) {
		load, ok := loads[id][service]
		row := l.state.shards.loads[id]
		if !ok || !row.hasLabel(step.Label) || !revisits && slices.Contains(j.MovedFrom, int(id)) {
			continue
		}
		hasRoom := load.roomFor(step.Step, step.tasks) >= 0
		if !hasRoom && (!revisits || step.Gang || load.freeSlots(step.Step) <= 0) {
			continue
		}
		if room := load.roomFor(step.Step, step.tasks); best < 0 || room > bestRoom {
			best, bestRoom = id, room
		}
	}
	if best < 0 {
		return 0, false
	}
	load := loads[best][service]
	load.assign(step.Step, step.tasks)
	loads[best][service] = load
	return best, true
}

// revisitDelay returns how long a step of the job has to wait before shards that have had the
// job come into question.
func (j *job) revisitDelay() time.Duration {
	if len(j.MovedFrom) > 1 {
		return 2 * revisitDelay
	}
	return revisitDelay
}

// startMove marks a job as moving. The move goes on once the mark is stored.
func (l *leaderState) startMove(j *job, to ShardID) {
	if _, fits := l.movedRow(j, to); !fits {
		l.logOnce(TableJobs, string(j.ID), Decision{Part: "job", Action: "does not move", Subject: string(j.ID), Where: to.String(), Reason: "its row would be too large"})
		return
	}
	j.Moving, j.MovingTo = true, int(to)
	l.markDirty(j)
	l.state.logDecision(Decision{Part: "job", Action: "moves to another shard", Subject: string(j.ID), Where: to.String(), Reason: "no room in " + l.shard.String(), Age: l.state.now - j.submittedAt})
}

// movedRow returns the job row that names the new shard, and whether it is within the limit of
// a row. It leaves checkpoints out if they have no room: their tasks start over.
func (l *leaderState) movedRow(j *job, to ShardID) (structs.Job, bool) {
	row := j.Job
	row.Shard, row.Moves = int(to), j.Moves+1
	row.MovedFrom = []int{int(l.shard)}
	if !j.hasProgressed() {
		row.MovedFrom = append(slices.Clone(j.MovedFrom), int(l.shard))
		row.MovedFrom = row.MovedFrom[max(len(row.MovedFrom)-maxMovesListed, 0):]
	}
	row.Moved = j.movedProgress()
	limit := l.state.bounds.rowLimit()
	if row.Moved != nil && jobBytes(&row) > limit {
		row.Moved.Checkpoints = nil
	}
	return row, jobBytes(&row) <= limit
}

// hasProgressed reports whether a task of the job has ended with success since it came to
// the shard.
func (j *job) hasProgressed() bool {
	if j.Moved == nil {
		return len(j.Done) > 0
	}
	return !bytes.Equal(j.Done, j.Moved.Done)
}

// movedProgress returns the progress from which the next shard goes on; nil: no task has run.
func (j *job) movedProgress() *structs.MovedProgress {
	moved := &structs.MovedProgress{Progress: cloneProgress(j.Progress), FirstRun: 1}
	for i := range j.tasks {
		moved.FirstRun = max(moved.FirstRun, j.tasks[i].lastRun+1)
	}
	if moved.FirstRun == 1 && len(j.Done) == 0 {
		return nil
	}
	// These are of the shard that the job leaves.
	moved.ClaimEpoch, moved.Move, moved.Moving, moved.MovingTo = 0, 0, false, 0
	return moved
}

// continueMove names the new shard in the job row.
func (l *leaderState) continueMove(j *job) {
	if j.moveInFlight || l.jobs[j.ID] != j {
		return
	}
	j.moveInFlight = true
	row, _ := l.movedRow(j, ShardID(j.MovingTo))
	partition := jobPartition(j.ID)
	l.state.commit(Commit{
		Conditions: []Condition{{TableJobs, partition, string(j.ID), j.rowVersion}},
		Writes:     []Write{{TableJobs, partition, string(j.ID), JobRow{row}}},
	}, func(c Committed) {
		j.moveInFlight = false
		if l.steppedDown || l.jobs[j.ID] != j {
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
	l.dropAdvice(j)
	delete(l.commits.dirtyJobs, j.ID)
	l.openJobs = slices.DeleteFunc(l.openJobs, func(o *job) bool { return o == j })
	l.commits.removedProgress = append(l.commits.removedProgress, j.progressKeys()...)
}
