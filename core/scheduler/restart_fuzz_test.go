package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// TestRestartInvariants guards against violations of the oracle's invariants and
// accepted jobs that never end, when workers restart under their IDs while calls to them
// are delayed or lost and the leader is killed.
func TestRestartInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) { checkRestarts(rt, restartFaults{}) })
}

// restartFaults are the faults that not every test of restarts injects.
type restartFaults struct {
	lateOrders  bool // orders without an answer are carried out seconds later, also by the next incarnation
	keepsCursor bool // workers also discard later ends with acknowledged numbers
}

// restartFuzz is one check of restarts.
type restartFuzz struct {
	rt         *rapid.T
	sim        *simulation
	faults     restartFaults
	faulty     bool
	faultShare int                         // of the calls to workers, in tenths
	requests   map[RequestID]string        // submissions of jobs that end by themselves
	persistent map[structs.JobID]RequestID // submissions, and later cancellations
	cancelled  []structs.JobID
	spare      int // addresses that nothing had before
}

func checkRestarts(rt *rapid.T, faults restartFaults) {
	f := &restartFuzz{
		rt: rt, sim: newSimulation(rt, 2, 3), faults: faults, faulty: true,
		requests: make(map[RequestID]string), persistent: make(map[structs.JobID]RequestID),
	}
	defer f.logFailure()
	f.sim.waitForLeader()
	f.sim.network = &fakeNetwork{sim: f.sim, fate: f.fate}
	f.faultShare = rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "share of faulty calls")
	for _, id := range f.workerIDs() {
		f.sim.workers[id].keepsCursor = faults.keepsCursor
	}
	f.sim.advance(f.duration("first pause", 0, 3500, 7500))
	for i := range rapid.IntRange(2, 14).Draw(rt, "steps") {
		f.step(i)
		f.sim.advance(f.duration("pause", 0, 3, 12, 30, 100, 400, 1100, 3200, 7000))
	}
	f.recover()
}

func (f *restartFuzz) logFailure() {
	if f.rt.Failed() {
		for _, line := range f.sim.decisions[max(0, len(f.sim.decisions)-200):] {
			f.rt.Log(line)
		}
	}
}

// note adds a line of the test to the decisions of the hosts.
func (f *restartFuzz) note(format string, args ...any) {
	f.sim.decisions = append(f.sim.decisions, fmt.Sprintf("%8.3f -- ", f.sim.now.Seconds())+fmt.Sprintf(format, args...))
}

func (f *restartFuzz) workerIDs() []structs.WorkerID {
	return []structs.WorkerID{"w00", "w01", "w02"}
}

// duration draws one of the durations, given in milliseconds.
func (f *restartFuzz) duration(label string, ms ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(ms).Draw(f.rt, label)) * time.Millisecond
}

func (f *restartFuzz) oneIn(n int, label string) bool {
	return rapid.IntRange(1, n).Draw(f.rt, label) == n
}

// fate draws what the network does to a call.
func (f *restartFuzz) fate() callFate {
	if !f.faulty || rapid.IntRange(0, 9).Draw(f.rt, "call") < 10-f.faultShare {
		return callFate{}
	}
	fate := callFate{}
	switch rapid.IntRange(0, 4).Draw(f.rt, "fate") {
	case 0:
		fate.requestDelay = f.duration("request delay", 4, 30, 150, 600, 1400, 2000)
	case 1:
		fate.answerDelay = f.duration("answer delay", 4, 30, 150, 600, 1400)
	case 2:
		fate.requestDelay, fate.answerLost = f.duration("request delay", 0, 30, 600, 1400), true
	case 3:
		fate.requestLost = true
	case 4:
		if f.faults.lateOrders {
			fate.late = f.duration("late by", 1600, 2500, 4000)
		}
	}
	if fate != (callFate{}) {
		f.note("fate of the next call: %+v", fate)
	}
	return fate
}

func (f *restartFuzz) step(i int) {
	h := f.sim.hosts[rapid.IntRange(0, 1).Draw(f.rt, "host")]
	switch rapid.IntRange(0, 12).Draw(f.rt, "step") {
	case 0, 1, 2:
		f.submit(i, h)
	case 3:
		id := structs.JobID(fmt.Sprintf("%016x", i+1))
		job := singleStepJob(rapid.IntRange(1, 3).Draw(f.rt, "tasks"), 30*time.Millisecond, 1000)
		job.Steps[0].Persistent = true
		f.persistent[id] = f.sim.submit(h, string(id), job)
	case 4, 5, 6:
		f.restart(f.worker())
	case 7:
		for _, id := range f.workerIDs() {
			if rapid.Bool().Draw(f.rt, "restarts") {
				f.restart(f.sim.workers[id])
			}
		}
	case 8:
		w := f.worker()
		f.restart(w)
		f.sim.advance(f.duration("until the second restart", 0, 2, 10, 60, 500))
		f.restart(w)
	case 9:
		w := f.worker()
		w.disconnected = !w.disconnected
		f.note("%s disconnected: %v", w.id, w.disconnected)
	case 10:
		f.endLeader()
	case 11:
		f.swapAddresses()
	case 12:
		f.cancelJob(h)
	}
}

// cancelJob cancels a job that was submitted.
func (f *restartFuzz) cancelJob(h *fakeHost) {
	var ids []structs.JobID
	for id := range f.sim.submittedJobs {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	f.cancelled = append(f.cancelled, rapid.SampledFrom(ids).Draw(f.rt, "cancelled job"))
	f.sim.request(h, RequestCancel, "/q/"+string(f.cancelled[len(f.cancelled)-1]))
}

func (f *restartFuzz) worker() *fakeWorker {
	return f.sim.workers[rapid.SampledFrom(f.workerIDs()).Draw(f.rt, "worker")]
}

func (f *restartFuzz) submit(i int, h *fakeHost) {
	id := fmt.Sprintf("%016x", i+1)
	work := f.duration("work", 2, 20, 80, 300, 2500)
	f.requests[f.sim.submit(h, id, singleStepJob(rapid.IntRange(1, 4).Draw(f.rt, "tasks"), work, 1000))] = id
}

// endLeader kills the leader, or makes it release the lead.
func (f *restartFuzz) endLeader() {
	h := f.sim.leader()
	if h == nil {
		return
	}
	if rapid.Bool().Draw(f.rt, "planned stop") {
		h.deliver(StopRequested{})
		f.sim.after(3*time.Second, h.kill)
		f.sim.after(3500*time.Millisecond, h.start)
		return
	}
	h.kill()
	f.note("%s killed", h.name)
	f.sim.after(500*time.Millisecond, h.start)
}

// swapAddresses restarts two workers with each other's address.
func (f *restartFuzz) swapAddresses() {
	a, b := f.worker(), f.worker()
	if a == b {
		return
	}
	f.crash(a)
	f.crash(b)
	a.address, b.address = b.address, a.address
	f.bootLater(a)
	f.bootLater(b)
}

// restart ends a worker and starts its next incarnation.
func (f *restartFuzz) restart(w *fakeWorker) {
	if !w.alive {
		return
	}
	f.crash(w)
	if f.oneIn(6, "new address") {
		f.spare++
		w.address = fmt.Sprintf("10.0.1.%d:%s", f.spare, w.id)
	}
	f.bootLater(w)
}

func (f *restartFuzz) crash(w *fakeWorker) {
	w.down = downBehavior(rapid.IntRange(0, int(downBehaviors)-1).Draw(f.rt, "behavior while down"))
	w.resetsCalls = rapid.Bool().Draw(f.rt, "resets calls")
	w.crash()
	f.note("%s crashes, down behavior %d", w.id, w.down)
	if f.oneIn(5, "entry is removed") {
		f.sim.store.set(TableWorkers, string(w.id), nil)
	}
}

// bootLater starts the next incarnation of a worker that has crashed.
func (f *restartFuzz) bootLater(w *fakeWorker) {
	down := f.duration("down", 0, 0, 0, 5, 100, 1000, 4000)
	former := w.clock()
	generation := w.generation
	f.sim.after(down, func() {
		if w.generation == generation {
			f.boot(w, former)
		}
	})
}

// boot starts the next incarnation of a worker whose clock showed former.
func (f *restartFuzz) boot(w *fakeWorker, former int64) {
	w.unlisted, w.clockBehind = true, 0
	if f.oneIn(6, "time of day jumped back") {
		w.clockBehind = time.Minute
	}
	w.boot()
	switch rapid.IntRange(0, 3).Draw(f.rt, "clock") {
	case 0:
		w.clockOrigin = 0
	case 1:
		w.clockOrigin = former / 2
	case 2:
		w.clockOrigin = former
	}
	f.note("%s is up at %s, incarnation %d, clock %d (was %d)", w.id, w.address, w.incarnation, w.clockOrigin, former)
	incarnation := w.incarnation
	f.sim.after(f.duration("entry after", 0, 2, 15, 80, 400, 2000, 60_000), func() {
		if w.alive && w.incarnation == incarnation {
			f.note("entry of %s is written", w.id)
			w.writeEntry(false)
		}
	})
}

// recover ends all faults, and checks that all accepted jobs end, and that those
// that last are at work before they are cancelled.
func (f *restartFuzz) recover() {
	f.sim.advance(4 * time.Second) // all workers are up
	f.faulty = false
	for _, id := range f.workerIDs() {
		w := f.sim.workers[id]
		w.disconnected = false
		w.writeEntry(false)
	}
	f.sim.advance(4 * time.Second) // all hosts are up
	for id, req := range f.persistent {
		if f.sim.answers[req].Status != AnswerOK || slices.Contains(f.cancelled, id) {
			delete(f.persistent, id)
		}
	}
	for req, id := range f.requests {
		if slices.Contains(f.cancelled, structs.JobID(id)) {
			delete(f.requests, req)
		}
	}
	f.cancelAll(f.cancelled)
	f.sim.waitFor(recoveryLimit, "work of all jobs that last", func() bool { return f.running(f.sortedPersistent(), true) })
	f.sim.waitFor(recoveryLimit, "the end of all accepted jobs", func() bool {
		for req, id := range f.requests {
			if f.sim.answers[req].Status == AnswerOK && !f.sim.jobState(id).Final() {
				return false
			}
		}
		return true
	})
	f.cancelAll(f.sortedPersistent())
	for req, id := range f.requests {
		if f.sim.answers[req].Status == AnswerOK && f.sim.jobState(id) != structs.JobCompleted {
			f.rt.Fatalf("accepted job %s is %s, want completed", id, f.sim.jobState(id))
		}
	}
}

func (f *restartFuzz) sortedPersistent() []structs.JobID {
	var ids []structs.JobID
	for id := range f.persistent {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cancelAll cancels jobs and waits until nothing of them runs.
func (f *restartFuzz) cancelAll(ids []structs.JobID) {
	for _, id := range ids {
		f.sim.request(f.sim.hosts[0], RequestCancel, "/q/"+string(id))
	}
	f.sim.advance(time.Second)
	f.sim.waitFor(recoveryLimit, "the end of all cancelled jobs", func() bool { return f.running(ids, false) })
}

// running reports whether all tasks of jobs run, or none.
func (f *restartFuzz) running(ids []structs.JobID, want bool) bool {
	for _, id := range ids {
		for index := range f.sim.submittedJobs[id].Steps[0].Count {
			if got := f.sim.workerRunning(structs.TaskRef{Job: id, Index: index}) != nil; got != want {
				return false
			}
		}
	}
	return true
}

// TestRestartWithLateOrders guards against the same with orders without an answer that are
// carried out seconds later, also by the next incarnation of their worker.
func TestRestartWithLateOrders(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) { checkRestarts(rt, restartFaults{lateOrders: true}) })
}

// TestRestartWithKeptCursor guards against the same with workers that keep the highest
// acknowledged number, and also discard later ends up to it.
func TestRestartWithKeptCursor(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) { checkRestarts(rt, restartFaults{keepsCursor: true}) })
}
