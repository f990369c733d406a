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

// Guards against a lost leader that leaves jobs without a scheduler, and
// against tasks that a new leader starts although they still run.
func TestNewLeaderAdoptsRuns(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(8, 6*time.Second, 1000))
	w.run(time.Second)
	w.leader().kill()
	w.until(12*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	starts := 0
	for _, f := range w.workers {
		starts += f.starts
	}
	if starts != 8 {
		t.Errorf("%d starts of 8 tasks", starts)
	}
}

// Guards against a host that cannot carry the work and leads while stronger hosts
// are there: it gives the lead up when asked, and yields to them when it is vacant.
func TestStrongHostLeads(t *testing.T) {
	w := newWorld(t, 0, 2)
	weak := w.addHostOf("weak", 0.1)
	w.settled()
	strong := []*fakeHost{w.addHost("strong1"), w.addHost("strong2")}
	w.until(challengeAfter+2*time.Second, "a strong leader", func() bool {
		h := w.leader()
		return h != nil && h != weak && h.state.leader.isLoaded()
	})
	for range 4 {
		for i := range 6 {
			w.addHostOf(fmt.Sprintf("weak%d", i), 0.1)
		}
		h := w.leader()
		h.kill()
		w.run(leadLease + 2*time.Second)
		if got := w.leader(); got != strong[0] && got != strong[1] {
			t.Fatalf("%v leads", got)
		}
		h.start()
	}
	strong[0].kill()
	strong[1].kill()
	w.until(leadLease+leadYield+2*time.Second, "a weak leader where no other host is left", func() bool { return w.leader() != nil })
}

// Guards against a takeover that took effect without an answer being given up, so
// that nobody schedules until its lease has run out.
func TestTakeoverWithoutAnswer(t *testing.T) {
	w := newWorld(t, 0, 1)
	lost := 0
	w.store.lose = func(_ *fakeHost, c Commit) int {
		for _, write := range c.Writes {
			if write.Key == KeyLeader && lost == 0 {
				lost++
				return commitUnanswered
			}
		}
		return commitAnswered
	}
	w.addHost("host0")
	w.until(commitTimeout+leadPoll*2, "a leader", func() bool { return w.leader() != nil })
	if lost != 1 {
		t.Fatalf("%d answers lost", lost)
	}
	w.accepted(w.hosts[0], jobA, oneStep(1, 100*time.Millisecond, 1000))
	w.until(3*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
}

// Guards against jobs that no leader has started waiting, after a loss of the
// leader, for workers that cannot be reached.
func TestUnclaimedJobsStartAtOnce(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(3, time.Minute, 1000))
	w.until(time.Second, "all workers in use", func() bool {
		for i := range 3 {
			if w.running(structs.TaskRef{Job: jobA, Index: i}) == nil {
				return false
			}
		}
		return true
	})
	w.leader().kill()
	w.workers["w00"].cut = true
	alive := w.hosts[0]
	if !alive.alive {
		alive = w.hosts[1]
	}
	w.accepted(alive, jobB, oneStep(1, time.Second, 1000))
	w.until(leadLease+2*time.Second, "a leader", func() bool { return w.leader() != nil })
	w.until(time.Second, "the start of a job that no leader had claimed", func() bool {
		return w.running(structs.TaskRef{Job: jobB}) != nil
	})
	if len(w.leader().state.leader.unaccounted) == 0 {
		t.Error("the worker that cannot be reached is accounted for, so that nothing was shown")
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

// Guards against a leader that acts after it was suspended beyond its lease.
func TestFrozenLeaderWakes(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.settled()
	w.accepted(w.hosts[0], jobA, oneStep(8, 3*time.Second, 1000))
	w.run(500 * time.Millisecond)
	old := w.leader()
	old.frozen = true
	w.run(6 * time.Second)
	old.thaw()
	w.accepted(w.hosts[1], jobB, oneStep(4, time.Second, 1000))
	w.until(12*time.Second, "completion", func() bool {
		return w.progress(jobA) == structs.JobCompleted && w.progress(jobB) == structs.JobCompleted
	})
}

// Guards against a commit that the store performs late and that overwrites a
// newer state.
func TestLateCommitDoesNotRevert(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settled()
	lost := false
	w.store.lose = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if p, ok := write.Value.(ProgressRow); ok && p.State == structs.JobRunning && !lost {
				lost = true
				return commitLate
			}
		}
		return commitAnswered
	}
	w.accepted(w.hosts[0], jobA, oneStep(2, 100*time.Millisecond, 1000))
	w.until(5*time.Second, "completion", func() bool { return w.progress(jobA) == structs.JobCompleted })
	w.run(5 * time.Second)
	if !lost || w.progress(jobA) != structs.JobCompleted {
		t.Errorf("lost %v, state %s", lost, w.progress(jobA))
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

// Guards against a persistent task that takes long to start up being restarted
// again and again, so that it never gets to work.
func TestSlowStartupIsNotRestarted(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.settled()
	const startup = 12 * time.Second
	job := oneStep(1, startup, 1000)
	job.Steps[0].Persistent = true
	w.accepted(w.hosts[0], jobA, job)
	w.run(startup + 2*time.Second)
	starts := 0
	for _, f := range w.workers {
		starts += f.starts
	}
	if starts != 1 {
		t.Fatalf("%d starts of a task that was starting up, not 1", starts)
	}
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

// Guards against tasks that serve and miss their target because of what fills
// beside them.
func TestHeavyPairIsSeparated(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settled()
	for _, f := range w.workers {
		f.tail = func(r *fakeRun) int64 {
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
	serve := oneStep(1, time.Second, 4000)
	serve.Steps[0].Persistent, serve.Steps[0].TailTarget, serve.Steps[0].Image = true, 100*time.Millisecond, "web"
	w.accepted(w.hosts[0], jobA, serve)
	w.run(time.Second)
	other := serve
	other.Steps = slices.Clone(serve.Steps)
	other.Steps[0].Image = "quiet"
	w.accepted(w.hosts[0], "00000000000000cc", other)
	w.run(2 * time.Second)
	fill := oneStep(1, 5*time.Second, 2000)
	fill.Steps[0].Fills, fill.Steps[0].Image = true, "noisy"
	w.accepted(w.hosts[0], jobB, fill)
	w.run(100 * time.Millisecond)
	if w.running(structs.TaskRef{Job: jobA}) != w.running(structs.TaskRef{Job: jobB}) {
		t.Fatal("the pair is not together at first")
	}
	// Half of the four seconds for which a target may be missed.
	w.run(2 * time.Second)
	serving, filling := w.running(structs.TaskRef{Job: jobA}), w.running(structs.TaskRef{Job: jobB})
	if serving == nil || filling == nil || serving == filling {
		t.Errorf("serving on %v, filling on %v", serving, filling)
	}
}

// Guards against a new leader that learns again what presses on what, at the
// cost of the tasks that serve.
func TestPressuresOutliveLeader(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.settled()
	learned := w.leader().state.leader.interference
	*learned.pair(learned.id("web"), learned.id("noisy")) = pressure{value: 2, variance: 0.01}
	w.run(pressuresEvery + time.Second)
	w.leader().kill()
	w.run(5 * time.Second)
	w.settled()
	learned = w.leader().state.leader.interference
	if got := learned.of(learned.id("web"), learned.id("noisy")); got != 2 {
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
	w := newWorld(t, 1, 1)
	w.settled()
	f := w.workers["w00"]
	target := 100 * time.Millisecond
	f.tail = func(r *fakeRun) int64 {
		if r.step.TailTarget == 0 {
			return r.step.Request.MilliCores * int64(r.percent) / fullPace
		}
		use := 0.5
		for _, o := range f.runs {
			if o.step.Fills && !o.ending {
				use += pressure * float64(f.tail(o)) / float64(f.capacity.MilliCores)
			}
		}
		return int64(10 / (1 - min(use, 0.99)))
	}
	serve := oneStep(1, time.Second, 4000)
	serve.Steps[0].Persistent, serve.Steps[0].TailTarget, serve.Steps[0].Image = true, target, "web"
	w.accepted(w.hosts[0], jobA, serve)
	w.run(2 * time.Second)
	fill := oneStep(1, work, 2000)
	fill.Steps[0].Fills, fill.Steps[0].Image, fill.Steps[0].SavesProgress = true, "noisy", true
	w.accepted(w.hosts[0], jobB, fill)
	missed := time.Duration(0)
	const step = 50 * time.Millisecond
	for began := w.now; w.progress(jobB) != structs.JobCompleted; w.run(step) {
		if w.now-began > 8*work {
			t.Fatalf("the job has not ended within %v", 8*work)
		}
		missed += step
		for _, r := range f.runs {
			if r.step.TailTarget > 0 && time.Duration(f.tail(r))*time.Millisecond < target {
				missed = 0
			}
		}
		if missed >= harm {
			t.Fatalf("the target has been missed for %v", missed)
		}
	}
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
