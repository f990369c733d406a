package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestSlowStartupIsNotRestarted guards against restarts of a persistent task that
// takes long to start up, so that it never becomes ready.
func TestSlowStartupIsNotRestarted(t *testing.T) {
	sim := newSimulation(t, 2, 3)
	sim.waitForLeader()
	const startup = 12 * time.Second
	job := singleStepJob(1, startup, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.advance(startup + 2*time.Second)
	starts := 0
	for _, f := range sim.workers {
		starts += f.starts
	}
	if starts != 1 {
		t.Fatalf("a task that takes long to start up was started %d times, want 1", starts)
	}
}

// TestInterferingTasksAreSeparated guards against a serving task that misses its
// target because a best-effort task with high pressure on its image stays on the
// same worker.
func TestInterferingTasksAreSeparated(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	for _, f := range sim.workers {
		f.gauge = func(r *fakeRun) int64 {
			if r.step.TailTarget == 0 {
				return r.step.Request.MilliCores * int64(r.speed) / fullSpeed
			}
			use := 0.0
			for _, o := range f.runs {
				if o.step.Image == "noisy" && r.step.Image == "web" {
					use = 0.7 + float64(o.speed)/fullSpeed // at full speed, overloaded twice over
				}
			}
			return int64(10 / (1 - min(use, 0.98)))
		}
	}
	servingJob := singleStepJob(1, time.Second, 4000)
	servingJob.Steps[0].Persistent, servingJob.Steps[0].TailTarget, servingJob.Steps[0].Image = true, 100*time.Millisecond, "web"
	sim.submitAndWait(sim.hosts[0], jobA, servingJob)
	sim.advance(time.Second)
	otherServingJob := servingJob
	otherServingJob.Steps = slices.Clone(servingJob.Steps)
	otherServingJob.Steps[0].Image = "quiet"
	sim.submitAndWait(sim.hosts[0], "00000000000000cc", otherServingJob)
	sim.advance(2 * time.Second)
	bestEffortJob := singleStepJob(1, 5*time.Second, 2000)
	bestEffortJob.Steps[0].BestEffort, bestEffortJob.Steps[0].Image = true, "noisy"
	sim.submitAndWait(sim.hosts[0], jobB, bestEffortJob)
	sim.advance(100 * time.Millisecond)
	if sim.workerRunning(structs.TaskRef{Job: jobA}) != sim.workerRunning(structs.TaskRef{Job: jobB}) {
		t.Fatal("the two tasks were not placed on one worker at first")
	}
	// Half of the four seconds for which a target may be missed.
	sim.advance(2 * time.Second)
	servingOn, bestEffortOn := sim.workerRunning(structs.TaskRef{Job: jobA}), sim.workerRunning(structs.TaskRef{Job: jobB})
	if servingOn == nil || bestEffortOn == nil || servingOn == bestEffortOn {
		t.Errorf("serving task on %v, best-effort task on %v, want different workers", servingOn, bestEffortOn)
	}
}

// TestPressuresOutliveLeader guards against a new leader that starts without the
// learned pressures, and learns them again at the cost of serving tasks.
func TestPressuresOutliveLeader(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	learned := sim.leader().state.leaderOf(0).interference
	learned.Set(learned.RegisterImage("web"), learned.RegisterImage("noisy"), colocation.Pressure{Value: 2, Variance: 0.01})
	sim.advance(pressuresInterval + time.Second)
	sim.leader().kill()
	sim.advance(5 * time.Second)
	sim.waitForLeader()
	learned = sim.leader().state.leaderOf(0).interference
	if got := learned.PressureOn(learned.RegisterImage("web"), learned.RegisterImage("noisy")).Value; got != 2 {
		t.Errorf("pressure at the new leader is %v, want 2", got)
	}
}

// TestBestEffortJobDoesNotStarve guards against a best-effort job that never ends
// because it disturbs the serving tasks of every worker, and against a serving task
// that misses its target for long while the job runs throttled or for short times.
func TestBestEffortJobDoesNotStarve(t *testing.T) {
	const (
		work      = 5 * time.Second
		maxMissed = 4 * time.Second // longest time for which a target may be missed without interruption
		pressure  = 4.0             // at full speed the serving task is overloaded
	)
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	target := 100 * time.Millisecond
	f.gauge = func(r *fakeRun) int64 {
		if r.step.TailTarget == 0 {
			return r.step.Request.MilliCores * int64(r.speed) / fullSpeed
		}
		use := 0.5
		for _, o := range f.runs {
			if o.step.BestEffort && !o.stopping {
				use += pressure * float64(f.gauge(o)) / float64(f.capacity.MilliCores)
			}
		}
		return int64(10 / (1 - min(use, 0.99)))
	}
	servingJob := singleStepJob(1, time.Second, 4000)
	servingJob.Steps[0].Persistent, servingJob.Steps[0].TailTarget, servingJob.Steps[0].Image = true, target, "web"
	sim.submitAndWait(sim.hosts[0], jobA, servingJob)
	sim.advance(2 * time.Second)
	bestEffortJob := singleStepJob(1, work, 2000)
	bestEffortJob.Steps[0].BestEffort, bestEffortJob.Steps[0].Image, bestEffortJob.Steps[0].SavesProgress = true, "noisy", true
	sim.submitAndWait(sim.hosts[0], jobB, bestEffortJob)
	missed := time.Duration(0)
	const step = 50 * time.Millisecond
	for began := sim.now; sim.jobState(jobB) != structs.JobCompleted; sim.advance(step) {
		if sim.now-began > 8*work {
			t.Fatalf("the best-effort job has not ended within %v", 8*work)
		}
		missed += step
		for _, r := range f.runs {
			if r.step.TailTarget > 0 && time.Duration(f.gauge(r))*time.Millisecond < target {
				missed = 0
			}
		}
		if missed >= maxMissed {
			t.Fatalf("the serving task has missed its target for %v", missed)
		}
	}
}

// TestServingTaskOfNewImage guards against a leader that ends when a serving task of an image
// that it has not seen is placed beside best-effort tasks.
func TestServingTaskOfNewImage(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	bestEffort := singleStepJob(1, 10*time.Second, 1000)
	bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image = true, "batch"
	sim.submitAndWait(sim.hosts[0], jobA, bestEffort)
	sim.waitFor(time.Second, "the start of the best-effort task", func() bool { return sim.runningTasks(jobA) == 1 })
	serving := persistentJob(1, 1000)
	serving.Steps[0].TailTarget, serving.Steps[0].Image = 100*time.Millisecond, "service"
	sim.submitAndWait(sim.hosts[0], jobB, serving)
	sim.waitFor(time.Second, "the start of the serving task", func() bool { return sim.runningTasks(jobB) == 1 })
}

// TestShortTailTarget guards against a worst tail latency that is not a number, with which the
// other serving tasks of the worker are not protected either.
func TestShortTailTarget(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	job := persistentJob(1, 1000)
	job.Steps[0].TailTarget = 500 * time.Microsecond
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.waitFor(time.Second, "the run", func() bool { return sim.runningTasks(jobA) == 1 })
	sim.advance(time.Second)
	if worst := sim.leader().state.leaderOf(0).workers["w00"].colocated.WorstTailRatio(); worst != 0 {
		t.Errorf("the worst ratio is %v before a reading, want 0", worst)
	}
}
