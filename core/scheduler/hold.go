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
	// maxHoldWait is the longest expected time to the end of a finite run for which a
	// worker is kept free.
	maxHoldWait = 5 * time.Second
	// restartHoldTime is how long the room of a persistent task that failed is kept
	// free for its next run, which waits retryDelay.
	restartHoldTime = 3 * retryDelay
	// holdShare is the inverse of the share of a service's workers that are kept free
	// at a time. One worker may always be.
	holdShare = 4
)

// A shard that is almost full has room for a large persistent task on no single worker
// for long: finite tasks that need less take each piece that becomes free. Room on a
// worker is then kept free of new finite tasks until the waiting task fits, as a
// scheduler with backfilling reserves room for the job at the head of its queue. What
// fits beside the waiting task still starts there.

// keptRoom is room on a worker that is kept for one job.
type keptRoom struct {
	job        *job              // nil: none is kept
	need       structs.Resources // of one of its tasks
	since      Instant
	until      Instant
	forRestart bool // it is free already; otherwise runs have to end first
	preempted  bool // less urgent runs give way to the job there
}

// keepsRoom reports whether room on the worker is kept for a job now.
func (w *worker) keepsRoom() bool {
	return w.kept.job != nil && w.leader.state.now < w.kept.until
}

// keepsRoomFrom reports whether a task of a step would take room that is kept for
// another job.
func (w *worker) keepsRoomFrom(j *job, step *structs.Step) bool {
	if !w.keepsRoom() || w.kept.job == j || step.BestEffort && !w.kept.preempted {
		return false
	}
	taken := w.reserved
	for _, r := range w.runs {
		if w.kept.waitsFor(r) {
			taken = taken.Sub(reservation(r.step))
		}
	}
	return !taken.Add(w.kept.need).Add(reservation(step)).Fits(w.entry.Capacity)
}

// waitsFor reports whether the task that room is kept for waits for the end of a run on the
// worker: one that gives way to it, or any earlier finite one.
func (k *keptRoom) waitsFor(r *run) bool {
	switch {
	case k.forRestart:
		return false
	case k.preempted:
		return r.stopRequestedAt > 0
	}
	return !r.step.Persistent && r.startSentAt < k.since
}

// waitsAsPersistent reports whether a step is persistent and has waited for so long that
// workers are kept free for it.
func (j *job) waitsAsPersistent(step *structs.Step, now Instant) bool {
	return step.Persistent && now-j.waitingSince >= holdDelay
}

// keepRoom keeps room on the worker for a task, unless it is kept for another job.
func (w *worker) keepRoom(room keptRoom, d time.Duration) {
	if w.keepsRoom() && w.kept.job != room.job {
		return
	}
	room.since = w.leader.state.now
	room.until = room.since + d
	w.kept = room
	room.job.roomKeptUntil = max(room.job.roomKeptUntil, room.until)
	w.leader.schedule.requestPassAt(room.until)
}

// holdWorkers keeps a worker free for each waiting task of a step that has waited
// holdDelay, if the end of finite tasks makes enough room there.
func (l *leaderState) holdWorkers(j *job, ref structs.TaskRef) {
	step := &j.Steps[ref.Step]
	if !j.waitsAsPersistent(step, l.state.now) {
		return
	}
	f := l.newStepFilter(j, stepKeyOf(ref))
	heldForJob, free := l.countHolds(f)
	for waiting := j.waitingByStep[ref.Occurrence][ref.Step]; heldForJob < waiting && free > 0; heldForJob++ {
		w := l.workerToHold(f)
		if w == nil {
			return
		}
		free--
		w.keepRoom(keptRoom{job: j, need: reservation(step)}, holdTime)
		l.state.logDecision(Decision{
			Part: "worker", Action: "kept free", Subject: string(w.id), Where: taskName(ref), Reason: "a persistent task waits for room",
			Age: l.state.now - j.waitingSince,
		})
	}
}

// countHolds returns how many workers are kept free for the job, and for how many more
// the service may have its workers kept free.
func (l *leaderState) countHolds(f *stepFilter) (heldForJob, free int) {
	workers, held := 0, 0
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if w.entry.Service != f.policy.Service {
			continue
		}
		if w.acceptsStarts() {
			workers++
		}
		if !w.keepsRoom() {
			continue
		}
		held++
		if w.kept.job == f.job {
			heldForJob++
		}
	}
	return heldForJob, max(workers/holdShare, 1) - held
}

// workerToHold returns the worker that has room for a task with the least finite work
// to wait for, or nil. The advice service has to have allowed it. Where a task without
// advice has room already, it waits for something else.
func (l *leaderState) workerToHold(f *stepFilter) *worker {
	var best *worker
	var leastFinite int64
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if w.keepsRoom() || !f.roomComes(w) || !l.adviceAllows(w, f.key, f.policy) {
			continue
		}
		if f.policy.Advice == nil && f.hasRoom(w) {
			continue
		}
		if finite := w.finiteReservation().MilliCores; best == nil || finite < leastFinite {
			best, leastFinite = w, finite
		}
	}
	return best
}

// roomComes reports whether a worker has room for a task of the step once its finite
// runs have ended, and whether that is expected within maxHoldWait.
func (f *stepFilter) roomComes(w *worker) bool {
	if !f.suits(w) || !w.withinStepLimit(f.key, f.step) {
		return false
	}
	if !reservation(f.step).Add(w.reserved).Sub(w.finiteReservation()).Fits(w.entry.Capacity) {
		return false
	}
	for _, r := range w.runs {
		if !r.step.Persistent && r.expectedRemaining(f.leader.state.now) > maxHoldWait {
			return false
		}
	}
	return true
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

// expectedRemaining returns how long a run of a finite task is expected to go on: by its
// progress so far or, before it has any, by its declared duration. A run that has exceeded
// the declared duration is expected to take as long again as it has taken.
func (r *run) expectedRemaining(now Instant) time.Duration {
	began := r.confirmedAt
	if began == 0 {
		began = r.startSentAt
	}
	return r.remainingAfter(now - began)
}

// remainingAfter returns how much longer a run is expected to go on that has worked for
// some time.
func (r *run) remainingAfter(worked time.Duration) time.Duration {
	if r.percent > 0 {
		return worked * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(r.step.Estimate-worked, worked)
}
