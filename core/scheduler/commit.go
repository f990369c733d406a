package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// commitDelay collects changes of several events into one commit.
	commitDelay = 25 * time.Millisecond
	// maxCommitRows keeps the rows of one commit below the store's limit of 100 entries,
	// with its conditions and the lease.
	maxCommitRows = 80
	// maxRemovals bounds the removals in one commit.
	maxRemovals = 10
	// maxCommitBytes keeps the values of one commit, which grow by a third when they are
	// encoded for the call, below the store's limit of 1 MB.
	maxCommitBytes = 600 << 10
	// pressuresInterval separates writes of the learned pressures.
	pressuresInterval = 2 * time.Second
)

// commitState chains the leader's commits. One commit is in flight at a time.
// Each is conditional on the lease row written by the previous one, so that a
// commit that the store performs late fails instead of overwriting newer rows.
type commitState struct {
	leaseVersion       structs.Version
	sequence           uint64
	inFlight           bool
	lastSentAt         Instant
	flushScheduled     bool                   // a timer for the next flush is set
	newClaims          map[structs.JobID]bool // claimed jobs whose starts wait for the next commit
	releaseReason      string                 // why leadership is being released; empty: it is not
	dirtyJobs          map[structs.JobID]bool // jobs whose progress changed since it was last sent
	nextBatch          uint64                 // number of the commit that will contain the current changes
	durableBatch       uint64                 // all commits up to this one are stored
	usedWorkersChanged bool                   // the list of used workers has to be written
	removedProgress    []string               // keys of rows of progress that are to be removed
	plan               *ShardPlanRow          // plan of the shards that has to be written; nil: none

	// After a rejection, the next commit renews the lease alone, and those after it
	// contain fewer rows, until the rejected row is found.
	renewOnly bool
	rowLimit  int // rows of the next commit besides the lease; 0: maxCommitRows
}

func (c *commitState) init(version structs.Version) {
	c.leaseVersion, c.sequence, c.nextBatch = version, 1, 1
	c.dirtyJobs, c.newClaims = make(map[structs.JobID]bool), make(map[structs.JobID]bool)
}

// markDirty marks a job's progress as changed.
func (l *leaderState) markDirty(j *job) {
	if !j.unstorable {
		l.commits.dirtyJobs[j.ID] = true
	}
}

// scheduleFlush schedules a commit if something changed. A new claim is committed
// at once, since starts wait for it.
func (l *leaderState) scheduleFlush() {
	c := &l.commits
	if c.inFlight || len(c.dirtyJobs) == 0 && !c.usedWorkersChanged && c.plan == nil {
		return
	}
	if len(c.newClaims) > 0 {
		l.flush()
		return
	}
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	l.after(commitDelay, func() {
		c.flushScheduled = false
		l.flush()
	})
}

// flush commits pending changes and renews the lease.
func (l *leaderState) flush() {
	c := &l.commits
	if l.steppedDown || c.inFlight {
		return
	}
	var items []commitItem
	if c.renewOnly {
		c.renewOnly = false
	} else {
		items = l.takeItems()
	}
	// Ends of runs recorded from now on belong to the next commit. Those recorded
	// so far become durable with this one only if all changed jobs fit into it.
	l.sendCommit(commitContent{items: items, partial: len(c.dirtyJobs) > 0})
}

// commitContent is the content of one commit, kept to repeat it or act on its success.
type commitContent struct {
	items   []commitItem
	partial bool // further changes of jobs remain for the next commit
}

// dirtyOrder returns the changed jobs, those with new claims first.
func (c *commitState) dirtyOrder() []structs.JobID {
	ids := slices.Sorted(maps.Keys(c.newClaims))
	for _, id := range slices.Sorted(maps.Keys(c.dirtyJobs)) {
		if !c.newClaims[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendCommit sends a commit; after a failure, its changes go into the next one.
func (l *leaderState) sendCommit(content commitContent) {
	c := &l.commits
	c.inFlight = true
	c.sequence++
	c.lastSentAt = l.state.now
	sentAt := l.state.now
	batch := c.nextBatch
	if !content.partial {
		c.nextBatch++
	}
	lease := LeaseRow{Instance: l.state.self.Instance, Sequence: c.sequence, ExpiresMS: l.storeNow() + (leaderLease + leaderLeaseMargin).Milliseconds()}
	releaseReason := ""
	if l.canRelease() {
		releaseReason, lease.ExpiresMS = c.releaseReason, 0
	}
	partition := l.shard.partition()
	var writes []Write
	for _, item := range content.items {
		writes = append(writes, item.write)
	}
	writes = append(writes, Write{TableControl, partition, KeyLease, lease})
	l.state.commit(Commit{
		Conditions: []Condition{{TableControl, partition, KeyLeader, l.leaderVersion}, {TableControl, partition, KeyLease, c.leaseVersion}},
		Writes:     writes,
	}, func(r Committed) {
		if l.steppedDown {
			return
		}
		c.inFlight = false
		done := r.Outcome == structs.OutcomeDone
		if done {
			c.leaseVersion = r.Version
			l.storeClockMS, l.storeClockAt, l.storeClockSentAt = r.StoreMS, l.state.now, sentAt
		} else if own, version := ownLease(r.Conflicts, l); own != nil {
			// The store performed an earlier commit of this leader whose answer was lost.
			done = own.Sequence == lease.Sequence
			c.leaseVersion = version
		} else if len(r.Conflicts) > 0 {
			l.stepDown("the lease is held by another host")
			return
		}
		if done {
			l.commitSucceeded(sentAt, batch, content, releaseReason)
			return
		}
		c.nextBatch = batch // nothing of it is durable yet
		if r.Rejected {
			l.isolateRejected(content.items, r.RejectedWrites)
			return
		}
		l.putBack(content.items)
		l.after(storeRetryDelay, l.flush)
	})
}

// ownLease returns the lease row among the conflicts if this process wrote it
// and the leader row still names this leader.
func ownLease(conflicts []TableRow, l *leaderState) (*LeaseRow, structs.Version) {
	for _, c := range conflicts {
		if v, ok := c.Row.Value.(LeaderRow); ok && (v.Instance != l.state.self.Instance || v.Epoch != l.epoch) {
			return nil, 0
		}
	}
	for _, c := range conflicts {
		if v, ok := c.Row.Value.(LeaseRow); ok && v.Instance == l.state.self.Instance {
			return &v, c.Row.Version
		}
	}
	return nil, 0
}

// commitSucceeded extends the lease, acknowledges the ends that are durable now,
// and starts the next commit if changes remain.
func (l *leaderState) commitSucceeded(sentAt Instant, batch uint64, content commitContent, releaseReason string) {
	c := &l.commits
	if releaseReason != "" {
		l.stepDown(releaseReason)
		l.publishRelease()
		return
	}
	if c.releaseReason == "" {
		l.leaseValidUntil = max(l.leaseValidUntil, sentAt+leaderLease)
	}
	if !content.partial {
		c.durableBatch = batch
	}
	c.widen(len(content.items))
	for _, item := range content.items {
		l.itemStored(item)
	}
	for _, id := range l.workerIDs {
		l.workers[id].advanceAck()
	}
	if len(c.dirtyJobs) > 0 || l.canRelease() {
		l.flush()
	}
}

// widen lets later commits contain more rows again after one with rows succeeded.
func (c *commitState) widen(stored int) {
	if c.rowLimit == 0 || stored == 0 {
		return
	}
	if c.rowLimit *= 2; c.rowLimit >= maxCommitRows {
		c.rowLimit = 0
	}
}

// storeNow returns a lower bound of the current time on the store's clock.
func (l *leaderState) storeNow() int64 {
	return l.storeClockMS + (l.state.now - l.storeClockAt).Milliseconds()
}

// planStored puts a plan in force that this leader has stored.
func (l *leaderState) planStored(plan ShardPlanRow) {
	v := &l.state.shards
	v.plan, v.planVersion, v.planned = plan, l.commits.leaseVersion, max(v.planned, plan.Shards)
	l.state.planChanged()
}
