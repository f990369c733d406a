package admission

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants of the two averages of a rate.
	shortWindow = 2 * time.Second
	longWindow  = 10 * time.Second
)

// Meter measures the rate at which work is done. Its zero value has seen none.
type Meter struct {
	short, long float64 // decaying sums of work
	at          time.Duration
}

// Add records work that is done now.
func (m *Meter) Add(w Work, now time.Duration) {
	m.decay(now)
	m.short += float64(w)
	m.long += float64(w)
}

// Rate returns the work done per second: the larger of two averages, so that a pause
// between two large jobs does not count as a loss of room.
func (m *Meter) Rate(now time.Duration) float64 {
	m.decay(now)
	return max(m.short/shortWindow.Seconds(), m.long/longWindow.Seconds())
}

func (m *Meter) decay(now time.Duration) {
	if now <= m.at {
		return
	}
	passed := float64(now - m.at)
	m.short *= math.Exp(-passed / float64(shortWindow))
	m.long *= math.Exp(-passed / float64(longWindow))
	m.at = now
}
