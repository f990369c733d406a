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

// maxPendingEffects is the capacity of a call's effect queue. The reducer emits at
// most one DispatchCall at a time for a call, followed by its AnswerCall.
const maxPendingEffects = 2

// Proxy is the reverse proxy: the HTTP handler of the caller listener, and the
// runner of the effects that concern calls.
type Proxy struct {
	loop      Poster
	outbox    *runner.Outbox[control.EventBody]
	transport *transport.Transport
	limits    Limits
	observe   Observer
	draining  atomic.Bool

	mu     sync.Mutex
	calls  map[control.CallID]*exchange
	nextID control.CallID
	active int // calls in progress, including those whose body is being read
}

// NewProxy returns a proxy without calls.
func NewProxy(loop Poster, outbox *runner.Outbox[control.EventBody], t *transport.Transport, limits Limits, observe Observer) *Proxy {
	return &Proxy{
		loop: loop, outbox: outbox, transport: t, limits: limits, observe: observe,
		calls: make(map[control.CallID]*exchange),
	}
}

// StartDraining makes every further answer close its connection, so that no caller holds
// an idle connection when the listener closes at the end of a planned stop.
func (p *Proxy) StartDraining() { p.draining.Store(true) }

// InProgress returns the number of calls in progress.
func (p *Proxy) InProgress() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// Dispatch queues an attempt for the call's goroutine. It never blocks. An
// attempt for a call that has ended is answered "not done".
func (p *Proxy) Dispatch(e control.DispatchCall) {
	if !p.enqueue(e.Call, e) {
		p.outbox.PostAsync(notDispatched(e, "the caller's connection has ended"))
	}
}

// Answer queues the entry host's own answer for the call's goroutine. It never
// blocks. An answer for a call that has ended is dropped.
func (p *Proxy) Answer(e control.AnswerCall) { p.enqueue(e.Call, e) }

// Cancel ends an attempt that is in progress, or prevents one that has not begun.
// It never blocks.
func (p *Proxy) Cancel(e control.CancelDispatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.calls[e.Call]
	if !ok {
		return
	}
	x.cancelled = max(x.cancelled, e.Attempt)
	if x.cancel != nil && x.attempt <= e.Attempt {
		x.cancel()
	}
}

func (p *Proxy) enqueue(id control.CallID, e control.Effect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.calls[id]
	if !ok {
		return false
	}
	select {
	case x.effects <- e:
		return true
	default:
		return false
	}
}

// admit counts a new call. It returns false if MaxCalls are in progress.
func (p *Proxy) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active >= p.limits.MaxCalls {
		return false
	}
	p.active++
	return true
}

func (p *Proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
}

// register assigns the call an ID and adds it to the calls that effects are
// delivered to.
func (p *Proxy) register(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	x.id = p.nextID
	p.calls[x.id] = x
}

// unregister removes a call and returns its queued effects. No effect is queued
// for it afterwards.
func (p *Proxy) unregister(x *exchange) []control.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, x.id)
	var pending []control.Effect
	for {
		select {
		case e := <-x.effects:
			pending = append(pending, e)
		default:
			return pending
		}
	}
}

// ServeHTTP serves one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	writer := newAnswerWriter(w, p.limits.WriteStall, &p.draining)
	setBodyDeadline(writer.controller, r, p.limits)
	if !p.admit() {
		writer.refuse(busy("too many calls are in progress"))
		p.observe("", ResultNotRun, time.Since(began))
		return
	}
	defer p.release()
	x, refused := p.accept(writer, r)
	if refused != nil {
		writer.refuse(*refused)
		p.observe("", refused.result, time.Since(began))
		return
	}
	result := x.serve()
	p.observe(x.arrived.Service, result, time.Since(began))
	if result == ResultCut || result == ResultGone {
		// The caller must see a closed connection, not a truncated answer that looks
		// complete. A caller that only closed its sending side must not get the empty
		// 200 that net/http sends for a handler that wrote nothing.
		panic(http.ErrAbortHandler)
	}
}

// accept parses the request and reads its body if the body is to be held.
func (p *Proxy) accept(writer *answerWriter, r *http.Request) (*exchange, *refusal) {
	arrived, refused := parse(r)
	if refused != nil {
		return nil, refused
	}
	writer.requestID = arrived.RequestID
	body, refused := readBody(writer.controller, r, p.limits)
	if refused != nil {
		return nil, refused
	}
	arrived.Replayable = body.held()
	return &exchange{
		proxy: p, writer: writer, request: r, body: body, arrived: arrived,
		effects: make(chan control.Effect, maxPendingEffects),
	}, nil
}

func notDispatched(e control.DispatchCall, detail string) control.AnswerFinished {
	return control.AnswerFinished{
		Call: e.Call, Attempt: e.Attempt, Outcome: control.OutcomeNotDone, Peer: e.Address, Detail: detail,
	}
}
