package colocation

import "time"

const (
	// loadDriftVariance is the variance that a serving task's load gains per second: loads
	// swing within seconds.
	loadDriftVariance = 0.0072
	// peakDecay is how much the recorded peak of a load falls per second, so that a peak counts
	// for some tens of seconds.
	peakDecay = 0.005
	// unknownCPUShare is the share of its requested CPU that a serving task is assumed to
	// use before its load is known: it requests what it needs at its peak.
	unknownCPUShare = 0.55
	// riseShare is the share of the way to its recorded peak that a load is expected to
	// rise while a best-effort task runs, which is short beside the swings of a load.
	riseShare = 0.2
)

// Load is the estimated utilization that users cause on each task of a serving step.
// The users of a step are spread evenly over its tasks. The zero value is not known.
type Load struct {
	utilization, variance float64
	peak                  float64 // highest utilization, which falls with peakDecay
	updatedAt             time.Duration
}

// expectedPeak returns the highest utilization from the task's own load to expect
// during the run of a best-effort task.
func (l *Load) expectedPeak() float64 { return max(l.utilization, l.peak) }

// expectedUtilization returns the utilization to expect from the task's own load while a
// best-effort task that starts now runs: between the present one and the peak.
func (l *Load) expectedUtilization() float64 {
	return l.utilization + riseShare*(l.expectedPeak()-l.utilization)
}

// CPUShare returns the share of its requested CPU that a serving task is expected to use.
func (l *Load) CPUShare() float64 {
	if l.updatedAt == 0 {
		return unknownCPUShare
	}
	return l.utilization
}

// advance accounts for the time since the last measurement, and starts from a measured
// utilization if there was none. It returns the time in seconds.
func (l *Load) advance(measured float64, now time.Duration) float64 {
	if l.updatedAt == 0 {
		*l = Load{utilization: measured, variance: priorVariance, updatedAt: now}
	}
	elapsed := (now - l.updatedAt).Seconds()
	l.variance += loadDriftVariance * elapsed
	l.updatedAt = now
	return elapsed
}

// correct applies the part of a correction that is due to the load. The variance is that of
// the whole measurement.
func (l *Load) correct(correction, variance, elapsed float64) {
	l.utilization = min(max(l.utilization+l.variance*correction, 0), maxUtilization)
	l.variance -= l.variance * l.variance / variance
	l.peak = max(l.utilization, l.peak-peakDecay*elapsed)
}
