package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// quarantine is how long a worker that fails what it starts gets no work; it
	// doubles with each repetition up to quarantineMax.
	minQuarantine = 3 * time.Second
	maxQuarantine = 20 * time.Second
	// failStreak failures of at least two jobs in a row, without a success,
	// mean that the worker is at fault.
	maxFailStreak = 3
)

// pause keeps the worker free of starts for a while.
func (w *worker) pauseStarts(d time.Duration) {
	w.startsPausedUntil = max(w.startsPausedUntil, w.leader.state.now+d)
	w.leader.schedule.requestPassAt(w.startsPausedUntil)
}

// worked records a success.
func (w *worker) recordSuccess() { w.failStreak, w.failedJobs, w.quarantines, w.stalls = 0, nil, 0, 0 }

// failed records a failed run. A worker that fails what several jobs start on
// it is taken out of use for a while.
func (w *worker) recordFailure(id structs.JobID) {
	w.failStreak++
	if !slices.Contains(w.failedJobs, id) {
		w.failedJobs = append(w.failedJobs, id)
	}
	if w.failStreak < maxFailStreak || len(w.failedJobs) < 2 {
		return
	}
	w.quarantine("it fails what it starts")
}

// isolate gives the worker no work for a while.
func (w *worker) quarantine(reason string) {
	d := min(minQuarantine<<min(w.quarantines, 4), maxQuarantine)
	w.quarantines++
	w.failStreak, w.failedJobs = 0, nil
	w.pauseStarts(d)
	w.leader.state.logDecision(Decision{Part: "worker", Action: "isolated", Subject: string(w.id), Reason: reason, Age: d})
}
