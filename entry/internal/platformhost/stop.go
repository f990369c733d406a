package platformhost

import "time"

// The platform kills a process at the end of its grace period. The parts of that period
// are counted from the signal, so that no event of the control loop, no caller and no
// log file can hold the process beyond it. The last eighth is left for a slow processor.
const (
	// runShareEighths is the part of the grace period, in eighths, after which the
	// listeners are closed whatever is in progress.
	runShareEighths = 6
	// flushShareEighths is the part in which the last log lines are written.
	flushShareEighths = 1
	// stopCheckInterval separates checks of the deadline. A single timer would not count
	// the time for which the machine is suspended.
	stopCheckInterval = 100 * time.Millisecond
)

// LogFlushTimeout returns how long a process may write its last log lines after Run has
// returned.
func LogFlushTimeout(grace time.Duration) time.Duration { return grace * flushShareEighths / 8 }

// stopDeadline is the time by which Run returns after the signal to stop. The zero value
// has no deadline.
type stopDeadline struct {
	clock   func() time.Duration // counts the time for which the machine is suspended
	signal  time.Duration        // when the signal came
	end     time.Duration
	ticker  *time.Ticker
	started bool
}

// begin starts the count. Later signals do not prolong it.
func (d *stopDeadline) begin(clock func() time.Duration, grace time.Duration) {
	if d.started {
		return
	}
	now := clock()
	*d = stopDeadline{clock: clock, signal: now, end: now + grace*runShareEighths/8, ticker: time.NewTicker(stopCheckInterval), started: true}
}

func (d *stopDeadline) cancel() {
	if d.started {
		d.ticker.Stop()
	}
}

// checks returns a channel that receives whenever the deadline is to be checked.
func (d *stopDeadline) checks() <-chan time.Time {
	if !d.started {
		return nil
	}
	return d.ticker.C
}

func (d *stopDeadline) age() time.Duration { return d.clock() - d.signal }

// left returns the time until the deadline, 0 once it has passed.
func (d *stopDeadline) left() time.Duration { return max(d.end-d.clock(), 0) }
