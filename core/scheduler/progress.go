package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// tasksPerProgressRow bounds the tasks whose failures and checkpoints one row of a
	// job's progress contains. The first row has them for the first tasks, beside what
	// concerns the whole job; further rows exist only for jobs with more tasks.
	tasksPerProgressRow = 64
	// maxCheckpointBytes bounds a checkpoint that is stored. A task with a longer one
	// starts over when it has to move.
	maxCheckpointBytes = 256
)

// progressGroup returns the number of the row that has the failures and the checkpoint of
// a task; 0 is the first row.
func progressGroup(task int) int { return task / tasksPerProgressRow }

// progressGroupKey returns the key of a further row of a job's progress.
func progressGroupKey(id structs.JobID, group int) string {
	return string(id) + progressGroupMark + strconv.Itoa(group)
}

const progressGroupMark = "."

// jobOfProgressGroup returns the job of the key of a further row of its progress, or
// false for the key of a first row.
func jobOfProgressGroup(key string) (structs.JobID, bool) {
	id, _, further := strings.Cut(key, progressGroupMark)
	return structs.JobID(id), further
}

// IsProgressGroupKey reports whether a key of TableProgress is that of a further row of a
// job's progress, a ProgressGroupRow.
func IsProgressGroupKey(key string) bool {
	_, further := jobOfProgressGroup(key)
	return further
}

// groupOfKey returns the number of the group in the key of a further row of progress.
func groupOfKey(key string) (int, bool) {
	_, number, _ := strings.Cut(key, progressGroupMark)
	group, err := strconv.Atoi(number)
	return group, err == nil
}

// firstRow returns the first row of the job's progress. The slices and maps are copies,
// because the effect that carries them may be executed after later changes.
func (j *job) firstRow() ProgressRow {
	p := j.Progress
	p.Failures, p.Checkpoints = inGroup(p.Failures, 0), inGroup(p.Checkpoints, 0)
	return ProgressRow{cloneProgress(p)}
}

// groupRow returns a further row of the job's progress.
func (j *job) groupRow(group int) ProgressGroupRow {
	row := ProgressGroupRow{Move: j.Move, Failures: inGroup(j.Failures, group), Checkpoints: inGroup(j.Checkpoints, group)}
	for task, runs := range row.Failures {
		row.Failures[task] = slices.Clone(runs)
	}
	return row
}

// inGroup returns a copy of the entries of the tasks of one group.
func inGroup[V any](entries map[int]V, group int) map[int]V {
	var found map[int]V
	first := group * tasksPerProgressRow
	if len(entries) < tasksPerProgressRow {
		for task, v := range entries {
			found = addToGroup(found, task, v, group)
		}
		return found
	}
	for task := first; task < first+tasksPerProgressRow; task++ {
		if v, ok := entries[task]; ok {
			found = addToGroup(found, task, v, group)
		}
	}
	return found
}

func addToGroup[V any](found map[int]V, task int, v V, group int) map[int]V {
	if progressGroup(task) != group {
		return found
	}
	if found == nil {
		found = make(map[int]V)
	}
	found[task] = v
	return found
}

// markTaskDirty marks the failures or the checkpoint of a task as changed.
func (l *leaderState) markTaskDirty(j *job, task int) {
	if group := progressGroup(task); group > 0 && !j.unstorable {
		j.markGroupDirty(group)
	}
	l.markDirty(j)
}

func (j *job) markGroupDirty(group int) {
	if j.dirtyGroups == nil {
		j.dirtyGroups = make(map[int]bool)
	}
	j.dirtyGroups[group] = true
}

// markGroupStored records that a further row of the job's progress exists.
func (j *job) markGroupStored(group int) {
	if j.storedGroups == nil {
		j.storedGroups = make(map[int]bool)
	}
	j.storedGroups[group] = true
}

// restoreGroup adds a further row of the progress that a former leader stored. A row of an
// earlier stay of the job in the shard is only known to exist.
func (j *job) restoreGroup(key string, row ProgressGroupRow) {
	group, ok := groupOfKey(key)
	if !ok {
		return
	}
	j.markGroupStored(group)
	if j.State.Final() || row.Move != j.Move {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(row.Failures)) {
		if j.Failures == nil {
			j.Failures = make(map[int][]structs.Run)
		}
		j.Failures[task] = slices.Clone(row.Failures[task])
	}
	for task, checkpoint := range row.Checkpoints {
		if j.IsDone(task) {
			continue
		}
		if j.Checkpoints == nil {
			j.Checkpoints = make(map[int]string)
		}
		j.Checkpoints[task] = checkpoint
	}
}

// markGroupsOfFirstRow marks the further rows of which the first one has entries, as
// earlier versions stored them.
func (j *job) markGroupsOfFirstRow() {
	for task := range j.Failures {
		if group := progressGroup(task); group > 0 {
			j.markGroupDirty(group)
		}
	}
	for task := range j.Checkpoints {
		if group := progressGroup(task); group > 0 {
			j.markGroupDirty(group)
		}
	}
}

// progressKeys returns the keys of all rows of the job's progress.
func (j *job) progressKeys() []string {
	keys := []string{string(j.ID)}
	for _, group := range slices.Sorted(maps.Keys(j.storedGroups)) {
		keys = append(keys, progressGroupKey(j.ID, group))
	}
	return keys
}

// takeProgress adds the progress of changed jobs to a commit. The first row of a job comes
// after its further ones, so that none of their entries is missing once it is stored.
func (l *leaderState) takeProgress(list *itemList) {
	c := &l.commits
	for _, id := range c.dirtyOrder() {
		if j := l.jobs[id]; j != nil && !l.takeProgressOf(j, list) {
			return
		}
		delete(c.dirtyJobs, id)
		delete(c.newClaims, id)
	}
}

// takeProgressOf adds the changed rows of one job, and reports whether all had room.
func (l *leaderState) takeProgressOf(j *job, list *itemList) bool {
	partition := l.shard.partition()
	for _, group := range slices.Sorted(maps.Keys(j.dirtyGroups)) {
		item := commitItem{kind: itemProgressGroup, job: j.ID, group: group}
		item.write = Write{TableProgress, partition, progressGroupKey(j.ID, group), j.groupRow(group)}
		if !list.add(item) {
			return false
		}
		delete(j.dirtyGroups, group)
	}
	item := commitItem{kind: itemProgress, job: j.ID, claim: j.ClaimEpoch == l.epoch && !j.claimStored}
	item.write = Write{TableProgress, partition, string(j.ID), j.firstRow()}
	return list.add(item)
}
