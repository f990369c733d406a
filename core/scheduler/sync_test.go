package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestEndsBeyondOneAnswer guards against tasks that run again although they are done: a
// worker lists 500 ends at a time, and a run that is in neither list yet is not lost.
func TestEndsBeyondOneAnswer(t *testing.T) {
	for name, disturb := range map[string]func(*simulation){
		"the leader is killed": func(sim *simulation) { sim.leader().kill() },
		"the leader is cut off from the workers": func(sim *simulation) {
			for _, f := range sim.workers {
				f.disconnected = true
			}
			sim.advance(2 * time.Second)
			for _, f := range sim.workers {
				f.disconnected = false
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3, 2)
			sim.waitForLeader()
			const jobs, tasks = 75, 20
			job := singleStepJob(tasks, 5*time.Second, 5)
			job.Steps[0].Request.MemoryMB = 10
			for i := range jobs {
				sim.submitAndWait(sim.hosts[i%3], fmt.Sprintf("%016x", i), job)
			}
			ended := func() (n int) {
				for _, f := range sim.workers {
					n += int(f.lastEnd)
				}
				return n
			}
			sim.waitFor(10*time.Second, "the first end", func() bool { return ended() > 0 })
			disturb(sim)
			sim.waitFor(30*time.Second, "completion", func() bool {
				for i := range jobs {
					if sim.jobState(fmt.Sprintf("%016x", i)) != structs.JobCompleted {
						return false
					}
				}
				return true
			})
			if n := ended(); n != jobs*tasks {
				t.Errorf("%d runs of %d tasks", n, jobs*tasks)
			}
		})
	}
}
