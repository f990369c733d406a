package scheduler

import (
	"time"
)

const (
	// workerLease is the longest lease that is requested of a worker. It outlasts a
	// change of leader, and bounds how long a lost worker blocks its tasks.
	workerLease = 6 * time.Second
	// minClockRate is the rate of the slowest clock that a worker may have.
	minClockRate = 0.98
	// leaseEndSlack covers delays between the end of a lease and the end of the
	// runs under it, in addition to the stop timeout.
	leaseEndSlack = 300 * time.Millisecond
	// minAskTime is how long a new leader asks a worker before it gives up its runs, even if
	// their lease has run out: the worker may list ends of tasks that are done. It covers
	// three syncs without an answer.
	minAskTime = 3 * (syncTimeoutSlack + syncRetryInterval)
)

// maxLeaseDuration returns the longest real time for which a lease granted now,
// and the runs under it, can last.
func maxLeaseDuration(b Bounds) time.Duration {
	return time.Duration(float64(min(b.MaxLease, workerLease))/minClockRate) + b.StopTimeout + leaseEndSlack
}

// maxCommandTransit is the longest time from sending a command to its arrival: commands
// that have no answer by then are abandoned.
const maxCommandTransit = syncWait + syncTimeoutSlack

// foreignLeaseDuration returns the longest real time for which runs can last under a lease
// whose end was computed with the clock of another incarnation and sent now. Only the
// longest lease that a worker grants bounds it.
func foreignLeaseDuration(b Bounds) time.Duration {
	return maxCommandTransit + time.Duration(float64(b.MaxLease)/minClockRate) + b.StopTimeout + leaseEndSlack
}

// foreignLeases bounds the leases whose ends were computed with the clock of another
// incarnation than the one that granted them.
type foreignLeases struct {
	endBy       Instant // when they and the runs under them have ended; 0: there are none
	sentEndBy   Instant // the same in the last commit of the used workers
	storedEndBy Instant // the same as stored, for later leaders
}

// boundLeases records that commands for the former incarnation of the worker may have
// granted leases to this one, or may do so until they are abandoned.
func (w *worker) boundLeases() {
	w.foreign.endBy = w.leader.state.now + foreignLeaseDuration(w.leader.state.bounds)
	w.leader.commits.usedWorkersChanged = true
}

// boundLeasesAhead does so unless the clock of this incarnation is known to be ahead of the
// latest lease end that was sent to the former one: it grants no lease until such an end.
func (w *worker) boundLeasesAhead(clockMS, formerLeaseEnd int64) {
	if clockMS == 0 || formerLeaseEnd == 0 || clockMS < formerLeaseEnd {
		w.boundLeases()
	}
}

// known reports whether later leaders learn of the bound, or it has passed.
func (f *foreignLeases) known(now Instant) bool { return f.storedEndBy >= f.endBy || now >= f.endBy }

// clockLowerBound returns a lower bound of the time on the worker's clock, in ms.
func (w *worker) clockLowerBound(now Instant) int64 {
	return w.clockMS + int64(float64((now-w.clockAt).Milliseconds())*minClockRate)
}

// newLeaseEnd returns the end of a lease granted now, on the worker's clock, in ms.
func (w *worker) newLeaseEnd(now Instant, b Bounds) int64 {
	return w.clockLowerBound(now) + min(b.MaxLease, workerLease).Milliseconds()
}

// recordLeaseEnd records a lease end that has been sent: the worker may run tasks
// until then even if no answer comes back.
func (w *worker) recordLeaseEnd(end int64) {
	w.sentLeaseEnd, w.leaseSentAt = max(w.sentLeaseEnd, end), w.leader.state.now
}

// allRunsEndedAt returns when all runs on the worker have certainly ended, unless
// its lease is renewed before.
func (w *worker) allRunsEndedAt(b Bounds) Instant {
	if w.sentLeaseEnd == 0 { // this leader has granted no other lease
		end := max(w.leader.tookOverAt+maxLeaseDuration(b), w.firstAskedAt+minAskTime)
		if w.inheritedEnd > 0 {
			end = min(end, w.inheritedEnd)
		}
		return max(end, w.foreign.endBy)
	}
	left := time.Duration(max(w.sentLeaseEnd-w.clockMS, 0)) * time.Millisecond
	leaseEnd := w.clockAt + time.Duration(float64(left)/minClockRate)
	end := max(leaseEnd+b.StopTimeout+leaseEndSlack, w.foreign.endBy)
	if w.nextIncarnationMayRun() {
		end = max(end, w.leaseSentAt+foreignLeaseDuration(b))
	}
	return end
}

// awaitRunsEnd handles the end of all runs on a worker that does not answer at the time
// at which it is certain.
func (w *worker) awaitRunsEnd() {
	l := w.leader
	at := w.allRunsEndedAt(l.state.bounds)
	l.after(max(at-l.state.now, 0), func() {
		unanswered := w.failedSyncs > 0 || w.answeredSyncSentAt == 0
		if l.workers[w.id] == w && unanswered && l.state.now >= w.allRunsEndedAt(l.state.bounds) {
			w.handleRunsEnd()
		}
	})
}

// handleRunsEnd handles a worker on which certainly nothing runs any more.
func (w *worker) handleRunsEnd() {
	w.handleLeaseEnd()
	if !w.listed {
		w.leader.removeWorker(w)
	}
}

// observeClock records the worker's clock from the answer to a sync. Other answers do not
// name the incarnation whose clock they show.
func (w *worker) observeClock(ms int64) {
	if ms > 0 {
		w.clockMS, w.clockAt = ms, w.leader.state.now
	}
}
