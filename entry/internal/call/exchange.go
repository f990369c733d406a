package call

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// exchange is one call in progress. It is used by the goroutine of its HTTP
// request only, except for callerGone, effects, and the fields that proxy.mu guards.
type exchange struct {
	proxy    *Proxy
	id       control.CallID
	arrived  control.CallArrived
	request  *http.Request
	body     *requestBody
	writer   *answerWriter
	effects  chan control.Effect
	goneOnce sync.Once // posts CallerGone

	// guarded by proxy.mu
	attempt   uint64             // the attempt in progress
	cancel    context.CancelFunc // of that attempt
	cancelled uint64             // attempts up to this one are cancelled
}

// serve executes the call's effects until the call ends.
func (x *exchange) serve() Result {
	x.proxy.register(x)
	x.arrived.Call = x.id
	if err := x.proxy.loop.TryPost(x.arrived); err != nil {
		x.proxy.unregister(x)
		x.writer.refuse(busy("the entry host has no room for new calls"))
		return ResultNotRun
	}
	stop := context.AfterFunc(x.request.Context(), x.callerGone)
	defer stop()
	for {
		select {
		case e := <-x.effects:
			if result, ended := x.execute(e); ended {
				return result
			}
		case <-x.request.Context().Done():
			x.end()
			return ResultGone
		}
	}
}

// callerGone posts, at most once, that the caller has disconnected.
func (x *exchange) callerGone() {
	x.goneOnce.Do(func() { x.proxy.loop.Post(control.CallerGone{Call: x.id}) })
}

// end removes the call. A DispatchCall that still waits is answered "not done".
func (x *exchange) end() {
	for _, e := range x.proxy.unregister(x) {
		if d, ok := e.(control.DispatchCall); ok {
			x.proxy.loop.Post(notDispatched(d, "the caller's connection has ended"))
		}
	}
}

func (x *exchange) execute(e control.Effect) (result Result, ended bool) {
	switch e := e.(type) {
	case control.AnswerCall:
		x.end()
		return x.writer.answer(e), true
	case control.DispatchCall:
		return x.dispatch(e)
	}
	return "", false
}

// dispatch runs one attempt. The call ends with the attempt if a byte of the
// answer may have reached the caller.
func (x *exchange) dispatch(e control.DispatchCall) (result Result, ended bool) {
	ctx, cancel := x.beginAttempt(e)
	defer cancel()
	finished := x.runAttempt(ctx, cancel, e)
	if !x.writer.started {
		x.proxy.loop.Post(finished)
		return "", false
	}
	x.end()
	x.proxy.loop.Post(finished)
	if finished.Outcome != control.OutcomeDone || x.writer.err != nil {
		return ResultCut, true
	}
	return ResultAnswered, true
}

// beginAttempt registers the attempt for Cancel. The context is already cancelled
// if Cancel came first.
func (x *exchange) beginAttempt(e control.DispatchCall) (context.Context, context.CancelFunc) {
	// The attempt continues when the caller disconnects: the reducer decides
	// whether to cancel it, since the answer to a call with an idempotency key is
	// worth recording.
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.request.Context()))
	x.proxy.mu.Lock()
	defer x.proxy.mu.Unlock()
	x.attempt, x.cancel = e.Attempt, cancel
	if e.Attempt <= x.cancelled {
		cancel()
	}
	return ctx, cancel
}

// runAttempt sends the request and relays the answer. It returns the event that
// ends the attempt.
func (x *exchange) runAttempt(ctx context.Context, cancel context.CancelFunc, e control.DispatchCall) control.AnswerFinished {
	body, err := x.body.open()
	if err != nil {
		return notDispatched(e, err.Error())
	}
	defer body.revoke()
	watch := newWatchdog(e.Timeout, cancel)
	defer watch.stop()
	resp, outcome, err := x.proxy.transport.RoundTrip(x.targetRequest(ctx, e, body))
	if err != nil {
		return control.AnswerFinished{
			Call: e.Call, Attempt: e.Attempt, Outcome: outcome, Peer: e.Address, Detail: watch.describe(err),
		}
	}
	defer resp.Body.Close()
	return x.relay(resp, e, watch)
}

// targetRequest returns the HTTP request that the attempt sends.
func (x *exchange) targetRequest(ctx context.Context, e control.DispatchCall, body *attemptBody) *http.Request {
	const prefix = wire.PathService
	in := x.request.URL
	out := &http.Request{
		Method: x.request.Method,
		URL: &url.URL{
			Scheme: "http", Host: e.Address, RawQuery: in.RawQuery,
			Path: prefix + in.Path[1:], RawPath: prefix + in.EscapedPath()[1:],
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: targetHeaders(x.request.Header, x.arrived, e),
		Host:   e.Address,
	}
	switch {
	case !x.body.held():
		out.Body, out.ContentLength = body, x.body.length
	case len(x.body.bytes) > 0:
		out.Body, out.ContentLength = body, int64(len(x.body.bytes))
	}
	return out.WithContext(ctx)
}
