package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestPersistentTaskFindsRoom guards against a large persistent task that waits for
// ever in a shard that is almost full, because small finite tasks take each piece that
// becomes free. The load keeps finite tasks of 1 of 8 processors waiting all the time.
func TestPersistentTaskFindsRoom(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	job := 0
	var submit func()
	submit = func() {
		job++
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", job+0x1000), singleStepJob(1, 700*time.Millisecond, 1000))
		sim.after(18*time.Millisecond, submit)
	}
	submit()
	sim.advance(2 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(1, 7000))
	sim.waitFor(lostLimit, "the start of the large task", func() bool { return sim.runningTasks(jobA) == 1 })
}
