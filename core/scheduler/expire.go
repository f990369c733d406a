package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// keepStateMargin is added to the time for which final states have to be kept,
	// for callers that retry late.
	keepStateMargin = time.Minute
	// expireInterval separates removals of expired jobs, and maxExpireBatch bounds
	// how many jobs are removed at once.
	expireInterval = 10 * time.Second
	maxExpireBatch = 20
	// orphanedCancelRetention is how long the cancellation of a job that this leader does
	// not know is kept. Submissions that are stored late come within seconds, and a job of
	// another shard has expired by then.
	orphanedCancelRetention = 15 * time.Minute
)

// expireLoop removes jobs whose final state has been kept long enough. The job row
// is removed first: a job without progress would run again.
func (l *leaderState) expireLoop() {
	l.after(expireInterval, l.expireLoop)
	if !l.isLoaded() || !l.leaseValid() {
		return
	}
	l.expireOrphanedCancels()
	n := 0
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		if !j.storedState.Final() || j.expiring || j.activeRuns > 0 || l.state.now-j.finalAt < l.state.bounds.FinalStateRetention+keepStateMargin {
			continue
		}
		if n++; n > maxExpireBatch {
			return
		}
		l.expire(j)
	}
}

// expireOrphanedCancels removes the cancellations of jobs that were never stored. One
// leader does so for all shards.
func (l *leaderState) expireOrphanedCancels() {
	if l.shard != plannerShard {
		return
	}
	now, removed := l.state.now, 0
	for _, id := range slices.Sorted(maps.Keys(l.cancelled)) {
		since, known := l.orphanedCancels[id]
		switch {
		case l.jobs[id] != nil:
			delete(l.orphanedCancels, id)
		case !known:
			l.orphanedCancels[id] = now
		case now-since >= orphanedCancelRetention && removed < maxExpireBatch:
			removed++
			delete(l.orphanedCancels, id)
			l.removeCancel(id)
		}
	}
}

// rowKeys returns the keys of the rows of a job that this shard removes: of the job itself
// in its first shard, and of the parts that this shard was given.
func (j *job) rowKeys() []string {
	if j.Part != nil {
		return j.partKeys
	}
	return append([]string{string(j.ID)}, j.partKeys...)
}

// expire removes the job row and then the other rows of the job.
func (l *leaderState) expire(j *job) {
	j.expiring = true
	keys := j.rowKeys()
	first := keys[:min(len(keys), maxCommitRows)]
	var removals []Write
	for _, key := range first {
		removals = append(removals, Write{TableJobs, jobPartition(j.ID), key, nil})
	}
	l.state.commit(Commit{Writes: removals}, func(c Committed) {
		if l.steppedDown {
			return
		}
		if c.Outcome != structs.OutcomeDone {
			j.expiring = false // retried after expireInterval
			return
		}
		if len(first) < len(keys) {
			j.partKeys, j.expiring = keys[len(first):], false
			return
		}
		delete(l.jobs, j.ID)
		l.commits.removedProgress = append(l.commits.removedProgress, j.progressKeys()...)
		if l.cancelled[j.ID] && j.Part == nil {
			l.removeCancel(j.ID)
		}
	})
}

// removeCancel removes the cancellation of a job that is gone.
func (l *leaderState) removeCancel(id structs.JobID) {
	l.state.commit(Commit{Writes: []Write{{Table: TableCancels, Key: string(id)}}}, func(c Committed) {
		if c.Outcome != structs.OutcomeDone {
			l.state.logDecision(Decision{Part: "job", Action: "cancellation was not removed", Subject: string(id), Reason: outcomeName(c.Outcome)})
		}
	})
}
