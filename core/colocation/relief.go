package colocation

import (
	"math"
	"time"
)

const (
	// minContention is the least contention for which tasks are moved or throttled.
	minContention = 0.02
	// minTaskContention is the least contention of one task that is moved or throttled: several
	// tasks may add up to minContention.
	minTaskContention = minContention / 4
	// RaiseMargin is utilization that must remain free after a speed limit is raised, so
	// that it is not lowered again at once.
	RaiseMargin = 0.05
	// reliefMargin is utilization that is kept free once a limit has to be lowered, so that
	// it is lowered once.
	reliefMargin = 0.03
	// earlyMargin is utilization that is kept free by tasks that are slowed down, to
	// earlySpeed at most, before a serving task is about to miss its target.
	earlyMargin = 0.04
	earlySpeed  = 60 // percent
	// speedStep separates speed limits, in percent.
	speedStep = 10
	// restartTime is how long a task that is moved waits for its next start and for its
	// saved work to be read there.
	restartTime = 1500 * time.Millisecond
)

// Relief is what to do with one best-effort task.
type Relief struct {
	SpeedLimit int  // percent
	Move       bool // it is stopped, and runs on another worker
}

// Relieve protects serving tasks that are about to miss their targets: the best-effort
// task that causes most contention by the work that it does is slowed down as far as
// necessary. It is moved instead if there is a worker that tolerates it and it ends sooner
// so. While a serving task has less than earlyMargin to spare, tasks are slowed down to
// earlySpeed. Relieve returns what to do with each best-effort task, none of which may
// exceed a speed limit. The margin is kept free. movable tells whether a best-effort task
// can be moved; nil: none can.
func (w *Worker) Relieve(speedLimit int, margin float64, movable func(bestEffort int) bool) []Relief {
	out := make([]Relief, len(w.BestEffort))
	for i, b := range w.BestEffort {
		if !b.Stopping {
			out[i].SpeedLimit = speedLimit
		}
	}
	w.relieve(out, margin, 0, movable)
	w.relieve(out, margin+earlyMargin, earlySpeed, nil)
	return out
}

// relieve lowers speed limits, not below minLimit, until each serving task has a
// margin free or no task can be slowed down for it.
func (w *Worker) relieve(out []Relief, margin float64, minLimit int, movable func(bestEffort int) bool) {
	for {
		s, over := w.mostOverloaded(out, margin, minLimit)
		if s == nil {
			return
		}
		at := w.heaviest(s, out, minLimit)
		b := w.BestEffort[at]
		limit := max(loweredBy(out[at].SpeedLimit, (over+reliefMargin)/w.contentionFrom(s, b, FullSpeed)), minLimit)
		if movable != nil && b.endsSoonerElsewhere(limit) && movable(at) {
			out[at] = Relief{Move: true}
			continue
		}
		out[at].SpeedLimit = limit
	}
}

// loweredBy returns a speed limit lowered by at least a share of full speed.
func loweredBy(limit int, share float64) int {
	steps := int(math.Ceil(min(share, 1) * FullSpeed / speedStep))
	return max(limit-max(steps, 1)*speedStep, 0)
}

// endsSoonerElsewhere reports whether a task ends sooner when it is moved than at a speed
// limit. Work that is not saved begins anew.
func (b *BestEffort) endsSoonerElsewhere(limit int) bool {
	elsewhere := restartTime + b.Remaining
	if !b.Saves {
		elsewhere += b.Worked
	}
	return b.Remaining*FullSpeed > elsewhere*time.Duration(limit)
}

// mostOverloaded returns the serving task whose utilization is furthest above its safe
// utilization, less a margin, and by how much; nil: none is above it because of tasks that
// can be slowed down.
func (w *Worker) mostOverloaded(relief []Relief, margin float64, minLimit int) (*Serving, float64) {
	var worst *Serving
	var most float64
	for _, s := range w.Serving {
		if !s.Ready || w.heaviest(s, relief, minLimit) < 0 {
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
	return worst, most
}

// heaviest returns the best-effort task that causes most contention for a serving task by
// the work that it does, among those that cause any and are above minLimit; -1: none.
func (w *Worker) heaviest(s *Serving, relief []Relief, minLimit int) int {
	at, most := -1, 0.0
	for i, b := range w.BestEffort {
		if relief[i].SpeedLimit <= minLimit || w.contentionFrom(s, b, relief[i].SpeedLimit) < minTaskContention {
			continue
		}
		if p := w.Model.PressureOn(s.Image, b.Image).Value; p > most {
			at, most = i, p
		}
	}
	return at
}
