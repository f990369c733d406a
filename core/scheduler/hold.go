package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// holdDelay is how long a persistent task waits for room before a worker is kept
	// free for it. Another shard may take the task before.
	holdDelay = 800 * time.Millisecond
	// holdTime is how long a worker is kept free. Most finite tasks end within it.
	holdTime = 1500 * time.Millisecond
	// restartHoldTime is how long the room of a persistent task that failed is kept
	// free for its next run, which waits retryDelay.
	restartHoldTime = 3 * retryDelay
)

// A shard that is almost full has room for a large persistent task on no single worker
// for long: finite tasks that need less take each piece that becomes free. A worker is
// then kept free of new finite tasks until the waiting task fits, as a scheduler with
// backfilling reserves room for the job at the head of its queue.

// heldForOther reports whether the worker is kept free for another job.
func (w *worker) heldForOther(j *job) bool {
	return w.heldFor != nil && w.heldFor != j && w.leader.state.now < w.heldUntil
}

// holdWorkers keeps a worker free for each waiting task of a step that has waited
// holdDelay, if the end of finite tasks makes enough room there.
func (l *leaderState) holdWorkers(j *job, ref structs.TaskRef) {
	step := &j.Steps[ref.Step]
	now := l.state.now
	if !step.Persistent || now-j.waitingSince < holdDelay {
		return
	}
	held := 0
	for _, id := range l.workerIDs {
		if w := l.workers[id]; w.heldFor == j && now < w.heldUntil {
			held++
		}
	}
	for ; held < j.waitingByStep[ref.Occurrence][ref.Step]; held++ {
		w := l.workerToHold(j, ref)
		if w == nil {
			return
		}
		w.keepFree(j, holdTime)
		l.state.logDecision(Decision{Part: "worker", Action: "kept free", Subject: string(w.id), Where: taskName(ref), Reason: "a persistent task waits for room"})
	}
}

// workerToHold returns the worker that has room for a task with the least finite work
// to wait for, or nil.
func (l *leaderState) workerToHold(j *job, ref structs.TaskRef) *worker {
	step := &j.Steps[ref.Step]
	service := l.state.config.policyOf(&j.Job).Service
	need := reservation(step)
	var best *worker
	var leastFinite int64
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if w.entry.Service != service || !w.acceptsStarts() || w.heldFor != nil && l.state.now < w.heldUntil {
			continue
		}
		if !w.hasLabel(step.Label) || !w.withinStepLimit(ref, step) {
			continue
		}
		finite := w.finiteReservation()
		if !need.Add(w.reserved).Sub(finite).Fits(w.entry.Capacity) {
			continue
		}
		if best == nil || finite.MilliCores < leastFinite {
			best, leastFinite = w, finite.MilliCores
		}
	}
	return best
}

// finiteReservation returns what the runs of finite tasks reserve on the worker.
func (w *worker) finiteReservation() structs.Resources {
	var sum structs.Resources
	for _, r := range w.runs {
		if !r.step.Persistent {
			sum = sum.Add(reservation(r.step))
		}
	}
	return sum
}
