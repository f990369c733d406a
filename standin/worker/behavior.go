package worker

import (
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	defaultHold    = 10 * time.Millisecond
	defaultChunks  = 3
	maxSamples     = 120 // usage samples kept per run
	sampleInterval = time.Second
)

// behavior is what a simulated task does. It is parsed from words of the form
// name=value in the task's command; other words are ignored.
type behavior struct {
	hold        time.Duration // hold_ms: service time of a call
	chunks      int           // chunks: lines of an answer
	utilization float64       // use: used share of the requested processors and memory
	noise       float64       // noise: added to the factor by which calls on the same worker take longer; 0: none
	fails       bool          // fail=1: every run fails at once
}

func parseBehavior(command string) behavior {
	b := behavior{hold: defaultHold, chunks: defaultChunks, utilization: 0.5}
	for _, word := range strings.Fields(command) {
		name, value, _ := strings.Cut(word, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 {
			continue
		}
		switch name {
		case "hold_ms":
			b.hold = time.Duration(n * float64(time.Millisecond))
		case "chunks":
			b.chunks = max(1, int(n))
		case "use":
			b.utilization = n
		case "noise":
			b.noise = n
		case "fail":
			b.fails = n > 0
		}
	}
	return b
}

// sampleUsage records a usage sample if the last one is at least sampleInterval
// old.
func (r *taskRun) sampleUsage(now time.Duration) {
	if n := len(r.sampledAt); n > 0 && now-r.sampledAt[n-1] < sampleInterval {
		return
	}
	if len(r.samples) == maxSamples {
		r.samples, r.sampledAt = r.samples[1:], r.sampledAt[1:]
	}
	utilization := r.behavior.utilization * r.cpuShare
	r.sampledAt = append(r.sampledAt, now)
	r.samples = append(r.samples, structs.UsageSample{
		Task: structs.TaskID(r.ref.Task), Run: structs.Run(r.ref.Run),
		Used: structs.Resources{
			MilliCores: int64(utilization * float64(r.spec.Request.MilliCores)),
			MemoryMB:   int64(r.behavior.utilization * float64(r.spec.Request.MemoryMB)), Accelerators: r.spec.Request.Accelerators,
		},
		LatencyMS: latencyMS(r),
	})
}

func latencyMS(run *taskRun) float64 {
	if run.spec.Kind != structs.KindService {
		return 0
	}
	return float64(run.behavior.hold) / float64(time.Millisecond)
}

// usageAt returns the latest sample taken at the given time or before.
func (r *taskRun) usageAt(at, now time.Duration) (structs.UsageSample, bool) {
	for i := len(r.samples) - 1; i >= 0; i-- {
		if r.sampledAt[i] <= at {
			sample := r.samples[i]
			sample.AgeMS = (now - r.sampledAt[i]).Milliseconds()
			return sample, true
		}
	}
	return structs.UsageSample{}, false
}

// slowdown returns the factor by which the noise of all runs on this worker
// lengthens calls.
func (s *State) slowdown() float64 {
	factor := 1.0
	for _, run := range s.sortedRuns() {
		factor += run.behavior.noise * run.cpuShare
	}
	return factor
}
