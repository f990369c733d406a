package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// leaderState is the state of the host that schedules. It is built from the
// store and the workers' lists when the host takes the lead, and dropped when
// the host loses it.
type leaderState struct {
	state           *State
	epoch           structs.Epoch
	tookOverAt      Instant         // when the lead was taken
	leaderVersion   structs.Version // of the leader's row
	leaseValidUntil Instant         // the lease as this host may count on it
	steppedDown     bool

	storeClockMS int64 // the store's clock at storeAt
	storeClockAt Instant

	loadingTables map[Table]bool // tables that have not been read completely
	loadedAt      Instant        // 0 while loading

	jobs      map[structs.JobID]*job
	openJobs  []*job // jobs that are not final, in the order in which they became known
	workers   map[structs.WorkerID]*worker
	workerIDs []structs.WorkerID // of workers, sorted

	// unaccounted holds the workers that former leaders used and whose runs are
	// neither known nor certainly over. Tasks that a former leader may have
	// started wait until it is empty.
	unreconciled map[structs.WorkerID]bool

	loadedProgress map[structs.JobID]structs.Progress // progress as read from the store, until jobs are taken up

	commits               commitState
	interference          *interferenceModel
	schedule              scheduleState
	advice                adviceState
	writtenQueueLengths   map[string]int // queue lengths as last written
	queueLengthsWrittenAt Instant
	// pressuresAt is when the learned pressures were last written.
	pressuresWrittenAt Instant
}

func becomeLeader(s *State, epoch structs.Epoch, version structs.Version, sentAt Instant, storeMS int64) {
	l := &leaderState{
		state: s, epoch: epoch, leaderVersion: version, tookOverAt: s.now, leaseValidUntil: sentAt + leaderLease, storeClockMS: storeMS, storeClockAt: s.now,
		loadingTables: map[Table]bool{TableJobs: true, TableProgress: true, TableCancels: true, TableWorkers: true},
		jobs:          make(map[structs.JobID]*job), workers: make(map[structs.WorkerID]*worker),
		loadedProgress: make(map[structs.JobID]structs.Progress), unreconciled: make(map[structs.WorkerID]bool), interference: newInterference(s.leadership.pressures),
	}
	l.commits.init(version)
	l.advice.steps = make(map[stepKey]*stepAdvice)
	s.leader = l
	for id, address := range s.leadership.usedWorkers.Workers {
		w := l.addWorker(id)
		w.entry.Address, w.used = address, true
		l.unreconciled[id] = true
	}
	l.readProgress("")
	s.watchTable(TableJobs, l.applyJobRows, func() { l.tableLoaded(TableJobs) })
	s.watchTable(TableCancels, l.applyCancelRows, func() { l.tableLoaded(TableCancels) })
	s.watchTable(TableWorkers, l.applyWorkerRows, func() { l.tableLoaded(TableWorkers) })
	l.renewLoop()
	l.expireLoop()
}

// readProgress reads the progress of all jobs once. Nobody else writes it
// afterwards, but for the first row of a new job.
func (l *leaderState) readProgress(from string) {
	l.state.read(ReadRows{Table: TableProgress, From: from}, func(r RowsRead) {
		if l.steppedDown {
			return
		}
		if r.Outcome != structs.OutcomeDone {
			l.state.after(storeRetryDelay, func() { l.readProgress(from) })
			return
		}
		for _, row := range r.Rows {
			p, ok := row.Value.(ProgressRow)
			if !ok {
				l.state.logDecision(Decision{Part: "job", Action: "progress cannot be read", Subject: row.Key, Number: uint64(row.Version)})
				continue
			}
			l.loadedProgress[structs.JobID(row.Key)] = p.Progress
		}
		if r.More && len(r.Rows) > 0 {
			l.readProgress(r.Rows[len(r.Rows)-1].Key + "\x00")
			return
		}
		l.tableLoaded(TableProgress)
	})
}

// loaded is called when a table has been read. Once all are, jobs are taken up.
func (l *leaderState) tableLoaded(t Table) {
	if l.steppedDown {
		return
	}
	delete(l.loadingTables, t)
	if len(l.loadingTables) > 0 || l.loadedAt > 0 {
		return
	}
	l.loadedAt = l.state.now
	l.state.logDecision(Decision{Part: "leader", Action: "state read from the store", Subject: l.state.self.Host, Number: uint64(l.epoch), Age: l.state.now - l.tookOverAt})
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.admit(l.jobs[id])
	}
	l.loadedProgress = nil
	for _, id := range l.workerIDs {
		l.workers[id].pollSoon()
	}
	l.schedule.requestPass()
}

// isLoaded reports whether all tables have been read.
func (l *leaderState) isLoaded() bool { return l.loadedAt > 0 }

// valid reports whether the lease allows orders now.
func (l *leaderState) leaseValid() bool { return !l.steppedDown && l.state.now < l.leaseValidUntil }

// release gives the lead up so that another host can take it at once.
func (l *leaderState) releaseLeadership(reason string) {
	if l.commits.releaseReason != "" {
		return
	}
	l.commits.releaseReason = reason
	l.leaseValidUntil = min(l.leaseValidUntil, l.state.now) // no further orders
	l.flush()
}

// depose drops all state of the leader.
func (l *leaderState) stepDown(reason string) {
	if l.steppedDown {
		return
	}
	l.steppedDown = true
	s := l.state
	s.leader = nil
	s.stopWatch(TableJobs)
	s.stopWatch(TableCancels)
	s.stopWatch(TableWorkers)
	s.logDecision(Decision{Part: "leader", Action: "gave up the lead", Subject: s.self.Host, Reason: reason, Number: uint64(l.epoch)})
}

// renewLoop keeps the lease while nothing else is written.
func (l *leaderState) renewLoop() {
	if l.steppedDown {
		return
	}
	if l.state.now-l.commits.lastSentAt >= leaseRenewInterval {
		l.flush()
	}
	l.state.after(leaseRenewInterval/2, l.renewLoop)
}

// settle does the work that the last event asked for.
func (l *leaderState) runDeferred() {
	if l.steppedDown {
		return
	}
	l.schedulePass()
	l.scheduleFlush()
}

// configChanged looks at all queues again.
func (l *leaderState) configChanged() { l.schedule.requestPass() }

// after calls fire once the time has passed, unless the lead was lost.
func (l *leaderState) after(d time.Duration, fire func()) {
	l.state.after(d, func() {
		if !l.steppedDown {
			fire()
		}
	})
}
