package scheduler

import (
	"math"
	"time"
)

// interference estimates how much tasks that fill slow down tasks that serve.
// The tail of a serving task grows as in a queue, tail = base / (1 - use): use is
// the share of its capacity that its own load takes and that each task that fills
// beside it takes, in proportion to the processors that it uses and to the
// pressure of its image on the image of the serving task.
type interferenceModel struct {
	imageIDs    map[string]imageID
	images      []string
	baseTailsMS []float64    // by serving image: tail in milliseconds without any load; 0: not known
	pressures   [][]pressure // by serving and filling image
}

// imageID numbers an image in the order in which the leader met it.
type imageID int

// pressure is the estimate for one pair: the use of a serving task that one
// worker's worth of processors would take, with the variance of the estimate.
type pressure struct{ value, variance float64 }

// prior is what is assumed of a pair that has not been seen.
var priorEstimate = pressure{priorPressure, priorVariance}

const (
	// priorPressure and priorVariance describe a pair of which nothing is known:
	// most pairs hardly matter, some take twice the share of processors.
	priorPressure = 0.8
	priorVariance = 0.7 * 0.7
	maxPressure   = 4.0
	// leastVariance keeps an estimate open to change: pressures change within seconds.
	minVariance = 0.004
	// driftVariance is how much the own load of a serving task may change in a second.
	loadDriftVariance = 0.0072
	// peakFade is how much of the highest own load is forgotten in a second.
	peakDecay = 0.005
	// useNoise is the standard error of a use that follows from a rough tail, and
	// roundingMS that of a tail in whole milliseconds.
	utilizationStdErr = 0.03
	tailStdErrMS      = 0.3
	// maxUse bounds a measured use: a tail says little once a task is overloaded.
	maxUtilization = 0.99
	// placeMargin is kept free by placement for the swing of a serving task's load.
	placementMargin = 0.05
)

func newInterference(row PressuresRow) *interferenceModel {
	m := &interferenceModel{imageIDs: make(map[string]imageID)}
	for _, b := range row.Bases {
		m.baseTailsMS[m.imageIDOf(b.Image)] = b.TailMS
	}
	for _, e := range row.Pairs {
		*m.estimateFor(m.imageIDOf(e.Serving), m.imageIDOf(e.Filling)) = pressure{e.Value, e.Variance}
	}
	return m
}

// id returns the number of an image.
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

// row returns what was learned.
func (m *interferenceModel) row() PressuresRow {
	var row PressuresRow
	for id, ms := range m.baseTailsMS {
		if ms > 0 {
			row.Bases = append(row.Bases, BaseEntry{m.images[id], ms})
		}
	}
	for serving, pairs := range m.pressures {
		for filling, p := range pairs {
			if p != priorEstimate {
				row.Pairs = append(row.Pairs, PressureEntry{m.images[serving], m.images[filling], p.value, p.variance})
			}
		}
	}
	return row
}

// of returns the pressure of a filling image on a serving one.
func (m *interferenceModel) pressureOn(serving, filling imageID) float64 {
	if pairs := m.pressures[serving]; int(filling) < len(pairs) {
		return pairs[filling].value
	}
	return priorPressure
}

// pair returns the estimate for a pair. The pointer is valid until the next call.
func (m *interferenceModel) estimateFor(serving, filling imageID) *pressure {
	for int(filling) >= len(m.pressures[serving]) {
		m.pressures[serving] = append(m.pressures[serving], priorEstimate)
	}
	return &m.pressures[serving][filling]
}

// useOf returns the use that a tail shows, and its variance. Base and tail are
// in milliseconds.
func utilizationOf(base, tail float64) (utilization, variance float64) {
	utilization = min(max(1-base/max(tail, 1), 0), maxUtilization)
	rounding := tailStdErrMS * base / (tail * tail)
	return utilization, utilizationStdErr*utilizationStdErr + rounding*rounding
}

// safeUse returns the use at which a serving task still meets its target.
func (m *interferenceModel) safeUtilization(r *run) float64 {
	return 1 - m.baseTailsMS[r.image]/max(float64(r.step.TailTarget.Milliseconds()), 1)
}

// observe takes in the figures of a look at a worker.
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

// load is the estimate of what its own users take of each task of a serving
// step. The tasks of a step share their users evenly.
type load struct {
	utilization, variance float64
	peak                  float64 // highest use, which fades with peakFade
	updatedAt             Instant // of the last look; 0: not known
}

// crest returns the use that has to be expected while a task that fills works here.
func (o *load) expectedPeak() float64 { return max(o.utilization, o.peak) }

// correct compares a tail with what was expected and spreads the difference over
// the own load of the task and the pressures beside it by their variances.
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

// share returns processors, in thousandths, as a share of the worker's.
func (w *worker) cpuShare(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.entry.Capacity.MilliCores, 1))
}

// takes returns what a task that fills takes of a serving task, at a share of its full pace.
func (w *worker) contentionFrom(s, b *run, percent int) float64 {
	milliCores := max(b.gauge, b.step.Request.MilliCores)
	return w.leader.interference.pressureOn(s.image, b.image) * w.cpuShare(milliCores) * float64(percent) / fullSpeed
}

// predict computes what the tasks that fill take of each serving task at full pace.
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

// endures reports whether the serving tasks here meet their targets with one
// more task that fills, and how close the worst of them comes to it at the crest
// of its load: 0 with nothing to spare, less beyond that.
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
	// settleTime is how long a task that fills has to have run before it is
	// moved: figures are of the last half second.
	minTimeBeforeMove = 300 * time.Millisecond
	// minRelief is the least use of a serving task for which a task is moved or slowed.
	minContention = 0.02
	// raiseMargin is kept free where a pace rises, so that it doesn't fall again at once.
	raiseMargin = 0.05
)

// excess returns the serving task whose use is furthest over what it can bear
// while the tasks that fill work at the given paces, or nil.
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

// heaviest returns the task that takes most of a serving one at the given paces.
func (w *worker) largestContributor(s *run, limits []int) (int, bool) {
	at, most := 0, 0.0
	for i, b := range w.bestEffort {
		if contention := w.contentionFrom(s, b, limits[i]); contention > most {
			at, most = i, contention
		}
	}
	return at, most >= minContention/2
}

// relieve protects serving tasks that are about to miss their targets: what
// presses most on them is moved to workers that endure it, and where there is none
// slowed. It returns the pace of each task that fills.
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
			l.moveRun(b, "disturbs tasks that serve")
			limits[at] = 0
			continue
		}
		limits[at] = speedLimits[speedLimitIndex(limits[at])-1]
	}
}
