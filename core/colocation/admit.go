package colocation

const (
	// placementMargin is utilization that placement keeps free for load fluctuations.
	placementMargin = 0.05
	// lowTailRatio is the ratio of a serving task's tail latency to its target below
	// which best-effort tasks are assumed not to disturb it.
	lowTailRatio = 0.7
)

// Tolerates reports whether the serving tasks meet their targets with one more
// best-effort task. It also returns the least utilization that any of them has to spare
// at the peak of its load, which may be negative.
func (w *Worker) Tolerates(image ImageID, milliCores int64) (bool, float64) {
	m, share, headroom := w.Model, w.cpuShare(milliCores), 1.0
	for _, s := range w.Serving {
		contention := s.contention + m.PressureOn(s.Image, image).Value*share
		limit := m.safeUtilization(s) - placementMargin
		if s.Load.expectedUtilization()+contention > limit {
			return false, 0
		}
		headroom = min(headroom, limit-s.Load.expectedPeak()-contention)
	}
	return true, headroom
}

// ContentionOn returns the utilization that the best-effort tasks would add to a serving
// task with an image.
func (w *Worker) ContentionOn(image ImageID) float64 {
	s, sum := Serving{Image: image}, 0.0
	for _, b := range w.BestEffort {
		if !b.Stopping {
			sum += w.contentionFrom(&s, b, FullSpeed)
		}
	}
	return sum
}

// ToleratesStarved reports whether a best-effort task of a starved job may run although it
// may disturb serving tasks: none is disturbed now, and the worker does not have tasks of
// both kinds already.
func (w *Worker) ToleratesStarved() bool {
	return w.WorstTailRatio() < lowTailRatio && !w.Shared()
}
