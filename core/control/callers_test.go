package control_test

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// callerState is one caller's request and the answer it got.
type callerState struct {
	node      *node
	call      control.CallID
	answered  bool
	left      bool               // the caller closed its connection
	relaying  bool               // a target's answer is being relayed
	truncated bool               // the answer was not relayed completely
	kind      control.AnswerKind // 0: the target's own answer
	answer    control.AnswerCall // where kind is set
	key       string             // service and idempotency key; empty: none
	began     time.Duration
	took      time.Duration
}

// attempt is one dispatch in progress. It ends exactly once.
type attempt struct {
	w        *world
	n        *node
	dispatch control.DispatchCall
	id       string // request id
	sent     time.Duration
	relaying bool // the answer is being relayed to the caller
	ended    bool
}

// send delivers a call to a node and returns its request id.
func (w *world) send(n *node, service, method, key string) string {
	w.nextCall++
	id := fmt.Sprintf("req-%d", w.nextCall)
	c := &callerState{node: n, call: w.nextCall, began: w.now}
	if key != "" {
		c.key = service + "/" + key
	}
	w.callers[id] = c
	n.calls[w.nextCall] = id
	n.apply(control.CallArrived{
		Call: w.nextCall, RequestID: id, Service: service, Method: method, Key: key,
		Timeout: 10 * time.Second, Replayable: true,
	})
	return id
}

// callerLeaves closes a caller's connection.
func (w *world) callerLeaves(id string) {
	if c := w.callers[id]; !c.answered && !c.left {
		c.left = true
		c.node.apply(control.CallerGone{Call: c.call})
	}
}

// finish reports the end of an attempt after a delay, unless it has ended by
// then.
func (a *attempt) finish(d time.Duration, o control.Outcome, status int, detail string) {
	a.w.after(d, func() {
		if a.ended {
			return
		}
		a.ended = true
		if o == control.OutcomeDone && (a.dispatch.Final || !control.RetryableStatus(status)) {
			a.w.relayAnswer(a.n, a.dispatch.Call)
		} else if a.relaying {
			a.w.callers[a.id].truncated = true // the caller sees a truncated answer
		}
		a.n.apply(control.AnswerFinished{
			Call: a.dispatch.Call, Attempt: a.dispatch.Attempt, Outcome: o, Status: status, Detail: detail, Peer: a.dispatch.Address,
			Body: []byte(a.id), ContentType: "text/plain",
		})
	})
}

// started reports the headers of an answer after a delay.
func (a *attempt) started(d time.Duration, status, used int, refused, leaving bool) {
	a.w.after(d, func() {
		if a.ended {
			return
		}
		if refused {
			a.ended = true
			a.n.post(time.Millisecond, control.AnswerFinished{Call: a.dispatch.Call, Attempt: a.dispatch.Attempt, Outcome: control.OutcomeDone, Status: status})
		}
		a.relaying = !refused && (a.dispatch.Final || !control.RetryableStatus(status))
		if a.relaying {
			a.w.callers[a.id].relaying = true
		}
		a.n.apply(control.AnswerStarted{
			Call: a.dispatch.Call, Attempt: a.dispatch.Attempt, Status: status, Refused: refused, SlotsUsed: used, Leaving: leaving,
		})
	})
}

// deliverCall delivers a dispatched call to its target's worker.
func (w *world) deliverCall(n *node, f control.DispatchCall) {
	a := &attempt{w: w, n: n, dispatch: f, id: n.calls[f.Call], sent: w.now}
	n.attempts[f.Call] = a
	x := w.workerAt(f.Address)
	if x == nil || x.dead || !w.reaches(n.address, f.Address) {
		a.finish(w.delay(), control.OutcomeNotDone, 0, "connection refused")
		return
	}
	w.after(w.delay(), func() { w.handleArrival(a, x) })
	a.finish(f.Timeout, control.OutcomeUnknown, 0, "timeout")
}

// handleArrival handles a call at its worker. A frozen worker handles it when
// it thaws, even if the attempt has ended by then.
func (w *world) handleArrival(a *attempt, x *fakeWorker) {
	if w.onCallArrival != nil {
		w.onCallArrival(a, x)
	}
	switch {
	case x.dead:
		return
	case x.frozen:
		x.backlog = append(x.backlog, func() { w.handleArrival(a, x) })
	case x.runs[a.dispatch.Target.Task] == nil || x.inUse >= x.spec.Slots:
		a.started(w.delay(), 503, x.inUse, true, x.leaving())
	default:
		w.execute(a, x)
	}
}

// execute runs a call on a worker and returns the answer.
func (w *world) execute(a *attempt, x *fakeWorker) {
	x.inUse++
	w.executed[a.id]++
	c := w.callers[a.id]
	if c.key != "" {
		w.runsByKey[c.key]++
		w.requestByKey[c.key] = a.id
		if w.runsByKey[c.key] > 1 {
			w.recordViolation("keyed call %s ran %d times", c.key, w.runsByKey[c.key])
		}
	}
	if c.answered && c.kind == control.AnswerNotRun {
		w.recordViolation("call %s ran after it was answered as not run", a.id)
	}
	boot := x.boot
	w.after(x.serviceTime, func() {
		if x.boot != boot || x.dead {
			a.finish(w.delay(), control.OutcomeUnknown, 0, "connection reset")
			return
		}
		x.inUse--
		if x.frozen || !w.reaches(a.n.address, a.dispatch.Address) {
			return // the attempt times out
		}
		status, d := 200, w.delay()
		if w.rng.IntN(1000) < x.failCalls {
			status = 503
		}
		lost := w.rng.IntN(1000) < x.loseAnswers
		if !lost || w.rng.IntN(2) == 0 {
			a.started(d, status, x.inUse+1, false, x.leaving())
		}
		if lost {
			a.finish(d+time.Millisecond, control.OutcomeUnknown, status, "connection reset")
			return
		}
		a.finish(d+100*time.Microsecond, control.OutcomeDone, status, "")
	})
}

// cancel ends an attempt. The worker continues to run the call.
func (w *world) cancel(n *node, f control.CancelDispatch) {
	if a := n.attempts[f.Call]; a != nil && a.dispatch.Attempt == f.Attempt {
		a.finish(w.delay(), control.OutcomeUnknown, 0, "cancelled")
	}
}

// relayAnswer records that a target's answer was relayed to its caller, or
// truncated because the entry host is frozen.
func (w *world) relayAnswer(n *node, call control.CallID) {
	if c := w.callers[n.calls[call]]; n.frozen {
		c.truncated = true
	} else if n.alive {
		w.recordAnswer(n, control.AnswerCall{Call: call})
	}
}

// recordAnswer records the answer to a caller and checks it against what ran.
func (w *world) recordAnswer(n *node, f control.AnswerCall) {
	id := n.calls[f.Call]
	c := w.callers[id]
	if c == nil || c.answered || c.relaying && f.Kind != 0 {
		w.recordViolation("call %s at %s was answered twice", id, n.host)
		return
	}
	if c.left {
		return
	}
	c.answered, c.kind, c.answer, c.took = true, f.Kind, f, w.now-c.began
	if f.Kind == control.AnswerNotRun && w.executed[id] > 0 {
		w.recordViolation("call %s was answered as not run but ran", id)
	}
	if f.Kind == control.AnswerRecorded && string(f.Body) != w.requestByKey[c.key] {
		w.recordViolation("call %s got the recorded answer %q instead of %q", id, f.Body, w.requestByKey[c.key])
	}
}
