package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// largeJob returns a job of many small tasks that save their progress.
func largeJob(tasks int, work time.Duration) structs.Job {
	job := singleStepJob(tasks, work, 5)
	job.Steps[0].Request.MemoryMB = 10
	job.Steps[0].SavesProgress = true
	return job
}

// progressRows returns how many rows the store has of the progress of a job.
func (sim *simulation) progressRows(id structs.JobID) int {
	n := 0
	for key := range sim.store.rows {
		if of, _ := jobOfProgressGroup(key.key); key.table == TableProgress && of == id {
			n++
		}
	}
	return n
}

// TestProgressOfLargeJob guards against the progress of a job with many tasks that
// outgrows a row of the store, so that the store rejects the commits of every leader, and
// against checkpoints that are lost when another host takes over.
func TestProgressOfLargeJob(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	const tasks = 4500
	sim.submitAndWait(sim.hosts[0], jobA, largeJob(tasks, 20*time.Second))
	running := func() (n int) {
		for _, f := range sim.workers {
			n += len(f.runs)
		}
		return n
	}
	sim.waitFor(20*time.Second, "starts of all tasks", func() bool { return running() == tasks })
	for _, f := range sim.workers { // all runs are stopped with a checkpoint
		for _, r := range f.sortedRuns() {
			f.endRun(r, structs.EndStopped, fmt.Sprintf("%016x", r.start.Task.Index))
		}
	}
	sim.advance(2 * time.Second)
	if got, want := sim.progressRows(jobA), (tasks+tasksPerProgressRow-1)/tasksPerProgressRow; got != want {
		t.Errorf("%d rows of progress, want %d", got, want)
	}
	first := sim.leader()
	first.kill()
	sim.waitFor(10*time.Second, "another leader", func() bool { h := sim.leader(); return h != nil && h != first && h.state.leaderOf(0).isLoaded() })
	j := sim.leader().state.leaderOf(0).jobs[jobA]
	for n := range tasks {
		if want := fmt.Sprintf("%016x", n); j.Checkpoints[n] != want {
			t.Fatalf("checkpoint of task %d is %q, want %q", n, j.Checkpoints[n], want)
		}
	}
	sim.serveJobs(sim.hosts[1], 0, 3)
	if sim.store.rejections > 0 {
		t.Errorf("%d commits were rejected", sim.store.rejections)
	}
}

// TestFailuresOfLargeJob guards against failed runs of a job with many tasks that outgrow
// a row of the store, and against failures that a new leader does not know.
func TestFailuresOfLargeJob(t *testing.T) {
	sim := newSimulation(t, 2, 4)
	sim.waitForLeader()
	const tasks = 4500
	sim.submitAndWait(sim.hosts[0], jobA, largeJob(tasks, 20*time.Second))
	for round := range 2 {
		sim.waitFor(30*time.Second, "starts", func() bool {
			n := 0
			for _, f := range sim.workers {
				n += len(f.runs)
			}
			return n > tasks/3
		})
		for _, f := range sim.workers {
			for _, r := range f.sortedRuns() {
				f.endRun(r, structs.EndFailed, "")
			}
		}
		sim.advance(time.Second)
		if round > 0 {
			break
		}
		sim.leader().kill()
		sim.waitFor(10*time.Second, "another leader", func() bool { return sim.leader() != nil })
	}
	j := sim.leader().state.leaderOf(0).jobs[jobA]
	twice := 0
	for _, runs := range j.Failures {
		if len(runs) > 1 {
			twice++
		}
	}
	if j.State.Final() || twice == 0 {
		t.Errorf("state %s, %d tasks with two failures", j.State, twice)
	}
	if sim.store.rejections > 0 {
		t.Errorf("%d commits were rejected", sim.store.rejections)
	}
}

// TestProgressOfFormerVersion guards against failures and checkpoints that are lost when
// progress that is stored in one row is stored again in several.
func TestProgressOfFormerVersion(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	const tasks = 3 * tasksPerProgressRow
	job := largeJob(tasks, time.Hour)
	job.ID, job.Queue, job.SubmittedMS = jobA, queueName, sim.wall()
	sim.submittedJobs[jobA] = job
	sim.store.set(TableJobs, jobA, JobRow{job})
	const last = tasks - 1
	sim.store.set(TableProgress, jobA, ProgressRow{structs.Progress{
		State: structs.JobRunning, Failures: map[int][]structs.Run{last: {1}}, Checkpoints: map[int]string{last: "saved"},
	}})
	sim.waitForLeader()
	sim.waitFor(10*time.Second, "a start of the last task", func() bool { return sim.workerRunning(structs.TaskRef{Job: jobA, Index: last}) != nil })
	row, _ := sim.store.get(TableProgress, progressGroupKey(jobA, progressGroup(last))).(ProgressGroupRow)
	if len(row.Failures[last]) != 1 || row.Checkpoints[last] != "saved" {
		t.Errorf("stored as %+v", row)
	}
}

// TestRowsOfLargeJobAreRemoved guards against further rows of progress that stay in the
// store after their job.
func TestRowsOfLargeJobAreRemoved(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	const tasks = 3 * tasksPerProgressRow
	sim.submitAndWait(sim.hosts[0], jobA, largeJob(tasks, 2*time.Second))
	sim.waitFor(10*time.Second, "starts", func() bool { return len(sim.workers["w00"].runs)+len(sim.workers["w01"].runs) == tasks })
	for _, f := range sim.workers {
		for _, r := range f.sortedRuns() {
			f.endRun(r, structs.EndStopped, "saved")
		}
	}
	sim.waitFor(20*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if got := sim.progressRows(jobA); got != 3 {
		t.Errorf("%d rows of progress, want 3", got)
	}
	sim.waitFor(testBounds.FinalStateRetention+2*time.Minute, "removal", func() bool { return sim.progressRows(jobA) == 0 })
}

// TestLongCheckpointIsNotKept guards against checkpoints of any length in the rows of the
// progress of jobs.
func TestLongCheckpointIsNotKept(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, largeJob(1, time.Hour))
	l := sim.leader().state.leaderOf(0)
	ref := structs.TaskRef{Job: jobA}
	for text, want := range map[string]int{fmt.Sprintf("%0256d", 1): 1, fmt.Sprintf("%0257d", 1): 0} {
		l.jobs[jobA].Checkpoints = nil
		l.recordCheckpoint(l.jobs[jobA], ref, text)
		if got := len(l.jobs[jobA].Checkpoints); got != want {
			t.Errorf("checkpoint of %d bytes: %d kept, want %d", len(text), got, want)
		}
	}
}

// TestCommitStaysWithinLimits guards against a commit of many large rows that outgrows
// the store's limit of a call, which the store of the simulation checks.
func TestCommitStaysWithinLimits(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	const jobs = 60
	for i := range jobs {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i), largeJob(tasksPerProgressRow, time.Hour))
	}
	l := sim.leader().state.leaderOf(0)
	for i := range jobs {
		j := l.jobs[structs.JobID(fmt.Sprintf("%016x", i))]
		for n := range tasksPerProgressRow {
			l.recordCheckpoint(j, j.taskRef(0, 0, n), fmt.Sprintf("%0256d", n))
		}
	}
	sim.waitFor(5*time.Second, "storage of all checkpoints", func() bool {
		for i := range jobs {
			if p, _ := sim.store.get(TableProgress, fmt.Sprintf("%016x", i)).(ProgressRow); len(p.Checkpoints) != tasksPerProgressRow {
				return false
			}
		}
		return true
	})
}
