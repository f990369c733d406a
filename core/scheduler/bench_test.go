package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// BenchmarkBusyLeader measures the control loop of a leader with 350 workers,
// serving tasks on most of them, and more best-effort tasks than can be placed. It
// reports the CPU time per second of simulated time, which must stay well below the
// share of a core that a host has.
func BenchmarkBusyLeader(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		sim := newSimulation(b, 1, 350)
		for _, f := range sim.workers {
			f.capacity = structs.Resources{MilliCores: 32000, MemoryMB: 128000}
			f.writeEntry(false)
			f.gauge = func(r *fakeRun) int64 {
				if r.step.TailTarget > 0 {
					return 12
				}
				return 3000
			}
		}
		sim.waitForLeader()
		id := 0
		submit := func(job structs.Job) {
			id++
			sim.submit(sim.hosts[0], fmt.Sprintf("%016x", id), job)
		}
		for i := range 90 {
			job := singleStepJob(14, 300*time.Millisecond, 6400)
			job.Steps[0].Persistent, job.Steps[0].TailTarget = true, 24*time.Millisecond
			job.Steps[0].Image = fmt.Sprintf("serving%d", i%5)
			submit(job)
		}
		sim.advance(2 * time.Second)
		b.StartTimer()
		for i := range 100 {
			for range 3 {
				job := singleStepJob(20, 2300*time.Millisecond, 3500)
				job.Steps[0].BestEffort, job.Steps[0].Image = true, fmt.Sprintf("besteffort%d", i%9)
				submit(job)
				submit(singleStepJob(10, 540*time.Millisecond, 4100))
			}
			sim.advance(100 * time.Millisecond)
		}
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/10, "s/s")
}
