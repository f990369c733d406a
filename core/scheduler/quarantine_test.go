package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// failNowAndThen lets each run of a persistent task fail after an exponentially distributed time.
func (sim *simulation) failNowAndThen(mean time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for _, f := range sim.workers { // in any order: all draw from one sequence, by their starts
		f.onStart = func(e StartTask) startOutcome {
			generation, key := f.generation, runKey{e.Task, e.Run}
			sim.after(time.Duration(random.ExpFloat64()*float64(mean)), func() {
				if r := f.runs[key]; r != nil && f.generation == generation {
					f.endRun(r, structs.EndFailed, "")
				}
			})
			return startAnswered
		}
	}
}

// longestWait returns the longest time that a task of the jobs has no run while the simulation
// advances by d.
func (sim *simulation) longestWait(d time.Duration, jobs ...string) time.Duration {
	const step = 50 * time.Millisecond
	longest, since := time.Duration(0), make(map[structs.TaskRef]time.Duration)
	for end := sim.now + d; sim.now < end; sim.advance(step) {
		for _, id := range jobs {
			for index := range sim.submittedJobs[structs.JobID(id)].Steps[0].Count {
				ref := structs.TaskRef{Job: structs.JobID(id), Index: index}
				if sim.workerRunning(ref) != nil {
					delete(since, ref)
					continue
				}
				if _, waits := since[ref]; !waits {
					since[ref] = sim.now
				}
				longest = max(longest, sim.now-since[ref])
			}
		}
	}
	return longest
}

// TestFailingPersistentTasksLeaveWorkersInUse guards against sound workers that are isolated since
// persistent tasks, which may fail at any time and never end with success, fail there now and
// then: the tasks then wait although more than half of the service is free.
func TestFailingPersistentTasksLeaveWorkersInUse(t *testing.T) {
	for _, mean := range []time.Duration{30 * time.Second, 10 * time.Second, 3 * time.Second, time.Second} {
		t.Run(mean.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.waitForLeader()
			sim.failNowAndThen(mean, 1)
			var jobs []string
			for i := range 10 {
				jobs = append(jobs, fmt.Sprintf("%016x", i+1))
				sim.submitAndWait(sim.hosts[0], jobs[i], persistentJob(6, 200))
			}
			sim.advance(2 * time.Second)
			if got := sim.longestWait(100*time.Second, jobs...); got > startLimit {
				t.Errorf("a task waited %v for its next run, want at most %v", got, startLimit)
			}
		})
	}
}

// TestPersistentTasksThatWorkedDoNotCount guards against sound workers that are isolated for the
// failures of persistent tasks that had worked there for long.
func TestPersistentTasksThatWorkedDoNotCount(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	for _, f := range sim.workers {
		f.onStart = func(e StartTask) startOutcome {
			key := runKey{e.Task, e.Run}
			sim.after(provenTime+3*time.Second, func() {
				if r := f.runs[key]; r != nil {
					f.endRun(r, structs.EndFailed, "")
				}
			})
			return startAnswered
		}
	}
	for i := range 10 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i+1), persistentJob(6, 200))
	}
	sim.advance(time.Minute)
	for _, d := range sim.decisions {
		if strings.Contains(d, "worker: isolated") {
			t.Error(d)
		}
	}
}

// quarantinedWorkers returns how many workers of shard 0 are in quarantine.
func (sim *simulation) quarantinedWorkers() int {
	n := 0
	for _, w := range sim.leader().state.leaderOf(0).workers {
		if w.quarantined() {
			n++
		}
	}
	return n
}

// TestQuarantineIsAQuarter guards against a service that is closed because most of its workers are
// in quarantine: runs of jobs fail on all of them, whatever the cause.
func TestQuarantineIsAQuarter(t *testing.T) {
	for _, workers := range []int{1, 3, 8, 20} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			sim := newSimulation(t, 1, workers)
			sim.waitForLeader()
			for _, f := range sim.workers {
				f.failing = true
			}
			most := 0
			for i := range 60 {
				sim.submit(sim.hosts[0], fmt.Sprintf("%016x", i+1), singleStepJob(4, 100*time.Millisecond, 1000))
				sim.advance(100 * time.Millisecond)
				most = max(most, sim.quarantinedWorkers())
			}
			if want := max(workers/4, 1); most != want {
				t.Errorf("%d of %d workers were in quarantine at once, want %d", most, workers, want)
			}
		})
	}
}

// TestQuarantinedWorkerIsNotTheLast guards against a job that waits for the end of a quarantine
// because no other worker has the label that it requires.
func TestQuarantinedWorkerIsNotTheLast(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	only := sim.workers["w03"]
	only.labels = []string{"only"}
	only.writeEntry(false)
	sim.waitForLeader()
	only.failing = true
	for i := range 4 {
		job := singleStepJob(1, 50*time.Millisecond, 1000)
		job.Steps[0].Label = "only"
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", i+1), job)
	}
	sim.waitFor(2*time.Second, "the quarantine", func() bool { return sim.quarantinedWorkers() == 1 })
	only.failing = false
	sim.advance(500 * time.Millisecond)
	job := singleStepJob(1, time.Second, 1000)
	job.Steps[0].Label = "only"
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.waitFor(time.Second, "the start of the job", func() bool { return sim.runningTasks(jobA) > 0 })
}

// TestFailuresDuringQuarantineDoNotProlongIt guards against a quarantine that is prolonged by the
// failures of runs that were started before it, or followed by another one for the same failures.
func TestFailuresDuringQuarantineDoNotProlongIt(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	w := l.workers["w00"]
	for i := range 12 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i+1), singleStepJob(4, time.Minute, 100))
	}
	f := sim.workers["w00"]
	failRuns := func(n int) {
		for _, r := range f.sortedRuns()[:n] {
			f.endRun(r, structs.EndFailed, "")
		}
		sim.advance(200 * time.Millisecond)
	}
	if failRuns(3); !w.quarantined() {
		t.Fatal("a worker on which runs of several jobs failed is not in quarantine")
	}
	end := w.quarantinedUntil
	if failRuns(6); w.quarantinedUntil != end {
		t.Errorf("the quarantine was prolonged by %v", w.quarantinedUntil-end)
	}
	sim.advance(minQuarantine)
	if failRuns(1); w.quarantined() {
		t.Error("one failure after a quarantine leads to the next one")
	}
}

// TestFaultyWorkerIsFoundByPersistentTasks guards against a faulty worker that gets persistent
// tasks again and again, each of which fails there before it has worked for long.
func TestFaultyWorkerIsFoundByPersistentTasks(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	faulty := sim.workers["w00"]
	faulty.onStart = func(e StartTask) startOutcome {
		key := runKey{e.Task, e.Run}
		sim.after(300*time.Millisecond, func() {
			if r := faulty.runs[key]; r != nil {
				faulty.endRun(r, structs.EndFailed, "")
			}
		})
		return startAnswered
	}
	for i := range 4 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i+1), persistentJob(4, 1000))
	}
	sim.waitFor(2*time.Second, "the quarantine", func() bool { return sim.leader().state.leaderOf(0).workers["w00"].quarantined() })
}

// TestFailingWorkerIsTestedByOneRun guards against a worker that fails all that it starts and
// gets as many tasks after each isolation as it has room for.
func TestFailingWorkerIsTestedByOneRun(t *testing.T) {
	const failingFor = 12 * time.Second
	const atOnce, isolations = 8, 2 // runs that the worker has room for, isolations in this time
	sim := newSimulation(t, 1, 8)
	sim.waitForLeader()
	f, failed := sim.workers["w03"], 0
	f.onStart = func(e StartTask) startOutcome {
		key := runKey{e.Task, e.Run}
		sim.after(100*time.Millisecond, func() {
			if r := f.runs[key]; r != nil {
				f.endRun(r, structs.EndFailed, "")
				failed++
			}
		})
		return startAnswered
	}
	inIsolation, isolatedAt := 0, time.Duration(0)
	for i := 0; sim.now < failingFor; i++ {
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", 0x1000+i), singleStepJob(4, 300*time.Millisecond, 1000))
		sim.advance(40 * time.Millisecond)
		if inIsolation == 0 && sim.quarantinedWorkers() > 0 {
			inIsolation, isolatedAt = failed, sim.now
		}
		if inIsolation > 0 && sim.now < isolatedAt+minQuarantine {
			continue // the runs that had started before end
		}
		if running := len(f.runs); inIsolation > 0 && running > 1 {
			t.Fatalf("%d runs test the worker at once, want one", running)
		}
	}
	// After the first isolation come the runs that had started before, and one after each.
	if after := failed - inIsolation; after > atOnce+isolations {
		t.Errorf("%d runs failed after the first isolation, want %d at most", after, atOnce+isolations)
	}
}
