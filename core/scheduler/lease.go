package scheduler

import (
	"time"
)

const (
	// leaseLength is the longest lease that is asked for. It outlasts the change
	// to a new leader, and a worker that is lost for good holds its tasks no longer than that.
	leaseLength = 6 * time.Second
	// slowestClock is the rate of the slowest clock that a worker may have.
	slowestClock = 0.98
	// lapseSlack covers delays between the end of a lease and the end of the
	// runs under it, beyond the stop time.
	lapseSlack = 300 * time.Millisecond
)

// leaseBound returns the longest real time for which a lease granted now, and
// the runs under it, can last.
func leaseBound(b Bounds) time.Duration {
	return time.Duration(float64(min(b.MaxLease, leaseLength))/slowestClock) + b.StopTimeout + lapseSlack
}

// clockNow returns a lower estimate of the worker's clock.
func (w *worker) clockNow(now Instant) int64 {
	return w.clockMS + int64(float64((now-w.clockAt).Milliseconds())*slowestClock)
}

// leaseEnd returns the end of a lease granted now, on the worker's clock.
func (w *worker) leaseEnd(now Instant, b Bounds) int64 {
	return w.clockNow(now) + min(b.MaxLease, leaseLength).Milliseconds()
}

// promise records a lease end that has been sent: the worker may run until then
// even if no answer comes back.
func (w *worker) promise(end int64) { w.promised = max(w.promised, end) }

// lapsesAt returns when everything on the worker has certainly ended unless it
// is looked at again.
func (w *worker) lapsesAt(b Bounds) Instant {
	if w.promised == 0 {
		return w.l.took + leaseBound(b) // only former leaders granted leases
	}
	left := max(w.promised-w.clockMS, 0)
	return w.clockAt + time.Duration(float64(left)/slowestClock)*time.Millisecond + b.StopTimeout + lapseSlack
}

// observeClock takes in the worker's clock from an answer.
func (w *worker) observeClock(ms int64) {
	if ms > 0 {
		w.clockMS, w.clockAt = ms, w.l.s.now
	}
}

// observeOrder takes in what an answer to an order tells about the worker.
// The run of the order, r, belongs to the life that answered.
func (w *worker) observeOrder(o Ordered, r *run) {
	if o.Born != 0 && w.born != 0 && o.Born != w.born {
		w.remove(r)
		w.reborn(o.Born)
		w.add(r)
	}
	w.observeClock(o.ClockMS)
}
