package call

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// commandRoom is the number of effects that can wait for one call. The reducer
// has at most one attempt of a call outstanding, followed by its last answer.
const commandRoom = 2

// Front is the handler of the caller listener and the runner of the effects of
// calls.
type Front struct {
	loop      Poster
	answers   *runner.Answers[control.EventBody]
	transport *transport.Transport
	limits    Limits
	observe   Observer
	leaving   atomic.Bool

	mu     sync.Mutex
	calls  map[control.CallID]*exchange
	nextID control.CallID
	active int // calls in progress, including those whose body is being read
}

// NewFront returns a front without calls.
func NewFront(loop Poster, answers *runner.Answers[control.EventBody], t *transport.Transport, limits Limits, observe Observer) *Front {
	return &Front{
		loop: loop, answers: answers, transport: t, limits: limits, observe: observe,
		calls: make(map[control.CallID]*exchange),
	}
}

// Leave makes every further answer close its connection, so that callers have
// left when the listener closes at the end of a planned stop.
func (f *Front) Leave() { f.leaving.Store(true) }

// InProgress returns the number of calls in progress.
func (f *Front) InProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// Dispatch hands an attempt to the call's goroutine. It never blocks. An
// attempt for a call that has ended is answered "not done".
func (f *Front) Dispatch(e control.DispatchCall) {
	if !f.command(e.Call, e) {
		f.answers.Later(notDispatched(e, "the caller's connection has ended"))
	}
}

// Answer hands the entry host's own answer to the call's goroutine. It never
// blocks. An answer for a call that has ended is dropped.
func (f *Front) Answer(e control.AnswerCall) { f.command(e.Call, e) }

// Cancel ends an attempt, or keeps it from beginning. It never blocks.
func (f *Front) Cancel(e control.CancelDispatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.calls[e.Call]
	if !ok {
		return
	}
	x.cancelled = max(x.cancelled, e.Attempt)
	if x.cancel != nil && x.attempt <= e.Attempt {
		x.cancel()
	}
}

func (f *Front) command(id control.CallID, e control.Effect) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.calls[id]
	if !ok {
		return false
	}
	select {
	case x.commands <- e:
		return true
	default:
		return false
	}
}

// enter counts a call, or reports that there are too many.
func (f *Front) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active >= f.limits.MaxCalls {
		return false
	}
	f.active++
	return true
}

func (f *Front) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}

// register gives a call its identifier, so that effects find it.
func (f *Front) register(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	x.id = f.nextID
	f.calls[x.id] = x
}

// unregister removes a call and returns the effects that were still waiting.
// Later effects find no call.
func (f *Front) unregister(x *exchange) []control.Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, x.id)
	var left []control.Effect
	for {
		select {
		case e := <-x.commands:
			left = append(left, e)
		default:
			return left
		}
	}
}

// ServeHTTP serves one call.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	out := newWriter(w, f.limits.WriteStall, &f.leaving)
	boundBody(out.control, r, f.limits)
	if !f.enter() {
		out.refuse(busy("too many calls are in progress"))
		f.observe("", ResultNotRun, time.Since(began))
		return
	}
	defer f.leave()
	x, fault := f.accept(out, r)
	if fault != nil {
		out.refuse(*fault)
		f.observe("", fault.result, time.Since(began))
		return
	}
	result := x.serve()
	f.observe(x.arrived.Service, result, time.Since(began))
	if result == ResultCut || result == ResultGone {
		// The caller must see a cut connection, not a short answer. One that only
		// closed its sending side must not see the empty answer that net/http
		// gives for a handler that wrote nothing.
		panic(http.ErrAbortHandler)
	}
}

// accept reads what is needed of a request.
func (f *Front) accept(out *writer, r *http.Request) (*exchange, *refusal) {
	arrived, fault := parse(r)
	if fault != nil {
		return nil, fault
	}
	out.requestID = arrived.RequestID
	body, fault := readBody(out.control, r, f.limits)
	if fault != nil {
		return nil, fault
	}
	arrived.Replayable = body.held()
	return &exchange{
		front: f, out: out, request: r, body: body, arrived: arrived,
		commands: make(chan control.Effect, commandRoom),
	}, nil
}

func notDispatched(e control.DispatchCall, detail string) control.AnswerFinished {
	return control.AnswerFinished{
		Call: e.Call, Attempt: e.Attempt, Outcome: control.OutcomeNotDone, Peer: e.Address, Detail: detail,
	}
}
