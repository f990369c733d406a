package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Guards against a persistent task that takes long to start up being restarted
// again and again, so that it never gets to work.
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
		t.Fatalf("%d starts of a task that was starting up, not 1", starts)
	}
}

// Guards against tasks that serve and miss their target because of what fills
// beside them.
func TestHeavyPairIsSeparated(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	for _, f := range sim.workers {
		f.gauge = func(r *fakeRun) int64 {
			if r.step.TailTarget == 0 {
				return r.step.Request.MilliCores
			}
			for _, o := range f.runs {
				if o.step.Image == "noisy" && r.step.Image == "web" {
					return 500
				}
			}
			return 10
		}
	}
	serve := singleStepJob(1, time.Second, 4000)
	serve.Steps[0].Persistent, serve.Steps[0].TailTarget, serve.Steps[0].Image = true, 100*time.Millisecond, "web"
	sim.submitAndWait(sim.hosts[0], jobA, serve)
	sim.advance(time.Second)
	other := serve
	other.Steps = slices.Clone(serve.Steps)
	other.Steps[0].Image = "quiet"
	sim.submitAndWait(sim.hosts[0], "00000000000000cc", other)
	sim.advance(2 * time.Second)
	fill := singleStepJob(1, 5*time.Second, 2000)
	fill.Steps[0].Fills, fill.Steps[0].Image = true, "noisy"
	sim.submitAndWait(sim.hosts[0], jobB, fill)
	sim.advance(100 * time.Millisecond)
	if sim.workerRunning(structs.TaskRef{Job: jobA}) != sim.workerRunning(structs.TaskRef{Job: jobB}) {
		t.Fatal("the pair is not together at first")
	}
	// Half of the four seconds for which a target may be missed.
	sim.advance(2 * time.Second)
	serving, filling := sim.workerRunning(structs.TaskRef{Job: jobA}), sim.workerRunning(structs.TaskRef{Job: jobB})
	if serving == nil || filling == nil || serving == filling {
		t.Errorf("serving on %v, filling on %v", serving, filling)
	}
}

// Guards against a new leader that learns again what presses on what, at the
// cost of the tasks that serve.
func TestPressuresOutliveLeader(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	learned := sim.leader().state.leader.interference
	*learned.estimateFor(learned.imageIDOf("web"), learned.imageIDOf("noisy")) = pressure{value: 2, variance: 0.01}
	sim.advance(pressuresInterval + time.Second)
	sim.leader().kill()
	sim.advance(5 * time.Second)
	sim.waitForLeader()
	learned = sim.leader().state.leader.interference
	if got := learned.pressureOn(learned.imageIDOf("web"), learned.imageIDOf("noisy")); got != 2 {
		t.Errorf("pressure %v at the new leader, not 2", got)
	}
}

// Guards against a job that never ends because each worker serves images that it
// disturbs, and against a serving task that misses its target for long meanwhile:
// the job gets slow or short turns.
func TestHeavyTaskDoesNotStarve(t *testing.T) {
	const (
		work     = 5 * time.Second
		harm     = 4 * time.Second // longest time for which a target may be missed on end
		pressure = 4.0             // at full pace the serving task is overloaded
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
			if o.step.Fills && !o.stopping {
				use += pressure * float64(f.gauge(o)) / float64(f.capacity.MilliCores)
			}
		}
		return int64(10 / (1 - min(use, 0.99)))
	}
	serve := singleStepJob(1, time.Second, 4000)
	serve.Steps[0].Persistent, serve.Steps[0].TailTarget, serve.Steps[0].Image = true, target, "web"
	sim.submitAndWait(sim.hosts[0], jobA, serve)
	sim.advance(2 * time.Second)
	fill := singleStepJob(1, work, 2000)
	fill.Steps[0].Fills, fill.Steps[0].Image, fill.Steps[0].SavesProgress = true, "noisy", true
	sim.submitAndWait(sim.hosts[0], jobB, fill)
	missed := time.Duration(0)
	const step = 50 * time.Millisecond
	for began := sim.now; sim.jobState(jobB) != structs.JobCompleted; sim.advance(step) {
		if sim.now-began > 8*work {
			t.Fatalf("the job has not ended within %v", 8*work)
		}
		missed += step
		for _, r := range f.runs {
			if r.step.TailTarget > 0 && time.Duration(f.gauge(r))*time.Millisecond < target {
				missed = 0
			}
		}
		if missed >= harm {
			t.Fatalf("the target has been missed for %v", missed)
		}
	}
}
