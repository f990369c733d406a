package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	fullSpeed    = colocation.FullSpeed // percent
	unknownSpeed = -1                   // of an adopted run: the former leader may have throttled it
	// minTimeBeforeMove is how long a best-effort task must have run before it is
	// moved: gauges cover the last half second.
	minTimeBeforeMove = 300 * time.Millisecond
	// evictDelay is how long best-effort tasks are paused before they are moved to a
	// worker that tolerates them, and maxPause until they wait for one elsewhere.
	evictDelay = time.Second
	maxPause   = 3 * time.Second
	// stallTimeout is how long a run may make no progress before it is moved.
	stallTimeout = 2500 * time.Millisecond
)

// updateThrottle protects serving tasks. Best-effort tasks are moved or throttled
// by the estimates for their images; if a target is still missed, all of them are
// throttled, whatever the estimates say.
func (w *worker) updateThrottle() {
	w.observeColocated()
	worst := w.colocated.WorstTailRatio()
	if w.guard.Update(worst, w.leader.state.now) && w.colocated.Shared() {
		w.leader.state.logDecision(Decision{Part: "worker", Action: "pace of filling tasks set", Subject: string(w.id), Number: uint64(w.guard.SpeedLimit), Reason: tailRatioText(worst)})
	}
	w.applySpeedLimits()
	w.evictPausedRuns()
}

// applySpeedLimits moves best-effort tasks, and sends the speed limit of each one. A
// limit is lowered at once, and raised only if colocation.RaiseMargin remains free.
func (w *worker) applySpeedLimits() {
	if len(w.bestEffort) == 0 {
		return
	}
	relief := w.colocated.Relieve(w.guard.SpeedLimit, 0, func(i int) bool { return w.canMove(w.bestEffort[i]) })
	withMargin := w.raisedLimits(relief)
	for i, b := range slices.Clone(w.bestEffort) {
		if relief[i].Move {
			w.leader.moveRun(b, "disturbs serving tasks")
		}
		if b.phase != phaseRunning || b.throttleInFlight {
			continue
		}
		limit := relief[i].SpeedLimit
		if b.speedLimit != unknownSpeed && limit > b.speedLimit {
			if limit = max(b.speedLimit, withMargin[i].SpeedLimit); w.leader.state.now-b.speedLimitSetAt < colocation.ThrottleHoldTime {
				continue
			}
		}
		if limit != b.speedLimit {
			w.leader.throttleRun(b, limit)
		}
	}
}

// raisedLimits returns the limits up to which best-effort tasks may be raised, if any may.
func (w *worker) raisedLimits(relief []colocation.Relief) []colocation.Relief {
	for i, b := range w.bestEffort {
		if b.speedLimit < relief[i].SpeedLimit {
			return w.colocated.Relieve(w.guard.SpeedLimit, colocation.RaiseMargin, nil)
		}
	}
	return relief
}

// canMove reports whether a best-effort task has run for long enough to be moved, and
// another worker tolerates it.
func (w *worker) canMove(b *run) bool {
	settled := b.phase == phaseRunning && w.leader.state.now-b.confirmedAt >= minTimeBeforeMove
	return settled && w.leader.pick(b.job, b.ref, b.job.taskAt(b.ref)) != nil
}

// workedAtFullSpeed returns how long a run would have taken at full speed for the work that
// it has done.
func (r *run) workedAtFullSpeed(now Instant) time.Duration {
	since := now - max(r.confirmedAt, r.speedLimitSetAt)
	if r.confirmedAt == 0 {
		since = 0
	}
	return r.workedBefore + since*time.Duration(max(r.speedLimit, 0))/fullSpeed
}

func tailRatioText(worst float64) string {
	return "worst tail at " + strconv.Itoa(int(100*worst)) + "% of its target"
}

func (l *leaderState) throttleRun(r *run, limit int) {
	if !l.leaseValid() {
		return
	}
	r.throttleInFlight = true
	e := ThrottleTask{WorkerCommand: l.newCommand(r.worker), Task: r.ref, Run: r.id, Percent: limit}
	e.ID = l.expectAnswer(func(o CommandDone) {
		r.throttleInFlight = false
		if o.Outcome == structs.OutcomeDone {
			r.workedBefore = r.workedAtFullSpeed(l.state.now)
			r.speedLimit = limit
			r.progressedAt, r.speedLimitSetAt = l.state.now, l.state.now
		} else {
			r.speedLimit = unknownSpeed
		}
	})
	l.state.emit(e)
}

// evictPausedRuns moves best-effort tasks that have been paused for too long.
func (w *worker) evictPausedRuns() {
	for _, b := range slices.Clone(w.bestEffort) {
		if b.phase != phaseRunning || b.speedLimit != 0 {
			continue
		}
		paused := w.leader.state.now - b.speedLimitSetAt
		if paused >= maxPause || paused >= evictDelay && w.canMove(b) {
			w.leader.moveRun(b, "paused next to serving tasks for too long")
		}
	}
}

// moveStalledRuns moves runs that make no progress, and quarantines a worker after
// two of them without a success between.
func (w *worker) moveStalledRuns() {
	now := w.leader.state.now
	for _, r := range w.sortedRuns() {
		if r.phase != phaseRunning || r.speedLimit != fullSpeed {
			continue
		}
		if !r.stalled(now) {
			continue
		}
		w.leader.moveRun(r, "no progress")
		w.record.stalls++
		if w.record.stalls >= 2 {
			w.record.stalls = 0
			w.quarantine("runs make no progress")
		}
	}
}

func (r *run) stalled(now Instant) bool {
	if r.step.Persistent && r.percent == fullSpeed {
		return false // started up
	}
	return now-max(r.progressedAt, r.confirmedAt) > stallTimeout
}
