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

// simulation runs hosts, a store and workers in virtual time. Its oracle checks
// the invariants of the scheduler at each start on a worker.
type simulation struct {
	t                rapid.TB
	now              time.Duration
	seq              uint64
	events           eventQueue
	store            *fakeStore
	workers          map[structs.WorkerID]*fakeWorker
	hosts            []*fakeHost
	answers          map[RequestID]Answer
	lastRequest      RequestID
	submittedJobs    map[structs.JobID]structs.Job
	submissions      map[structs.JobID][]RequestID // of each job
	oracle           oracle
	bounds           Bounds
	shardWorkers     int                       // workers for which a shard is added; 0: there is one
	adviceAllowed    map[structs.WorkerID]bool // workers that the advice service allows
	adviceInFlight   bool                      // an advice request is being answered
	adviceRequests   int
	startsNotSent    int                               // starts that timed out in a host's send queue
	decisions        []string                          // of all hosts, in order
	checkpointedWork map[structs.TaskRef]time.Duration // work saved by the last checkpoint of each task
	network          *fakeNetwork                      // between hosts and workers; nil: each call takes workerDelay each way
}

type simEvent struct {
	at     time.Duration
	seq    uint64
	action func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
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
	FinalStateRetention: 120 * time.Second, StopGracePeriod: 6 * time.Second,
}

// boundsWithReactionTimes returns bounds that limit starts on workers that drain or whose zone is
// evacuated.
func boundsWithReactionTimes() Bounds {
	b := testBounds
	b.DrainTime, b.EvacuationTime = 2*time.Second, 5*time.Second
	return b
}

func newSimulation(t rapid.TB, hosts, workers int) *simulation {
	return newShardedSimulation(t, hosts, workers, 0)
}

// newShardedSimulation returns a simulation with a shard for each shardWorkers workers.
func newShardedSimulation(t rapid.TB, hosts, workers, shardWorkers int) *simulation {
	return newSimulationWithBounds(t, hosts, workers, shardWorkers, testBounds)
}

func newSimulationWithBounds(t rapid.TB, hosts, workers, shardWorkers int, bounds Bounds) *simulation {
	sim := &simulation{
		t: t, bounds: bounds, shardWorkers: shardWorkers, workers: make(map[structs.WorkerID]*fakeWorker), answers: make(map[RequestID]Answer),
		submittedJobs: make(map[structs.JobID]structs.Job), submissions: make(map[structs.JobID][]RequestID), checkpointedWork: make(map[structs.TaskRef]time.Duration),
	}
	sim.oracle.init(sim)
	sim.store = newFakeStore(sim)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 1, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{
			Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second,
		}}},
	}})
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%02d", i))
	}
	for i := range hosts {
		sim.addHost(fmt.Sprintf("host%d", i))
	}
	return sim
}

// after calls action once d has passed.
func (sim *simulation) after(d time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + d, sim.seq, action})
}

// advance runs the simulation for d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.action()
	}
	sim.now = end
}

// waitFor runs the simulation until the condition holds, and fails the test after
// the limit. It returns the time that passed.
func (sim *simulation) waitFor(limit time.Duration, event string, holds func() bool) time.Duration {
	sim.t.Helper()
	start := sim.now
	for !holds() {
		if sim.now-start > limit {
			sim.t.Fatalf("%s did not happen within %v", event, limit)
		}
		sim.advance(10 * time.Millisecond)
	}
	return sim.now - start
}

func (sim *simulation) wall() int64 { return wallStart + sim.now.Milliseconds() }

// fakeHost runs the reducer of one host.
type fakeHost struct {
	sim         *simulation
	name        string
	state       *State
	started     time.Duration
	alive       bool
	frozen      bool
	deferred    []EventBody // events that arrived while it was frozen
	storeCut    bool        // it cannot reach the store
	timerSeq    uint64
	incarnation int
	processors  float64
	startTime   time.Duration // that the host takes to send one start; later ones wait
	sendsUntil  time.Duration // when all starts so far have been sent

	linkBytesPerSecond float64       // of the link on which the store's answers arrive; 0: not limited
	linkFreeAt         time.Duration // when the link has carried all answers so far
}

func (sim *simulation) addHost(name string) *fakeHost { return sim.addHostWith(name, 1) }

func (sim *simulation) addHostWith(name string, processors float64) *fakeHost {
	return sim.addHostWithLink(name, processors, 0)
}

// addHostWithLink adds a host whose link carries so many bytes a second from the store.
func (sim *simulation) addHostWithLink(name string, processors, linkBytesPerSecond float64) *fakeHost {
	h := &fakeHost{sim: sim, name: name, processors: processors, linkBytesPerSecond: linkBytesPerSecond}
	sim.hosts = append(sim.hosts, h)
	h.start()
	return h
}

func (h *fakeHost) start() {
	h.incarnation++
	h.state, h.alive, h.frozen, h.deferred, h.started = NewState(), true, false, nil, h.sim.now
	h.deliver(Started{
		Host: h.name, Instance: structs.InstanceID(fmt.Sprintf("%s-%d", h.name, h.incarnation)),
		Seed: uint64(len(h.sim.hosts)*1000 + h.incarnation), Processors: h.processors, Bounds: h.sim.bounds, ShardWorkers: h.sim.shardWorkers, LinkBytesPerSecond: h.linkBytesPerSecond,
	})
}

func (h *fakeHost) kill() { h.alive = false }

func (h *fakeHost) thaw() {
	h.frozen = false
	deferred := h.deferred
	h.deferred = nil
	h.deliver(TimerFired{})
	for _, body := range deferred {
		h.deliver(body)
	}
}

// deliver delivers an event to the current incarnation of the host.
func (h *fakeHost) deliver(body EventBody) {
	if !h.alive {
		return
	}
	if h.frozen {
		h.deferred = append(h.deferred, body)
		return
	}
	effects := slices.Clone(Reduce(h.state, Event{At: h.sim.now - h.started, Wall: h.sim.wall(), Body: body}))
	for _, e := range effects {
		h.execute(e)
	}
	h.setTimer()
}

func (h *fakeHost) setTimer() {
	at, ok := h.state.NextDeadline()
	if !ok {
		return
	}
	h.timerSeq++
	seq, incarnation := h.timerSeq, h.incarnation
	h.sim.after(max(0, h.started+at-h.sim.now), func() {
		if h.incarnation == incarnation && h.timerSeq == seq && !h.frozen {
			h.deliver(TimerFired{})
		}
	})
}

// fakeConnection carries the answers to the calls of one incarnation of a host.
type fakeConnection struct {
	*fakeHost
	incarnation int
	fate        callFate // of the call, if there is a network
}

// deliverAfter delivers an event after d, unless the host has been started again
// since the call.
func (c fakeConnection) deliverAfter(d time.Duration, body EventBody) {
	c.sim.after(d, func() {
		if c.fakeHost.incarnation == c.incarnation {
			c.deliver(body)
		}
	})
}

// answer delivers the answer of a worker.
func (c fakeConnection) answer(body EventBody) {
	if !c.fate.answerLost {
		c.deliverAfter(workerDelay+c.fate.answerDelay, body)
	}
}

func (h *fakeHost) execute(e Effect) {
	fakeConnection{fakeHost: h, incarnation: h.incarnation}.execute(e)
}

func (h fakeConnection) execute(e Effect) {
	switch e := e.(type) {
	case Commit:
		h.sim.store.commit(h, e)
	case ReadRows:
		h.sim.store.read(h, e)
	case WatchRows:
		h.sim.store.watch(h, e)
	case SyncWorker:
		h.sendCommand(e.WorkerCommand, WorkerSynced{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(h fakeConnection, f *fakeWorker) { f.syncLists(h, e) })
	case StartTask:
		h.sendStart(e)
	case StopTask:
		h.sendCommand(e.WorkerCommand, CommandDone{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(h fakeConnection, f *fakeWorker) {
			f.perform(h, e.WorkerCommand, func() CommandDone { return f.stopTask(e) })
		})
	case ThrottleTask:
		h.sendCommand(e.WorkerCommand, CommandDone{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(h fakeConnection, f *fakeWorker) {
			f.perform(h, e.WorkerCommand, func() CommandDone { return f.throttleTask(e) })
		})
	case AskAdvice:
		h.sim.advise(h, e)
	case Answer:
		h.sim.answers[e.Request] = e
	case Decision:
		h.sim.decisions = append(h.sim.decisions, fmt.Sprintf("%8.3f %s %s: %s %s %s %s", h.sim.now.Seconds(), h.name, e.Part, e.Action, e.Subject, e.Where, e.Reason))
	case StopProcess:
		h.kill()
	}
}

// sendStart sends a start once the earlier ones have been sent, unless that takes
// longer than its timeout.
func (h fakeConnection) sendStart(e StartTask) {
	send := func() {
		if h.sim.now-h.started <= e.NotAfter {
			h.sim.oracle.checkSentStart(e)
		}
		h.sendCommand(e.WorkerCommand, CommandDone{Effect: e.ID, Outcome: structs.OutcomeUnknown}, func(h fakeConnection, f *fakeWorker) {
			f.perform(h, e.WorkerCommand, func() CommandDone { return f.startTask(e) })
		})
	}
	if h.startTime == 0 {
		send()
		return
	}
	if h.sendsUntil > h.sim.now+e.Timeout {
		h.sim.startsNotSent++
		h.deliverAfter(e.Timeout, CommandDone{Effect: e.ID, Outcome: structs.OutcomeNotDone})
		return
	}
	h.sendsUntil = max(h.sendsUntil, h.sim.now) + h.startTime
	h.sim.after(h.sendsUntil-h.sim.now, func() {
		if h.alive && h.fakeHost.incarnation == h.incarnation {
			send()
		}
	})
}

// sendCommand calls perform with the worker of a command, or delivers unknown if the
// worker cannot be reached.
func (h fakeConnection) sendCommand(o WorkerCommand, unknown EventBody, perform func(fakeConnection, *fakeWorker)) {
	if h.sim.now-h.started > o.NotAfter {
		h.deliverAfter(0, notDone(unknown, RefusedNone))
		return
	}
	if h.sim.network != nil {
		h.sim.network.send(h, o, unknown, perform)
		return
	}
	f := h.sim.workerAt(o.Address)
	if f == nil || f.disconnected || !f.alive {
		h.deliverAfter(o.Timeout, unknown)
		return
	}
	if f.id != o.Worker {
		h.sim.t.Fatalf("command for worker %s sent to worker %s", o.Worker, f.id)
	}
	perform(h, f)
}

// notDone returns the outcome of a command that was refused or not sent.
func notDone(outcome EventBody, refused Refusal) EventBody {
	switch o := outcome.(type) {
	case WorkerSynced:
		o.Outcome, o.Refused = structs.OutcomeNotDone, refused
		return o
	case CommandDone:
		o.Outcome, o.Refused = structs.OutcomeNotDone, refused
		return o
	}
	return outcome
}

// advise answers as the advice service does. Concurrent requests fail the test.
func (sim *simulation) advise(h fakeConnection, e AskAdvice) {
	sim.adviceRequests++
	if sim.adviceInFlight {
		sim.t.Fatal("advice requested while an earlier request was in flight")
	}
	sim.adviceInFlight = true
	result := AdviceReceived{Effect: e.ID, Outcome: structs.OutcomeDone, Tickets: make(map[structs.WorkerID]string)}
	for _, id := range e.Workers {
		if sim.adviceAllowed[id] {
			result.Tickets[id] = fmt.Sprintf("%s.%d.%d on %s", e.Job, e.Occurrence, e.Step, id)
		}
	}
	sim.after(100*time.Millisecond, func() { sim.adviceInFlight = false })
	h.deliverAfter(100*time.Millisecond, result)
}

// workerAt returns the worker with an address, or nil. A worker that is up hides one that
// had the address before.
func (sim *simulation) workerAt(address string) *fakeWorker {
	var found *fakeWorker
	for _, f := range sim.workers {
		if f.address == address && (found == nil || f.alive || !found.alive && f.id < found.id) {
			found = f
		}
	}
	return found
}

// submit submits a job at a host and returns the request.
func (sim *simulation) submit(h *fakeHost, id string, job structs.Job) RequestID {
	sim.lastRequest++
	req := sim.lastRequest
	sim.submittedJobs[structs.JobID(id)] = job
	sim.submissions[structs.JobID(id)] = append(sim.submissions[structs.JobID(id)], req)
	h.deliver(RequestArrived{Request: req, Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Job: job, Timeout: 3 * time.Second})
	return req
}

// request sends a request without a body.
func (sim *simulation) request(h *fakeHost, kind RequestKind, path string) RequestID {
	sim.lastRequest++
	h.deliver(RequestArrived{Request: sim.lastRequest, Kind: kind, Host: "h", Path: path, Timeout: 3 * time.Second})
	return sim.lastRequest
}

// submitAndWait submits a job and waits until it is accepted.
func (sim *simulation) submitAndWait(h *fakeHost, id string, job structs.Job) {
	sim.t.Helper()
	req := sim.submit(h, id, job)
	sim.waitFor(3*time.Second, "acceptance", func() bool { return sim.answers[req].Status == AnswerOK })
}

// jobState returns the stored state of a job.
func (sim *simulation) jobState(id string) structs.JobState {
	p, _ := sim.store.get(TableProgress, id).(ProgressRow)
	return p.State
}

// leader returns the host with a valid leader lease of shard 0, or nil.
func (sim *simulation) leader() *fakeHost { return sim.leaderOf(0) }

// leaderOf returns the host with a valid leader lease of a shard, or nil.
func (sim *simulation) leaderOf(shard ShardID) *fakeHost {
	for _, h := range sim.hosts {
		if l := h.state.leaderOf(shard); h.alive && !h.frozen && l != nil && l.leaseValid() {
			return h
		}
	}
	return nil
}

// shards returns the number of shards in the stored plan.
func (sim *simulation) shards() int {
	plan, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	return plan.Shards
}

// waitForLeader waits until leaders may start tasks on all workers.
func (sim *simulation) waitForLeader() {
	sim.t.Helper()
	sim.waitFor(10*time.Second, "a leader of each shard", func() bool {
		used := 0
		for id := range ShardID(sim.shards()) {
			h := sim.leaderOf(id)
			if h == nil || !h.state.leaderOf(id).isLoaded() {
				return false
			}
			for _, w := range h.state.leaderOf(id).workers {
				if w.used {
					used++
				}
			}
		}
		return used == len(sim.workers)
	})
}

// workerRunning returns the worker on which a task runs, or nil.
func (sim *simulation) workerRunning(ref structs.TaskRef) *fakeWorker {
	for _, f := range sim.workers {
		for key := range f.runs {
			if key.ref == ref {
				return f
			}
		}
	}
	return nil
}

// singleStepJob returns a job with one step.
func singleStepJob(count int, work time.Duration, milliCores int64) structs.Job {
	return structs.Job{Spec: work.String(), Steps: []structs.Step{{
		Count: count, Request: structs.Resources{MilliCores: milliCores, MemoryMB: 100}, Estimate: work,
	}}}
}

// shardOf returns the shard that the rows name for a task: that of the job row or, if
// it was given away, the last one that got it.
func (o *oracle) shardOf(task structs.TaskRef) ShardID {
	row, _ := o.sim.store.get(TableJobs, string(task.Job)).(JobRow)
	shard, history := ShardID(row.Shard), 0
	for id, r := range o.sim.store.rows {
		if id.table != TableJobs || !isPartKey(id.key, task.Job) {
			continue
		}
		part := r.Value.(JobRow).Part
		if slices.Contains(part.Tasks, task.Index) && len(part.From) > history {
			shard, history = ShardID(part.Shard), len(part.From)
		}
	}
	return shard
}

// oracle checks the invariants: no task runs twice at once or after its end was
// acknowledged, no task of a job runs whose submissions were all answered "not run", each
// start is covered by a stored claim and on a worker of the job's
// shard, and its specification is the one that was submitted.
type oracle struct {
	sim  *simulation
	done map[structs.TaskRef]bool // tasks whose successful end was acknowledged
	// lastStart is when each task was last started.
	lastStart map[structs.TaskRef]time.Duration
}

func (o *oracle) init(sim *simulation) {
	o.sim, o.done, o.lastStart = sim, make(map[structs.TaskRef]bool), make(map[structs.TaskRef]time.Duration)
}

// acknowledged checks a successful end that a worker is about to discard, with no lapse of
// its lease since.
func (o *oracle) acknowledged(f *fakeWorker, n structs.EndedRun) {
	o.sim.t.Helper()
	if ended := f.endTimes[n.Number]; o.lastStart[n.Task] > ended {
		o.sim.t.Fatalf("%v: the end of %s on %s at %v is acknowledged, and it was started again at %v", o.sim.now, taskName(n.Task), f.id, ended, o.lastStart[n.Task])
	}
	o.done[n.Task] = true
}

// checkSentStart checks a start that a host sends: its worker has not announced for DrainTime that it
// drains, and its zone has not been evacuated for EvacuationTime.
func (o *oracle) checkSentStart(e StartTask) {
	t, store := o.sim.t, o.sim.store
	t.Helper()
	f := o.sim.workers[e.Worker]
	if since, drains := store.drainsSince[e.Worker]; drains && o.sim.bounds.DrainTime > 0 && o.sim.now-since > o.sim.bounds.DrainTime {
		t.Fatalf("%v: start of %s sent to %s, which drains since %v", o.sim.now, taskName(e.Task), e.Worker, since)
	}
	if since, evacuated := store.evacuatedSince[f.zone]; evacuated && o.sim.bounds.EvacuationTime > 0 && o.sim.now-since > o.sim.bounds.EvacuationTime {
		t.Fatalf("%v: start of %s sent to %s in %s, which is evacuated since %v", o.sim.now, taskName(e.Task), e.Worker, f.zone, since)
	}
}

// started checks a start that a worker is about to carry out.
func (o *oracle) started(f *fakeWorker, e StartTask) {
	t := o.sim.t
	t.Helper()
	if o.done[e.Task] {
		t.Fatalf("%v: %s started on %s after its end was acknowledged", o.sim.now, taskName(e.Task), f.id)
	}
	for _, other := range o.sim.workers {
		for key := range other.runs {
			if key.ref == e.Task {
				t.Fatalf("%v: %s runs on %s and was started on %s", o.sim.now, taskName(e.Task), other.id, f.id)
			}
		}
	}
	o.lastStart[e.Task] = o.sim.now
	plan, _ := o.sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	shard := plan.Racks[f.rack]
	p, _ := o.sim.store.rows[fakeRowID{TableProgress, shard.partition(), string(e.Task.Job)}].Value.(ProgressRow)
	if p.ClaimEpoch < e.Epoch || p.Moving {
		t.Fatalf("%v: %s started in epoch %d of %v with the claim %d, moving %v", o.sim.now, taskName(e.Task), e.Epoch, shard, p.ClaimEpoch, p.Moving)
	}
	if got := o.shardOf(e.Task); got != shard {
		t.Fatalf("%v: %s of %v started on %s of %v", o.sim.now, taskName(e.Task), got, f.id, shard)
	}
	job, ok := o.sim.submittedJobs[e.Task.Job]
	if o.refused(e.Task.Job) {
		t.Fatalf("%v: %s started, and all its submissions were answered not run", o.sim.now, taskName(e.Task))
	}
	if !ok || job.Spec != e.Spec {
		t.Fatalf("%s started with a specification that was not submitted", taskName(e.Task))
	}
}

// refused reports whether all submissions of a job were answered "not run".
func (o *oracle) refused(id structs.JobID) bool {
	for _, req := range o.sim.submissions[id] {
		if o.sim.answers[req].Status != AnswerNotRun {
			return false
		}
	}
	return len(o.sim.submissions[id]) > 0
}
