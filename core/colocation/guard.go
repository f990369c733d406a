package colocation

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/timers"
)

const (
	// raiseTailRatio is the ratio of a serving task's tail latency to its target below
	// which the limit is raised.
	raiseTailRatio = 0.9
	// throttleDelay is how long a serving task may miss its target before all
	// best-effort tasks on the worker are throttled, whatever the estimates say.
	throttleDelay = time.Second
	// pauseDelay is the same until all of them are paused.
	pauseDelay = 2 * time.Second
	// ThrottleHoldTime is the least time between changes of a speed limit: a command
	// takes effect after 0.1 s, and gauges cover the last half second.
	ThrottleHoldTime = 700 * time.Millisecond
	// speedRaiseDelay is how long tail latencies must be low before the limit is raised.
	speedRaiseDelay = 500 * time.Millisecond
)

// guardLimits are the speed limits that a guard sets, in percent of full speed.
var guardLimits = [...]int{0, 30, 60, FullSpeed}

// Guard is the speed limit for all best-effort tasks of one worker, which follows the
// measured tail latencies whatever the estimates say.
type Guard struct {
	SpeedLimit  int // percent
	changedAt   time.Duration
	lowSince    time.Duration // 0: a tail latency is not low
	missedSince time.Duration // 0: no target is missed
}

// NewGuard returns a guard that slows nothing down.
func NewGuard() Guard { return Guard{SpeedLimit: FullSpeed} }

// Update changes the limit by the worst ratio of a tail latency to its target, and
// reports whether it did.
func (g *Guard) Update(worst float64, now time.Duration) bool {
	timers.TrackSince(&g.lowSince, worst < raiseTailRatio, now)
	timers.TrackSince(&g.missedSince, worst >= 1, now)
	index := slices.Index(guardLimits[:], g.SpeedLimit)
	switch {
	case g.missedSince > 0 && now-g.missedSince >= pauseDelay:
		index = 0
	case now-g.changedAt < ThrottleHoldTime:
	case g.missedSince > 0 && now-g.missedSince >= throttleDelay:
		index--
	case g.lowSince > 0 && now-g.lowSince >= speedRaiseDelay:
		index++
	}
	limit := guardLimits[min(max(index, 0), len(guardLimits)-1)]
	if limit == g.SpeedLimit {
		return false
	}
	g.SpeedLimit, g.changedAt = limit, now
	return true
}
