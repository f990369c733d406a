package policy

const (
	// LevelCount is the number of load levels by which interference is learned.
	LevelCount = 3

	lowLoad  = 0.5 // committed share of processors at which the middle level begins
	highLoad = 0.8 // committed share of processors at which the highest level begins

	interferenceRate  = 0.2  // weight of a new measurement
	interferenceMax   = 10.0 // larger slowdowns carry no further information
	interferencePairs = 8192 // bound on the pairs kept; the oldest is dropped
)

// Level is a load level, from 0 to LevelCount-1.
type Level int

// pairKey identifies a slowed-down row, a row that runs on the same worker, and
// the load level of that worker.
type pairKey struct {
	victim, neighbour string
	level             Level
}

// Interference learns the slowdown that tasks of one sheet row cause to tasks of
// another on the same worker, by row name and load level. Slowdowns by several
// neighbours add up.
type Interference struct {
	excess map[pairKey]float64 // slowdown above 1
	order  []pairKey           // oldest first
}

// NewInterference returns a model that has learned nothing.
func NewInterference() *Interference { return &Interference{excess: make(map[pairKey]float64)} }

// Excess returns the expected slowdown above 1 that a neighbour causes.
func (m *Interference) Excess(victim, neighbour string, level Level) float64 {
	return m.excess[pairKey{victim, neighbour, level}]
}

// Learn takes a measured slowdown of victim, with the neighbours and the level
// at the time of the measurement. The prediction error is divided equally among
// the neighbours.
func (m *Interference) Learn(victim string, neighbours []string, level Level, slowFactor float64) {
	if len(neighbours) == 0 {
		return
	}
	observed := min(max(slowFactor-1, 0), interferenceMax)
	expected := 0.0
	for _, n := range neighbours {
		expected += m.Excess(victim, n, level)
	}
	step := interferenceRate * (observed - expected) / float64(len(neighbours))
	for _, n := range neighbours {
		p := pairKey{victim, n, level}
		old, known := m.excess[p]
		if !known {
			m.track(p)
		}
		m.excess[p] = min(max(old+step, 0), interferenceMax)
	}
}

// track adds a new pair and drops the oldest one when there are too many.
func (m *Interference) track(p pairKey) {
	if len(m.order) >= interferencePairs {
		delete(m.excess, m.order[0])
		m.order = m.order[1:]
	}
	m.order = append(m.order, p)
}

// Mutual returns the expected slowdown that a task of a row would cause to the
// neighbours and suffer from them, summed.
func (m *Interference) Mutual(row string, neighbours []string, level Level) float64 {
	sum := 0.0
	for _, n := range neighbours {
		sum += m.Excess(n, row, level) + m.Excess(row, n, level)
	}
	return sum
}
