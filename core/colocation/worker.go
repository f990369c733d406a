package colocation

import (
	"math"
	"slices"
	"time"
)

// FullSpeed is the speed limit, in percent, of a task that is not slowed down.
const FullSpeed = 100

// Worker holds the serving and the best-effort tasks of one worker.
type Worker struct {
	Model      *Model
	MilliCores int64 // of the worker
	Serving    []*Serving
	BestEffort []*BestEffort
}

// Serving is a run of a task with a target for its tail latency.
type Serving struct {
	Image    ImageID
	TargetMS float64
	Load     *Load   // of its step
	TailMS   float64 // last reading; 0: none
	Running  bool
	Ready    bool // it has started up, so that its tail latency tells its load

	contention float64 // utilization that best-effort tasks add at full speed
}

// BestEffort is a run of a task that uses idle CPU.
type BestEffort struct {
	Image     ImageID
	Requested int64 // millicores
	Used      int64 // millicores, last reading
	Stopping  bool
	Saves     bool          // a stop saves its work
	Worked    time.Duration // at full speed
	Remaining time.Duration // expected at full speed
}

// AddServing adds a serving task.
func (w *Worker) AddServing(s *Serving) {
	w.Serving = append(w.Serving, s)
	w.updateContention()
}

// AddBestEffort adds a best-effort task.
func (w *Worker) AddBestEffort(b *BestEffort) {
	w.BestEffort = append(w.BestEffort, b)
	w.updateContention()
}

// Remove removes a task of either kind; the other one is nil.
func (w *Worker) Remove(s *Serving, b *BestEffort) {
	w.Serving = slices.DeleteFunc(w.Serving, func(o *Serving) bool { return o == s })
	w.BestEffort = slices.DeleteFunc(w.BestEffort, func(o *BestEffort) bool { return o == b })
	w.updateContention()
}

// Shared reports whether the worker has tasks of both kinds.
func (w *Worker) Shared() bool { return len(w.Serving) > 0 && len(w.BestEffort) > 0 }

// WorstTailRatio returns the highest ratio of a serving task's tail latency to its target.
func (w *Worker) WorstTailRatio() float64 {
	var worst float64
	for _, s := range w.Serving {
		if s.Running {
			worst = max(worst, s.TailMS/s.TargetMS)
		}
	}
	return worst
}

// SameImageShare returns the share of the serving tasks that have an image. Best-effort
// tasks find more room on workers with few serving images.
func (w *Worker) SameImageShare(image ImageID) float64 {
	if len(w.Serving) == 0 {
		return 0
	}
	same := 0
	for _, s := range w.Serving {
		if s.Image == image {
			same++
		}
	}
	return float64(same) / float64(len(w.Serving))
}

// Observe updates the estimates from new readings of the tasks.
func (w *Worker) Observe(now time.Duration) {
	m := w.Model
	for _, s := range w.Serving {
		if s.TailMS <= 0 || !s.Running {
			continue
		}
		if base := m.baseTailsMS[s.Image]; base == 0 || s.TailMS < base {
			m.baseTailsMS[s.Image] = s.TailMS
		}
		if s.Ready {
			w.updateEstimates(s, now)
		}
	}
	w.updateContention()
}

// updateEstimates compares a tail latency with the expected one, and attributes the
// difference to the task's own load and to the pressures of the best-effort tasks
// on the worker, in proportion to their variances, as a Kalman filter does.
func (w *Worker) updateEstimates(s *Serving, now time.Duration) {
	m := w.Model
	measured, noise := utilizationOf(m.baseTailsMS[s.Image], s.TailMS)
	elapsed := s.Load.advance(measured, now)
	expected, variance := s.Load.utilization, s.Load.variance+noise
	for _, b := range w.BestEffort {
		p, share := m.PressureOn(s.Image, b.Image), w.cpuShare(b.Used)
		expected += p.Value * share
		variance += p.Variance * share * share
	}
	if measured >= saturatedUtilization && measured < expected {
		measured = expected
	}
	correction := (measured - expected) / variance
	s.Load.correct(correction, variance, elapsed)
	for _, b := range w.BestEffort {
		if b.Used == 0 {
			continue // it shows nothing
		}
		p, share := m.estimate(s.Image, b.Image), w.cpuShare(b.Used)
		p.Value = min(max(p.Value+p.Variance*share*correction, 0), maxPressure)
		p.Variance = max(p.Variance-math.Pow(p.Variance*share, 2)/variance, minVariance)
	}
}

// cpuShare returns an amount of CPU as a share of the worker's.
func (w *Worker) cpuShare(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.MilliCores, 1))
}

// contentionFrom returns the utilization that a best-effort task adds to a serving task
// at a speed limit, in percent of full speed.
func (w *Worker) contentionFrom(s *Serving, b *BestEffort, percent int) float64 {
	share := w.cpuShare(max(b.Used, b.Requested))
	return w.Model.PressureOn(s.Image, b.Image).Value * share * float64(percent) / FullSpeed
}

// updateContention computes the contention for each serving task with all best-effort
// tasks at full speed.
func (w *Worker) updateContention() {
	for _, s := range w.Serving {
		s.contention = 0
		for _, b := range w.BestEffort {
			if !b.Stopping {
				s.contention += w.contentionFrom(s, b, FullSpeed)
			}
		}
	}
}
