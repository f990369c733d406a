package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// world plays hosts, a store and workers in virtual time. Its oracle checks
// what must always hold, from what the workers and callers see.
type world struct {
	t         rapid.TB
	now       time.Duration
	seq       uint64
	due       worldQueue
	store     *fakeStore
	workers   map[structs.WorkerID]*fakeWorker
	hosts     []*fakeHost
	answers   map[RequestID]Answer
	lastReq   RequestID
	jobs      map[structs.JobID]structs.Job
	oracle    oracle
	allowed   map[structs.WorkerID]bool // by the advice service
	asked     bool                      // a question is being answered
	questions int
	records   []string                          // decisions of all hosts, in order
	saved     map[structs.TaskRef]time.Duration // work that checkpoints hold
}

type worldEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

type worldQueue []worldEvent

func (q worldQueue) Len() int { return len(q) }
func (q worldQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q worldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(worldEvent)) }
func (q *worldQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	wallStart   = int64(1_700_000_000_000)
	storeDelay  = 4 * time.Millisecond
	workerDelay = time.Millisecond
	queueName   = "plans"
	serviceName = "svc"
)

var testBounds = Bounds{
	MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond,
	KeepState: 120 * time.Second, Grace: 6 * time.Second,
}

func newWorld(t rapid.TB, hosts, workers int) *world {
	w := &world{
		t: t, workers: make(map[structs.WorkerID]*fakeWorker), answers: make(map[RequestID]Answer),
		jobs: make(map[structs.JobID]structs.Job), saved: make(map[structs.TaskRef]time.Duration),
	}
	w.oracle.init(w)
	w.store = newFakeStore(w)
	w.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 1, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{
			Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second,
		}}},
	}})
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%02d", i))
	}
	for i := range hosts {
		w.addHost(fmt.Sprintf("host%d", i))
	}
	return w
}

// at runs do once the time has passed.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.due, worldEvent{w.now + d, w.seq, do})
}

// run plays the world for a time.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.due) > 0 && w.due[0].at <= end {
		e := heap.Pop(&w.due).(worldEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// until plays the world until the condition holds, and fails after the limit.
func (w *world) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !holds() {
		if w.now-start > limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		w.run(10 * time.Millisecond)
	}
	return w.now - start
}

func (w *world) wall() int64 { return wallStart + w.now.Milliseconds() }

// fakeHost runs a reducer.
type fakeHost struct {
	w        *world
	name     string
	state    *State
	started  time.Duration
	alive    bool
	frozen   bool
	held     []EventBody // that arrived while it was frozen
	noStore  bool        // cut off from the store
	timerSet uint64
	lives    int
	// processors is the share of a core that the host has.
	processors float64
}

func (w *world) addHost(name string) *fakeHost { return w.addHostOf(name, 1) }

func (w *world) addHostOf(name string, processors float64) *fakeHost {
	h := &fakeHost{w: w, name: name, processors: processors}
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

func (h *fakeHost) start() {
	h.lives++
	h.state, h.alive, h.frozen, h.held, h.started = NewState(), true, false, nil, h.w.now
	h.post(Started{
		Host: h.name, Instance: structs.InstanceID(fmt.Sprintf("%s-%d", h.name, h.lives)),
		Seed: uint64(len(h.w.hosts)*1000 + h.lives), Processors: h.processors, Bounds: testBounds,
	})
}

func (h *fakeHost) kill() { h.alive = false }

func (h *fakeHost) thaw() {
	h.frozen = false
	held := h.held
	h.held = nil
	h.post(TimerFired{})
	for _, body := range held {
		h.post(body)
	}
}

// post delivers an event to the host's present life.
func (h *fakeHost) post(body EventBody) {
	if !h.alive {
		return
	}
	if h.frozen {
		h.held = append(h.held, body)
		return
	}
	effects := slices.Clone(Reduce(h.state, Event{At: h.w.now - h.started, Wall: h.w.wall(), Body: body}))
	for _, e := range effects {
		h.execute(e)
	}
	h.arm()
}

func (h *fakeHost) arm() {
	at, ok := h.state.NextDeadline()
	if !ok {
		return
	}
	h.timerSet++
	set, life := h.timerSet, h.lives
	h.w.after(max(0, h.started+at-h.w.now), func() {
		if h.lives == life && h.timerSet == set && !h.frozen {
			h.post(TimerFired{})
		}
	})
}

// later delivers an event to this life of the host.
func (h *fakeHost) later(d time.Duration, body EventBody) {
	life := h.lives
	h.w.after(d, func() {
		if h.lives == life {
			h.post(body)
		}
	})
}

func (h *fakeHost) execute(e Effect) {
	switch e := e.(type) {
	case Commit:
		h.w.store.commit(h, e)
	case ReadRows:
		h.w.store.read(h, e)
	case WatchRows:
		h.w.store.watch(h, e)
	case HoldWorker:
		h.order(e.Order, WorkerHeld{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(f *fakeWorker) { f.hold(h, e) })
	case StartTask:
		h.order(e.Order, Ordered{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(f *fakeWorker) {
			f.ordered(h, e.ID, func() Ordered { return f.startTask(e, h) })
		})
	case StopTask:
		h.order(e.Order, Ordered{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(f *fakeWorker) {
			f.ordered(h, e.ID, func() Ordered { return f.stopTask(e) })
		})
	case PaceTask:
		h.order(e.Order, Ordered{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(f *fakeWorker) {
			f.ordered(h, e.ID, func() Ordered { return f.paceTask(e) })
		})
	case AskAdvice:
		h.w.advise(h, e)
	case Answer:
		h.w.answers[e.Request] = e
	case Decision:
		h.w.records = append(h.w.records, fmt.Sprintf("%8.3f %s %s: %s %s %s %s", h.w.now.Seconds(), h.name, e.Part, e.Action, e.Subject, e.Where, e.Reason))
	case StopProcess:
		h.kill()
	}
}

// order passes an order to a worker, or reports that it got no answer.
func (h *fakeHost) order(o Order, unknown EventBody, do func(*fakeWorker)) {
	if h.w.now-h.started > o.NotAfter {
		switch u := unknown.(type) {
		case WorkerHeld:
			u.Outcome = structs.OutcomeNotDone
			unknown = u
		case Ordered:
			u.Outcome = structs.OutcomeNotDone
			unknown = u
		}
		h.later(0, unknown)
		return
	}
	f := h.w.byAddress(o.Address)
	if f == nil || f.cut || !f.alive {
		h.later(o.Timeout, unknown)
		return
	}
	if f.id != o.Worker {
		h.w.t.Fatalf("order for %s sent to %s", o.Worker, f.id)
	}
	do(f)
}

// advise answers as the advice service does, one question of a host at a time.
func (w *world) advise(h *fakeHost, e AskAdvice) {
	w.questions++
	if w.asked {
		w.t.Fatal("a second question before the first was answered")
	}
	w.asked = true
	result := Advised{Effect: e.ID, Outcome: structs.OutcomeDone, Tickets: make(map[structs.WorkerID]string)}
	for _, id := range e.Workers {
		if w.allowed[id] {
			result.Tickets[id] = fmt.Sprintf("%s.%d.%d on %s", e.Job, e.Occurrence, e.Step, id)
		}
	}
	w.after(100*time.Millisecond, func() { w.asked = false })
	h.later(100*time.Millisecond, result)
}

func (w *world) byAddress(address string) *fakeWorker {
	for _, f := range w.workers {
		if f.address == address {
			return f
		}
	}
	return nil
}

// submit hands a job in at a host and returns the request.
func (w *world) submit(h *fakeHost, id string, job structs.Job) RequestID {
	w.lastReq++
	req := w.lastReq
	w.jobs[structs.JobID(id)] = job
	h.post(RequestArrived{Request: req, Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Job: job, Within: 3 * time.Second})
	return req
}

// ask sends a request without a body.
func (w *world) ask(h *fakeHost, kind RequestKind, path string) RequestID {
	w.lastReq++
	h.post(RequestArrived{Request: w.lastReq, Kind: kind, Host: "h", Path: path, Within: 3 * time.Second})
	return w.lastReq
}

// accepted hands a job in and waits for success.
func (w *world) accepted(h *fakeHost, id string, job structs.Job) {
	w.t.Helper()
	req := w.submit(h, id, job)
	w.until(3*time.Second, "acceptance", func() bool { return w.answers[req].Status == AnswerOK })
}

// progress returns what the store has of a job.
func (w *world) progress(id string) structs.JobState {
	p, _ := w.store.get(TableProgress, id).(ProgressRow)
	return p.State
}

// leader returns the host that leads, or nil.
func (w *world) leader() *fakeHost {
	for _, h := range w.hosts {
		if h.alive && !h.frozen && h.state.leader != nil && h.state.leader.valid() {
			return h
		}
	}
	return nil
}

// settled waits until a leader has read the lists of all workers.
func (w *world) settled() {
	w.t.Helper()
	w.until(10*time.Second, "a leader", func() bool {
		h := w.leader()
		if h == nil || !h.state.leader.isLoaded() {
			return false
		}
		for _, id := range h.state.leader.ids {
			if !h.state.leader.workers[id].used {
				return false
			}
		}
		return len(h.state.leader.ids) == len(w.workers)
	})
}

// running returns the worker on which a task runs, or nil.
func (w *world) running(ref structs.TaskRef) *fakeWorker {
	for _, f := range w.workers {
		for key := range f.runs {
			if key.ref == ref {
				return f
			}
		}
	}
	return nil
}

// oneStep returns a job of one step.
func oneStep(count int, work time.Duration, milliCores int64) structs.Job {
	return structs.Job{Spec: work.String(), Steps: []structs.Step{{
		Count: count, Request: structs.Resources{MilliCores: milliCores, MemoryMB: 100}, Estimate: work,
	}}}
}

// oracle checks what must always hold.
type oracle struct {
	w    *world
	done map[structs.TaskRef]bool // ended with success, and acknowledged
}

func (o *oracle) init(w *world) { o.w, o.done = w, make(map[structs.TaskRef]bool) }

// started checks a start that a worker has taken up.
func (o *oracle) started(f *fakeWorker, e StartTask) {
	t := o.w.t
	t.Helper()
	if o.done[e.Task] {
		t.Fatalf("%v: %s started on %s after its end was acknowledged", o.w.now, taskName(e.Task), f.id)
	}
	for _, other := range o.w.workers {
		for key := range other.runs {
			if key.ref == e.Task {
				t.Fatalf("%v: %s runs on %s and is started on %s", o.w.now, taskName(e.Task), other.id, f.id)
			}
		}
	}
	if p, _ := o.w.store.get(TableProgress, string(e.Task.Job)).(ProgressRow); p.Claimed < e.Epoch {
		t.Fatalf("%v: %s started under epoch %d before the store knew of it", o.w.now, taskName(e.Task), e.Epoch)
	}
	job, ok := o.w.jobs[e.Task.Job]
	if !ok || job.Spec != e.Spec {
		t.Fatalf("%s started, which nobody handed in like that", taskName(e.Task))
	}
}
