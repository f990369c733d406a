package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestPersistentTaskFindsRoom guards against a large persistent task that waits for
// ever in a shard that is almost full, because small finite tasks take each piece that
// becomes free. The load keeps finite tasks of 2 of 8 processors waiting all the time.
func TestPersistentTaskFindsRoom(t *testing.T) {
	const limit = 6 * time.Second // from which a lasting task without a run counts as lost
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	for i := range 4 {
		small := singleStepJob(1, time.Second, 3000)
		small.Steps[0].Persistent = true
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i+0x100), small)
	}
	job := 0
	var submit func()
	submit = func() {
		job++
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", job), singleStepJob(4, 700*time.Millisecond, 2000))
		sim.after(250*time.Millisecond, submit)
	}
	submit()
	sim.advance(2 * time.Second)
	large := singleStepJob(1, time.Second, 5000)
	large.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, large)
	ref := structs.TaskRef{Job: jobA}
	sim.waitFor(limit, "the start of the large task", func() bool { return sim.workerRunning(ref) != nil })
}
