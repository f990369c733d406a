package scheduler

import (
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// usedWorkers returns the workers on which runs may be started or may still exist. Those
// that the row has no room for are not used.
func (l *leaderState) usedWorkers() UsedWorkersRow {
	u := UsedWorkersRow{
		Workers: make(map[structs.WorkerID]string), RunsEndMS: make(map[structs.WorkerID]int64),
		LeasesEndMS: make(map[structs.WorkerID]int64), Epoch: l.epoch,
	}
	size := u.bytes()
	add := func(w *worker) {
		size += usedWorkerBytes(w.id, w.entry.Address)
		if size > l.state.bounds.rowLimit() {
			l.logOnce(TableControl, string(w.id), Decision{Part: "worker", Action: "not used", Subject: string(w.id), Reason: "the list of used workers is full"})
			return
		}
		u.Workers[w.id] = w.entry.Address
		if w.failedSyncs > 0 {
			u.RunsEndMS[w.id] = l.storeTimeOf(w.allRunsEndedAt(l.state.bounds))
		}
		if w.foreign.endBy > l.state.now {
			u.LeasesEndMS[w.id] = l.storeTimeOf(w.foreign.endBy)
		}
	}
	for _, used := range []bool{true, false} { // those that may have runs come first
		for _, id := range l.workerIDs {
			if w := l.workers[id]; w.used == used && (w.used || w.listsRead) {
				add(w)
			}
		}
	}
	return u
}

// usedWorkersSent records which ends of runs and leases a commit contains: the store may
// perform it without an answer.
func (l *leaderState) usedWorkersSent(u UsedWorkersRow) {
	for _, id := range l.workerIDs {
		l.workers[id].foreign.sentEndBy = l.workers[id].foreign.endBy
	}
	for id := range u.RunsEndMS {
		l.workers[id].endPublished = true
	}
}

// usedWorkersStored allows starts on the workers that the store now lists as used.
func (l *leaderState) usedWorkersStored(u UsedWorkersRow) {
	for _, id := range l.workerIDs {
		w := l.workers[id]
		w.usedAddress, w.used = u.Workers[id]
		_, w.endPublished = u.RunsEndMS[id]
		if w.used {
			w.foreign.storedEndBy = w.foreign.sentEndBy
		}
	}
	l.schedule.requestPass()
}

// storeTimeOf returns an upper bound of the time on the store's clock at an instant. The
// clock in the last answer was read after the call was sent.
func (l *leaderState) storeTimeOf(at Instant) int64 {
	return l.storeClockMS + (at - l.storeClockSentAt + leaderLeaseMargin).Milliseconds()
}
