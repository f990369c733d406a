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
	w := newWorld(t, 3, 4)
	w.settled()
	job := oneStep(6, 500*time.Millisecond, 2000)
	job.Steps = append(job.Steps, structs.Step{Count: 2, Request: job.Steps[0].Request, After: []int{0}})
	w.accepted(w.hosts[2], jobA, job)
	w.until(3*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	req := w.ask(w.hosts[1], RequestState, "/q/"+jobA)
	w.run(time.Second)
	if a := w.answers[req]; a.Status != AnswerOK || a.State != structs.JobCompleted {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a failed run that is not counted because a new leader has read
// of a later run of the task on another worker first.
func TestFailedRunBesideLaterRunCounts(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(1, time.Minute, 1000))
	task := structs.TaskRef{Job: jobA}
	w.until(time.Second, "the start", func() bool { return w.running(task) != nil })
	l := w.leader().state.leader
	idle := l.workers["w00"]
	if w.running(task).id == "w00" {
		idle = l.workers["w01"]
	}
	l.endListed(idle, structs.EndedRun{Number: 1, Task: task, Run: 1001, End: structs.EndFailed})
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
	w := newWorld(t, 1, 4)
	w.allowed = map[structs.WorkerID]bool{"w02": true}
	w.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{
			Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second,
			Advice: &structs.AdviceTerms{Decide: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 10 * time.Second},
		}}},
	}})
	for id, f := range w.workers {
		f.onStart = func(e StartTask) startFate {
			if want := fmt.Sprintf("%s.0.0 on %s", e.Task.Job, id); e.Ticket != want || !w.allowed[id] {
				t.Errorf("start on %s with ticket %q", id, e.Ticket)
			}
			return startAnswered
		}
	}
	w.settled()
	w.run(time.Second)
	w.accepted(w.hosts[0], jobA, oneStep(5, time.Second, 1000))
	w.until(4*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	if w.questions != 1 {
		t.Errorf("%d questions", w.questions)
	}
}

// Guards against lengths of queues that nobody has counted for long being told
// to callers.
func TestStaleLengthsAreNotAnswered(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.settled()
	w.run(2 * time.Second)
	w.leader().kill()
	var alive *fakeHost
	for _, h := range w.hosts {
		if h.alive {
			alive = h
		}
	}
	alive.state.stopping = true // takes no lead
	w.run(pendingStale + time.Second)
	req := w.ask(alive, RequestState, "/q/")
	w.run(4 * time.Second)
	if a := w.answers[req]; a.Status != AnswerUnknown {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a worker that is gone without a word and whose tasks never
// run again: looks without an answer must not move the end of its lease on.
func TestTasksOfLostWorkerRunAgain(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.settled()
	job := oneStep(1, time.Second, 1000)
	job.Steps[0].Persistent = true
	w.accepted(w.hosts[0], jobA, job)
	ref := structs.TaskRef{Job: jobA}
	w.until(time.Second, "start", func() bool { return w.running(ref) != nil })
	w.run(2 * time.Second)
	lost := w.running(ref)
	lost.crash()
	w.until(leaseBound(testBounds)+time.Second, "start elsewhere", func() bool { return w.running(ref) != nil })
}

// Guards against persistent tasks that stay on a worker until it leaves: they
// would be away until its lease has run out.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.settled()
	job := oneStep(1, time.Second, 1000)
	job.Steps[0].Persistent = true
	w.accepted(w.hosts[0], jobA, job)
	ref := structs.TaskRef{Job: jobA}
	w.until(time.Second, "start", func() bool { return w.running(ref) != nil })
	w.run(time.Second)
	leaving := w.running(ref)
	leaving.list(true)
	w.until(2*time.Second, "start elsewhere", func() bool { f := w.running(ref); return f != nil && f != leaving })
}

// Guards against a start without an answer that is given up and carried out
// later, beside a second run of the task.
func TestStartWithoutAnswer(t *testing.T) {
	for name, fate := range map[string]startFate{"carried out": startUnanswered, "lost": startLost, "late": startLate} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			w.settled()
			first := true
			for _, f := range w.workers {
				f.onStart = func(StartTask) startFate {
					if first {
						first = false
						return fate
					}
					return startAnswered
				}
			}
			// The runs outlast the time limit of the order, so that a second run
			// would be beside the first.
			w.accepted(w.hosts[0], jobA, oneStep(2, 4*time.Second, 1000))
			w.until(16*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
			w.run(5 * time.Second)
		})
	}
}

// Guards against a worker that is cut off and runs on: its tasks must not be
// started elsewhere before its lease has run out.
func TestCutWorkerRunsOn(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(3, 4*time.Second, 1000))
	w.run(time.Second)
	ref := structs.TaskRef{Job: jobA}
	w.running(ref).cut = true
	w.until(20*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
}

// Guards against effects that depend on the order of a map: the same events
// give the same decisions.
func TestSameEventsSameDecisions(t *testing.T) {
	play := func() []string {
		w := newWorld(t, 3, 6)
		w.settled()
		for _, id := range []string{jobA, jobB, "00000000000000cc"} {
			w.accepted(w.hosts[0], id, oneStep(12, 700*time.Millisecond, 1500))
		}
		w.leader().kill()
		w.run(8 * time.Second)
		return w.records
	}
	if first, second := play(), play(); !slices.Equal(first, second) {
		t.Error("two plays differ")
	}
}

// Guards against "not run" for a job that the store has taken: a commit without
// an answer may have been performed.
func TestUnknownAcceptanceIsNotRefused(t *testing.T) {
	for _, late := range []int{commitUnanswered, commitLate} {
		w := newWorld(t, 2, 2)
		w.settled()
		w.store.lose = func(_ *fakeHost, e Commit) int {
			for _, write := range e.Writes {
				if _, ok := write.Value.(JobRow); ok {
					return late
				}
			}
			return commitAnswered
		}
		req := w.submit(w.hosts[0], jobA, oneStep(1, 100*time.Millisecond, 1000))
		w.run(4 * time.Second)
		if a := w.answers[req]; a.Status != AnswerOK && a.Status != AnswerUnknown {
			t.Errorf("answer %v to a job that may have been stored", a.Status)
		}
	}
}

// Guards against acceptance that waits for a store that refuses: the caller
// gets its final answer at once and may come back.
func TestStoreRefusesAcceptance(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settled()
	w.store.refuse = true
	req := w.submit(w.hosts[0], jobA, oneStep(1, time.Second, 1000))
	w.run(100 * time.Millisecond)
	if a := w.answers[req]; a.Status != AnswerNotRun || a.RetryAfter == 0 {
		t.Errorf("answer %+v", a)
	}
	w.store.refuse = false
	w.run(10 * time.Second)
	if w.store.get(TableJobs, jobA) != nil {
		t.Error("a refused job is stored")
	}
}

// Guards against callers that wait for a store that is known to be away.
func TestStoreAwayRefusesAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settled()
	w.store.down = true
	w.run(5 * time.Second)
	req := w.submit(w.hosts[0], jobA, oneStep(1, time.Second, 1000))
	w.run(10 * time.Millisecond)
	if a := w.answers[req]; a.Status != AnswerNotRun {
		t.Errorf("answer %+v", a)
	}
	w.store.down = false
	w.run(3 * time.Second)
	w.accepted(w.hosts[0], jobB, oneStep(1, time.Second, 1000))
}

// Guards against a job that fails although its worker is at fault: the task
// goes to another worker, and the failing one gets no more work.
func TestFailingWorkerIsAvoided(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.settled()
	w.workers["w00"].failing = true
	for _, id := range []string{jobA, jobB, "00000000000000cc"} {
		w.accepted(w.hosts[0], id, oneStep(4, 100*time.Millisecond, 1000))
	}
	for _, id := range []string{jobA, jobB, "00000000000000cc"} {
		w.until(5*time.Second, "completion", func() bool { return w.progress(id) == structs.JobCompleted })
	}
}

// Guards against tasks that stand still on a worker for good.
func TestHangingWorkerIsLeft(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.settled()
	w.workers["w00"].hanging = true
	w.accepted(w.hosts[0], jobA, oneStep(6, 300*time.Millisecond, 2000))
	w.until(10*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
}

// Guards against work that goes on after its job was cancelled, and against a
// cancel that a new leader forgets.
func TestCancel(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(2, time.Hour, 1000))
	w.run(500 * time.Millisecond)
	leader := w.leader()
	req := w.ask(w.hosts[1], RequestCancel, "/q/"+jobA)
	w.until(time.Second, "confirmation", func() bool { return w.answers[req].Status == AnswerOK })
	leader.kill()
	w.until(8*time.Second, "end of the runs", func() bool {
		return w.progress(jobA) == structs.JobCancelled && w.running(structs.TaskRef{Job: jobA}) == nil
	})
}

// Guards against work that a task under the same ID loses when the worker
// starts again, and against ends that are taken for those of the earlier life.
func TestWorkerStartsAgain(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(2, time.Second, 1000))
	w.run(1500 * time.Millisecond)
	w.accepted(w.hosts[0], jobB, oneStep(2, time.Second, 1000))
	w.run(500 * time.Millisecond)
	f := w.workers["w00"]
	f.crash()
	f.boot()
	w.until(8*time.Second, "completion", func() bool { return w.progress(jobB) == structs.JobCompleted })
}

// Guards against an acknowledgement of an earlier life's ends that reaches the
// next life under the same ID and makes it forget an end that nobody has read.
func TestAckDoesNotReachNextLife(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settled()
	f := w.workers["w00"]
	w.accepted(w.hosts[0], jobA, oneStep(1, 50*time.Millisecond, 1000))
	w.until(time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	w.run(200 * time.Millisecond)
	f.unlisted = true
	f.crash()
	f.boot()
	f.onStart = func(StartTask) startFate { return startUnanswered }
	w.accepted(w.hosts[0], jobB, oneStep(1, 50*time.Millisecond, 1000))
	w.until(4*time.Second, "completion", func() bool { return w.progress(jobB) == structs.JobCompleted })
	if f.starts != 2 {
		t.Errorf("%d starts of 2 tasks", f.starts)
	}
}

// Guards against a start that is on its way while a look finds that the worker
// started again: it is carried out by the new life, and must not be given up.
func TestStartReachesNextLife(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settled()
	f := w.workers["w00"]
	f.unlisted = true
	f.crash()
	f.boot()
	w.run(testBounds.MaxLease) // looks are rare now: the next start and the look that finds the new life meet
	f.crash()
	f.boot()
	f.onStart = func(StartTask) startFate { return startUnanswered }
	l := w.leader().state.leader
	w.accepted(w.hosts[0], jobA, oneStep(1, 3*time.Second, 1000))
	w.run(20 * time.Millisecond)
	if r := l.workers["w00"].runs; len(r) != 1 {
		t.Fatalf("%d runs ordered", len(r))
	}
	l.workers["w00"].reborn(f.born)
	w.until(12*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	if f.starts != 1 {
		t.Errorf("%d starts of one task", f.starts)
	}
}

// Guards against a store outage that ends all work: runs go on under the
// workers' leases and the same leader takes up again.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(6, 8*time.Second, 1000))
	w.run(time.Second)
	w.store.down = true
	w.run(4500 * time.Millisecond)
	w.store.down = false
	w.until(12*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	starts := 0
	for _, f := range w.workers {
		starts += f.starts
	}
	if starts != 6 {
		t.Errorf("%d starts of 6 tasks", starts)
	}
}

// Guards against a table that is never read again once the store has discarded
// its history.
func TestHistoryGone(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.settled()
	w.store.version++
	w.store.oldest = w.store.version
	w.store.history = nil
	w.run(2 * time.Second)
	w.accepted(w.hosts[0], jobA, oneStep(1, 100*time.Millisecond, 1000))
	w.until(4*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
}

// Guards against a store that fills up with finished jobs, and against one that
// runs again because its state went first.
func TestFinishedJobsExpire(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(1, 100*time.Millisecond, 1000))
	w.until(2*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	w.run(testBounds.KeepState)
	if w.progress(jobA) != structs.JobCompleted {
		t.Error("the final state was not kept")
	}
	w.until(2*time.Minute, "removal", func() bool {
		return w.store.get(TableJobs, jobA) == nil && w.store.get(TableProgress, jobA) == nil
	})
	w.leader().kill()
	w.run(10 * time.Second)
	if starts := w.workers["w00"].starts; starts != 1 {
		t.Errorf("%d starts of one task", starts)
	}
}

// Guards against a failed run that two leaders count: the worker lists its end
// until it is acknowledged, and the first leader is lost between the two.
func TestFailedRunCountsOnce(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.settled()
	f := w.workers["w00"]
	f.failing = true
	killed := false
	w.store.lose = func(h *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if p, ok := write.Value.(ProgressRow); ok && len(p.Failures) > 0 && !killed {
				killed, f.failing = true, false
				w.after(storeDelay+time.Millisecond, h.kill) // stored, and not yet acknowledged
			}
		}
		return commitAnswered
	}
	w.accepted(w.hosts[0], jobA, oneStep(1, 300*time.Millisecond, 1000))
	w.until(10*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	if p := w.store.get(TableProgress, jobA).(ProgressRow); !killed || len(p.Failures[0]) != 1 {
		t.Errorf("killed %v, failures %v", killed, p.Failures)
	}
}

// Guards against failed runs of a task that are counted once in all because a
// new leader reads their workers' lists in another order.
func TestFailedRunsInAnyOrder(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(1, time.Hour, 1000))
	l := w.leader().state.leader
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
	w := newWorld(t, 1, 1)
	w.settled()
	w.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 9}})
	w.run(100 * time.Millisecond)
	w.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 5, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/"}}}})
	w.run(100 * time.Millisecond)
	req := w.ask(w.hosts[0], RequestState, "/q/")
	w.run(100 * time.Millisecond)
	if w.answers[req].Status != AnswerNotFound {
		t.Errorf("answer %+v", w.answers[req])
	}
}
