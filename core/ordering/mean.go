package ordering

// Mean is a running mean that follows changes: the weight of an observation falls with the
// number of later ones.
type Mean struct {
	value float64
	count int
}

// meanMemory is the number of observations after which the weight of a new one no longer falls.
const meanMemory = 100

// Observe adds an observation.
func (m *Mean) Observe(x float64) {
	m.count = min(m.count+1, meanMemory)
	m.value += (x - m.value) / float64(m.count)
}

// Value returns the mean; 0 before the first observation.
func (m *Mean) Value() float64 { return m.value }
