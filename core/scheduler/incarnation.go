package scheduler

import "github.com/tamarackstep/tamarackstep/core/colocation"

// What the leader knows of the incarnations of a worker. Only lists of runs, the answers to
// syncs, certainly name the incarnation that answers; entries, clocks and addresses do not
// prove anything about it.

// What showed that a worker has started again, as logs name it.
const (
	shownByLists   = "its lists of runs"
	shownByCommand = "the answer to a command"
)

// handleRestart handles a new incarnation of the worker. The runs that the old one is
// known to have confirmed ended with it. The new one may have carried out the other
// starts, so that these runs are kept until its lists are read.
func (w *worker) handleRestart(incarnation int64, shownBy string) {
	l := w.leader
	l.state.logDecision(Decision{
		Part: "worker", Action: "started again", Subject: string(w.id), Number: uint64(incarnation), Reason: shownBy, Age: l.state.now - w.answeredSyncSentAt,
	})
	for _, r := range w.sortedRuns() {
		if w.confirmedByKnownIncarnation(r) {
			l.runLost(r, "the worker started again, confirmed before its last lists")
		} else {
			l.keepRun(r)
		}
	}
	w.incarnationSeenAt = l.state.now
	w.incarnation, w.listsRead, w.moreEnded = incarnation, false, false
	w.acks = ackState{inFlight: w.acks.inFlight}
	w.sentLeaseEnd, w.clockMS = 0, 0
	w.guard = colocation.NewGuard()
	w.record.failures = nil
	w.refuseLateStarts()
	w.syncSoon()
}

// keepRun keeps a run that the next incarnation of its worker may have started. That one has
// not seen a stop that the former one acknowledged.
func (l *leaderState) keepRun(r *run) {
	l.state.logDecision(Decision{
		Part: "task", Action: "run kept", Subject: taskName(r.ref), Where: string(r.worker.id), Number: uint64(r.id),
		Reason: "the next incarnation may have started it", Age: l.state.now - r.startSentAt,
	})
	r.stopAckedAt = 0
	if r.stopRequestedAt > 0 {
		l.sendStop(r)
	}
}

// answeredByEarlier reports whether an incarnation before the known one answered a sync
// that was sent at sent. A lower start time alone does not show it: the worker's time of day
// may have jumped back between two starts.
func (w *worker) answeredByEarlier(incarnation int64, sent Instant) bool {
	return incarnation != 0 && incarnation < w.incarnation && sent < w.incarnationSeenAt
}

// confirmedByKnownIncarnation reports whether the incarnation that answered the last sync,
// or an earlier one, has confirmed a run. Answers to starts do not name the incarnation: one
// that arrived after that sync was sent may be of the next one. Their clock does not tell
// either, since the clock of an incarnation begins at any value.
func (w *worker) confirmedByKnownIncarnation(r *run) bool {
	return r.confirmedAt > 0 && r.confirmedAt <= w.answeredSyncSentAt
}

// refusedByKnownIncarnation reports whether the same has acknowledged a stop of a run, after
// which it does not begin.
func (w *worker) refusedByKnownIncarnation(r *run) bool {
	return r.stopAckedAt > 0 && r.stopAckedAt <= w.answeredSyncSentAt
}

// hasRunOfUnknownIncarnation reports whether the next incarnation of the worker may have
// carried out the start of a run.
func (w *worker) hasRunOfUnknownIncarnation() bool {
	for _, r := range w.runs {
		if !w.confirmedByKnownIncarnation(r) && !w.refusedByKnownIncarnation(r) {
			return true
		}
	}
	return false
}

// nextIncarnationMayRun reports whether the list of workers shows an incarnation that has
// not answered, which may have carried out starts.
func (w *worker) nextIncarnationMayRun() bool {
	return !w.entryIsCurrent() && w.hasRunOfUnknownIncarnation()
}

// observeAnswer updates the worker's incarnation from the answer to a command that names it,
// which the protocol allows and does not ask for. The run of the command, r, belongs to the incarnation that answered.
func (w *worker) observeAnswer(o CommandDone, r *run) {
	if o.Incarnation != 0 && o.Incarnation < w.incarnation {
		return // a delayed answer of an earlier incarnation
	}
	if o.Incarnation != 0 && w.incarnation != 0 && o.Incarnation != w.incarnation {
		w.removeRun(r)
		w.handleRestart(o.Incarnation, shownByCommand)
		w.boundLeases()
		w.addRun(r)
	}
}
