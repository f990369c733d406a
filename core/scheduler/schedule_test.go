package scheduler

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestPauseDoesNotDelayOtherStarts guards against scheduling passes that wait for the
// end of a pause of one worker: a task that another worker can run must start at once.
func TestPauseDoesNotDelayOtherStarts(t *testing.T) {
	const maxDelay = 100 * time.Millisecond
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	sim.leader().state.leaderOf(0).workers["w00"].pauseStarts(2 * time.Second)
	sim.advance(700 * time.Millisecond) // events after which the leader waits for the end of the pause
	sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.waitFor(maxDelay, "the start on the other worker", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobA}) != nil })
}
