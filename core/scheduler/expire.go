package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// keepMargin is added to the time for which final states have to be kept,
	// for callers whose repeats come late.
	keepMargin = time.Minute
	// expireEvery spaces the looks for jobs to remove, and expireBatch bounds
	// how many are removed at once.
	expireEvery = 10 * time.Second
	expireBatch = 20
)

// expireLoop removes jobs whose final state has been kept long enough. The row
// of the job goes first: a job without progress would run again.
func (l *leaderState) expireLoop() {
	l.after(expireEvery, l.expireLoop)
	if !l.isLoaded() || !l.valid() {
		return
	}
	n := 0
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		if !j.stored.Final() || j.expiring || j.runs > 0 || l.s.now-j.finalAt < l.s.bounds.KeepState+keepMargin {
			continue
		}
		if n++; n > expireBatch {
			return
		}
		l.expire(j)
	}
}

func (l *leaderState) expire(j *job) {
	j.expiring = true
	l.s.commit(Commit{Writes: []Write{{TableJobs, string(j.ID), nil}}}, func(c Committed) {
		if l.over {
			return
		}
		if c.Outcome != structs.OutcomeDone {
			j.expiring = false // the next look tries again
			return
		}
		l.commits.expired = append(l.commits.expired, j.ID)
	})
}

// expiredWrites returns the removal of what is left of expired jobs.
func (c *commitState) expiredWrites() ([]structs.JobID, []Write) {
	ids := c.expired[:min(len(c.expired), expireBatch/2)]
	c.expired = c.expired[len(ids):]
	var writes []Write
	for _, id := range ids {
		writes = append(writes, Write{TableProgress, string(id), nil}, Write{TableCancels, string(id), nil})
	}
	return ids, writes
}
