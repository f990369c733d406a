package policy

import "time"

const (
	setAsideRows     = 3                // different rows that failed since the last success
	setAsideFirst    = 30 * time.Second // first pause
	setAsideMax      = 30 * time.Minute // longest pause
	setAsideFraction = 4                // at most 1/setAsideFraction of the workers are set aside
	JobFailures      = 3                // different workers in good standing on which a job must fail to be given up
	goodWorkerRows   = 1                // rows that may fail on a worker in good standing: one failing row does not count against the worker
)

// Quality tracks the failed runs on one worker. A worker on which different rows
// fail is set aside for a pause and then put on trial. The zero value is a worker
// in good standing.
type Quality struct {
	worked  bool     // a run succeeded there
	failed  []string // different rows that failed since the last success
	Aside   bool
	Trial   bool          // takes one task at a time
	Until   time.Duration // end of the pause
	pause   time.Duration // length of the last pause
	suspect bool          // would be set aside if the partition's limit allowed it
}

// SetAsideLimit returns how many of n workers may be set aside.
func SetAsideLimit(n int) int { return n / setAsideFraction }

// Failed records a failed run of a row. It reports whether the worker should be
// set aside.
func (q *Quality) Failed(row string) bool {
	known := false
	for _, r := range q.failed {
		known = known || r == row
	}
	if !known && len(q.failed) < setAsideRows {
		q.failed = append(q.failed, row)
	}
	q.suspect = q.Trial || len(q.failed) >= setAsideRows
	return q.suspect
}

// Succeeded records a run that succeeded or ran long enough to count as a
// success.
func (q *Quality) Succeeded() { *q = Quality{worked: true} }

// SetAside starts a pause, twice as long as the last one.
func (q *Quality) SetAside(now time.Duration) {
	q.pause = min(max(2*q.pause, setAsideFirst), setAsideMax)
	q.Aside, q.Trial, q.Until = true, false, now+q.pause
}

// Resume ends a pause that is over. It reports whether a trial starts.
func (q *Quality) Resume(now time.Duration) bool {
	if !q.Aside || now < q.Until {
		return false
	}
	q.Aside, q.Trial = false, true
	return true
}

// GoodStanding reports whether the worker is not suspected of making runs fail:
// at most one row has failed there since the last success.
func (q Quality) GoodStanding() bool {
	return !q.Aside && !q.Trial && !q.suspect && len(q.failed) <= goodWorkerRows
}

// RunsOthersWell reports whether a failure on this worker counts against the job
// rather than against the worker. On a worker where no run has succeeded, it
// cannot be told which of them is at fault.
func (q Quality) RunsOthersWell() bool { return q.worked && q.GoodStanding() }
