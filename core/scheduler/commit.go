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
	// commitRows bounds the rows of one commit below the store's limit of 100 entries.
	commitRows = 70
	// pendingEvery spaces writes of the lengths of queues.
	pendingEvery = 400 * time.Millisecond
	// pendingRefresh is when lengths that have not changed are written again, so
	// that hosts can tell them from those of a leader that is gone.
	pendingRefresh = time.Second
	// pressuresEvery spaces writes of the learned pressures.
	pressuresEvery = 2 * time.Second
)

// commitState chains the leader's commits. One commit is in flight at a time;
// each is conditional on the lease row that the one before it wrote, so that a
// commit that the store performs late fails instead of overwriting newer rows.
type commitState struct {
	leaseVersion structs.Version
	sequence     uint64
	inFlight     bool
	lastSent     Instant
	armed        bool                   // a flush is due
	claims       map[structs.JobID]bool // jobs whose starts wait for the next commit
	releasing    string                 // why the lead is being released; empty: it is not
	dirty        map[structs.JobID]bool // jobs whose progress changed
	batch        uint64                 // number of the commit that will carry present changes
	durable      uint64                 // all commits up to this one are stored
	usedChanged  bool                   // the list of used workers has to be written
	expired      []structs.JobID        // jobs whose row was removed, and whose other rows remain
}

func (c *commitState) init(version structs.Version) {
	c.leaseVersion, c.sequence, c.batch = version, 1, 1
	c.dirty, c.claims = make(map[structs.JobID]bool), make(map[structs.JobID]bool)
}

// touch marks a job's progress as changed.
func (l *leaderState) touch(j *job) { l.commits.dirty[j.ID] = true }

// flushSoon starts a commit shortly when something changed.
func (l *leaderState) flushSoon() {
	c := &l.commits
	if c.inFlight || len(c.dirty) == 0 && !c.usedChanged {
		return
	}
	if len(c.claims) > 0 {
		l.flush()
		return
	}
	if c.armed {
		return
	}
	c.armed = true
	l.after(commitDelay, func() {
		c.armed = false
		l.flush()
	})
}

// flush commits all changes and renews the lease.
func (l *leaderState) flush() {
	c := &l.commits
	if l.over || c.inFlight {
		return
	}
	ids := l.nextDirty()
	var writes []Write
	var claims []*job
	for _, id := range ids {
		delete(c.dirty, id)
		delete(c.claims, id)
		j := l.jobs[id]
		if j == nil {
			continue
		}
		writes = append(writes, Write{TableProgress, string(id), ProgressRow{j.snapshot()}})
		if j.Claimed == l.epoch && !j.claimed {
			claims = append(claims, j)
		}
	}
	// Ends that are noted from now on belong to the next commit; those noted so
	// far are durable with this one only if all changed jobs fit into it.
	full := len(c.dirty) > 0
	if w, due := l.pendingWrite(); due {
		writes = append(writes, w)
	}
	if l.isLoaded() && l.s.now-l.pressuresAt >= pressuresEvery {
		l.pressuresAt = l.s.now
		if row := l.interference.row(); len(row.Pairs) > 0 {
			writes = append(writes, Write{TableControl, KeyPressures, row})
		}
	}
	var used UsedRow
	if c.usedChanged && l.isLoaded() {
		c.usedChanged = false
		used = l.usedWorkers()
		writes = append(writes, Write{TableControl, KeyWorkers, used})
	}
	expired, removals := c.expiredWrites()
	writes = append(writes, removals...)
	l.send(change{writes: writes, jobs: ids, claims: claims, partial: full, used: used, expired: expired})
}

// nextDirty returns the jobs that the next commit carries: claims first, since
// starts wait for them.
func (l *leaderState) nextDirty() []structs.JobID {
	c := &l.commits
	ids := slices.Sorted(maps.Keys(c.claims))
	for _, id := range slices.Sorted(maps.Keys(c.dirty)) {
		if !c.claims[id] {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), commitRows)]
}

// change is the content of one commit.
type change struct {
	writes  []Write
	jobs    []structs.JobID // whose progress it has
	claims  []*job          // that it claims for the first time
	partial bool            // further changes wait for the next commit
	used    UsedRow         // list of used workers; nil map: not part of it
	expired []structs.JobID // whose last rows it removes
}

// usedWorkers returns the workers on which runs may be started or may still be.
func (l *leaderState) usedWorkers() UsedRow {
	u := UsedRow{Workers: make(map[structs.WorkerID]string)}
	for _, id := range l.ids {
		if w := l.workers[id]; w.used || w.synced {
			u.Workers[id] = w.entry.Address
		}
	}
	return u
}

// send commits a change until the outcome is certain.
func (l *leaderState) send(ch change) {
	c := &l.commits
	c.inFlight = true
	c.sequence++
	c.lastSent = l.s.now
	sent := l.s.now
	batch := c.batch
	if !ch.partial {
		c.batch++
	}
	lease := LeaseRow{Instance: l.s.self.Instance, Sequence: c.sequence, ExpiresMS: l.storeNow() + (leadLease + leadMargin).Milliseconds()}
	if c.releasing != "" {
		lease.ExpiresMS = 0
	}
	all := append(slices.Clone(ch.writes), Write{TableControl, KeyLease, lease})
	releasing := c.releasing
	l.s.commit(Commit{
		Conditions: []Condition{{TableControl, KeyLeader, l.version}, {TableControl, KeyLease, c.leaseVersion}},
		Writes:     all,
	}, func(r Committed) {
		if l.over {
			return
		}
		c.inFlight = false
		done := r.Outcome == structs.OutcomeDone
		if done {
			c.leaseVersion = r.Version
			l.storeMS, l.storeAt = r.StoreMS, l.s.now
		} else if own, version := ownLease(r.Conflicts, l); own != nil {
			// An earlier commit of this leader was performed without an answer.
			done = own.Sequence == lease.Sequence
			c.leaseVersion = version
		} else if len(r.Conflicts) > 0 {
			l.depose("the lease is held by another host")
			return
		}
		if !done {
			for _, id := range ch.jobs {
				c.dirty[id] = true
			}
			for _, j := range ch.claims {
				c.claims[j.ID] = true
			}
			c.usedChanged = c.usedChanged || ch.used.Workers != nil
			c.expired = append(c.expired, ch.expired...)
			c.batch = batch // nothing of it is durable yet
			l.after(storeRetry, l.flush)
			return
		}
		l.committed(sent, batch, ch, releasing)
	})
}

// ownLease returns the lease row among the conflicts if this process wrote it
// and its leadership row is unchanged.
func ownLease(conflicts []TableRow, l *leaderState) (*LeaseRow, structs.Version) {
	for _, c := range conflicts {
		if v, ok := c.Row.Value.(LeaderRow); ok && (v.Instance != l.s.self.Instance || v.Epoch != l.epoch) {
			return nil, 0
		}
	}
	for _, c := range conflicts {
		if v, ok := c.Row.Value.(LeaseRow); ok && v.Instance == l.s.self.Instance {
			return &v, c.Row.Version
		}
	}
	return nil, 0
}

func (l *leaderState) committed(sent Instant, batch uint64, ch change, releasing string) {
	c := &l.commits
	if releasing != "" {
		l.depose(releasing)
		return
	}
	if c.releasing == "" {
		l.validUntil = max(l.validUntil, sent+leadLease)
	}
	if !ch.partial {
		c.durable = batch
	}
	if ch.used.Workers != nil {
		l.storedUsed(ch.used)
	}
	for _, id := range ch.expired {
		delete(l.jobs, id)
	}
	for _, j := range ch.claims {
		j.claimed = true
		l.schedule.request()
	}
	for _, id := range ch.jobs {
		if j := l.jobs[id]; j != nil {
			l.progressStored(j)
		}
	}
	for _, id := range l.ids {
		l.workers[id].endsDurable()
	}
	if len(c.dirty) > 0 || c.releasing != "" {
		l.flush()
	}
}

// storedUsed allows starts on the workers that the store now lists as used.
func (l *leaderState) storedUsed(u UsedRow) {
	for _, id := range l.ids {
		_, l.workers[id].used = u.Workers[id]
	}
	l.schedule.request()
}

// storeNow returns a lower bound of the store's clock.
func (l *leaderState) storeNow() int64 { return l.storeMS + (l.s.now - l.storeAt).Milliseconds() }

// pendingWrite returns the lengths of the queues if they changed or grow old.
func (l *leaderState) pendingWrite() (Write, bool) {
	if !l.isLoaded() || l.s.now-l.pendingAt < pendingEvery {
		return Write{}, false
	}
	lengths := make(map[string]int)
	for _, j := range l.order {
		if !j.begun && !j.cancelled && !j.State.Final() {
			lengths[j.Queue]++
		}
	}
	if l.pending != nil && maps.Equal(lengths, l.pending) && l.s.now-l.pendingAt < pendingRefresh {
		return Write{}, false
	}
	l.pending, l.pendingAt = lengths, l.s.now
	return Write{TableQueues, KeyPending, PendingRow{Jobs: lengths, AtMS: l.storeNow()}}, true
}
