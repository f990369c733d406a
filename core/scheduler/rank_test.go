package scheduler

import (
	"testing"

	"github.com/tamarackstep/tamarackstep/core/admission"
)

// TestDrainTimeIsDeterministic guards against an order of jobs that depends on that of a map.
func TestDrainTimeIsDeterministic(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workDone = make(map[classKey]*admission.Meter)
	for priority := range 20 {
		meter := &admission.Meter{}
		meter.Add(admission.Work(float64(priority+1)*1234.567), l.state.now)
		l.workDone[classKey{serviceName, priority}] = meter
	}
	const work = 4e7 // long enough to show the last bit of the rate
	first := l.drainTime(work)
	for range 200 {
		if got := l.drainTime(work); got != first {
			t.Fatalf("%d ns and %d ns for the same work", first, got)
		}
	}
}
