package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/preemption"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// configurePriorities configures an urgent queue and one of a lower priority.
func (sim *simulation) configurePriorities() {
	urgent := structs.Policy{Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second}
	other := urgent
	other.Priority = 1
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{
			{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: urgent},
			{Name: advisedQueueName, Host: "h", PathPrefix: "/a/", Policy: other},
		},
	}})
	sim.waitForLeader()
	sim.advance(time.Second)
}

// TestUrgentTaskDisplacesOthers guards against urgent work that waits until long tasks of
// a lower priority end, and against a job that is displaced again as soon as it runs.
func TestUrgentTaskDisplacesOthers(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.configurePriorities()
	long := singleStepJob(1, time.Minute, 7000)
	long.Steps[0].SavesProgress = true
	sim.submitAdvised(jobA, long)
	sim.waitFor(time.Second, "the start of the long task", func() bool { return sim.runningTasks(jobA) == 1 })
	sim.advance(time.Second)
	sim.submit(sim.hosts[0], jobB, singleStepJob(1, 3*time.Second, 4000))
	sim.waitFor(preemption.Delay+time.Second, "the start of the urgent task", func() bool { return sim.runningTasks(jobB) == 1 })
	sim.waitFor(6*time.Second, "the next run of the displaced task", func() bool { return sim.runningTasks(jobA) == 1 })
	sim.submit(sim.hosts[0], fmt.Sprintf("%016x", 3), singleStepJob(1, 3*time.Second, 4000))
	sim.advance(2 * time.Second)
	if sim.runningTasks(jobA) != 1 {
		t.Error("the same job was displaced twice in a row")
	}
}

// TestRoomOfDisplacedRunIsKept guards against a displaced run that starts again in its own room
// beside other runs, before the claim of the urgent job is stored.
func TestRoomOfDisplacedRunIsKept(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.configurePriorities()
	for _, id := range []string{jobA, jobC} {
		sim.submitAdvised(id, singleStepJob(1, time.Minute, 4000))
		sim.waitFor(time.Second, "the start of a long task", func() bool { return sim.runningTasks(id) == 1 })
	}
	sim.advance(time.Second)
	sim.submit(sim.hosts[0], jobB, singleStepJob(1, 3*time.Second, 4000))
	sim.waitFor(preemption.Delay+time.Second, "the start of the urgent task", func() bool { return sim.runningTasks(jobB) == 1 })
	if starts := sim.workers["w00"].starts; starts != 3 {
		t.Errorf("%d starts, want 3", starts)
	}
}

// TestJobBehindOneThatMayNotDisplace guards against an urgent task that waits for a long run of a
// lower priority because the job before it, which needs as much room, has too little work to
// displace that run.
func TestJobBehindOneThatMayNotDisplace(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.configurePriorities()
	sim.submitAdvised(jobA, singleStepJob(1, time.Minute, 8000))
	sim.waitFor(time.Second, "the start of the long task", func() bool { return sim.runningTasks(jobA) == 1 })
	sim.advance(500 * time.Millisecond)
	sim.submit(sim.hosts[0], jobB, singleStepJob(1, 100*time.Millisecond, 4000))
	sim.submit(sim.hosts[0], jobC, singleStepJob(1, 20*time.Second, 4000))
	sim.waitFor(preemption.Delay+time.Second, "the start of the urgent task", func() bool { return sim.runningTasks(jobC) == 1 })
}

// TestLaterStepWaitsBeforeItDisplaces guards against runs that give way at once to the tasks of a
// step that has just become ready, because other tasks of its job have waited for longer.
func TestLaterStepWaitsBeforeItDisplaces(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.configurePriorities()
	long := singleStepJob(1, time.Minute, 4000)
	long.Steps[0].SavesProgress = true
	sim.submitAdvised(jobA, long)
	sim.waitFor(time.Second, "the start of the long task", func() bool { return sim.runningTasks(jobA) == 1 })
	job := singleStepJob(1, 3*time.Second, 4000)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].Count, job.Steps[1].After = 2, []int{0}
	sim.submit(sim.hosts[0], jobB, job)
	sim.waitFor(5*time.Second, "the second step", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobB, Step: 1}) != nil })
	waited := sim.waitFor(preemption.Delay+time.Second, "the displacement", func() bool { return sim.countDecisions("gives way") > 0 })
	if waited < preemption.Delay-20*time.Millisecond {
		t.Errorf("a run gives way %v after the step has become ready, want %v at least", waited, preemption.Delay)
	}
}

// TestFailedTaskStartsFirst guards against a job that can never be done and takes room for
// all its other tasks before that is known.
func TestFailedTaskStartsFirst(t *testing.T) {
	j := newJob(singleStepJob(4, time.Second, 1000), 0)
	j.Failures = map[int][]structs.Run{2: {1}}
	if got := fmt.Sprint(j.startOrder(0, 0)); got != "[2 0 1 3]" {
		t.Errorf("the tasks start in the order %s, want [2 0 1 3]", got)
	}
}
