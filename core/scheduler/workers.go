package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// worker is the leader's state of one worker.
type worker struct {
	leader *leaderState
	id     structs.WorkerID
	entry  structs.WorkerEntry
	listed bool // it is in the platform's list
	used   bool // it is in the stored list of used workers; nothing is started on others

	usedAddress string // its address in that list, where a later leader asks for its runs

	listsRead          bool    // its lists have been read completely under this epoch
	moreEnded          bool    // its last answer did not list all ends
	firstAskedAt       Instant // when this leader sent its first sync; 0: not yet
	answeredSyncSentAt Instant // when the last answered sync was sent
	syncedAt           Instant // when the last sync was answered
	incarnation        int64   // start time that identifies its incarnation; 0: not known
	incarnationSeenAt  Instant // when a restart was last detected
	clockMS            int64   // its clock at clockAt
	clockAt            Instant
	sentLeaseEnd       int64   // latest lease end that was sent, in ms on its clock
	leaseSentAt        Instant // when a lease end was last sent
	inheritedEnd       Instant // when all runs that former leaders started have certainly ended, as the last one stored it; 0: not known
	endPublished       bool    // the stored list of used workers may tell when its runs end, so that no lease is granted
	foreign            foreignLeases

	syncInFlight bool
	nextSyncAt   Instant // 0: no sync is scheduled
	syncSeq      uint64
	failedSyncs  int // consecutive syncs without an answer

	lateStarts []lateStart

	runs           map[runKey]*run
	reserved       structs.Resources // by its runs
	usedMilliCores int64             // CPU that its runs are expected to use
	colocated      colocation.Worker // the serving and best-effort tasks that share its CPU
	bestEffort     []*run            // runs that use idle CPU, in the order of colocated

	acks ackState // of the ends that its incarnation lists

	kept keptRoom // for a persistent task that waits

	leavesAt          Instant // of a draining worker: the earliest time at which it leaves
	coldUntil         Instant // it is slow after its start until then
	startsPausedUntil Instant
	quarantinedUntil  Instant
	record            failureRecord

	guard colocation.Guard
}

// applyWorkerRows applies rows of the platform's list of workers.
func (l *leaderState) applyWorkerRows(rows []Row, all bool) {
	if all {
		clear(l.entries)
		clear(l.otherEntries)
		for _, id := range l.workerIDs {
			l.workers[id].listed = false
		}
	}
	for _, r := range rows {
		id := structs.WorkerID(r.Key)
		v, ok := r.Value.(WorkerRow)
		switch {
		case r.Removed:
			l.forgetEntry(id)
			if w := l.workers[id]; w != nil {
				w.listed = false
				l.state.logDecision(Decision{Part: "worker", Action: "left the list", Subject: r.Key, Number: uint64(r.Version)})
			}
		case !ok:
			l.forgetEntry(id)
			if w := l.workers[id]; w != nil {
				w.listed = false
			}
			l.logUnreadable(TableWorkers, r, "worker", "entry cannot be read")
		case l.workers[id] == nil && !l.state.config.namesService(v.Service):
			l.forgetEntry(id)
			l.otherEntries[id] = v.WorkerEntry
			l.logUnreadable(TableWorkers, r, "worker", "entry names a service that is not configured")
		default:
			delete(l.otherEntries, id)
			l.entries[id] = v.WorkerEntry
			if l.isMine(id, &v.WorkerEntry) {
				l.applyEntry(id, v.WorkerEntry)
			}
		}
	}
	l.assignRacks()
	l.schedule.requestPass()
}

func (l *leaderState) forgetEntry(id structs.WorkerID) {
	delete(l.entries, id)
	delete(l.otherEntries, id)
}

// admitEntries applies the entries whose services are configured now.
func (l *leaderState) admitEntries() {
	for _, id := range slices.Sorted(maps.Keys(l.otherEntries)) {
		e := l.otherEntries[id]
		if !l.state.config.namesService(e.Service) {
			continue
		}
		delete(l.otherEntries, id)
		l.entries[id] = e
		if l.isMine(id, &e) {
			l.applyEntry(id, e)
		}
	}
	l.assignRacks()
}

func (l *leaderState) applyEntry(id structs.WorkerID, e structs.WorkerEntry) {
	w := l.addWorker(id)
	if e.Draining && !w.entry.Draining {
		l.state.logDecision(Decision{Part: "worker", Action: "drains", Subject: string(id), Age: e.LeavesIn})
		w.leavesAt = l.state.now + e.LeavesIn
	}
	if !w.listed {
		l.state.logDecision(Decision{Part: "worker", Action: "listed", Subject: string(id), Where: e.Address})
	}
	// Entries are written with each heartbeat; only a changed one is worth a sync. Another start
	// time does not prove a restart, since an entry may be older than the lists that are known.
	changed := !w.listed || w.entry.Address != e.Address || w.entry.Draining != e.Draining || w.entry.Incarnation != e.Incarnation
	if w.used && w.usedAddress != e.Address {
		l.commits.usedWorkersChanged = true
	}
	w.entry, w.listed = e, true
	w.colocated.MilliCores = e.Capacity.MilliCores
	w.coldUntil = l.state.now + e.ColdFor
	if changed && l.isLoaded() {
		w.syncSoon()
	}
}

// entryIsCurrent reports whether the worker's entry is of the incarnation that answers. The
// next incarnation may have other labels and another capacity.
func (w *worker) entryIsCurrent() bool {
	return w.entry.Incarnation == 0 || w.incarnation == 0 || w.entry.Incarnation == w.incarnation
}

// addWorker returns the worker with the ID, and creates it if it does not exist.
func (l *leaderState) addWorker(id structs.WorkerID) *worker {
	if w := l.workers[id]; w != nil {
		return w
	}
	w := &worker{leader: l, id: id, runs: make(map[runKey]*run), guard: colocation.NewGuard()}
	w.colocated.Model = l.interference
	l.workers[id] = w
	at, _ := slices.BinarySearch(l.workerIDs, id)
	l.workerIDs = slices.Insert(l.workerIDs, at, id)
	return w
}

func (w *worker) addRun(r *run) {
	w.runs[r.key()] = r
	w.reserved = w.reserved.Add(reservation(r.step))
	r.job.activeRuns++
	w.addColocated(r)
	r.usedMilliCores = r.expectedMilliCores(w.leader.state.now)
	w.usedMilliCores += r.usedMilliCores
}

func (w *worker) removeRun(r *run) {
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	w.reserved = w.reserved.Sub(reservation(r.step))
	w.usedMilliCores -= r.usedMilliCores
	r.job.activeRuns--
	r.job.lastRunEndedAt = w.leader.state.now
	w.bestEffort = slices.DeleteFunc(w.bestEffort, func(o *run) bool { return o == r })
	w.colocated.Remove(r.serving, r.bestEffort)
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		switch {
		case a.ref.Less(b.ref):
			return -1
		case b.ref.Less(a.ref):
			return 1
		}
		return cmp.Compare(a.id, b.id)
	})
}
