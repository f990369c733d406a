package policy

import "time"

const (
	throttleAbove     = 1.0              // share of the latency target above which batch is throttled
	releaseBelow      = 0.7              // share of the latency target below which throttling may be released; between the two nothing changes
	settleTime        = 2 * time.Second  // after a step, until measurements show its effect
	releaseDelay      = 10 * time.Second // of low latency before pressure falls by one level
	samplesToThrottle = 2                // consecutive measurements above the target, so that single outliers have no effect
)

// Pressure is the level to which batch is throttled on a worker.
type Pressure int

// The levels of pressure. At PressureHard each further step checkpoints one
// task.
const (
	PressureNone Pressure = iota
	PressureSoft          // batch throttled to half
	PressureHard          // batch throttled to a quarter
)

// Share is a share of the processors that a task requested; 0 means that the
// owner of the worker does not know it.
type Share float64

// ShareAt returns the share of their processors that batch tasks keep at a
// level of pressure.
func ShareAt(p Pressure) Share {
	switch p {
	case PressureNone:
		return 1
	case PressureSoft:
		return 0.5
	}
	return 0.25
}

// ThrottleStep is what to do on a worker after a measurement.
type ThrottleStep uint8

// The steps of batch throttling.
const (
	ThrottleHold       ThrottleStep = iota // no change
	ThrottleRaise                          // the pressure rose: throttle batch
	ThrottleCheckpoint                     // throttling was not enough: checkpoint one batch task
	ThrottleRelease                        // the pressure fell
)

// BatchThrottle decides how far batch is throttled on one worker so that its services
// keep their latency targets. The zero value throttles nothing.
type BatchThrottle struct {
	Pressure     Pressure
	samplesAbove int           // consecutive measurements above the target
	steppedAt    time.Duration // time of the last step; valid if stepped
	lowSince     time.Duration // start of the current period of low latency; valid if low
	low          bool
	stepped      bool
}

// Observe takes a latency as a share of its target and the time at which it was
// measured, and returns the step to take at now. Measurements from before the
// last step took effect are ignored, because they say nothing about it.
func (c *BatchThrottle) Observe(now, measuredAt time.Duration, ratio float64) ThrottleStep {
	if c.stepped && measuredAt < c.steppedAt+settleTime {
		return ThrottleHold
	}
	if ratio > throttleAbove {
		c.low = false
		c.samplesAbove++
		if c.samplesAbove < samplesToThrottle {
			return ThrottleHold
		}
		return c.raise(now)
	}
	c.samplesAbove = 0
	if ratio >= releaseBelow {
		c.low = false
		return ThrottleHold
	}
	if !c.low {
		c.low, c.lowSince = true, measuredAt
	}
	if c.Pressure == PressureNone || measuredAt-c.lowSince < releaseDelay {
		return ThrottleHold
	}
	c.Pressure--
	c.recordStep(now)
	return ThrottleRelease
}

// raise throttles batch one level further, or asks for a checkpoint at the
// highest level.
func (c *BatchThrottle) raise(now time.Duration) ThrottleStep {
	c.recordStep(now)
	if c.Pressure < PressureHard {
		c.Pressure++
		return ThrottleRaise
	}
	return ThrottleCheckpoint
}

// recordStep starts the settling time of a step and discards the measurements
// that led to it.
func (c *BatchThrottle) recordStep(now time.Duration) {
	c.steppedAt, c.stepped, c.samplesAbove, c.low = now, true, 0, false
}

// Reset resets the state when no service with a latency target is left on the
// worker. It reports whether the pressure fell.
func (c *BatchThrottle) Reset() bool {
	before := c.Pressure
	*c = BatchThrottle{}
	return before != PressureNone
}
