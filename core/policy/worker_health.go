package policy

import "time"

const (
	quarantineRows     = 3                // different rows that failed since the last success
	firstQuarantine    = 30 * time.Second // first pause
	maxQuarantine      = 30 * time.Minute // longest pause
	quarantineFraction = 4                // at most 1/quarantineFraction of the workers are quarantined
	JobFailureLimit    = 3                // different workers in good standing on which a job must fail to be given up
	goodWorkerRows     = 1                // rows that may fail on a worker in good standing: one failing row does not count against the worker
)

// WorkerHealth tracks the failed runs on one worker. A worker on which different rows
// fail is quarantined for a pause and then put on trial. The zero value is a worker
// in good standing.
type WorkerHealth struct {
	worked           bool     // a run succeeded there
	failed           []string // different rows that failed since the last success
	Quarantined      bool
	OnTrial          bool          // takes one task at a time
	QuarantinedUntil time.Duration // end of the pause
	pause            time.Duration // length of the last pause
	suspect          bool          // would be quarantined if the partition's limit allowed it
}

// QuarantineLimit returns how many of n workers may be quarantined.
func QuarantineLimit(n int) int { return n / quarantineFraction }

// Failed records a failed run of a row. It reports whether the worker should be
// quarantined.
func (h *WorkerHealth) Failed(row string) bool {
	known := false
	for _, r := range h.failed {
		known = known || r == row
	}
	if !known && len(h.failed) < quarantineRows {
		h.failed = append(h.failed, row)
	}
	h.suspect = h.OnTrial || len(h.failed) >= quarantineRows
	return h.suspect
}

// Succeeded records a run that succeeded or ran long enough to count as a
// success.
func (h *WorkerHealth) Succeeded() { *h = WorkerHealth{worked: true} }

// Quarantine starts a pause, twice as long as the last one.
func (h *WorkerHealth) Quarantine(now time.Duration) {
	h.pause = min(max(2*h.pause, firstQuarantine), maxQuarantine)
	h.Quarantined, h.OnTrial, h.QuarantinedUntil = true, false, now+h.pause
}

// EndPause ends a pause that is over. It reports whether a trial starts.
func (h *WorkerHealth) EndPause(now time.Duration) bool {
	if !h.Quarantined || now < h.QuarantinedUntil {
		return false
	}
	h.Quarantined, h.OnTrial = false, true
	return true
}

// GoodStanding reports whether the worker is not suspected of making runs fail:
// at most one row has failed there since the last success.
func (h WorkerHealth) GoodStanding() bool {
	return !h.Quarantined && !h.OnTrial && !h.suspect && len(h.failed) <= goodWorkerRows
}

// RunsOthersWell reports whether a failure on this worker counts against the job
// rather than against the worker. On a worker where no run has succeeded, it
// cannot be told which of them is at fault.
func (h WorkerHealth) RunsOthersWell() bool { return h.worked && h.GoodStanding() }
