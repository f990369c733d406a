package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// leaderState is the additional state of the leader of one shard. It is built from
// the store and the workers' lists when the host takes over, and dropped when the
// host steps down.
type leaderState struct {
	state           *State
	shard           ShardID
	epoch           structs.Epoch
	tookOverAt      Instant         // when this host became the leader
	leaderVersion   structs.Version // of the leader row
	leaseValidUntil Instant         // end of the lease on this host's clock
	steppedDown     bool

	storeClockMS int64 // the store's clock at storeClockAt
	storeClockAt Instant
	// storeClockSentAt is when the call was sent whose answer had this clock.
	storeClockSentAt Instant

	loadingTables map[Table]bool // tables whose first read is not complete
	loadedAt      Instant        // when all tables had been read; 0: not yet

	jobs            map[structs.JobID]*job
	openJobs        []*job                                   // admitted jobs that are not final, in order of admission
	entries         map[structs.WorkerID]structs.WorkerEntry // the platform's list, with the workers of all shards
	otherEntries    map[structs.WorkerID]structs.WorkerEntry // entries with services that are not configured
	absentSince     map[string]Instant                       // racks of the plan without listed workers
	entriesAtGrowth int                                      // number of entries when it last changed, before the first plan
	entriesGrewAt   Instant
	newestPlan      *ShardPlanRow                // last plan that this leader made; nil: none
	planRejectedAt  Instant                      // when the store last rejected a plan; 0: never
	workers         map[structs.WorkerID]*worker // of this shard
	workerIDs       []structs.WorkerID           // of workers, sorted
	cancelled       map[structs.JobID]bool       // cancellations of jobs of all shards
	orphanedCancels map[structs.JobID]Instant    // since when cancellations of unknown jobs have been seen

	// unreconciled holds the workers that former leaders used and whose runs are
	// neither known nor certainly over. Tasks that a former leader may have
	// started wait until it is empty.
	unreconciled map[structs.WorkerID]bool

	loadedProgress map[structs.JobID]structs.Progress            // progress read from the store, until jobs are admitted
	loadedGroups   map[structs.JobID]map[string]ProgressGroupRow // further rows of it, by key

	commits            commitState
	startsPaused       bool // because a view is too old
	zoneMoves          zoneMoves
	interference       *colocation.Model
	workDone           map[classKey]*admission.Meter // rates of work, by class
	schedule           scheduleState
	order              jobOrder
	starts             startWindow
	advice             adviceState
	loadInFlight       bool // a write of the load is in flight
	pressuresWrittenAt Instant
	pressuresRejected  bool              // the store rejects the row of the learned pressures
	logged             map[tableKey]bool // rows for which logOnce has written a line
}

// tableKey identifies a row.
type tableKey struct {
	table Table
	key   string
}

// maxLoggedRows bounds the rows that are remembered as logged.
const maxLoggedRows = 1000

// logUnreadable logs a row that cannot be used, once for each row: its writer may
// write it again and again.
func (l *leaderState) logUnreadable(t Table, r Row, part, action string) {
	l.logOnce(t, r.Key, Decision{Part: part, Action: action, Subject: r.Key, Number: uint64(r.Version)})
}

// logOnce logs a decision about a row, once for each row.
func (l *leaderState) logOnce(t Table, rowKey string, d Decision) {
	key := tableKey{t, rowKey}
	if l.logged[key] || len(l.logged) >= maxLoggedRows {
		return
	}
	l.logged[key] = true
	l.state.logDecision(d)
}

// becomeLeader creates the leader's state after a takeover that was sent at sentAt,
// and starts to read the tables.
func becomeLeader(s *State, of *leadership, attempt takeover, storeMS int64) {
	l := &leaderState{
		state: s, shard: of.shard, epoch: attempt.epoch, leaderVersion: of.leaderVersion, tookOverAt: s.now,
		leaseValidUntil: attempt.sentAt + leaderLease, storeClockMS: storeMS, storeClockAt: s.now, storeClockSentAt: attempt.sentAt,
		loadingTables: make(map[Table]bool), jobs: make(map[structs.JobID]*job), entries: make(map[structs.WorkerID]structs.WorkerEntry),
		otherEntries: make(map[structs.WorkerID]structs.WorkerEntry), absentSince: make(map[string]Instant),
		workers: make(map[structs.WorkerID]*worker), cancelled: make(map[structs.JobID]bool),
		orphanedCancels: make(map[structs.JobID]Instant),
		loadedProgress:  make(map[structs.JobID]structs.Progress), loadedGroups: make(map[structs.JobID]map[string]ProgressGroupRow),
		unreconciled: make(map[structs.WorkerID]bool),
		logged:       make(map[tableKey]bool), interference: newInterference(of.pressures),
	}
	l.commits.init(of.leaderVersion)
	l.starts.init()
	l.advice.steps = make(map[stepKey]*stepAdvice)
	s.leaders = append(s.leaders, l)
	slices.SortFunc(s.leaders, func(a, b *leaderState) int { return int(a.shard - b.shard) })
	for id, address := range of.usedWorkers.Workers {
		w := l.addWorker(id)
		w.entry.Address, w.usedAddress, w.used = address, address, true
		l.unreconciled[id] = true
		if end, known := of.usedWorkers.LeasesEndMS[id]; known {
			w.foreign.endBy = max(s.now+time.Duration(end-storeMS)*time.Millisecond, 0)
			w.foreign.storedEndBy = w.foreign.endBy
		}
		if end, known := of.usedWorkers.RunsEndMS[id]; known && of.usedWorkers.Epoch == attempt.epoch-1 {
			w.endPublished = true
			w.inheritedEnd = max(s.now+time.Duration(end-storeMS)*time.Millisecond, 1)
		}
	}
	l.loadingTables[TableProgress] = true
	l.readProgress("")
	l.follow(TableShards, func(rows []Row, _ bool) { s.applyShardRows(rows) })
	l.follow(TableJobs, l.applyJobRows)
	l.follow(TableCancels, l.applyCancelRows)
	l.follow(TableWorkers, l.applyWorkerRows)
	l.renewLoop()
	l.expireLoop()
	l.publishLoad()
	l.moveLoop()
}

// follow watches a table while this host leads the shard.
func (l *leaderState) follow(t Table, apply func([]Row, bool)) {
	l.loadingTables[t] = true
	l.state.watchTable(watchKey{t, l.shard}, apply, func() { l.tableLoaded(t) })
}

// readProgress reads the progress of all jobs once, from a key on. Only the
// leader writes progress, so it need not be read again.
func (l *leaderState) readProgress(from string) {
	l.state.readPage(TableProgress, l.shard.partition(), from, func(r RowsRead, _ Instant) {
		if l.steppedDown {
			return
		}
		if r.Outcome != structs.OutcomeDone {
			l.state.after(storeRetryDelay, func() { l.readProgress(from) })
			return
		}
		for _, row := range r.Rows {
			l.applyProgressRow(row)
		}
		if r.More && len(r.Rows) > 0 {
			l.readProgress(r.Rows[len(r.Rows)-1].Key + "\x00")
			return
		}
		l.tableLoaded(TableProgress)
	})
}

func (l *leaderState) applyProgressRow(row Row) {
	switch v := row.Value.(type) {
	case ProgressRow:
		l.loadedProgress[structs.JobID(row.Key)] = v.Progress
	case ProgressGroupRow:
		id, _ := jobOfProgressGroup(row.Key)
		if l.loadedGroups[id] == nil {
			l.loadedGroups[id] = make(map[string]ProgressGroupRow)
		}
		l.loadedGroups[id][row.Key] = v
	default:
		l.logUnreadable(TableProgress, row, "job", "progress cannot be read")
	}
}

// tableLoaded is called when a table has been read. Once all have been read, it
// admits the jobs and synchronizes the workers.
func (l *leaderState) tableLoaded(t Table) {
	if l.steppedDown {
		return
	}
	delete(l.loadingTables, t)
	if len(l.loadingTables) > 0 || l.loadedAt > 0 {
		return
	}
	l.loadedAt = l.state.now
	l.state.logDecision(Decision{Part: "leader", Action: "state read from the store", Subject: l.state.self.Host, Where: l.shard.String(), Number: uint64(l.epoch), Age: l.state.now - l.tookOverAt})
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.admit(l.jobs[id])
	}
	l.removeOrphanedGroups()
	l.loadedProgress, l.loadedGroups = nil, nil
	l.applyAssignedEntries()
	l.assignRacks()
	l.logUnknownZones()
	for _, id := range l.workerIDs {
		w := l.workers[id]
		w.syncSoon()
		if w.inheritedEnd > 0 {
			l.commits.usedWorkersChanged = true // a later leader trusts the times of this one only
			w.awaitRunsEnd()
		}
	}
	l.schedule.requestPass()
}

// removeOrphanedGroups removes further rows of progress whose job and first row a former
// leader has removed.
func (l *leaderState) removeOrphanedGroups() {
	for _, id := range slices.Sorted(maps.Keys(l.loadedGroups)) {
		if _, known := l.loadedProgress[id]; !known {
			l.commits.removedProgress = append(l.commits.removedProgress, slices.Sorted(maps.Keys(l.loadedGroups[id]))...)
		}
	}
}

// isLoaded reports whether all tables have been read.
func (l *leaderState) isLoaded() bool { return l.loadedAt > 0 }

// leaseValid reports whether the lease allows commands to workers now.
func (l *leaderState) leaseValid() bool { return !l.steppedDown && l.state.now < l.leaseValidUntil }

// releaseLeadership ends the lease early so that another host can take over at once.
func (l *leaderState) releaseLeadership(reason string) {
	if l.commits.releaseReason != "" {
		return
	}
	l.commits.releaseReason = reason
	l.leaseValidUntil = min(l.leaseValidUntil, l.state.now) // no further commands
	l.flush()
}

// canRelease reports whether the next commit may release the lead: a start that is still on
// its way could reach a worker that does not know the next leader's epoch any more.
func (l *leaderState) canRelease() bool {
	return l.commits.releaseReason != "" && l.starts.inFlight == 0
}

// stepDown drops the leader's state.
func (l *leaderState) stepDown(reason string) {
	if l.steppedDown {
		return
	}
	l.steppedDown = true
	s := l.state
	s.leaders = slices.DeleteFunc(s.leaders, func(o *leaderState) bool { return o == l })
	for _, t := range []Table{TableShards, TableJobs, TableCancels, TableWorkers} {
		s.stopWatch(watchKey{t, l.shard})
	}
	s.reportEvacuations()
	s.logDecision(Decision{Part: "leader", Action: "gave up the lead", Subject: s.self.Host, Where: l.shard.String(), Reason: reason, Number: uint64(l.epoch)})
}

// renewLoop renews the lease while nothing else is committed.
func (l *leaderState) renewLoop() {
	if l.steppedDown {
		return
	}
	if l.state.now-l.commits.lastSentAt >= leaseRenewInterval {
		l.flush()
	}
	l.state.after(leaseRenewInterval/2, l.renewLoop)
}

// runDeferred does the work that handlers of the event have requested.
func (l *leaderState) runDeferred() {
	if l.steppedDown {
		return
	}
	l.schedulePass()
	l.scheduleFlush()
}

// configChanged applies the entries whose services are configured now, and requests a
// pass, since policies may have changed.
func (l *leaderState) configChanged() {
	l.admitEntries()
	l.schedule.requestPass()
}

// after calls fire once d has passed, unless this host has stepped down.
func (l *leaderState) after(d time.Duration, fire func()) {
	l.state.after(d, func() {
		if !l.steppedDown {
			fire()
		}
	})
}
