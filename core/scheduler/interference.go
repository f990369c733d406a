package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// interferenceModel estimates how much best-effort tasks slow down serving tasks.
// The tail latency of a serving task grows as in a queue: tail = base / (1 -
// utilization). The utilization is the sum of the task's own load and of the
// contention from each best-effort task on the same worker. Contention is
// proportional to the CPU that the best-effort task uses and to the pressure of
// its image on the image of the serving task.
type interferenceModel struct {
	imageIDs    map[string]imageID
	images      []string
	baseTailsMS []float64    // by serving image: tail latency without any load; 0: not known
	pressures   [][]pressure // by serving and best-effort image
}

// imageID numbers an image in the order of first use by the leader.
type imageID int

// pressure is the estimate for one pair of images: the utilization that a
// best-effort task would add to a serving task if it used all CPU of a worker,
// with the variance of the estimate.
type pressure struct{ value, variance float64 }

// priorEstimate is assumed for a pair without any observation.
var priorEstimate = pressure{priorPressure, priorVariance}

const (
	// priorPressure and priorVariance describe a pair without any observation: most
	// pairs interfere little, some add twice their share of CPU as utilization.
	priorPressure = 0.8
	priorVariance = 0.7 * 0.7
	maxPressure   = 4.0
	// minVariance keeps an estimate open to change: pressures change within seconds.
	minVariance = 0.004
	// loadDriftVariance is the variance that a serving task's load gains per second.
	loadDriftVariance = 0.0072
	// peakDecay is how much the recorded peak of a load falls per second.
	peakDecay = 0.005
	// utilizationStdErr is the standard error of a utilization derived from a
	// measured tail latency, and tailStdErrMS that of rounding to milliseconds.
	utilizationStdErr = 0.03
	tailStdErrMS      = 0.3
	// maxUtilization bounds a measured utilization: the tail latency of an overloaded
	// task carries little information.
	maxUtilization = 0.99
	// placementMargin is utilization that placement keeps free for load fluctuations.
	placementMargin = 0.05
)

func newInterference(row PressuresRow) *interferenceModel {
	m := &interferenceModel{imageIDs: make(map[string]imageID)}
	for _, b := range row.Bases {
		m.baseTailsMS[m.imageIDOf(b.Image)] = b.TailMS
	}
	for _, e := range row.Pairs {
		*m.estimateFor(m.imageIDOf(e.Serving), m.imageIDOf(e.BestEffort)) = pressure{e.Value, e.Variance}
	}
	return m
}

// imageIDOf returns the number of an image.
func (m *interferenceModel) imageIDOf(name string) imageID {
	id, ok := m.imageIDs[name]
	if !ok {
		id = imageID(len(m.images))
		m.imageIDs[name] = id
		m.images = append(m.images, name)
		m.baseTailsMS, m.pressures = append(m.baseTailsMS, 0), append(m.pressures, nil)
	}
	return id
}

// row returns the learned estimates as a row of the store of at most limit bytes: base
// tails first, then the pairs with the most certain estimates.
func (m *interferenceModel) row(limit int) PressuresRow {
	var all PressuresRow
	for id, ms := range m.baseTailsMS {
		if ms > 0 {
			all.Bases = append(all.Bases, BaseTailEntry{m.images[id], ms})
		}
	}
	for serving, pairs := range m.pressures {
		for bestEffort, p := range pairs {
			if p != priorEstimate {
				all.Pairs = append(all.Pairs, PressureEntry{m.images[serving], m.images[bestEffort], p.value, p.variance})
			}
		}
	}
	slices.SortStableFunc(all.Pairs, func(a, b PressureEntry) int { return cmp.Compare(a.Variance, b.Variance) })
	var row PressuresRow
	left := limit - row.bytes()
	row.Bases = fitting(all.Bases, &left)
	row.Pairs = fitting(all.Pairs, &left)
	return row
}

// fitting returns the first entries that fit into the bytes that are left, and subtracts
// their sizes.
func fitting[E interface{ bytes() int }](entries []E, left *int) []E {
	for i, e := range entries {
		if *left -= e.bytes(); *left < 0 {
			return entries[:i]
		}
	}
	return entries
}

// pressureOn returns the pressure of a best-effort image on a serving image.
func (m *interferenceModel) pressureOn(serving, bestEffort imageID) float64 {
	if pairs := m.pressures[serving]; int(bestEffort) < len(pairs) {
		return pairs[bestEffort].value
	}
	return priorPressure
}

// estimateFor returns the estimate for a pair. The pointer is valid until the next call.
func (m *interferenceModel) estimateFor(serving, bestEffort imageID) *pressure {
	for int(bestEffort) >= len(m.pressures[serving]) {
		m.pressures[serving] = append(m.pressures[serving], priorEstimate)
	}
	return &m.pressures[serving][bestEffort]
}

// utilizationOf returns the utilization that follows from a tail latency, and its
// variance. Base and tail are in milliseconds.
func utilizationOf(base, tail float64) (utilization, variance float64) {
	utilization = min(max(1-base/max(tail, 1), 0), maxUtilization)
	rounding := tailStdErrMS * base / (tail * tail)
	return utilization, utilizationStdErr*utilizationStdErr + rounding*rounding
}

// safeUtilization returns the highest utilization at which a serving task meets its target.
func (m *interferenceModel) safeUtilization(r *run) float64 {
	return 1 - m.baseTailsMS[r.image]/max(float64(r.step.TailTarget.Milliseconds()), 1)
}

// observeInterference updates the estimates from the gauges in the answer to a sync.
func (w *worker) observeInterference() {
	m, now := w.leader.interference, w.leader.state.now
	for _, s := range w.serving {
		if s.gauge <= 0 || s.phase != phaseRunning {
			continue
		}
		tail := float64(s.gauge)
		if base := m.baseTailsMS[s.image]; base == 0 || tail < base {
			m.baseTailsMS[s.image] = tail
		}
		if s.readySince == 0 {
			continue
		}
		w.updateEstimates(s, tail, now)
	}
	w.updateContention()
}

// load is the estimated utilization that users cause on each task of a serving
// step. The users of a step are spread evenly over its tasks.
type load struct {
	utilization, variance float64
	peak                  float64 // highest utilization, which falls with peakDecay
	updatedAt             Instant // 0: not known
}

// expectedPeak returns the highest utilization from the task's own load to expect
// during the run of a best-effort task.
func (o *load) expectedPeak() float64 { return max(o.utilization, o.peak) }

// updateEstimates compares a tail latency with the expected one, and attributes the
// difference to the task's own load and to the pressures of the best-effort tasks
// on the worker, in proportion to their variances, as a Kalman filter does.
func (w *worker) updateEstimates(s *run, tail float64, now Instant) {
	m := w.leader.interference
	measured, noise := utilizationOf(m.baseTailsMS[s.image], tail)
	if s.load.updatedAt == 0 {
		*s.load = load{utilization: measured, variance: priorVariance, updatedAt: now}
	}
	elapsed := (now - s.load.updatedAt).Seconds()
	s.load.variance += loadDriftVariance * elapsed
	s.load.updatedAt = now
	expected, variance := s.load.utilization, s.load.variance+noise
	for _, b := range w.bestEffort {
		p, share := m.estimateFor(s.image, b.image), w.cpuShare(b.gauge)
		expected += p.value * share
		variance += p.variance * share * share
	}
	correction := (measured - expected) / variance
	s.load.utilization = min(max(s.load.utilization+s.load.variance*correction, 0), maxUtilization)
	s.load.variance -= s.load.variance * s.load.variance / variance
	s.load.peak = max(s.load.utilization, s.load.peak-peakDecay*elapsed)
	for _, b := range w.bestEffort {
		p, share := m.estimateFor(s.image, b.image), w.cpuShare(b.gauge)
		p.value = min(max(p.value+p.variance*share*correction, 0), maxPressure)
		p.variance = max(p.variance-math.Pow(p.variance*share, 2)/variance, minVariance)
	}
}

// cpuShare returns an amount of CPU as a share of the worker's capacity.
func (w *worker) cpuShare(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.entry.Capacity.MilliCores, 1))
}

// contentionFrom returns the utilization that best-effort task b adds to serving
// task s at a speed limit, in percent of full speed.
func (w *worker) contentionFrom(s, b *run, percent int) float64 {
	milliCores := max(b.gauge, b.step.Request.MilliCores)
	return w.leader.interference.pressureOn(s.image, b.image) * w.cpuShare(milliCores) * float64(percent) / fullSpeed
}

// updateContention computes the contention for each serving task with all
// best-effort tasks at full speed.
func (w *worker) updateContention() {
	for _, s := range w.serving {
		s.contention = 0
		for _, b := range w.bestEffort {
			if b.phase != phaseStopping {
				s.contention += w.contentionFrom(s, b, fullSpeed)
			}
		}
	}
}

// tolerates reports whether the serving tasks on the worker meet their targets with
// one more best-effort task. It also returns the least utilization that any of them
// has to spare at the peak of its load, which may be negative.
func (w *worker) tolerates(image imageID, milliCores int64) (bool, float64) {
	m, share, headroom := w.leader.interference, w.cpuShare(milliCores), 1.0
	for _, s := range w.serving {
		contention := s.contention + m.pressureOn(s.image, image)*share
		limit := m.safeUtilization(s) - placementMargin
		if s.load.utilization+contention > limit {
			return false, 0
		}
		headroom = min(headroom, limit-s.load.expectedPeak()-contention)
	}
	return true, headroom
}

const (
	// minTimeBeforeMove is how long a best-effort task must have run before it is
	// moved: gauges cover the last half second.
	minTimeBeforeMove = 300 * time.Millisecond
	// minContention is the least contention for which tasks are moved or throttled.
	minContention = 0.02
	// raiseMargin is utilization that must remain free after a speed limit is
	// raised, so that it is not lowered again at once.
	raiseMargin = 0.05
)

// mostOverloaded returns the serving task whose utilization is furthest above its
// safe utilization with best-effort tasks at the given speed limits, or nil.
func (w *worker) mostOverloaded(limits []int, margin float64) *run {
	var worst *run
	var most float64
	for _, s := range w.serving {
		if s.readySince == 0 {
			continue
		}
		over := s.load.utilization + margin - w.leader.interference.safeUtilization(s)
		contention := 0.0
		for i, b := range w.bestEffort {
			contention += w.contentionFrom(s, b, limits[i])
		}
		if over += contention; over > most && contention >= minContention {
			worst, most = s, over
		}
	}
	return worst
}

// largestContributor returns the index of the best-effort task that causes most
// contention for a serving task at the given speed limits.
func (w *worker) largestContributor(s *run, limits []int) (int, bool) {
	at, most := 0, 0.0
	for i, b := range w.bestEffort {
		if contention := w.contentionFrom(s, b, limits[i]); contention > most {
			at, most = i, contention
		}
	}
	return at, most >= minContention/2
}

// limitContention protects serving tasks that are about to miss their targets: the
// best-effort task that causes most contention is moved to a worker that tolerates
// it, or throttled if there is none. It returns the speed limit of each best-effort
// task. With a margin, it moves none and keeps the margin free.
func (w *worker) limitContention(margin float64) []int {
	l := w.leader
	limits := make([]int, len(w.bestEffort))
	for i, b := range w.bestEffort {
		if b.phase != phaseStopping {
			limits[i] = w.throttle.speedLimit
		}
	}
	for {
		s := w.mostOverloaded(limits, margin)
		if s == nil {
			return limits
		}
		at, ok := w.largestContributor(s, limits)
		if !ok {
			return limits
		}
		b := w.bestEffort[at]
		settled := b.phase == phaseRunning && l.state.now-b.confirmedAt >= minTimeBeforeMove
		if margin == 0 && settled && l.pick(b.job, b.ref, b.job.taskAt(b.ref)) != nil {
			l.moveRun(b, "disturbs serving tasks")
			limits[at] = 0
			continue
		}
		limits[at] = speedLimits[speedLimitIndex(limits[at])-1]
	}
}
