package policy

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	sizeSamples     = 12    // measurements before a learned size is used
	sizeRate        = 0.1   // weight of a new measurement in the mean
	memoryPeakDecay = 0.99  // per measurement, so that a single spike loses its effect
	corePeakDecay   = 0.8   // per measurement; processors can be shared, so only a lasting peak is reserved
	coreMargin      = 1.2   // over the mean; more leaves processors idle, less slows services down at peak load
	memoryMargin    = 1.25  // over the peak: memory cannot be shared
	minReserved     = 0.25  // share of the declared size that is always reserved
	runTimeRate     = 0.3   // weight of a new run in the mean
	baselineGrowth  = 1.002 // per measurement, so that an exceptionally low minimum loses its effect
	warmUpSamples   = 3     // first measurements of a run, which are ignored: startup is not typical
)

// Size learns the resource usage of one task of a row. The zero value has
// learned nothing.
type Size struct {
	samples               int
	meanCores             float64 // thousandths of a processor
	peakCores, peakMemory float64 // decaying; thousandths of a processor, and MB
}

// Learn takes one measurement of a run. index counts the measurements of that
// run from 0.
func (z *Size) Learn(used structs.Resources, index int) {
	if index < warmUpSamples {
		return
	}
	z.samples++
	cores, memory := float64(used.MilliCores), float64(used.MemoryMB)
	if z.samples == 1 {
		z.meanCores = cores
	}
	z.meanCores += sizeRate * (cores - z.meanCores)
	z.peakCores = max(cores, z.peakCores*corePeakDecay)
	z.peakMemory = max(memory, z.peakMemory*memoryPeakDecay)
}

// Known reports whether there are enough measurements to use the learned size.
func (z Size) Known() bool { return z.samples >= sizeSamples }

// Reserve returns the resources to reserve for one task. Batch gets its usage
// plus a margin, which may be more or less than declared; a service never gets
// less than declared, because its usage follows demand. Accelerators are as
// declared.
func (z Size) Reserve(declared structs.Resources, kind structs.RowKind) structs.Resources {
	if !z.Known() {
		return declared
	}
	cores := max(z.meanCores*coreMargin, z.peakCores)
	learned := structs.Resources{
		MilliCores:   max(int64(cores), int64(minReserved*float64(declared.MilliCores))),
		MemoryMB:     max(int64(z.peakMemory*memoryMargin), int64(minReserved*float64(declared.MemoryMB))),
		Accelerators: declared.Accelerators,
	}
	if kind == structs.KindService {
		learned.MilliCores = max(learned.MilliCores, declared.MilliCores)
		learned.MemoryMB = max(learned.MemoryMB, declared.MemoryMB)
	}
	return learned
}

// RunTime learns the run time of a row's tasks. The zero value has learned
// nothing.
type RunTime struct{ meanMS float64 }

// Learn takes the duration of one completed run.
func (r *RunTime) Learn(d time.Duration) {
	ms := float64(d.Milliseconds())
	if r.meanMS == 0 {
		r.meanMS = ms
		return
	}
	r.meanMS += runTimeRate * (ms - r.meanMS)
}

// Estimate returns the expected run time in milliseconds, which is the declared
// one until a run has completed.
func (r RunTime) Estimate(declaredMS int64) int64 {
	if r.meanMS == 0 {
		return declaredMS
	}
	return int64(r.meanMS)
}

// Baseline tracks the lowest service time of a row, so that a latency can be
// expressed as a slowdown. The zero value has learned nothing.
type Baseline struct{ lowestMS float64 }

// SlowFactor takes a service time and returns how many times slower than the
// baseline it is, at least 1.
func (b *Baseline) SlowFactor(latencyMS float64) float64 {
	b.lowestMS *= baselineGrowth
	if b.lowestMS == 0 || latencyMS < b.lowestMS {
		b.lowestMS = latencyMS
	}
	if b.lowestMS == 0 {
		return 1
	}
	return latencyMS / b.lowestMS
}
