package control_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// world connects several reducers to one fake table service, object store, host
// list and set of workers, in virtual time. It is deterministic for a seed.
type world struct {
	now           time.Duration
	events        scheduledHeap
	seq           uint64
	rng           *rand.Rand
	nodes         []*node
	store         *fakeStore
	workers       []*fakeWorker
	cuts          map[[2]string]bool // pairs of addresses that cannot reach each other
	partitions    int
	log           func(format string, args ...any) // nil: silent
	violations    []string
	nextCall      control.CallID
	sheet         []structs.SheetRow     // last sheet applied by a test
	failingRows   map[string]bool        // sheet rows whose runs fail immediately
	checkpoints   map[string]float64     // progress by object name
	started       map[control.RunRef]int // number of starts of each run
	recording     bool
	callers       map[string]*callerState     // by request id
	runsByKey     map[string]int              // executions by service and idempotency key
	executed      map[string]int              // executions by request id
	onCallArrival func(*attempt, *fakeWorker) // called when a call reaches its worker; nil: unused
	requestByKey  map[string]string           // request id that ran, by service and idempotency key
	epochs        map[string]structs.InstanceID
}

// node is the process of one entry host.
type node struct {
	w             *world
	host          structs.HostID
	instance      structs.InstanceID
	address       string
	state         *control.State
	started       time.Duration
	alive         bool
	frozen        bool
	backlog       []control.EventBody
	timerAt       time.Duration
	stopped       bool     // ended by a StopProcess effect
	unfinished    []string // request ids reported by StopProcess
	replies       map[control.OperatorRequestID]control.Reply
	records       []control.DecisionRecord
	calls         map[control.CallID]string // request ids
	attempts      map[control.CallID]*attempt
	maxGeneration structs.Generation
	observe       func(control.Event, []control.Effect) // nil: none
	intercept     func(control.Effect) bool             // returns true if it handled the effect; nil: none
	events        []control.Event                       // all events since the start, with their effects in rendered, while the world records
	rendered      []string
}

type scheduled struct {
	at  time.Duration
	seq uint64
	run func()
}

type scheduledHeap []scheduled

func (h scheduledHeap) Len() int { return len(h) }
func (h scheduledHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h scheduledHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduledHeap) Push(x any)   { *h = append(*h, x.(scheduled)) }
func (h *scheduledHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, partitions int) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), store: newFakeStore(), cuts: make(map[[2]string]bool),
		partitions: partitions, callers: make(map[string]*callerState), failingRows: make(map[string]bool),
		checkpoints: make(map[string]float64), started: make(map[control.RunRef]int),
		runsByKey: make(map[string]int), executed: make(map[string]int),
		epochs: make(map[string]structs.InstanceID), requestByKey: make(map[string]string),
	}
}

// after schedules run at d from now.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, scheduled{at: w.now + d, seq: w.seq, run: run})
}

// run advances virtual time by d.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(scheduled)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// runUntil advances time in small steps until the condition holds, and reports
// whether it did within the limit.
func (w *world) runUntil(limit time.Duration, cond func() bool) bool {
	for end := w.now + limit; w.now < end; w.run(10 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// recordViolation records a violated invariant.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// delay returns a network delay of about a millisecond, or of up to 100 ms in one
// of 200 cases.
func (w *world) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(time.Millisecond)))
	if w.rng.IntN(200) == 0 {
		d += time.Duration(w.rng.Int64N(int64(100 * time.Millisecond)))
	}
	return d
}

// cut blocks or restores the connection between two addresses.
func (w *world) cut(a, b string, on bool) {
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = on, on
}

func (w *world) reaches(a, b string) bool { return !w.cuts[[2]string{a, b}] }

// addNode starts an entry host's process.
func (w *world) addNode(name string, incarnation int) *node {
	n := &node{
		w: w, host: structs.HostID(name), instance: structs.InstanceID(fmt.Sprintf("%s/%d", name, incarnation)),
		address: name, state: control.NewState(), started: w.now, alive: true, timerAt: -1,
		replies: make(map[control.OperatorRequestID]control.Reply), calls: make(map[control.CallID]string),
		attempts: make(map[control.CallID]*attempt),
	}
	var seeds []string
	for _, other := range w.nodes {
		seeds = append(seeds, other.address)
	}
	w.nodes = append(w.nodes, n)
	n.apply(control.Started{
		Host: n.host, Instance: n.instance, Address: n.address, Region: "r", Zone: "z", Seeds: seeds,
		Partitions: w.partitions, Seed: uint64(len(w.nodes)),
	})
	return n
}

// kill ends the process: it handles no more events.
func (n *node) kill() { n.alive = false }

// freeze pauses the process: events are queued until thaw.
func (n *node) freeze() { n.frozen = true }

// thaw resumes a frozen process, which handles the queued events at once.
func (n *node) thaw() {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, b := range backlog {
		n.apply(b)
	}
	n.apply(control.TimerFired{})
}

// post delivers an event after a delay.
func (n *node) post(d time.Duration, b control.EventBody) { n.w.after(d, func() { n.apply(b) }) }

// apply passes an event to the reducer and executes its effects.
func (n *node) apply(b control.EventBody) {
	if !n.alive {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, b)
		return
	}
	ev := control.Event{At: n.w.now - n.started, Wall: n.w.now.Milliseconds(), Body: b}
	effects := control.Reduce(n.state, ev)
	if n.observe != nil {
		n.observe(ev, effects)
	}
	if n.w.recording {
		n.events, n.rendered = append(n.events, ev), append(n.rendered, render(effects))
	}
	for _, e := range append([]control.Effect(nil), effects...) {
		n.execute(e)
	}
	n.setTimer()
}

// setTimer schedules TimerFired for the next deadline of the reducer.
func (n *node) setTimer() {
	at, ok := n.state.NextDeadline()
	if !ok {
		return
	}
	at = max(at+n.started, n.w.now)
	if n.timerAt > n.w.now && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.w.after(at-n.w.now, func() {
		if n.timerAt == at {
			n.timerAt = -1
			n.apply(control.TimerFired{})
		}
	})
}

// execute carries out one effect in the world.
func (n *node) execute(e control.Effect) {
	if n.intercept != nil && n.intercept(e) {
		return
	}
	w := n.w
	switch f := e.(type) {
	case control.Commit:
		w.store.commit(n, f)
	case control.ReadRows:
		w.store.read(n, f)
	case control.WriteObject:
		w.store.writeObject(n, f)
	case control.ReadObject:
		w.store.readObject(n, f)
	case control.DeleteObject:
		w.store.deleteObject(n, f)
	case control.ReadHostList:
		n.post(w.delay(), control.HostListRead{Effect: f.ID, Outcome: control.OutcomeDone, Workers: w.listed()})
	case control.SyncWorker:
		w.sendToWorker(n, f.Address, f.Timeout, f.ID, true, func(x *fakeWorker) control.EventBody { return x.sync(f) })
	case control.StartTask:
		w.sendToWorker(n, f.Address, f.Timeout, f.ID, false, func(x *fakeWorker) control.EventBody { return x.start(f) })
	case control.StopTask:
		w.sendToWorker(n, f.Address, f.Timeout, f.ID, false, func(x *fakeWorker) control.EventBody { return x.stop(f) })
	case control.CheckpointTask:
		w.sendToWorker(n, f.Address, f.Timeout, f.ID, false, func(x *fakeWorker) control.EventBody { return x.checkpoint(f) })
	case control.ThrottleTask:
		w.sendToWorker(n, f.Address, f.Timeout, f.ID, false, func(x *fakeWorker) control.EventBody { return x.throttle(f) })
	case control.SendPeer:
		w.sendToPeer(n, f)
	case control.DispatchCall:
		w.deliverCall(n, f)
	case control.CancelDispatch:
		w.cancel(n, f)
	case control.AnswerCall:
		w.recordAnswer(n, f)
	case control.OperatorReply:
		n.replies[f.Request] = f.Reply
	case control.DecisionRecord:
		n.records = append(n.records, f)
		if w.log != nil {
			w.log("%v %s %s: %s %s %s %s", w.now, n.host, f.Part, f.Action, f.Subject, f.Where, f.Reason)
		}
	case control.StopProcess:
		n.alive, n.stopped, n.unfinished = false, true, f.Unfinished
	}
}

// sendToPeer delivers a message between entry hosts.
func (w *world) sendToPeer(from *node, f control.SendPeer) {
	var to *node
	for _, n := range w.nodes {
		if n.address == f.Address && n.alive {
			to = n
		}
	}
	if to == nil || !w.reaches(from.address, f.Address) {
		from.post(f.Timeout, control.PeerSent{Effect: f.ID, Outcome: control.OutcomeUnknown})
		return
	}
	d := w.delay()
	to.post(d, control.PeerMessage{From: from.host, Message: f.Message})
	from.post(d+w.delay(), control.PeerSent{Effect: f.ID, Outcome: control.OutcomeDone})
}

// sendToWorker delivers a command to a worker and the answer back. A command may
// arrive even if its answer is lost.
func (w *world) sendToWorker(n *node, address string, timeout time.Duration, id control.EffectID, sync bool, run func(*fakeWorker) control.EventBody) {
	failed := func(o control.Outcome) control.EventBody {
		if sync {
			return control.WorkerSynced{Effect: id, Outcome: o}
		}
		return control.CommandDone{Effect: id, Outcome: o}
	}
	x := w.workerAt(address)
	if x == nil || x.dead || !w.reaches(n.address, address) {
		n.post(timeout, failed(control.OutcomeUnknown))
		return
	}
	transit := w.delay()
	w.after(transit, func() {
		if x.frozen {
			// The request waits in the worker's socket and is handled on thaw.
			x.backlog = append(x.backlog, func() { run(x) })
		}
		if x.dead || x.frozen {
			n.post(timeout, failed(control.OutcomeUnknown))
			return
		}
		answer := run(x)
		if w.rng.IntN(1000) < x.loseAnswers {
			n.post(timeout, failed(control.OutcomeUnknown))
			return
		}
		n.post(w.delay(), answer)
	})
}

func (w *world) workerAt(address string) *fakeWorker {
	for _, x := range w.workers {
		if x.spec.Address == address {
			return x
		}
	}
	return nil
}

// listed returns the host list.
func (w *world) listed() []structs.Worker {
	var list []structs.Worker
	for _, x := range w.workers {
		if !x.unlisted {
			list = append(list, x.spec)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// live returns the running nodes.
func (w *world) live() []*node {
	var list []*node
	for _, n := range w.nodes {
		if n.alive && !n.frozen {
			list = append(list, n)
		}
	}
	return list
}

// status asks a node for its status and returns the answer.
func (n *node) status() control.StatusReply {
	const id = control.OperatorRequestID(1 << 40)
	n.apply(control.StatusRequested{Request: id})
	reply, _ := n.replies[id].(control.StatusReply)
	return reply
}

// applySheet requests a sheet on a node; the reply is stored in replies.
func (n *node) applySheet(id control.OperatorRequestID, rows ...structs.SheetRow) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	n.apply(control.ApplyRequested{Request: id, Author: "operator", Rows: rows})
}
