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
type interference struct {
	ids   map[string]imageID
	names []string
	bases []float64    // by serving image: tail in milliseconds without any load; 0: not known
	pairs [][]pressure // by serving and filling image
}

// imageID numbers an image in the order in which the leader met it.
type imageID int

// pressure is the estimate for one pair: the use of a serving task that one
// worker's worth of processors would take, with the variance of the estimate.
type pressure struct{ value, variance float64 }

// prior is what is assumed of a pair that has not been seen.
var prior = pressure{priorPressure, priorVariance}

const (
	// priorPressure and priorVariance describe a pair of which nothing is known:
	// most pairs hardly matter, some take twice the share of processors.
	priorPressure = 0.8
	priorVariance = 0.7 * 0.7
	maxPressure   = 4.0
	// leastVariance keeps an estimate open to change: pressures change within seconds.
	leastVariance = 0.004
	// driftVariance is how much the own load of a serving task may change in a second.
	driftVariance = 0.0072
	// peakFade is how much of the highest own load is forgotten in a second.
	peakFade = 0.005
	// useNoise is the standard error of a use that follows from a rough tail, and
	// roundingMS that of a tail in whole milliseconds.
	useNoise   = 0.03
	roundingMS = 0.3
	// maxUse bounds a measured use: a tail says little once a task is overloaded.
	maxUse = 0.99
	// placeMargin is kept free by placement for the swing of a serving task's load.
	placeMargin = 0.05
)

func newInterference(row PressuresRow) *interference {
	m := &interference{ids: make(map[string]imageID)}
	for _, b := range row.Bases {
		m.bases[m.id(b.Image)] = b.TailMS
	}
	for _, e := range row.Pairs {
		*m.pair(m.id(e.Serving), m.id(e.Filling)) = pressure{e.Value, e.Variance}
	}
	return m
}

// id returns the number of an image.
func (m *interference) id(name string) imageID {
	id, ok := m.ids[name]
	if !ok {
		id = imageID(len(m.names))
		m.ids[name] = id
		m.names = append(m.names, name)
		m.bases, m.pairs = append(m.bases, 0), append(m.pairs, nil)
	}
	return id
}

// row returns what was learned.
func (m *interference) row() PressuresRow {
	var row PressuresRow
	for id, ms := range m.bases {
		if ms > 0 {
			row.Bases = append(row.Bases, BaseEntry{m.names[id], ms})
		}
	}
	for serving, pairs := range m.pairs {
		for filling, p := range pairs {
			if p != prior {
				row.Pairs = append(row.Pairs, PressureEntry{m.names[serving], m.names[filling], p.value, p.variance})
			}
		}
	}
	return row
}

// of returns the pressure of a filling image on a serving one.
func (m *interference) of(serving, filling imageID) float64 {
	if pairs := m.pairs[serving]; int(filling) < len(pairs) {
		return pairs[filling].value
	}
	return priorPressure
}

// pair returns the estimate for a pair. The pointer is valid until the next call.
func (m *interference) pair(serving, filling imageID) *pressure {
	for int(filling) >= len(m.pairs[serving]) {
		m.pairs[serving] = append(m.pairs[serving], prior)
	}
	return &m.pairs[serving][filling]
}

// useOf returns the use that a tail shows, and its variance. Base and tail are
// in milliseconds.
func useOf(base, tail float64) (use, variance float64) {
	use = min(max(1-base/max(tail, 1), 0), maxUse)
	rounding := roundingMS * base / (tail * tail)
	return use, useNoise*useNoise + rounding*rounding
}

// safeUse returns the use at which a serving task still meets its target.
func (m *interference) safeUse(r *run) float64 {
	return 1 - m.bases[r.image]/max(float64(r.step.TailTarget.Milliseconds()), 1)
}

// observe takes in the figures of a look at a worker.
func (w *worker) observeInterference() {
	m, now := w.l.interference, w.l.s.now
	for _, s := range w.serving {
		if s.gauge <= 0 || s.phase != phaseRunning {
			continue
		}
		tail := float64(s.gauge)
		if base := m.bases[s.image]; base == 0 || tail < base {
			m.bases[s.image] = tail
		}
		if s.atWork == 0 {
			continue
		}
		w.correct(s, tail, now)
	}
	w.predict()
}

// load is the estimate of what its own users take of each task of a serving
// step. The tasks of a step share their users evenly.
type load struct {
	use, variance float64
	peak          float64 // highest use, which fades with peakFade
	at            Instant // of the last look; 0: not known
}

// crest returns the use that has to be expected while a task that fills works here.
func (o *load) crest() float64 { return max(o.use, o.peak) }

// correct compares a tail with what was expected and spreads the difference over
// the own load of the task and the pressures beside it by their variances.
func (w *worker) correct(s *run, tail float64, now Instant) {
	m := w.l.interference
	use, noise := useOf(m.bases[s.image], tail)
	if s.own.at == 0 {
		*s.own = load{use: use, variance: priorVariance, at: now}
	}
	elapsed := (now - s.own.at).Seconds()
	s.own.variance += driftVariance * elapsed
	s.own.at = now
	expected, variance := s.own.use, s.own.variance+noise
	for _, f := range w.filling {
		p, share := m.pair(s.image, f.image), w.share(f.gauge)
		expected += p.value * share
		variance += p.variance * share * share
	}
	surprise := (use - expected) / variance
	s.own.use = min(max(s.own.use+s.own.variance*surprise, 0), maxUse)
	s.own.variance -= s.own.variance * s.own.variance / variance
	s.own.peak = max(s.own.use, s.own.peak-peakFade*elapsed)
	for _, f := range w.filling {
		p, share := m.pair(s.image, f.image), w.share(f.gauge)
		p.value = min(max(p.value+p.variance*share*surprise, 0), maxPressure)
		p.variance = max(p.variance-math.Pow(p.variance*share, 2)/variance, leastVariance)
	}
}

// share returns processors, in thousandths, as a share of the worker's.
func (w *worker) share(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.entry.Capacity.MilliCores, 1))
}

// takes returns what a task that fills takes of a serving task, at a share of its full pace.
func (w *worker) takes(s, f *run, percent int) float64 {
	wants := max(f.gauge, f.step.Request.MilliCores)
	return w.l.interference.of(s.image, f.image) * w.share(wants) * float64(percent) / fullPace
}

// predict computes what the tasks that fill take of each serving task at full pace.
func (w *worker) predict() {
	for _, s := range w.serving {
		s.pressed = 0
		for _, f := range w.filling {
			if f.phase != phaseStopping {
				s.pressed += w.takes(s, f, fullPace)
			}
		}
	}
}

// endures reports whether the serving tasks here meet their targets with one
// more task that fills, and how close the worst of them comes to it at the crest
// of its load: 0 with nothing to spare, less beyond that.
func (w *worker) endures(image imageID, milliCores int64) (bool, float64) {
	m, share, spare := w.l.interference, w.share(milliCores), 1.0
	for _, s := range w.serving {
		pressed := s.pressed + m.of(s.image, image)*share
		safe := m.safeUse(s) - placeMargin
		if s.own.use+pressed > safe {
			return false, 0
		}
		spare = min(spare, safe-s.own.crest()-pressed)
	}
	return true, spare
}

const (
	// settleTime is how long a task that fills has to have run before it is
	// moved: figures are of the last half second.
	settleTime = 300 * time.Millisecond
	// minRelief is the least use of a serving task for which a task is moved or slowed.
	minRelief = 0.02
	// raiseMargin is kept free where a pace rises, so that it doesn't fall again at once.
	raiseMargin = 0.05
)

// excess returns the serving task whose use is furthest over what it can bear
// while the tasks that fill work at the given paces, or nil.
func (w *worker) excess(paces []int, margin float64) *run {
	var worst *run
	var most float64
	for _, s := range w.serving {
		if s.atWork == 0 {
			continue
		}
		over := s.own.use + margin - w.l.interference.safeUse(s)
		pressed := 0.0
		for i, f := range w.filling {
			pressed += w.takes(s, f, paces[i])
		}
		if over += pressed; over > most && pressed >= minRelief {
			worst, most = s, over
		}
	}
	return worst
}

// heaviest returns the task that takes most of a serving one at the given paces.
func (w *worker) heaviest(s *run, paces []int) (int, bool) {
	at, most := 0, 0.0
	for i, f := range w.filling {
		if takes := w.takes(s, f, paces[i]); takes > most {
			at, most = i, takes
		}
	}
	return at, most >= minRelief/2
}

// relieve protects serving tasks that are about to miss their targets: what
// presses most on them is moved to workers that endure it, and where there is none
// slowed. It returns the pace of each task that fills.
func (w *worker) relieve(margin float64) []int {
	l := w.l
	paces := make([]int, len(w.filling))
	for i, f := range w.filling {
		if f.phase != phaseStopping {
			paces[i] = w.pace.level
		}
	}
	for {
		s := w.excess(paces, margin)
		if s == nil {
			return paces
		}
		at, ok := w.heaviest(s, paces)
		if !ok {
			return paces
		}
		f := w.filling[at]
		settled := f.phase == phaseRunning && l.s.now-f.confirmed >= settleTime
		if margin == 0 && settled && l.pick(f.job, f.ref, f.job.taskAt(f.ref)) != nil {
			l.moveAway(f, "disturbs tasks that serve")
			paces[at] = 0
			continue
		}
		paces[at] = paceLevels[paceIndex(paces[at])-1]
	}
}
