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
	s          *State
	epoch      structs.Epoch
	took       Instant         // when the lead was taken
	version    structs.Version // of the leader's row
	validUntil Instant         // the lease as this host may count on it
	over       bool

	storeMS int64 // the store's clock at storeAt
	storeAt Instant

	loading  map[Table]bool // tables that have not been read completely
	loadedAt Instant        // 0 while loading

	jobs    map[structs.JobID]*job
	order   []*job // jobs that are not final, in the order in which they became known
	workers map[structs.WorkerID]*worker
	ids     []structs.WorkerID // of workers, sorted

	// unaccounted holds the workers that former leaders used and whose runs are
	// neither known nor certainly over. Tasks that a former leader may have
	// started wait until it is empty.
	unaccounted map[structs.WorkerID]bool

	early map[structs.JobID]structs.Progress // progress as read from the store, until jobs are taken up

	commits      commitState
	interference *interference
	schedule     scheduleState
	advice       adviceState
	pending      map[string]int // queue lengths as last written
	pendingAt    Instant
	// pressuresAt is when the learned pressures were last written.
	pressuresAt Instant
}

func newLeader(s *State, epoch structs.Epoch, version structs.Version, sent Instant, storeMS int64) {
	l := &leaderState{
		s: s, epoch: epoch, version: version, took: s.now, validUntil: sent + leadLease, storeMS: storeMS, storeAt: s.now,
		loading: map[Table]bool{TableJobs: true, TableProgress: true, TableCancels: true, TableWorkers: true},
		jobs:    make(map[structs.JobID]*job), workers: make(map[structs.WorkerID]*worker),
		early: make(map[structs.JobID]structs.Progress), unaccounted: make(map[structs.WorkerID]bool), interference: newInterference(s.lead.pressures),
	}
	l.commits.init(version)
	l.advice.steps = make(map[stepKey]*stepAdvice)
	s.leader = l
	for id, address := range s.lead.used.Workers {
		w := l.addWorker(id)
		w.entry.Address, w.used = address, true
		l.unaccounted[id] = true
	}
	l.readProgress("")
	s.watchTable(TableJobs, l.jobRows, func() { l.loaded(TableJobs) })
	s.watchTable(TableCancels, l.cancelRows, func() { l.loaded(TableCancels) })
	s.watchTable(TableWorkers, l.workerRows, func() { l.loaded(TableWorkers) })
	l.renewLoop()
	l.expireLoop()
}

// readProgress reads the progress of all jobs once. Nobody else writes it
// afterwards, but for the first row of a new job.
func (l *leaderState) readProgress(from string) {
	l.s.read(ReadRows{Table: TableProgress, From: from}, func(r RowsRead) {
		if l.over {
			return
		}
		if r.Outcome != structs.OutcomeDone {
			l.s.after(storeRetry, func() { l.readProgress(from) })
			return
		}
		for _, row := range r.Rows {
			p, ok := row.Value.(ProgressRow)
			if !ok {
				l.s.decide(Decision{Part: "job", Action: "progress cannot be read", Subject: row.Key, Number: uint64(row.Version)})
				continue
			}
			l.early[structs.JobID(row.Key)] = p.Progress
		}
		if r.More && len(r.Rows) > 0 {
			l.readProgress(r.Rows[len(r.Rows)-1].Key + "\x00")
			return
		}
		l.loaded(TableProgress)
	})
}

// loaded is called when a table has been read. Once all are, jobs are taken up.
func (l *leaderState) loaded(t Table) {
	if l.over {
		return
	}
	delete(l.loading, t)
	if len(l.loading) > 0 || l.loadedAt > 0 {
		return
	}
	l.loadedAt = l.s.now
	l.s.decide(Decision{Part: "leader", Action: "state read from the store", Subject: l.s.self.Host, Number: uint64(l.epoch), Age: l.s.now - l.took})
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.takeUp(l.jobs[id])
	}
	l.early = nil
	for _, id := range l.ids {
		l.workers[id].holdSoon()
	}
	l.schedule.request()
}

// isLoaded reports whether all tables have been read.
func (l *leaderState) isLoaded() bool { return l.loadedAt > 0 }

// valid reports whether the lease allows orders now.
func (l *leaderState) valid() bool { return !l.over && l.s.now < l.validUntil }

// release gives the lead up so that another host can take it at once.
func (l *leaderState) release(reason string) {
	if l.commits.releasing != "" {
		return
	}
	l.commits.releasing = reason
	l.validUntil = min(l.validUntil, l.s.now) // no further orders
	l.flush()
}

// depose drops all state of the leader.
func (l *leaderState) depose(reason string) {
	if l.over {
		return
	}
	l.over = true
	s := l.s
	s.leader = nil
	s.stopWatch(TableJobs)
	s.stopWatch(TableCancels)
	s.stopWatch(TableWorkers)
	s.decide(Decision{Part: "leader", Action: "gave up the lead", Subject: s.self.Host, Reason: reason, Number: uint64(l.epoch)})
}

// renewLoop keeps the lease while nothing else is written.
func (l *leaderState) renewLoop() {
	if l.over {
		return
	}
	if l.s.now-l.commits.lastSent >= leadRenew {
		l.flush()
	}
	l.s.after(leadRenew/2, l.renewLoop)
}

// settle does the work that the last event asked for.
func (l *leaderState) settle() {
	if l.over {
		return
	}
	l.runSchedule()
	l.flushSoon()
}

// configChanged looks at all queues again.
func (l *leaderState) configChanged() { l.schedule.request() }

// after calls fire once the time has passed, unless the lead was lost.
func (l *leaderState) after(d time.Duration, fire func()) {
	l.s.after(d, func() {
		if !l.over {
			fire()
		}
	})
}
