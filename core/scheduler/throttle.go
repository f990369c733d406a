package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	fullSpeed    = 100
	unknownSpeed = -1 // of an adopted run: the former leader may have paced it
	// calmRatio is the tail of a serving task, as a share of its target, below
	// which the tasks beside it are taken not to disturb it.
	calmTailRatio = 0.7
	// paceAfter is how long a task that serves may miss its target, where no
	// single image is to blame, before all tasks that fill beside it are slowed.
	throttleDelay = time.Second
	// paceHold is how long a pace lasts before the next one: an order takes
	// effect after a tenth of a second and shows in figures of half a second.
	throttleHoldTime = 700 * time.Millisecond
	// paceRise is how long tails have to be calm before the pace rises.
	speedRaiseDelay = time.Second
	// evictAfter is how long tasks that fill stand still before they are moved.
	evictDelay = time.Second
	// stallAfter is how long a run may show no progress before it is started elsewhere.
	stallTimeout = 2500 * time.Millisecond
)

// paceLevels are the shares of work, in percent, at which tasks that fill may go on.
var speedLimits = [...]int{0, 30, 60, fullSpeed}

// paceState is how fast the tasks that fill on one worker may work.
type throttleState struct {
	speedLimit  int
	changedAt   Instant
	calmSince   Instant // 0: tails are not calm
	missedSince Instant // 0: no target is missed
}

// shared reports whether tasks that serve and tasks that fill run here.
func (w *worker) isShared() bool { return len(w.serving) > 0 && len(w.bestEffort) > 0 }

// worstTail returns the highest tail of a serving task as a share of its target.
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

// controlPace protects tasks that serve. Tasks that fill are moved or slowed by
// what is known of their images; a target that is missed all the same slows all of
// them, whatever the estimates say.
func (w *worker) updateThrottle() {
	w.observeInterference()
	t := &w.throttle
	now := w.leader.state.now
	worst := w.worstTailRatio()
	trackSince(&t.calmSince, worst < calmTailRatio, now)
	trackSince(&t.missedSince, worst >= 1, now)
	index := speedLimitIndex(t.speedLimit)
	switch {
	case now-t.changedAt < throttleHoldTime:
	case t.missedSince > 0 && now-t.missedSince >= throttleDelay:
		index--
	case t.calmSince > 0 && now-t.calmSince >= speedRaiseDelay:
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

// setPaces orders the pace of each task that fills. A pace falls at once, and
// rises where there is some room to spare.
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

// since keeps the time at which a condition began to hold; 0 while it does not.
func trackSince(at *Instant, holds bool, now Instant) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

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
	e := PaceTask{Order: l.newCommand(r.worker), Task: r.ref, Run: r.id, Percent: limit}
	e.ID = l.expectAnswer(func(o Ordered) {
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

// evictStill moves tasks that stand still because of the pace.
func (w *worker) evictPausedRuns() {
	for _, b := range slices.Clone(w.bestEffort) {
		if b.phase == phaseRunning && b.speedLimit == 0 && w.leader.state.now-b.speedLimitSetAt >= evictDelay {
			w.leader.moveRun(b, "stands still beside tasks that serve")
		}
	}
}

// checkStalls starts runs that show no progress elsewhere.
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
		w.stalls++
		if w.stalls >= 2 {
			w.stalls = 0
			w.quarantine("tasks stand still")
		}
	}
}

func (r *run) stalled(now Instant) bool {
	if r.step.Persistent && r.percent == fullSpeed {
		return false // at work
	}
	return now-max(r.progressedAt, r.confirmedAt) > stallTimeout
}
