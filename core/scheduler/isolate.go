package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// quarantine is how long a worker that fails what it starts gets no work; it
	// doubles with each repetition up to quarantineMax.
	quarantine    = 3 * time.Second
	quarantineMax = 20 * time.Second
	// failStreak failures of at least two jobs in a row, without a success,
	// mean that the worker is at fault.
	failStreak = 3
)

// pause keeps the worker free of starts for a while.
func (w *worker) pause(d time.Duration) {
	w.pausedUntil = max(w.pausedUntil, w.l.s.now+d)
	w.l.schedule.at(w.pausedUntil)
}

// worked records a success.
func (w *worker) worked() { w.streak, w.streakJobs, w.quarantines, w.stalls = 0, nil, 0, 0 }

// failed records a failed run. A worker that fails what several jobs start on
// it is taken out of use for a while.
func (w *worker) failed(id structs.JobID) {
	w.streak++
	if !slices.Contains(w.streakJobs, id) {
		w.streakJobs = append(w.streakJobs, id)
	}
	if w.streak < failStreak || len(w.streakJobs) < 2 {
		return
	}
	w.isolate("it fails what it starts")
}

// isolate gives the worker no work for a while.
func (w *worker) isolate(reason string) {
	d := min(quarantine<<min(w.quarantines, 4), quarantineMax)
	w.quarantines++
	w.streak, w.streakJobs = 0, nil
	w.pause(d)
	w.l.s.decide(Decision{Part: "worker", Action: "isolated", Subject: string(w.id), Reason: reason, Age: d})
}
