package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// syncWait is how long a worker waits for the end of a run before it answers a sync.
	syncWait = 1000 * time.Millisecond
	// sharedSyncWait replaces syncWait on workers with serving and best-effort tasks,
	// whose tail latencies are needed more often.
	sharedSyncWait = 500 * time.Millisecond
	// syncTimeoutSlack is added to the wait of a sync as its timeout. A dead
	// connection costs one sync.
	syncTimeoutSlack = 1200 * time.Millisecond
	// minSyncInterval separates syncs of one worker, so that one sync returns several
	// ends.
	minSyncInterval = 60 * time.Millisecond
	// idleSyncInterval separates syncs of a worker without runs.
	idleSyncInterval = 3 * time.Second
	// persistentSyncInterval separates syncs of a worker with only persistent tasks.
	persistentSyncInterval = 500 * time.Millisecond
	// syncRetryInterval separates syncs of a worker that does not answer.
	syncRetryInterval = 300 * time.Millisecond
)

// syncSoon schedules a sync as soon as minSyncInterval allows.
func (w *worker) syncSoon() { w.syncIn(max(0, w.syncedAt+minSyncInterval-w.leader.state.now)) }

// syncIn schedules the next sync unless an earlier one is scheduled.
func (w *worker) syncIn(d time.Duration) {
	at := w.leader.state.now + d
	if w.syncInFlight || (w.nextSyncAt > 0 && w.nextSyncAt <= at) {
		return
	}
	w.nextSyncAt = max(at, 1)
	w.syncSeq++
	seq := w.syncSeq
	w.leader.after(d, func() {
		if w.syncSeq == seq && !w.syncInFlight {
			w.syncNow()
		}
	})
}

// syncNow renews the worker's lease, acknowledges ends and reads its lists.
func (w *worker) syncNow() {
	l := w.leader
	w.nextSyncAt = 0
	if w.entry.Address == "" || l.workers[w.id] != w || !l.isLoaded() {
		return
	}
	if !l.leaseValid() {
		w.syncIn(syncRetryInterval)
		return
	}
	e := SyncWorker{WorkerCommand: l.newCommand(w)}
	if !w.hasRunOfUnknownIncarnation() {
		e.AckedThrough = w.acks.next()
	}
	w.acks.inFlight = e.AckedThrough > 0
	// The lease of a worker that does not answer is not renewed: otherwise each sync
	// would postpone the time after which its runs are certainly over. A worker without runs
	// needs no lease, and a later incarnation could take its end for a longer one.
	if (w.listsRead || w.moreEnded) && w.failedSyncs == 0 && !w.endPublished {
		if len(w.runs) > 0 {
			e.LeaseEndMS = w.newLeaseEnd(l.state.now, l.state.bounds)
			w.recordLeaseEnd(e.LeaseEndMS)
		}
		e.Wait = w.syncWaitTime()
	}
	e.Timeout = e.Wait + syncTimeoutSlack
	w.syncInFlight = true
	sent := l.state.now
	if w.firstAskedAt == 0 {
		w.firstAskedAt = sent
	}
	e.ID = l.state.expectOutcome(func(body EventBody) {
		w.syncInFlight, w.acks.inFlight = false, false
		if !l.steppedDown && l.workers[w.id] == w {
			w.handleSyncAnswer(body.(WorkerSynced), e, sent)
		}
	})
	l.state.emit(e)
}

// syncWaitTime returns how long the worker waits for an end before it answers a
// sync.
func (w *worker) syncWaitTime() time.Duration {
	switch {
	case !w.runsFiniteTask() || !w.listsRead || w.moreEnded || w.acks.due():
		return 0
	case w.colocated.Shared():
		return sharedSyncWait
	}
	return syncWait
}

// runsFiniteTask reports whether the worker runs a task that ends by itself.
func (w *worker) runsFiniteTask() bool {
	for _, r := range w.runs {
		if !r.step.Persistent && r.phase == phaseRunning {
			return true
		}
	}
	return false
}

// handleSyncAnswer applies the answer to a sync that was sent at sent.
func (w *worker) handleSyncAnswer(h WorkerSynced, e SyncWorker, sent Instant) {
	l := w.leader
	if h.Outcome != structs.OutcomeDone {
		w.handleFailedSync(h, e.Address)
		return
	}
	if w.answeredByEarlier(h.Incarnation, sent) {
		w.syncIn(syncRetryInterval)
		return
	}
	if w.incarnation != 0 && h.Incarnation != 0 && h.Incarnation != w.incarnation {
		former := w.sentLeaseEnd
		w.handleRestart(h.Incarnation, shownByLists)
		if e.LeaseEndMS > 0 || len(w.runs) > 0 {
			w.boundLeasesAhead(h.ClockMS, former)
		}
	}
	l.commits.usedWorkersChanged = l.commits.usedWorkersChanged || w.endPublished
	w.failedSyncs = 0
	w.answeredSyncSentAt, w.syncedAt = sent, l.state.now
	if h.Incarnation != 0 {
		w.incarnation = h.Incarnation
	}
	w.observeClock(h.ClockMS)
	if e.AckedThrough > 0 && sent >= w.incarnationSeenAt {
		w.acks.answered(e.AckedThrough, l.state.now)
	}
	w.handleEnds(h.Ended)
	w.moreEnded = h.MoreEnded
	w.reconcile(h.Active, sent)
	if !w.listsRead && !w.moreEnded {
		w.listsRead = true
		l.state.logDecision(Decision{Part: "worker", Action: "lists read", Subject: string(w.id), Number: uint64(l.epoch)})
		l.commits.usedWorkersChanged = l.commits.usedWorkersChanged || !w.used
		l.markReconciled(w.id)
	}
	w.updateThrottle()
	w.moveStalledRuns()
	w.moveFromDrainingWorker()
	w.moveFromEvacuatedZone()
	l.schedule.requestPass()
	w.scheduleNextSync()
}

// scheduleNextSync schedules the next sync after an answered one.
func (w *worker) scheduleNextSync() {
	switch {
	case w.runsFiniteTask() || len(w.acks.pending) > 0 || w.acks.due() || w.moreEnded:
		w.syncSoon()
	case len(w.runs) > 0:
		w.syncIn(persistentSyncInterval)
	case w.listed:
		w.syncIn(idleSyncInterval)
	}
}

// handleFailedSync handles a sync to an address that was refused or not answered.
func (w *worker) handleFailedSync(h WorkerSynced, address string) {
	l := w.leader
	switch h.Refused {
	case RefusedEpoch:
		l.stepDown("a worker has seen a higher epoch")
		return
	case RefusedIncarnation:
		if w.handleMisdirected(address) {
			return
		}
	}
	w.failedSyncs++
	if w.failedSyncs == 1 {
		l.commits.usedWorkersChanged = l.commits.usedWorkersChanged || w.used
		w.awaitRunsEnd()
		l.state.logDecision(Decision{Part: "worker", Action: "does not answer", Subject: string(w.id), Where: w.entry.Address, Reason: outcomeName(h.Outcome), Age: l.state.now - w.answeredSyncSentAt})
	}
	if l.state.now >= w.allRunsEndedAt(l.state.bounds) {
		if w.handleRunsEnd(); l.workers[w.id] != w {
			return
		}
	}
	w.syncIn(syncRetryInterval)
}
