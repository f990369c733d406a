package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// ackState is what the leader has handled, stored and acknowledged of the ends that one
// incarnation of a worker lists. A worker forgets acknowledged ends.
//
// Ends are numbered from 1 by each incarnation, and a sync does not say which one it is
// for. An acknowledgement that reaches the next incarnation makes that one forget ends
// that were never read, after which their tasks would run again although they are done.
// Therefore no start is on its way while an acknowledgement is, and none has been sent
// since the known incarnation last answered a sync: then the next one has no ends.
type ackState struct {
	handled      uint64 // number of the last end that was handled
	durable      uint64 // number of the last end whose effect is stored
	acknowledged uint64 // last number that the worker has answered
	pending      []pendingAck
	dueSince     Instant // when an end became due; 0: none is due
	inFlight     bool    // a sync that acknowledges ends has no answer yet
}

// pendingAck is an end that can be acknowledged once a commit has been stored.
type pendingAck struct {
	end, batch uint64
}

// maxAckDelay is how long ends may be due before no more tasks are started on their
// worker until they are acknowledged: a start between any two syncs holds them up.
const maxAckDelay = 300 * time.Millisecond

// due reports whether ends are stored and not acknowledged.
func (a *ackState) due() bool { return a.durable > a.acknowledged }

// next returns the number through which the next sync acknowledges ends; 0: none.
func (a *ackState) next() uint64 {
	if !a.due() {
		return 0
	}
	return a.durable
}

// answered records the answer to an acknowledgement.
func (a *ackState) answered(through uint64, now Instant) {
	a.acknowledged = max(a.acknowledged, through)
	a.dueSince = 0
	if a.due() {
		a.dueSince = now
	}
}

// overdue reports whether ends have been due for longer than maxAckDelay.
func (a *ackState) overdue(now Instant) bool { return a.due() && now-a.dueSince >= maxAckDelay }

// advance makes the ends due whose effects are stored with a batch. It reports whether
// there are any.
func (a *ackState) advance(batch uint64, now Instant) bool {
	wasDue, before := a.due(), a.durable
	for len(a.pending) > 0 && a.pending[0].batch <= batch {
		a.durable = a.pending[0].end
		a.pending = a.pending[1:]
	}
	if !wasDue && a.due() {
		a.dueSince = now
	}
	return a.durable > before
}

// handleEnds handles the listed ends that were not handled before.
func (w *worker) handleEnds(ended []structs.EndedRun) {
	l := w.leader
	for _, e := range ended {
		if e.Number > w.acks.handled {
			w.acks.handled = e.Number
			w.acks.pending = append(w.acks.pending, pendingAck{e.Number, l.commits.nextBatch})
			l.handleRunEnd(w, e)
		}
	}
}

// advanceAck makes the ends due whose effects are stored after a commit.
func (w *worker) advanceAck() {
	if w.acks.advance(w.leader.commits.durableBatch, w.leader.state.now) {
		w.syncSoon()
	}
}

// startsHeldForAck reports whether a start would make an acknowledgement unsafe, or would
// delay one that is overdue. A start without an answer delays it anyway.
func (w *worker) startsHeldForAck() bool {
	if w.acks.inFlight {
		return true
	}
	return w.acks.overdue(w.leader.state.now) && !w.hasUnansweredStart()
}

// hasUnansweredStart reports whether it is unknown whether a run was started.
func (w *worker) hasUnansweredStart() bool {
	for _, r := range w.runs {
		if r.confirmedAt == 0 && r.stopAckedAt == 0 && r.phase != phaseStarting {
			return true
		}
	}
	return false
}
