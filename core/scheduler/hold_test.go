package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// keepBusy keeps finite tasks of 1 of 8 processors waiting all the time.
func (sim *simulation) keepBusy() {
	job := 0
	var submit func()
	submit = func() {
		job++
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", job+0x1000), singleStepJob(1, 700*time.Millisecond, 1000))
		sim.after(18*time.Millisecond, submit)
	}
	submit()
	sim.advance(2 * time.Second)
}

// TestPersistentTaskFindsRoom guards against a large persistent task that waits for
// ever in a shard that is almost full, because small finite tasks take each piece that
// becomes free.
func TestPersistentTaskFindsRoom(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	sim.keepBusy()
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(1, 7000))
	sim.waitFor(lostLimit, "the start of the large task", func() bool { return sim.runningTasks(jobA) == 1 })
}

// TestKeptRoomIsUsedByItsJob guards against room that is kept for a persistent task and never used by
// it: finite tasks of another queue that request as much come first, and what they did not find
// counts as not there for all tasks that request as much.
func TestKeptRoomIsUsedByItsJob(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.configurePriorities()
	for i := range 60 { // 15 s of work
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", 0x1000+i), singleStepJob(1, time.Second, 7000))
	}
	sim.submitAdvised(jobA, persistentJob(1, 7000))
	sim.waitFor(lostLimit, "the start of the persistent task", func() bool { return sim.runningTasks(jobA) == 1 })
	f := sim.workerRunning(structs.TaskRef{Job: jobA})
	for _, r := range f.sortedRuns() {
		f.endRun(r, structs.EndFailed, "")
	}
	sim.waitFor(time.Second, "its next run", func() bool { return sim.runningTasks(jobA) == 1 })
}

// startLimit is how long a job may wait for its first run while half of the service is free.
const startLimit = 3 * time.Second

const advisedQueueName = "advised"

// configureAdvisedQueue adds a queue whose steps run only on the workers that the advice
// service allows.
func (sim *simulation) configureAdvisedQueue(allowed ...structs.WorkerID) {
	policy := structs.Policy{Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second}
	advised := policy
	advised.Advice = &structs.AdviceTerms{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 10 * time.Second}
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{
			{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: policy},
			{Name: advisedQueueName, Host: "h", PathPrefix: "/a/", Policy: advised},
		},
	}})
	sim.adviceAllowed = make(map[structs.WorkerID]bool)
	for _, id := range allowed {
		sim.adviceAllowed[id] = true
	}
}

// submitAdvised submits a job to the queue with advice.
func (sim *simulation) submitAdvised(id string, job structs.Job) {
	sim.lastRequest++
	sim.submittedJobs[structs.JobID(id)] = job
	sim.hosts[0].deliver(RequestArrived{Request: sim.lastRequest, Kind: RequestSubmit, Host: "h", Path: "/a/" + id, Job: job, Timeout: 3 * time.Second})
}

// expectSmallJobsStart submits small jobs and fails the test if one has no run within startLimit.
func (sim *simulation) expectSmallJobsStart(jobs int) {
	sim.t.Helper()
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x5000+i)
		sim.submit(sim.hosts[0], id, singleStepJob(1, 300*time.Millisecond, 1000))
		sim.waitFor(startLimit, "the start of a small job", func() bool { return sim.runningTasks(id) > 0 })
	}
}

// TestRoomIsNotKeptWhereAdviceDenies guards against workers that are kept free for a persistent
// task which the advice service keeps from them: nothing else of the service ever starts.
func TestRoomIsNotKeptWhereAdviceDenies(t *testing.T) {
	for name, allowed := range map[string][]structs.WorkerID{"one allowed": {"w00"}, "none allowed": nil} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.configureAdvisedQueue(allowed...)
			sim.waitForLeader()
			sim.submitAdvised(jobA, persistentJob(6, 4000))
			sim.advance(5 * time.Second)
			if got := sim.runningTasks(jobA); got != 2*len(allowed) {
				t.Errorf("%d advised tasks run, want %d", got, 2*len(allowed))
			}
			sim.expectSmallJobsStart(10)
			for _, d := range sim.decisions {
				if strings.Contains(d, "worker: kept free") {
					t.Error(d)
				}
			}
		})
	}
}

// TestAdvisedTaskFindsRoom guards against a large persistent task of a queue with advice that
// waits for ever on a service that is almost full: it is allowed only on workers that have no
// room when the advice service could be asked.
func TestAdvisedTaskFindsRoom(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.configureAdvisedQueue("w01", "w03")
	sim.waitForLeader()
	sim.keepBusy()
	sim.submitAdvised(jobA, persistentJob(1, 7000))
	sim.waitFor(lostLimit, "the start of the large task", func() bool { return sim.runningTasks(jobA) == 1 })
}

// TestLargeTasksThatWaitLeaveRoom guards against a service that is closed to small jobs because
// room on each of its workers is kept for large persistent tasks, behind finite tasks that last.
func TestLargeTasksThatWaitLeaveRoom(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	blocking := singleStepJob(4, 2*time.Minute, 3500)
	blocking.Steps[0].PerWorker = 1
	blocking.Steps[0].Estimate = time.Second // far too short
	sim.submitAndWait(sim.hosts[0], jobB, blocking)
	sim.waitFor(time.Second, "the start of the long tasks", func() bool { return sim.runningTasks(jobB) == 4 })
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(4, 5000))
	sim.advance(2 * time.Second)
	sim.expectSmallJobsStart(10)
}

// TestKeptRoomIsNotTheLast guards against a worker that is kept free although no other one can
// run a job that waits: only this one has the label that the job requires.
func TestKeptRoomIsNotTheLast(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	only := sim.workers["w03"]
	only.rack = "last"
	only.writeEntry(false)
	sim.waitForLeader()
	onLast := func(work time.Duration, milliCores int64) structs.Job {
		job := singleStepJob(1, work, milliCores)
		job.Steps[0].Label = only.rack
		return job
	}
	// Room is kept where the least finite work has to end.
	sim.submitAndWait(sim.hosts[0], "0000000000000001", onLast(4*time.Second, 5000))
	sim.submitAndWait(sim.hosts[0], "0000000000000002", singleStepJob(3, 4*time.Second, 6000))
	sim.advance(time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(4, 7000))
	sim.advance(1500 * time.Millisecond)
	sim.submit(sim.hosts[0], jobB, onLast(300*time.Millisecond, 2500))
	sim.waitFor(startLimit, "the start of the job with a label", func() bool { return sim.runningTasks(jobB) > 0 })
}

// TestKeptRoomIsAQuarter guards against more than a quarter of the workers that are kept free at
// the same time: finite jobs find no room on what is left.
func TestKeptRoomIsAQuarter(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.waitForLeader()
	for i := range 8 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", 0x6000+i), singleStepJob(1, 4*time.Second, 4500))
	}
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(8, 7000))
	l := sim.leader().state.leaderOf(0)
	kept := 0
	for range 30 {
		sim.advance(100 * time.Millisecond)
		now := 0
		for _, w := range l.workers {
			if w.keepsRoom() {
				now++
			}
		}
		kept = max(kept, now)
	}
	if kept != 2 {
		t.Errorf("%d of 8 workers were kept free at once, want 2", kept)
	}
	sim.waitFor(lostLimit, "the start of the large tasks", func() bool { return sim.runningTasks(jobA) == 8 })
}

// TestBestEffortTaskKeepsNoRoom guards against a persistent best-effort task, which reserves no
// processors and waits for idle ones, that takes from another task the worker kept free for it.
func TestBestEffortTaskKeepsNoRoom(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.waitForLeader()
	sim.keepBusy()
	waiting := persistentJob(8, 8000)
	waiting.Steps[0].BestEffort = true
	sim.submitAndWait(sim.hosts[0], jobB, waiting)
	sim.advance(2 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, persistentJob(1, 7000))
	sim.waitFor(lostLimit, "the start of the large task", func() bool { return sim.runningTasks(jobA) == 1 })
}
