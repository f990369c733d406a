package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// minQuarantine is how long a failing worker gets no work the first time. The
	// time doubles with each further quarantine, up to maxQuarantine.
	minQuarantine = 3 * time.Second
	maxQuarantine = 20 * time.Second
	// maxFailStreak is the number of consecutive failed runs, of at least two jobs,
	// after which the worker and not the job is taken to be at fault.
	maxFailStreak = 3
)

// pauseStarts lets no task start on the worker for a duration.
func (w *worker) pauseStarts(d time.Duration) {
	w.startsPausedUntil = max(w.startsPausedUntil, w.leader.state.now+d)
	w.leader.schedule.requestPassAt(w.startsPausedUntil)
}

// recordSuccess resets the failure counts after a successful run.
func (w *worker) recordSuccess() { w.failStreak, w.failedJobs, w.quarantines, w.stalls = 0, nil, 0, 0 }

// recordFailure records a failed run. A worker on which several jobs fail is
// quarantined.
func (w *worker) recordFailure(id structs.JobID) {
	w.failStreak++
	if !slices.Contains(w.failedJobs, id) {
		w.failedJobs = append(w.failedJobs, id)
	}
	if w.failStreak < maxFailStreak || len(w.failedJobs) < 2 {
		return
	}
	w.quarantine("several jobs failed on it")
}

// quarantine lets no task start on the worker for the time of a quarantine.
func (w *worker) quarantine(reason string) {
	d := min(minQuarantine<<min(w.quarantines, 4), maxQuarantine)
	w.quarantines++
	w.failStreak, w.failedJobs = 0, nil
	w.pauseStarts(d)
	w.leader.state.logDecision(Decision{Part: "worker", Action: "isolated", Subject: string(w.id), Reason: reason, Age: d})
}
