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
	// maxCommitRows keeps the rows of one commit below the store's limit of 100 entries.
	maxCommitRows = 70
	// maxRemovals bounds the removals in one commit.
	maxRemovals = 10
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
	removedProgress    []structs.JobID        // jobs that are gone and whose progress is to be removed
	plan               *ShardPlanRow          // plan of the shards that has to be written; nil: none
}

func (c *commitState) init(version structs.Version) {
	c.leaseVersion, c.sequence, c.nextBatch = version, 1, 1
	c.dirtyJobs, c.newClaims = make(map[structs.JobID]bool), make(map[structs.JobID]bool)
}

// markDirty marks a job's progress as changed.
func (l *leaderState) markDirty(j *job) { l.commits.dirtyJobs[j.ID] = true }

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
	ids := l.nextJobs()
	var writes []Write
	var claims []*job
	for _, id := range ids {
		delete(c.dirtyJobs, id)
		delete(c.newClaims, id)
		j := l.jobs[id]
		if j == nil {
			continue
		}
		writes = append(writes, Write{TableProgress, l.shard.partition(), string(id), ProgressRow{j.snapshot()}})
		if j.ClaimEpoch == l.epoch && !j.claimStored {
			claims = append(claims, j)
		}
	}
	// Ends of runs recorded from now on belong to the next commit. Those recorded
	// so far become durable with this one only if all changed jobs fit into it.
	partial := len(c.dirtyJobs) > 0
	if l.isLoaded() && l.state.now-l.pressuresWrittenAt >= pressuresInterval {
		l.pressuresWrittenAt = l.state.now
		if row := l.interference.row(); len(row.Pairs) > 0 {
			writes = append(writes, Write{TableControl, l.shard.partition(), KeyPressures, row})
		}
	}
	var used UsedWorkersRow
	if c.usedWorkersChanged && l.isLoaded() {
		c.usedWorkersChanged = false
		used = l.usedWorkers()
		writes = append(writes, Write{TableControl, l.shard.partition(), KeyUsedWorkers, used})
	}
	plan := c.plan
	if plan != nil {
		c.plan = nil
		writes = append(writes, Write{TableShards, l.shard.partition(), KeyPlan, *plan})
	}
	removed := c.nextRemovals()
	for _, id := range removed {
		writes = append(writes, Write{TableProgress, l.shard.partition(), string(id), nil})
	}
	l.sendCommit(commitContent{writes: writes, progressOf: ids, claims: claims, partial: partial, usedWorkers: used, plan: plan, removed: removed})
}

// nextJobs returns the jobs whose progress the next commit contains: newly claimed
// ones first, since starts wait for them.
func (l *leaderState) nextJobs() []structs.JobID {
	c := &l.commits
	ids := slices.Sorted(maps.Keys(c.newClaims))
	for _, id := range slices.Sorted(maps.Keys(c.dirtyJobs)) {
		if !c.newClaims[id] {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), maxCommitRows)]
}

// commitContent is the content of one commit, kept to repeat it or act on its success.
type commitContent struct {
	writes      []Write
	progressOf  []structs.JobID // jobs whose progress it contains
	claims      []*job          // jobs that it claims
	partial     bool            // further changes remain for the next commit
	usedWorkers UsedWorkersRow  // list of used workers; nil map: not included
	plan        *ShardPlanRow   // plan of the shards; nil: not included
	removed     []structs.JobID // jobs whose progress it removes
}

// usedWorkers returns the workers on which runs may be started or may still exist.
func (l *leaderState) usedWorkers() UsedWorkersRow {
	u := UsedWorkersRow{Workers: make(map[structs.WorkerID]string)}
	for _, id := range l.workerIDs {
		if w := l.workers[id]; w.used || w.listsRead {
			u.Workers[id] = w.entry.Address
		}
	}
	return u
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
	if c.releaseReason != "" {
		lease.ExpiresMS = 0
	}
	partition := l.shard.partition()
	writes := append(slices.Clone(content.writes), Write{TableControl, partition, KeyLease, lease})
	releaseReason := c.releaseReason
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
			l.storeClockMS, l.storeClockAt = r.StoreMS, l.state.now
		} else if own, version := ownLease(r.Conflicts, l); own != nil {
			// The store performed an earlier commit of this leader whose answer was lost.
			done = own.Sequence == lease.Sequence
			c.leaseVersion = version
		} else if len(r.Conflicts) > 0 {
			l.stepDown("the lease is held by another host")
			return
		}
		if !done {
			for _, id := range content.progressOf {
				c.dirtyJobs[id] = true
			}
			for _, j := range content.claims {
				c.newClaims[j.ID] = true
			}
			c.usedWorkersChanged = c.usedWorkersChanged || content.usedWorkers.Workers != nil
			c.removedProgress = append(c.removedProgress, content.removed...)
			if c.plan == nil {
				c.plan = content.plan // a newer plan contains it
			}
			c.nextBatch = batch // nothing of it is durable yet
			l.after(storeRetryDelay, l.flush)
			return
		}
		l.commitSucceeded(sentAt, batch, content, releaseReason)
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
	if content.usedWorkers.Workers != nil {
		l.usedWorkersStored(content.usedWorkers)
	}
	if content.plan != nil {
		l.planStored(*content.plan)
	}
	for _, j := range content.claims {
		j.claimStored = true
		l.schedule.requestPass()
	}
	for _, id := range content.progressOf {
		if j := l.jobs[id]; j != nil {
			l.progressStored(j)
		}
	}
	for _, id := range l.workerIDs {
		l.workers[id].advanceAck()
	}
	if len(c.dirtyJobs) > 0 || c.releaseReason != "" {
		l.flush()
	}
}

// usedWorkersStored allows starts on the workers that the store now lists as used.
func (l *leaderState) usedWorkersStored(u UsedWorkersRow) {
	for _, id := range l.workerIDs {
		_, l.workers[id].used = u.Workers[id]
	}
	l.schedule.requestPass()
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

// nextRemovals returns the jobs whose progress the next commit removes.
func (c *commitState) nextRemovals() []structs.JobID {
	ids := c.removedProgress[:min(len(c.removedProgress), maxRemovals)]
	c.removedProgress = c.removedProgress[len(ids):]
	return ids
}
