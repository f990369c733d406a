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
)

// expireLoop removes jobs whose final state has been kept long enough. The job row
// is removed first: a job without progress would run again.
func (l *leaderState) expireLoop() {
	l.after(expireInterval, l.expireLoop)
	if !l.isLoaded() || !l.leaseValid() {
		return
	}
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

// expire removes the job row; the next commits remove the other rows of the job.
func (l *leaderState) expire(j *job) {
	j.expiring = true
	l.state.commit(Commit{Writes: []Write{{TableJobs, string(j.ID), nil}}}, func(c Committed) {
		if l.steppedDown {
			return
		}
		if c.Outcome != structs.OutcomeDone {
			j.expiring = false // retried after expireInterval
			return
		}
		l.commits.expiredJobs = append(l.commits.expiredJobs, j.ID)
	})
}

// expiredRemovals returns writes that remove the remaining rows of expired jobs.
func (c *commitState) expiredRemovals() ([]structs.JobID, []Write) {
	ids := c.expiredJobs[:min(len(c.expiredJobs), maxExpireBatch/2)]
	c.expiredJobs = c.expiredJobs[len(ids):]
	var writes []Write
	for _, id := range ids {
		writes = append(writes, Write{TableProgress, string(id), nil}, Write{TableCancels, string(id), nil})
	}
	return ids, writes
}
