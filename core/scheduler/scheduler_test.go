package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const jobA, jobB = "00000000000000aa", "00000000000000bb"

// TestJobCompletes guards against faults on the main path: a job of two steps is
// accepted, runs in the order of its steps and is reported as completed.
func TestJobCompletes(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	job := singleStepJob(6, 500*time.Millisecond, 2000)
	job.Steps = append(job.Steps, structs.Step{Count: 2, Request: job.Steps[0].Request, After: []int{0}})
	sim.submitAndWait(sim.hosts[2], jobA, job)
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	req := sim.request(sim.hosts[1], RequestState, "/q/"+jobA)
	sim.advance(time.Second)
	if a := sim.answers[req]; a.Status != AnswerOK || a.State != structs.JobCompleted {
		t.Errorf("answer %+v, want ok with state completed", a)
	}
}

// TestFailedRunCountsAfterLaterRun guards against a failed run that is not counted
// because a later run of the task on another worker was read first.
func TestFailedRunCountsAfterLaterRun(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	task := structs.TaskRef{Job: jobA}
	sim.waitFor(time.Second, "the start", func() bool { return sim.workerRunning(task) != nil })
	l := sim.leader().state.leaderOf(0)
	idle := l.workers["w00"]
	if sim.workerRunning(task).id == "w00" {
		idle = l.workers["w01"]
	}
	l.handleRunEnd(idle, structs.EndedRun{Number: 1, Task: task, Run: 1001, End: structs.EndFailed})
	if got := l.jobs[jobA].Failures[0]; !slices.Equal(got, []structs.Run{1001}) {
		t.Errorf("failed runs are %v, want [1001]", got)
	}
	if l.jobs[jobA].tasks[0].run == nil {
		t.Error("the later run was discarded")
	}
}

// TestAdvisedQueue guards against starts in a queue with advice on workers that may
// not run the step or without a ticket, and against repeated advice requests for one
// step.
func TestAdvisedQueue(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.adviceAllowed = map[structs.WorkerID]bool{"w02": true}
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{
			Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second,
			Advice: &structs.AdviceTerms{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 10 * time.Second},
		}}},
	}})
	for id, f := range sim.workers {
		f.onStart = func(e StartTask) startOutcome {
			if want := fmt.Sprintf("%s.0.0 on %s", e.Task.Job, id); e.Ticket != want || !sim.adviceAllowed[id] {
				t.Errorf("start on %s with ticket %q, want an allowed worker and its ticket", id, e.Ticket)
			}
			return startAnswered
		}
	}
	sim.waitForLeader()
	sim.advance(time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(5, time.Second, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if sim.adviceRequests != 1 {
		t.Errorf("%d advice requests, want 1", sim.adviceRequests)
	}
}

// TestStaleLengthsAreNotAnswered guards against answers with outdated queue lengths
// when there has been no leader for some time.
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
	alive.state.stopping = true // does not take over
	sim.advance(maxQueueLengthAge + time.Second)
	req := sim.request(alive, RequestState, "/q/")
	sim.advance(4 * time.Second)
	if a := sim.answers[req]; a.Status != AnswerNotRun {
		t.Errorf("answer %+v, want status %v", a, AnswerNotRun)
	}
}

// TestTasksOfLostWorkerRunAgain guards against tasks of a lost worker that are never
// restarted: syncs without an answer must not extend the worker's lease.
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

// TestDrainingWorkerIsEvacuated guards against persistent tasks that stay on a
// draining worker until it leaves: they would not run until its lease has expired.
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

// TestStartWithoutAnswer guards against two concurrent runs of a task: a start
// without an answer must not be discarded, since the worker may carry it out later.
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
			// The runs take longer than the timeout of the start command, so that a
			// second run would overlap the first.
			sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, 4*time.Second, 1000))
			sim.waitFor(16*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
			sim.advance(5 * time.Second)
		})
	}
}

// TestDisconnectedWorkerKeepsTasks guards against two concurrent runs of a task when
// a worker is disconnected but still runs it: the task must not be restarted before
// the lease has expired.
func TestDisconnectedWorkerKeepsTasks(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(3, 4*time.Second, 1000))
	sim.advance(time.Second)
	ref := structs.TaskRef{Job: jobA}
	sim.workerRunning(ref).disconnected = true
	sim.waitFor(20*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestDecisionsAreDeterministic guards against effects that depend on map iteration
// order: the same events must give the same decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	simulate := func() []string {
		sim := newSimulation(t, 3, 6)
		sim.waitForLeader()
		for _, id := range []string{jobA, jobB, "00000000000000cc"} {
			sim.submitAndWait(sim.hosts[0], id, singleStepJob(12, 700*time.Millisecond, 1500))
		}
		sim.leader().kill()
		sim.advance(8 * time.Second)
		return sim.decisions
	}
	if first, second := simulate(), simulate(); !slices.Equal(first, second) {
		t.Error("two simulations with the same events made different decisions")
	}
}

// TestUnknownAcceptanceIsNotRefused guards against the answer "not run" for a job
// that is stored: a commit without an answer may have been performed.
func TestUnknownAcceptanceIsNotRefused(t *testing.T) {
	for _, outcome := range []int{commitUnanswered, commitLate} {
		sim := newSimulation(t, 2, 2)
		sim.waitForLeader()
		sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
			for _, write := range e.Writes {
				if _, ok := write.Value.(JobRow); ok {
					return outcome
				}
			}
			return commitAnswered
		}
		req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
		sim.advance(4 * time.Second)
		if a := sim.answers[req]; a.Status != AnswerOK && a.Status != AnswerUnknown {
			t.Errorf("answer %v to a job that may be stored, want ok or unknown outcome", a.Status)
		}
	}
}

// TestStoreRefusesAcceptance guards against retries until the caller's deadline when
// the store refuses a job: the caller must be answered at once, and may retry.
func TestStoreRefusesAcceptance(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.refuseCommits = true
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.advance(100 * time.Millisecond)
	if a := sim.answers[req]; a.Status != AnswerNotRun || a.RetryAfter == 0 {
		t.Errorf("answer %+v, want not run with a delay before a retry", a)
	}
	sim.store.refuseCommits = false
	sim.advance(10 * time.Second)
	if sim.store.get(TableJobs, jobA) != nil {
		t.Error("a refused job is stored")
	}
}

// TestUnreachableStoreRefusesAtOnce guards against requests that wait for a store
// that is known to be unreachable.
func TestUnreachableStoreRefusesAtOnce(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.down = true
	sim.advance(5 * time.Second)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.advance(10 * time.Millisecond)
	if a := sim.answers[req]; a.Status != AnswerNotRun {
		t.Errorf("answer %+v, want not run", a)
	}
	sim.store.down = false
	sim.advance(3 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(1, time.Second, 1000))
}

// TestFailingWorkerIsQuarantined guards against jobs that fail because of a faulty
// worker: their tasks must move to other workers, and the faulty worker must be
// quarantined.
func TestFailingWorkerIsQuarantined(t *testing.T) {
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

// TestStalledRunsAreMoved guards against tasks that stay on a worker on which they
// make no progress.
func TestStalledRunsAreMoved(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.waitForLeader()
	sim.workers["w00"].hanging = true
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(6, 300*time.Millisecond, 2000))
	sim.waitFor(10*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestCancel guards against runs that continue after their job was cancelled, and
// against a cancellation that is lost when the leader changes.
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

// TestCancelBeforeLateSubmission guards against a job that runs although its cancellation
// was acknowledged: the store performs its submission, which had no answer, afterwards.
func TestCancelBeforeLateSubmission(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		if e.Writes[0].Table == TableJobs {
			return commitLate
		}
		return commitAnswered
	}
	submitted := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	sim.hosts[0].deliver(CallerGone{Request: submitted})
	sim.advance(500 * time.Millisecond)
	cancelled := sim.request(sim.hosts[1], RequestCancel, "/q/"+jobA)
	sim.advance(500 * time.Millisecond)
	if got := sim.answers[cancelled].Status; got != AnswerNoSuchJob {
		t.Fatalf("answer to the cancellation: %v", got)
	}
	sim.waitFor(8*time.Second, "cancellation of the job", func() bool { return sim.jobState(jobA) == structs.JobCancelled })
	if n := sim.workers["w00"].starts; n > 0 {
		t.Errorf("%d starts", n)
	}
	sim.store.commitOutcome = func(*fakeHost, Commit) int { return commitAnswered }
	sim.waitFor(orphanedCancelRetention+10*time.Minute, "removal of the cancellation", func() bool { return sim.store.get(TableCancels, jobA) == nil })
}

// TestCancellationOfUnknownJobExpires guards against cancellations of jobs that never come
// and stay in the store.
func TestCancellationOfUnknownJobExpires(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.request(sim.hosts[0], RequestCancel, "/q/"+jobA)
	sim.waitFor(time.Second, "the cancellation", func() bool { return sim.store.get(TableCancels, jobA) != nil })
	sim.waitFor(orphanedCancelRetention+time.Minute, "its removal", func() bool { return sim.store.get(TableCancels, jobA) == nil })
}

// TestStoreOutage guards against restarts of tasks because of a store outage: runs
// must continue under the workers' leases, and the same leader must resume after the
// outage.
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
		t.Errorf("%d starts of 6 tasks, want 6", starts)
	}
}

// TestDiscardedHistoryIsReread guards against a table that is never read again once
// the store has discarded its history.
func TestDiscardedHistoryIsReread(t *testing.T) {
	sim := newSimulation(t, 2, 2)
	sim.waitForLeader()
	sim.store.version++
	sim.store.discardedUntil = sim.store.version
	sim.store.history = nil
	sim.advance(2 * time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(4*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestFinishedJobsExpire guards against finished jobs that are never removed from
// the store, and against a finished job that runs again because its progress was
// removed before its job row.
func TestFinishedJobsExpire(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 100*time.Millisecond, 1000))
	sim.waitFor(2*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(testBounds.FinalStateRetention)
	if sim.jobState(jobA) != structs.JobCompleted {
		t.Error("the final state was removed before FinalStateRetention had passed")
	}
	sim.waitFor(2*time.Minute, "removal", func() bool {
		return sim.store.get(TableJobs, jobA) == nil && sim.store.get(TableProgress, jobA) == nil
	})
	sim.leader().kill()
	sim.advance(10 * time.Second)
	if starts := sim.workers["w00"].starts; starts != 1 {
		t.Errorf("%d starts of one task, want 1", starts)
	}
}

// TestFailedRunCountsOnce guards against a failed run that two leaders count: the
// worker lists its end until it is acknowledged, and the first leader is lost after
// it has stored the failure and before it has acknowledged the end.
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
				sim.after(storeDelay+time.Millisecond, h.kill) // stored, but not acknowledged
			}
		}
		return commitAnswered
	}
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, 300*time.Millisecond, 1000))
	sim.waitFor(10*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if p := sim.store.get(TableProgress, jobA).(ProgressRow); !killed || len(p.Failures[0]) != 1 {
		t.Errorf("first leader killed: %v, want true; failures %v, want one", killed, p.Failures)
	}
}

// TestFailedRunsInAnyOrder guards against failed runs of a task that are not counted
// because a new leader reads their ends in another order than that of their run
// numbers.
func TestFailedRunsInAnyOrder(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Hour, 1000))
	l := sim.leader().state.leaderOf(0)
	j, ref := l.jobs[jobA], structs.TaskRef{Job: jobA}
	for _, id := range []structs.Run{3, 2, 3} {
		l.taskFailed(j, ref, id, l.workers["w00"])
	}
	if len(j.Failures[0]) != 2 {
		t.Errorf("failures are %v, want two of task 0", j.Failures)
	}
}

// TestConfigurationNeverReverts guards against an older configuration that replaces
// a newer one, so that requests are handled by the older one.
func TestConfigurationNeverReverts(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 9}})
	sim.advance(100 * time.Millisecond)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 5, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/"}}}})
	sim.advance(100 * time.Millisecond)
	req := sim.request(sim.hosts[0], RequestState, "/q/")
	sim.advance(100 * time.Millisecond)
	if sim.answers[req].Status != AnswerNoSuchQueue {
		t.Errorf("answer %+v, want no such queue", sim.answers[req])
	}
}

// TestUnansweredStartIsReplacedSoon guards against tasks that wait for the time limit of
// a start that their worker neither carries out nor answers, although its lists show
// that the start is not there.
func TestUnansweredStartIsReplacedSoon(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	task := structs.TaskRef{Job: jobA}
	loseNext := false
	for _, f := range sim.workers {
		f.onStart = func(StartTask) startOutcome {
			if loseNext {
				loseNext = false
				return startLost
			}
			return startAnswered
		}
	}
	// Ends of other runs on both workers bring their lists.
	for i := range 40 {
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", 0x100+i), singleStepJob(2, time.Second, 100))
		sim.advance(25 * time.Millisecond)
		if i == 0 {
			loseNext = true
			sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 100))
		}
	}
	sim.waitFor(commandTimeout-time.Second, "the next start", func() bool { return sim.workerRunning(task) != nil })
}

// TestSlowStartOfGangMemberIsAwaited guards against gangs that break up because the start of a
// member is slow: its replacement cannot join the others, which have another run number.
func TestSlowStartOfGangMemberIsAwaited(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	starts := 0
	for _, f := range sim.workers {
		f.onStart = func(StartTask) startOutcome {
			if starts++; starts == 2 {
				return startLost // until commandTimeout it may also be slow
			}
			return startAnswered
		}
	}
	gang := singleStepJob(2, time.Minute, 5000)
	gang.Steps[0].Gang = true
	sim.submitAndWait(sim.hosts[0], jobA, gang)
	sim.waitFor(time.Second, "the starts", func() bool { return starts == 2 })
	ordered := sim.now
	// Ends of other runs on both workers bring their lists.
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(8, 400*time.Millisecond, 700))
	sim.advance(ordered + commandTimeout - 100*time.Millisecond - sim.now)
	if sim.countDecisions("stop ordered") > 0 {
		t.Error("a member of the gang is stopped while its start may be on its way")
	}
}
