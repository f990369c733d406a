package colocation

import (
	"cmp"
	"slices"
)

// Model estimates how much best-effort tasks slow down serving tasks. The tail latency
// of a serving task grows as in a queue: tail = base / (1 - utilization). The
// utilization is the sum of the task's own load and of the contention from each
// best-effort task on the same worker. Contention is proportional to the CPU that the
// best-effort task uses and to the pressure of its image on the image of the serving
// task.
type Model struct {
	ids         map[string]ImageID
	images      []string
	baseTailsMS []float64    // by serving image: tail latency without any load; 0: not known
	pressures   [][]Pressure // by serving and best-effort image
	expected    []Pressure   // by best-effort image: of a pair without any observation; zero: not computed
}

// ImageID numbers an image in the order of its first use in a model.
type ImageID int

// Pressure is the estimate for one pair of images: the utilization that a best-effort
// task would add to a serving task if it used all CPU of a worker, with the variance of
// the estimate.
type Pressure struct{ Value, Variance float64 }

// BaseTail is the tail latency of a serving image without any load.
type BaseTail struct {
	Image  string
	TailMS float64
}

// Pair is the estimate for a serving and a best-effort image.
type Pair struct {
	Serving, BestEffort string
	Pressure
}

// unobserved is the estimate for a pair without any observation.
var unobserved = Pressure{priorPressure, priorVariance}

const (
	// priorPressure and priorVariance describe a best-effort image without any
	// observation: most interfere little, some add twice their share of CPU as
	// utilization.
	priorPressure = 0.8
	priorVariance = 0.7 * 0.7
	// pairVariance is the variance of the pressures of one best-effort image on
	// different serving images.
	pairVariance = 0.5 * 0.5
	maxPressure  = 4.0
	// minVariance keeps an estimate open to change: pressures change within seconds.
	minVariance = 0.004
	// utilizationStdErr is the standard error of a utilization derived from a
	// measured tail latency, and tailStdErrMS that of rounding to milliseconds.
	utilizationStdErr = 0.03
	tailStdErrMS      = 0.3
	// maxUtilization bounds a measured utilization: the tail latency of an overloaded
	// task carries little information.
	maxUtilization = 0.99
	// saturatedUtilization is the measured utilization from which the true one may be any
	// higher one: the tail latency of an overloaded task does not follow it.
	saturatedUtilization = 0.95
)

// NewModel returns a model with estimates that were learned earlier.
func NewModel(bases []BaseTail, pairs []Pair) *Model {
	m := &Model{ids: make(map[string]ImageID)}
	for _, b := range bases {
		m.baseTailsMS[m.RegisterImage(b.Image)] = b.TailMS
	}
	for _, p := range pairs {
		m.Set(m.RegisterImage(p.Serving), m.RegisterImage(p.BestEffort), p.Pressure)
	}
	return m
}

// RegisterImage returns the number of an image, a new one at its first use.
func (m *Model) RegisterImage(name string) ImageID {
	id, ok := m.ids[name]
	if !ok {
		id = ImageID(len(m.images))
		m.ids[name] = id
		m.images = append(m.images, name)
		m.baseTailsMS, m.pressures = append(m.baseTailsMS, 0), append(m.pressures, nil)
		m.expected = append(m.expected, Pressure{})
	}
	return id
}

// FindImage returns the number of an image and records nothing: an image that is not known gets a
// number that no other image has.
func (m *Model) FindImage(name string) ImageID {
	if id, ok := m.ids[name]; ok {
		return id
	}
	return ImageID(len(m.images))
}

// Learned returns what the model has learned: base tails, and the pairs with the most
// certain estimates first.
func (m *Model) Learned() ([]BaseTail, []Pair) {
	var bases []BaseTail
	for id, ms := range m.baseTailsMS {
		if ms > 0 {
			bases = append(bases, BaseTail{m.images[id], ms})
		}
	}
	var pairs []Pair
	for serving, row := range m.pressures {
		for bestEffort, p := range row {
			if p != unobserved {
				pairs = append(pairs, Pair{m.images[serving], m.images[bestEffort], p})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b Pair) int { return cmp.Compare(a.Variance, b.Variance) })
	return bases, pairs
}

// PressureOn returns the estimate for a best-effort image on a serving image. Neither has
// to be known.
func (m *Model) PressureOn(serving, bestEffort ImageID) Pressure {
	if int(serving) >= len(m.pressures) {
		return m.expectedOf(bestEffort)
	}
	if row := m.pressures[serving]; int(bestEffort) < len(row) && row[bestEffort] != unobserved {
		return row[bestEffort]
	}
	return m.expectedOf(bestEffort)
}

// expectedOf returns the estimate for a best-effort image on a serving image beside which
// it has not run: what it does to other serving images tells something about it.
func (m *Model) expectedOf(bestEffort ImageID) Pressure {
	recorded := int(bestEffort) < len(m.expected)
	if recorded && m.expected[bestEffort] != (Pressure{}) {
		return m.expected[bestEffort]
	}
	const ownWeight = 1 / (priorVariance - pairVariance)
	weight, sum := ownWeight, ownWeight*priorPressure
	for _, row := range m.pressures {
		if int(bestEffort) < len(row) && row[bestEffort] != unobserved {
			w := 1 / (row[bestEffort].Variance + pairVariance)
			weight, sum = weight+w, sum+w*row[bestEffort].Value
		}
	}
	p := Pressure{sum / weight, 1/weight + pairVariance}
	if recorded {
		m.expected[bestEffort] = p
	}
	return p
}

// estimate returns the estimate for a pair, to be changed. The pointer is valid until the
// next call.
func (m *Model) estimate(serving, bestEffort ImageID) *Pressure {
	for int(bestEffort) >= len(m.pressures[serving]) {
		m.pressures[serving] = append(m.pressures[serving], unobserved)
	}
	p := &m.pressures[serving][bestEffort]
	if *p == unobserved {
		*p = m.expectedOf(bestEffort)
	}
	m.expected[bestEffort] = Pressure{}
	return p
}

// Set replaces the estimate for a pair.
func (m *Model) Set(serving, bestEffort ImageID, p Pressure) { *m.estimate(serving, bestEffort) = p }

// utilizationOf returns the utilization that follows from a tail latency, and its
// variance. Base and tail are in milliseconds.
func utilizationOf(base, tail float64) (utilization, variance float64) {
	utilization = min(max(1-base/max(tail, 1), 0), maxUtilization)
	rounding := tailStdErrMS * base / (tail * tail)
	return utilization, utilizationStdErr*utilizationStdErr + rounding*rounding
}

// safeUtilization returns the highest utilization at which a serving task meets its target.
func (m *Model) safeUtilization(s *Serving) float64 {
	return 1 - m.baseTailsMS[s.Image]/max(s.TargetMS, 1)
}
