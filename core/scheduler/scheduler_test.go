package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const jobA, jobB = "00000000000000aa", "00000000000000bb"

// Guards the whole path: a job of two steps is accepted, run in order and shown
// as completed.
func TestJobRunsToItsEnd(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	job := singleStepJob(6, 500*time.Millisecond, 2000)
	job.Steps = append(job.Steps, structs.Step{Count: 2, Request: job.Steps[0].Request, After: []int{0}})
	sim.submitAndWait(sim.hosts[2], jobA, job)
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	req := sim.request(sim.hosts[1], RequestState, "/q/"+jobA)
	sim.advance(time.Second)
	if a := sim.answers[req]; a.Status != AnswerOK || a.State != structs.JobCompleted {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a failed run that is not counted because a new leader has read
// of a later run of the task on another worker first.
func TestFailedRunBesideLaterRunCounts(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	task := structs.TaskRef{Job: jobA}
	sim.waitFor(time.Second, "the start", func() bool { return sim.workerRunning(task) != nil })
	l := sim.leader().state.leader
	idle := l.workers["w00"]
	if sim.workerRunning(task).id == "w00" {
		idle = l.workers["w01"]
	}
	l.handleRunEnd(idle, structs.EndedRun{Number: 1, Task: task, Run: 1001, End: structs.EndFailed})
	if got := l.jobs[jobA].Failures[0]; !slices.Equal(got, []structs.Run{1001}) {
		t.Errorf("failed runs %v", got)
	}
	if l.jobs[jobA].tasks[0].run == nil {
		t.Error("the later run was given up")
	}
}

// Guards against starts, in a queue that needs advice, on workers that may not
// run the step or without its ticket, and against questions that repeat.
func TestAdvisedQueue(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.adviceAllowed = map[structs.WorkerID]bool{"w02": true}
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{
			Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second,
			Advice: &structs.AdviceTerms{Decide: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 10 * time.Second},
		}}},
	}})
	for id, f := range sim.workers {
		f.onStart = func(e StartTask) startOutcome {
			if want := fmt.Sprintf("%s.0.0 on %s", e.Task.Job, id); e.Ticket != want || !sim.adviceAllowed[id] {
				t.Errorf("start on %s with ticket %q", id, e.Ticket)
			}
			return startAnswered
		}
	}
	sim.waitForLeader()
	sim.advance(time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(5, time.Second, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if sim.adviceRequests != 1 {
		t.Errorf("%d questions", sim.adviceRequests)
	}
}

// Guards against lengths of queues that nobody has counted for long being told
// to callers.
func TestStaleLengthsAreNotAnswered(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	sim.advance(2 * time.Second)
	sim.leader().kill()
	var alive *fakeHost
	for _, h := range sim.hosts {
		if h.alive {
			alive = h
		}
	}
	alive.state.stopping = true // takes no lead
	sim.advance(maxQueueLengthAge + time.Second)
	req := sim.request(alive, RequestState, "/q/")
	sim.advance(4 * time.Second)
	if a := sim.answers[req]; a.Status != AnswerUnknown {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a worker that is gone without a word and whose tasks never
// run again: looks without an answer must not move the end of its lease on.
func TestTasksOfLostWorkerRunAgain(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	job := singleStepJob(1, time.Second, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	ref := structs.TaskRef{Job: jobA}
	sim.waitFor(time.Second, "start", func() bool { return sim.workerRunning(ref) != nil })
	sim.advance(2 * time.Second)
	lost := sim.workerRunning(ref)
	lost.crash()
	sim.waitFor(maxLeaseDuration(testBounds)+time.Second, "start elsewhere", func() bool { return sim.workerRunning(ref) != nil })
}

// Guards against persistent tasks that stay on a worker until it leaves: they
// would be away until its lease has run out.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	job := singleStepJob(1, time.Second, 1000)
	job.Steps[0].Persistent = true
	sim.submitAndWait(sim.hosts[0], jobA, job)
	ref := structs.TaskRef{Job: jobA}
	sim.waitFor(time.Second, "start", func() bool { return sim.workerRunning(ref) != nil })
	sim.advance(time.Second)
	leaving := sim.workerRunning(ref)
	leaving.writeEntry(true)
	sim.waitFor(2*time.Second, "start elsewhere", func() bool { f := sim.workerRunning(ref); return f != nil && f != leaving })
}

// Guards against a start without an answer that is given up and carried out
// later, beside a second run of the task.
func TestStartWithoutAnswer(t *testing.T) {
	for name, outcome := range map[string]startOutcome{"carried out": startUnanswered, "lost": startLost, "late": startLate} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.waitForLeader()
			first := true
			for _, f := range sim.workers {
				f.onStart = func(StartTask) startOutcome {
					if first {
						first = false
						return outcome
					}
					return startAnswered
				}
			}
			// The runs outlast the time limit of the order, so that a second run
			// would be beside the first.
			sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, 4*time.Second, 1000))
			sim.waitFor(16*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
			sim.advance(5 * time.Second)
		})
	}
}

// Guards against a worker that is cut off and runs on: its tasks must not be
// started elsewhere before its lease has run out.
func TestCutWorkerRunsOn(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(3, 4*time.Second, 1000))
	sim.advance(time.Second)
	ref := structs.TaskRef{Job: jobA}
	sim.workerRunning(ref).disconnected = true
	sim.waitFor(20*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// Guards against effects that depend on the order of a map: the same events
// give the same decisions.
func TestSameEventsSameDecisions(t *testing.T) {
	play := func() []string {
		sim := newSimulation(t, 3, 6)
		sim.waitForLeader()
		for _, id := range []string{jobA, jobB, "00000000000000cc"} {
			sim.submitAndWait(sim.hosts[0], id, singleStepJob(12, 700*time.Millisecond, 1500))
		}
		sim.leader().kill()
		sim.advance(8 * time.Second)
		return sim.decisions
	}
	if first, second := play(), play(); !slices.Equal(first, second) {
		t.Error("two plays differ")
	}
}

// Guards against "not run" for a job that the store has taken: a commit without
// an answer may have been performed.
func TestUnknownAcceptanceIsNotRefused(t *testing.T) {
	for _, late := range []int{commitUnanswered, commitLate} {
		sim := newSimulation(t, 2, 2)
		sim.waitForLeader()
		sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
			for _, write := range e.Writes {
				if _, ok := write.Value.(JobRow); ok {
					return late
				}
			}
			return commitAnswered
		}
		req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
		sim.advance(4 * time.Second)
		if a := sim.answers[req]; a.Status != AnswerOK && a.Status != AnswerUnknown {
			t.Errorf("answer %v to a job that may have been stored", a.Status)
		}
	}
}

// Guards against acceptance that waits for a store that refuses: the caller
// gets its final answer at once and may come back.
func TestStoreRefusesAcceptance(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.refuseCommits = true
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.advance(100 * time.Millisecond)
	if a := sim.answers[req]; a.Status != AnswerNotRun || a.RetryAfter == 0 {
		t.Errorf("answer %+v", a)
	}
	sim.store.refuseCommits = false
	sim.advance(10 * time.Second)
	if sim.store.get(TableJobs, jobA) != nil {
		t.Error("a refused job is stored")
	}
}

// Guards against callers that wait for a store that is known to be away.
func TestStoreAwayRefusesAtOnce(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.down = true
	sim.advance(5 * time.Second)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.advance(10 * time.Millisecond)
	if a := sim.answers[req]; a.Status != AnswerNotRun {
		t.Errorf("answer %+v", a)
	}
	sim.store.down = false
	sim.advance(3 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, time.Second, 1000))
}

// Guards against a job that fails although its worker is at fault: the task
// goes to another worker, and the failing one gets no more work.
func TestFailingWorkerIsAvoided(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	sim.workers["w00"].failing = true
	for _, id := range []string{jobA, jobB, "00000000000000cc"} {
		sim.submitAndWait(sim.hosts[0], id, singleStepJob(4, 100*time.Millisecond, 1000))
	}
	for _, id := range []string{jobA, jobB, "00000000000000cc"} {
		sim.waitFor(5*time.Second, "completion", func() bool { return sim.jobState(id) == structs.JobCompleted })
	}
}

// Guards against tasks that stand still on a worker for good.
func TestHangingWorkerIsLeft(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	sim.workers["w00"].hanging = true
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(6, 300*time.Millisecond, 2000))
	sim.waitFor(10*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// Guards against work that goes on after its job was cancelled, and against a
// cancel that a new leader forgets.
func TestCancel(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, time.Hour, 1000))
	sim.advance(500 * time.Millisecond)
	leader := sim.leader()
	req := sim.request(sim.hosts[1], RequestCancel, "/q/"+jobA)
	sim.waitFor(time.Second, "confirmation", func() bool { return sim.answers[req].Status == AnswerOK })
	leader.kill()
	sim.waitFor(8*time.Second, "end of the runs", func() bool {
		return sim.jobState(jobA) == structs.JobCancelled && sim.workerRunning(structs.TaskRef{Job: jobA}) == nil
	})
}

// Guards against work that a task under the same ID loses when the worker
// starts again, and against ends that are taken for those of the earlier life.
func TestWorkerStartsAgain(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, time.Second, 1000))
	sim.advance(1500 * time.Millisecond)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(2, time.Second, 1000))
	sim.advance(500 * time.Millisecond)
	f := sim.workers["w00"]
	f.crash()
	f.boot()
	sim.waitFor(8*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
}

// Guards against an acknowledgement of an earlier life's ends that reaches the
// next life under the same ID and makes it forget an end that nobody has read.
func TestAckDoesNotReachNextLife(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(200 * time.Millisecond)
	f.unlisted = true
	f.crash()
	f.boot()
	f.onStart = func(StartTask) startOutcome { return startUnanswered }
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, 50*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks", f.starts)
	}
}

// Guards against a start that is on its way while a look finds that the worker
// started again: it is carried out by the new life, and must not be given up.
func TestStartReachesNextLife(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.unlisted = true
	f.crash()
	f.boot()
	sim.advance(testBounds.MaxLease) // looks are rare now: the next start and the look that finds the new life meet
	f.crash()
	f.boot()
	f.onStart = func(StartTask) startOutcome { return startUnanswered }
	l := sim.leader().state.leader
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 3*time.Second, 1000))
	sim.advance(20 * time.Millisecond)
	if r := l.workers["w00"].runs; len(r) != 1 {
		t.Fatalf("%d runs ordered", len(r))
	}
	l.workers["w00"].handleRestart(f.incarnation)
	sim.waitFor(12*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if f.starts != 1 {
		t.Errorf("%d starts of one task", f.starts)
	}
}

// Guards against a store outage that ends all work: runs go on under the
// workers' leases and the same leader takes up again.
func TestStoreOutage(t *testing.T) {
	sim := newSimulation(t, 3, 3)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(6, 8*time.Second, 1000))
	sim.advance(time.Second)
	sim.store.down = true
	sim.advance(4500 * time.Millisecond)
	sim.store.down = false
	sim.waitFor(12*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	starts := 0
	for _, f := range sim.workers {
		starts += f.starts
	}
	if starts != 6 {
		t.Errorf("%d starts of 6 tasks", starts)
	}
}

// Guards against a table that is never read again once the store has discarded
// its history.
func TestHistoryGone(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	sim.store.version++
	sim.store.discardedUntil = sim.store.version
	sim.store.history = nil
	sim.advance(2 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// Guards against a store that fills up with finished jobs, and against one that
// runs again because its state went first.
func TestFinishedJobsExpire(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(2*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(testBounds.KeepState)
	if sim.jobState(jobA) != structs.JobCompleted {
		t.Error("the final state was not kept")
	}
	sim.waitFor(2*time.Minute, "removal", func() bool {
		return sim.store.get(TableJobs, jobA) == nil && sim.store.get(TableProgress, jobA) == nil
	})
	sim.leader().kill()
	sim.advance(10 * time.Second)
	if starts := sim.workers["w00"].starts; starts != 1 {
		t.Errorf("%d starts of one task", starts)
	}
}

// Guards against a failed run that two leaders count: the worker lists its end
// until it is acknowledged, and the first leader is lost between the two.
func TestFailedRunCountsOnce(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	f := sim.workers["w00"]
	f.failing = true
	killed := false
	sim.store.commitOutcome = func(h *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if p, ok := write.Value.(ProgressRow); ok && len(p.Failures) > 0 && !killed {
				killed, f.failing = true, false
				sim.after(storeDelay+time.Millisecond, h.kill) // stored, and not yet acknowledged
			}
		}
		return commitAnswered
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 300*time.Millisecond, 1000))
	sim.waitFor(10*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if p := sim.store.get(TableProgress, jobA).(ProgressRow); !killed || len(p.Failures[0]) != 1 {
		t.Errorf("killed %v, failures %v", killed, p.Failures)
	}
}

// Guards against failed runs of a task that are counted once in all because a
// new leader reads their workers' lists in another order.
func TestFailedRunsInAnyOrder(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Hour, 1000))
	l := sim.leader().state.leader
	j, ref := l.jobs[jobA], structs.TaskRef{Job: jobA}
	for _, id := range []structs.Run{3, 2, 3} {
		l.taskFailed(j, ref, id, l.workers["w00"])
	}
	if len(j.Failures[0]) != 2 {
		t.Errorf("failures %v", j.Failures)
	}
}

// Guards against a configuration that reverts, and against requests that are
// handled as an older one allows.
func TestConfigurationNeverReverts(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 9}})
	sim.advance(100 * time.Millisecond)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 5, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/"}}}})
	sim.advance(100 * time.Millisecond)
	req := sim.request(sim.hosts[0], RequestState, "/q/")
	sim.advance(100 * time.Millisecond)
	if sim.answers[req].Status != AnswerNotFound {
		t.Errorf("answer %+v", sim.answers[req])
	}
}
