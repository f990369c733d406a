package scheduler

import (
	"slices"
	"time"
)

// planRetryDelay separates attempts to store a plan that the store rejected.
const planRetryDelay = 10 * time.Second

// isolateRejected handles a commit that the store rejects for good. Repeating it would
// hold up the changes of all jobs and the lease, so the row at fault is found and
// dropped: either the outcome names it, or later commits contain half of the rows each
// time. The next commit renews the lease alone.
func (l *leaderState) isolateRejected(items []commitItem, rejectedWrites []int) {
	c := &l.commits
	l.state.logDecision(Decision{Part: "store", Action: "commit rejected", Subject: l.state.self.Host, Where: l.shard.String(), Number: uint64(len(items))})
	if len(items) == 0 {
		l.after(storeRetryDelay, l.flush)
		return
	}
	if len(items) == 1 {
		rejectedWrites = []int{0}
	}
	c.renewOnly = true
	if len(rejectedWrites) == 0 {
		c.rowLimit = max(len(items)/2, 1)
		l.putBack(items)
		l.flush()
		return
	}
	var rest []commitItem
	for i, item := range items {
		if !slices.Contains(rejectedWrites, i) {
			rest = append(rest, item)
			continue
		}
		l.dropRow(item)
	}
	l.putBack(rest)
	l.flush()
}

// dropRow gives up a row that the store rejects, at the cost of its job or worker only.
func (l *leaderState) dropRow(item commitItem) {
	l.state.logDecision(Decision{Part: "store", Action: "row rejected, dropped", Subject: item.write.Key, Where: item.write.Table.String(), Number: uint64(rowBytes(item.write.Value))})
	switch item.kind {
	case itemProgress, itemProgressGroup:
		if j := l.jobs[item.job]; j != nil {
			l.dropProgress(j, item.group)
		}
	case itemPlan:
		l.newestPlan = nil
		l.planRejectedAt = l.state.now
	case itemPressures:
		l.pressuresRejected = true
	}
}

// dropProgress gives up the checkpoints in a row of a job's progress that is rejected,
// which costs only repeated work. Without any, the job is left alone: none of its tasks is
// started any more by this leader.
func (l *leaderState) dropProgress(j *job, group int) {
	if checkpoints := inGroup(j.Checkpoints, group); len(checkpoints) > 0 {
		for task := range checkpoints {
			delete(j.Checkpoints, task)
			l.markTaskDirty(j, task)
		}
		return
	}
	j.unstorable = true
	l.state.logDecision(Decision{Part: "job", Action: "job cannot be stored", Subject: string(j.ID), Where: j.Queue, Reason: "the store rejects its progress"})
}
