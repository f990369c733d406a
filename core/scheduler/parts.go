package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// divideDelay is how long a task of a persistent job waits for room before it is given
	// to another shard.
	divideDelay = 400 * time.Millisecond
	// A task is given back to a shard that has had it once it has waited for revisitDelay.
	// The delay doubles with each return, maxReturnDoublings times at most, until none has
	// been necessary for returnMemory: each leaves a row until the job ends.
	maxReturnDoublings = 5
	returnMemory       = 5 * time.Minute
)

// The tasks of a persistent job do not depend on each other, and the job ends only when
// it is cancelled, which all shards see. So single tasks can be given to other shards
// when their own has no room. Like a move, this takes two transactions: the giving
// shard lists the tasks in its progress, under its leader's lease, and then writes the
// row of the part, which is in the partition of the job row. A new leader writes the
// rows of all listed parts that are absent. A task is given only while no run of it
// exists. It may come back: the shards that have had it, which each part lists, tell which
// of its changes is the last.

// canBeDivided reports whether single tasks of a job can be given to other shards.
func (j *job) canBeDivided() bool {
	return len(j.Steps) == 1 && j.Steps[0].Persistent && !j.Steps[0].Gang && j.Repeat == nil
}

// partKey returns the key of the row of a job's next part for a shard.
func (l *leaderState) partKey(j *job, to ShardID) string {
	return fmt.Sprintf("%s.%d.%d.%d", j.ID, l.shard, to, len(j.Given))
}

// isPartKey reports whether a key is that of a part of a job.
func isPartKey(key string, id structs.JobID) bool { return strings.HasPrefix(key, string(id)+".") }

// giveWaitingTasks gives tasks that wait to the shard with the most room for them, and
// subtracts them from its room. It reports whether it gave any.
func (l *leaderState) giveWaitingTasks(j *job, loads map[ShardID]map[string]ServiceLoad) bool {
	step := &j.Steps[0]
	service := l.state.config.policyOf(&j.Job).Service
	given, returned := false, false
	waited := l.state.now - j.waitingSince
	returns := waited >= j.returnDelay(l.state.now)
	for _, from := range l.waitingByHistory(j) {
		target, room := ShardID(-1), int64(0)
		for id := range ShardID(l.state.shards.count()) {
			load, ok := loads[id][service]
			row := l.state.shards.loads[id]
			if had := slices.Contains(from.shards, int(id)); had && !returns || !row.hasLabel(step.Label) {
				continue
			}
			slots := load.slots(step)
			if waited >= revisitDelay {
				slots = max(slots, load.freeSlots(step))
			}
			if ok && slots > room {
				target, room = id, slots
			}
		}
		if target < 0 {
			continue
		}
		tasks := from.tasks[:min(int64(len(from.tasks)), room)]
		load := loads[target][service]
		load.assign(step, len(tasks))
		loads[target][service] = load
		if l.giveTasks(j, target, tasks, from.shards) {
			given, returned = true, returned || slices.Contains(from.shards, int(target))
		}
	}
	if returned {
		j.returns, j.returnedAt = j.returns+1, l.state.now
	}
	return given
}

// returnDelay returns how long tasks of the job wait before they may be given back to a shard
// that has had them.
func (j *job) returnDelay(now Instant) time.Duration {
	if now-j.returnedAt >= returnMemory {
		j.returns = 0
	}
	return revisitDelay << min(j.returns, maxReturnDoublings)
}

// taskGroup is a group of waiting tasks that the same shards have had.
type taskGroup struct {
	shards []int
	tasks  []int
}

// waitingByHistory returns the tasks that wait and may be started, by the shards that
// have had them.
func (l *leaderState) waitingByHistory(j *job) []taskGroup {
	var groups []taskGroup
	for n := range j.tasks {
		t := &j.tasks[n]
		if t.run != nil || t.elsewhere || !l.startable(j, t) {
			continue
		}
		at := slices.IndexFunc(groups, func(g taskGroup) bool { return slices.Equal(g.shards, t.from) })
		if at < 0 {
			groups = append(groups, taskGroup{shards: t.from})
			at = len(groups) - 1
		}
		groups[at].tasks = append(groups[at].tasks, n)
	}
	return groups
}

// partWithin returns how many of the tasks can be given in one part, so that its row and
// the job's progress, which lists it, stay within the store's limit.
func (l *leaderState) partWithin(j *job, part structs.JobPart, tasks int) int {
	limit := l.state.bounds.rowLimit()
	first := j.firstRow()
	// Half of the first row is left for failures and the states of tasks.
	left := min(limit-jobBytes(&j.Job), limit/2-progressBytes(&first.Progress)) - partBytes(&part)
	return min(max(left/taskNumberBytes, 0), tasks)
}

// giveTasks lists tasks as given, as far as their rows have room, and reports whether it
// gave any. Their row is written once the list is stored.
func (l *leaderState) giveTasks(j *job, to ShardID, tasks, from []int) bool {
	part := structs.JobPart{Key: l.partKey(j, to), Shard: int(to), From: append(slices.Clone(from), int(l.shard))}
	if tasks = tasks[:l.partWithin(j, part, len(tasks))]; len(tasks) == 0 {
		return false
	}
	part.Tasks = slices.Clone(tasks)
	for _, n := range tasks {
		part.FirstRun = max(part.FirstRun, j.tasks[n].lastRun+1)
	}
	j.Given = append(j.Given, part)
	j.assignPart(part, true)
	l.markStarted(j)
	l.markDirty(j)
	l.state.logDecision(Decision{Part: "job", Action: "tasks given to another shard", Subject: string(j.ID), Where: to.String(), Reason: "no room in " + l.shard.String(), Age: l.state.now - j.waitingSince, Number: uint64(len(tasks))})
	return true
}

// setElsewhere marks tasks as scheduled by another shard, or by this one.
func (j *job) setElsewhere(tasks []int, elsewhere bool) {
	for _, n := range tasks {
		if n < 0 || n >= len(j.tasks) || j.tasks[n].elsewhere == elsewhere {
			continue
		}
		t := &j.tasks[n]
		t.elsewhere = elsewhere
		if t.run != nil || j.IsDone(n) {
			continue
		}
		change := 1
		if elsewhere {
			change = -1
		}
		j.addWaiting(j.taskRef(0, 0, n), change) // a job with parts has one step and one occurrence
	}
}

// assignPart records that the tasks of a part are scheduled by another shard, or by this
// one, unless they have changed their shard since.
func (j *job) assignPart(part structs.JobPart, elsewhere bool) {
	for _, n := range part.Tasks {
		if n < 0 || n >= len(j.tasks) || len(part.From) < j.tasks[n].shardChanges {
			continue
		}
		t := &j.tasks[n]
		t.shardChanges = len(part.From)
		j.setElsewhere([]int{n}, elsewhere)
		if !elsewhere {
			t.from, t.lastRun = part.From, max(t.lastRun, part.FirstRun-1)
		}
	}
}

// writeParts writes the rows of stored parts that this leader has not written yet.
func (l *leaderState) writeParts(j *job, stored []structs.JobPart) {
	for _, part := range stored {
		if !j.writtenParts[part.Key] {
			l.writePart(j, part)
		}
	}
}

func (l *leaderState) writePart(j *job, part structs.JobPart) {
	if j.writtenParts == nil {
		j.writtenParts = make(map[string]bool)
	}
	j.writtenParts[part.Key] = true
	row := j.Job
	row.Shard, row.Part = part.Shard, &part
	partition := jobPartition(j.ID)
	l.state.commit(Commit{
		Conditions: []Condition{{TableJobs, partition, part.Key, 0}},
		Writes:     []Write{{TableJobs, partition, part.Key, JobRow{row}}},
	}, func(c Committed) {
		if l.steppedDown || c.Outcome == structs.OutcomeDone || len(c.Conflicts) > 0 {
			return // written now or by an earlier attempt
		}
		if c.Rejected {
			l.state.logDecision(Decision{Part: "store", Action: "row rejected, dropped", Subject: part.Key, Where: TableJobs.String()})
			return
		}
		l.after(storeRetryDelay, func() {
			if l.jobs[j.ID] == j && !j.State.Final() {
				l.writePart(j, part)
			}
		})
	})
}

// addPart adds the tasks of a part that was given to this shard.
func (l *leaderState) addPart(row structs.Job) {
	part := row.Part
	j := l.jobs[row.ID]
	if j == nil {
		j = newJob(row, l.state.now)
		j.cancelled = l.cancelled[row.ID]
		for n := range j.tasks {
			j.setElsewhere([]int{n}, true)
		}
		l.jobs[row.ID] = j
	}
	if slices.Contains(j.partKeys, part.Key) || !j.canBeDivided() {
		return
	}
	j.partKeys = append(j.partKeys, part.Key)
	if j.waitingTasks == 0 {
		j.waitingSince = l.state.now
	}
	j.assignPart(*part, false)
	if l.isLoaded() {
		l.admit(j)
		l.schedule.requestPass()
	}
}
