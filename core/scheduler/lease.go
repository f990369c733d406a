package scheduler

import (
	"time"
)

const (
	// leaseLength is the longest lease that is asked for. It outlasts the change
	// to a new leader, and a worker that is lost for good holds its tasks no longer than that.
	workerLease = 6 * time.Second
	// slowestClock is the rate of the slowest clock that a worker may have.
	minClockRate = 0.98
	// lapseSlack covers delays between the end of a lease and the end of the
	// runs under it, beyond the stop time.
	leaseEndSlack = 300 * time.Millisecond
)

// leaseBound returns the longest real time for which a lease granted now, and
// the runs under it, can last.
func maxLeaseDuration(b Bounds) time.Duration {
	return time.Duration(float64(min(b.MaxLease, workerLease))/minClockRate) + b.StopTimeout + leaseEndSlack
}

// clockNow returns a lower estimate of the worker's clock.
func (w *worker) clockLowerBound(now Instant) int64 {
	return w.clockMS + int64(float64((now-w.clockAt).Milliseconds())*minClockRate)
}

// leaseEnd returns the end of a lease granted now, on the worker's clock.
func (w *worker) newLeaseEnd(now Instant, b Bounds) int64 {
	return w.clockLowerBound(now) + min(b.MaxLease, workerLease).Milliseconds()
}

// promise records a lease end that has been sent: the worker may run until then
// even if no answer comes back.
func (w *worker) recordLeaseEnd(end int64) { w.sentLeaseEnd = max(w.sentLeaseEnd, end) }

// lapsesAt returns when everything on the worker has certainly ended unless it
// is looked at again.
func (w *worker) allRunsEndedAt(b Bounds) Instant {
	if w.sentLeaseEnd == 0 {
		return w.leader.tookOverAt + maxLeaseDuration(b) // only former leaders granted leases
	}
	left := max(w.sentLeaseEnd-w.clockMS, 0)
	return w.clockAt + time.Duration(float64(left)/minClockRate)*time.Millisecond + b.StopTimeout + leaseEndSlack
}

// observeClock takes in the worker's clock from an answer.
func (w *worker) observeClock(ms int64) {
	if ms > 0 {
		w.clockMS, w.clockAt = ms, w.leader.state.now
	}
}

// observeOrder takes in what an answer to an order tells about the worker.
// The run of the order, r, belongs to the life that answered.
func (w *worker) observeAnswer(o Ordered, r *run) {
	if o.Born != 0 && w.incarnation != 0 && o.Born != w.incarnation {
		w.removeRun(r)
		w.handleRestart(o.Born)
		w.addRun(r)
	}
	w.observeClock(o.ClockMS)
}
