package colocation

// SpeedLimits are the speed limits of best-effort tasks, in percent of full speed.
var SpeedLimits = [...]int{0, 30, 60, FullSpeed}

const (
	// minContention is the least contention for which tasks are moved or throttled.
	minContention = 0.02
	// RaiseMargin is utilization that must remain free after a speed limit is raised, so
	// that it is not lowered again at once.
	RaiseMargin = 0.05
)

// Relief is what to do with one best-effort task.
type Relief struct {
	SpeedLimit int  // percent
	Move       bool // it is stopped, and runs on another worker
}

// Relieve protects serving tasks that are about to miss their targets: the best-effort
// task that causes most contention is moved if there is a worker that tolerates it, else
// slowed down. It returns what to do with each best-effort task, none of which may exceed
// a speed limit. The margin is kept free. movable tells whether a best-effort task can be
// moved.
func (w *Worker) Relieve(speedLimit int, margin float64, movable func(bestEffort int) bool) []Relief {
	out := make([]Relief, len(w.BestEffort))
	for i, b := range w.BestEffort {
		if !b.Stopping {
			out[i].SpeedLimit = speedLimit
		}
	}
	for {
		s := w.mostOverloaded(out, margin)
		if s == nil {
			return out
		}
		at, ok := w.largestContributor(s, out)
		switch {
		case !ok:
			return out
		case movable(at):
			out[at] = Relief{Move: true}
		default:
			out[at].SpeedLimit = SpeedLimits[speedLimitIndex(out[at].SpeedLimit)-1]
		}
	}
}

// mostOverloaded returns the serving task whose utilization is furthest above its safe
// utilization, or nil.
func (w *Worker) mostOverloaded(relief []Relief, margin float64) *Serving {
	var worst *Serving
	var most float64
	for _, s := range w.Serving {
		if !s.Ready {
			continue
		}
		over := s.Load.utilization + margin - w.Model.safeUtilization(s)
		contention := 0.0
		for i, b := range w.BestEffort {
			contention += w.contentionFrom(s, b, relief[i].SpeedLimit)
		}
		if over += contention; over > most && contention >= minContention {
			worst, most = s, over
		}
	}
	return worst
}

// largestContributor returns the best-effort task that causes most contention for a
// serving task.
func (w *Worker) largestContributor(s *Serving, relief []Relief) (int, bool) {
	at, most := 0, 0.0
	for i, b := range w.BestEffort {
		if contention := w.contentionFrom(s, b, relief[i].SpeedLimit); contention > most {
			at, most = i, contention
		}
	}
	return at, most >= minContention/2
}

// speedLimitIndex returns the index of the lowest of SpeedLimits that is at least limit.
func speedLimitIndex(limit int) int {
	for i, v := range SpeedLimits {
		if v >= limit {
			return i
		}
	}
	return len(SpeedLimits) - 1
}
