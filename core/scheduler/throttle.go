package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	fullSpeed    = 100 // percent
	unknownSpeed = -1  // of an adopted run: the former leader may have throttled it
	// lowTailRatio is the ratio of a serving task's tail latency to its target below
	// which best-effort tasks are assumed not to disturb it.
	lowTailRatio = 0.7
	// throttleDelay is how long a serving task may miss its target before all
	// best-effort tasks on the worker are throttled, whatever the estimates say.
	throttleDelay = time.Second
	// throttleHoldTime is the least time between changes of a speed limit: a command
	// takes effect after 0.1 s, and gauges cover the last half second.
	throttleHoldTime = 700 * time.Millisecond
	// speedRaiseDelay is how long tail latencies must be low before the limit is raised.
	speedRaiseDelay = time.Second
	// evictDelay is how long best-effort tasks are paused before they are moved.
	evictDelay = time.Second
	// stallTimeout is how long a run may make no progress before it is moved.
	stallTimeout = 2500 * time.Millisecond
)

// speedLimits are the speed limits of best-effort tasks, in percent of full speed.
var speedLimits = [...]int{0, 30, 60, fullSpeed}

// throttleState is the speed limit for all best-effort tasks of one worker.
type throttleState struct {
	speedLimit  int
	changedAt   Instant
	lowSince    Instant // 0: a tail latency is not low
	missedSince Instant // 0: no target is missed
}

// isShared reports whether the worker has both serving and best-effort tasks.
func (w *worker) isShared() bool { return len(w.serving) > 0 && len(w.bestEffort) > 0 }

// worstTailRatio returns the highest ratio of a serving task's tail latency to its
// target.
func (w *worker) worstTailRatio() float64 {
	var worst float64
	for _, r := range w.serving {
		if r.phase == phaseRunning {
			tail := time.Duration(r.gauge) * time.Millisecond
			worst = max(worst, float64(tail)/float64(r.step.TailTarget))
		}
	}
	return worst
}

// updateThrottle protects serving tasks. Best-effort tasks are moved or throttled
// by the estimates for their images; if a target is still missed, all of them are
// throttled, whatever the estimates say.
func (w *worker) updateThrottle() {
	w.observeInterference()
	t := &w.throttle
	now := w.leader.state.now
	worst := w.worstTailRatio()
	trackSince(&t.lowSince, worst < lowTailRatio, now)
	trackSince(&t.missedSince, worst >= 1, now)
	index := speedLimitIndex(t.speedLimit)
	switch {
	case now-t.changedAt < throttleHoldTime:
	case t.missedSince > 0 && now-t.missedSince >= throttleDelay:
		index--
	case t.lowSince > 0 && now-t.lowSince >= speedRaiseDelay:
		index++
	}
	w.setSpeedLimit(speedLimits[min(max(index, 0), len(speedLimits)-1)], worst)
	w.applySpeedLimits()
	w.evictPausedRuns()
}

func (w *worker) setSpeedLimit(limit int, worst float64) {
	if limit == w.throttle.speedLimit {
		return
	}
	w.throttle.speedLimit, w.throttle.changedAt = limit, w.leader.state.now
	if w.isShared() {
		w.leader.state.logDecision(Decision{Part: "worker", Action: "pace of filling tasks set", Subject: string(w.id), Number: uint64(limit), Reason: tailRatioText(worst)})
	}
}

// applySpeedLimits sends the speed limit of each best-effort task. A limit is
// lowered at once, and raised only if raiseMargin remains free.
func (w *worker) applySpeedLimits() {
	if len(w.bestEffort) == 0 {
		return
	}
	limits := w.limitContention(0)
	withMargin := limits
	for i, b := range w.bestEffort {
		if b.speedLimit < limits[i] {
			withMargin = w.limitContention(raiseMargin)
			break
		}
	}
	for i, b := range w.bestEffort {
		if b.phase != phaseRunning || b.throttleInFlight {
			continue
		}
		limit := limits[i]
		if b.speedLimit != unknownSpeed && limit > b.speedLimit {
			if limit = max(b.speedLimit, withMargin[i]); w.leader.state.now-b.speedLimitSetAt < throttleHoldTime {
				continue
			}
		}
		if limit != b.speedLimit {
			w.leader.throttleRun(b, limit)
		}
	}
}

// trackSince sets *at to the time since which a condition holds, or 0 while it does
// not hold.
func trackSince(at *Instant, holds bool, now Instant) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

// speedLimitIndex returns the index of the lowest of speedLimits that is at least limit.
func speedLimitIndex(limit int) int {
	for i, v := range speedLimits {
		if v >= limit {
			return i
		}
	}
	return len(speedLimits) - 1
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
			r.speedLimit = limit
			r.progressedAt, r.speedLimitSetAt = l.state.now, l.state.now
		} else {
			r.speedLimit = unknownSpeed
		}
	})
	l.state.emit(e)
}

// evictPausedRuns moves best-effort tasks that have been paused for evictDelay.
func (w *worker) evictPausedRuns() {
	for _, b := range slices.Clone(w.bestEffort) {
		if b.phase == phaseRunning && b.speedLimit == 0 && w.leader.state.now-b.speedLimitSetAt >= evictDelay {
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
