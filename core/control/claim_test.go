package control_test

import (
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

var foreignClaimRow = structs.ClaimRow{Service: "portal", Key: "a", Host: "e9", Instance: "e9/1", Attempt: 7}

func foreignClaim(state structs.ClaimState) structs.ClaimRow {
	row := foreignClaimRow
	row.State, row.Status, row.Body = state, 201, []byte("first")
	return row
}

// TestClaimBeforeDispatch guards against dispatching a keyed call before its
// claim is durable, and against a result that is not stored.
func TestClaimBeforeDispatch(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	c := h.takeClaimCommit()
	expectNone[control.DispatchCall](h, "the call was dispatched before its claim was durable")
	h.committed(c, 5)
	h.finish(takeOne[control.DispatchCall](h), control.OutcomeDone, 200)
	h.advance(time.Second)
	c = h.takeClaimCommit()
	if writtenClaimState(c, "a") != structs.ClaimFinished || c.Conditions[0].Version != 5 {
		t.Fatalf("transaction for the result: %+v", c)
	}
	id := h.keyedCall("a")
	if a := takeOne[control.AnswerCall](h); a.Call != id || a.Kind != control.AnswerRecorded || string(a.Body) != "answer" {
		t.Fatalf("answer to a repeat while the result is being stored: %+v", a)
	}
}

// TestClaimLostAnswer guards against treating a lost answer of the store as a
// refusal: the claim must be submitted again and recognized by its token.
func TestClaimLostAnswer(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	c := h.takeClaimCommit()
	h.apply(control.Committed{Effect: c.ID, Outcome: control.OutcomeUnknown})
	h.advance(200 * time.Millisecond)
	again := h.takeClaimCommit()
	h.conflict(again, "a", 6, c.Writes[0].Row.(structs.ClaimRow))
	takeOne[control.DispatchCall](h)
	h.keyedCall("b")
	h.advance(100 * time.Millisecond)
	c = h.takeClaimCommit()
	h.advance(time.Second)
	h.apply(control.Committed{Effect: c.ID, Outcome: control.OutcomeUnknown})
	takeOne[control.AnswerCall](h)
	h.advance(200 * time.Millisecond)
	h.conflict(h.takeClaimCommit(), "b", 7, c.Writes[0].Row.(structs.ClaimRow))
	h.advance(200 * time.Millisecond)
	if writtenClaimState(h.takeClaimCommit(), "b") != structs.ClaimReleased {
		t.Error("the claim of a refused call was not released")
	}
}

// TestClaimRepeat guards against running a keyed call again that another host
// has claimed, and against a wrong answer for the state of that claim. Only a
// released claim may be taken.
func TestClaimRepeat(t *testing.T) {
	for state, want := range map[structs.ClaimState]control.AnswerCall{
		structs.ClaimHeld:     {Kind: control.AnswerUnknown, Status: 409},
		structs.ClaimUnknown:  {Kind: control.AnswerUnknown, Status: 409},
		structs.ClaimFinished: {Kind: control.AnswerRecorded, Status: 201},
	} {
		h := newHarness(t, 2, 8)
		h.keyedCall("a")
		h.conflict(h.takeClaimCommit(), "a", 6, foreignClaim(state))
		if a := takeOne[control.AnswerCall](h); a.Kind != want.Kind || a.Status != want.Status {
			t.Errorf("answer for a claim in state %s: %+v", state, a)
		}
		expectNone[control.DispatchCall](h, "a repeated call was dispatched")
	}
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	h.conflict(h.takeClaimCommit(), "a", 6, foreignClaim(structs.ClaimReleased))
	h.advance(100 * time.Millisecond)
	c := h.takeClaimCommit()
	if c.Conditions[0].Version != 6 {
		t.Errorf("transaction for a released claim has another version than 6 as its condition: %+v", c)
	}
	h.committed(c, 7)
	takeOne[control.DispatchCall](h)
}

// TestClaimConflictAlone guards against a conflict on one claim that fails the
// other claims of the same transaction.
func TestClaimConflictAlone(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("first")
	h.committed(h.takeClaimCommit(), 1)
	for _, k := range []string{"a", "b", "c"} {
		h.keyedCall(k)
	}
	h.advance(50 * time.Millisecond)
	takeAll[control.DispatchCall](h)
	c := h.takeClaimCommit()
	if len(c.Writes) != 3 {
		t.Fatalf("the claims of one interval do not share a transaction: %+v", c.Writes)
	}
	h.conflict(c, "a", 2, foreignClaim(structs.ClaimHeld))
	takeOne[control.AnswerCall](h)
	h.advance(50 * time.Millisecond)
	h.committed(h.takeClaimCommit(), 3)
	if d := takeAll[control.DispatchCall](h); len(d) != 2 {
		t.Errorf("%d of the other 2 calls were dispatched", len(d))
	}
}

// TestClaimTooLate guards against dispatching a call that was answered as not
// run, when its claim becomes durable later. The claim must be released.
func TestClaimTooLate(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	c := h.takeClaimCommit()
	h.advance(time.Second)
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerNotRun || a.RetryAfter == 0 {
		t.Fatalf("answer after 1 s without the store: %+v", a)
	}
	h.keyedCall("a")
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerNotRun {
		t.Errorf("answer to a repeat before the claim's outcome is known: %+v", a)
	}
	h.committed(c, 8)
	h.advance(time.Second)
	expectNone[control.DispatchCall](h, "the call was dispatched after it was answered as not run")
	c = h.takeClaimCommit()
	if writtenClaimState(c, "a") != structs.ClaimReleased || c.Conditions[0].Version != 8 {
		t.Fatalf("transaction for the release: %+v", c)
	}
	h.committed(c, 9)
	h.keyedCall("a")
	h.advance(100 * time.Millisecond)
	h.takeClaimCommit()
}

// TestClaimKeptOnRefusal guards against claiming a call again, or losing its
// claim, when a worker's guard refuses it and it goes to another target.
func TestClaimKeptOnRefusal(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	h.committed(h.takeClaimCommit(), 5)
	first := takeOne[control.DispatchCall](h)
	h.refuse(first, 8)
	second := takeOne[control.DispatchCall](h)
	if second.Target.Worker == first.Target.Worker {
		t.Error("the call was sent again to the target that refused it")
	}
	expectNone[control.Commit](h, "a refusal caused a transaction")
}

// TestClaimNeverRepeated guards against retrying a keyed call whose answer was
// lost, and against not storing that its outcome is unknown.
func TestClaimNeverRepeated(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.keyedCall("a")
	h.committed(h.takeClaimCommit(), 5)
	h.finish(takeOne[control.DispatchCall](h), control.OutcomeUnknown, 0)
	expectNone[control.DispatchCall](h, "a keyed call was retried")
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerUnknown || a.Status != 502 {
		t.Errorf("answer: %+v", a)
	}
	h.advance(time.Second)
	if writtenClaimState(h.takeClaimCommit(), "a") != structs.ClaimUnknown {
		t.Error("the unknown outcome was not stored")
	}
}

// TestClaimCallerLeft guards against losing the result of a keyed call whose
// caller left, and against treating the call as not run.
func TestClaimCallerLeft(t *testing.T) {
	h := newHarness(t, 2, 8)
	for key, want := range map[string]structs.ClaimState{"a": structs.ClaimFinished, "b": structs.ClaimUnknown} {
		id := h.keyedCall(key)
		h.advance(100 * time.Millisecond)
		h.committed(h.takeClaimCommit(), 5)
		d := takeOne[control.DispatchCall](h)
		h.apply(control.CallerGone{Call: id})
		expectNone[control.CancelDispatch](h, "the attempt was cancelled, so its result is lost")
		if want == structs.ClaimFinished {
			h.finish(d, control.OutcomeDone, 200)
		} else {
			h.finish(d, control.OutcomeUnknown, 0)
		}
		h.advance(100 * time.Millisecond)
		c := h.takeClaimCommit()
		if writtenClaimState(c, key) != want {
			t.Errorf("call %s: stored as %s, want %s", key, writtenClaimState(c, key), want)
		}
		h.committed(c, 6)
	}
}

// TestClaimLimits guards against unbounded claim rows: a long key is refused,
// and of a large answer only the status is stored, with a mark that the body is
// missing.
func TestClaimLimits(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall(strings.Repeat("k", 256))
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerInvalid || a.Status != 400 {
		t.Errorf("answer to a call with a long key: %+v", a)
	}
	h.keyedCall("a")
	h.committed(h.takeClaimCommit(), 5)
	d := takeOne[control.DispatchCall](h)
	h.apply(control.AnswerFinished{Call: d.Call, Attempt: d.Attempt, Outcome: control.OutcomeDone, Status: 201, Body: make([]byte, 16<<10+1)})
	h.advance(100 * time.Millisecond)
	if row := h.takeClaimCommit().Writes[0].Row.(structs.ClaimRow); !row.BodyOmitted || len(row.Body) > 0 || row.Status != 201 {
		t.Errorf("row for a large answer: %+v", row)
	}
	h.keyedCall("a")
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerRecorded || a.Status != 201 || a.Reason == "" {
		t.Errorf("answer to the repeat: %+v", a)
	}
}

// TestClaimStoreOutage guards against keyed calls that hang while the store is
// down, and against an outage that affects other calls: keyed calls are
// answered as not run within a second, idempotent ones are served.
func TestClaimStoreOutage(t *testing.T) {
	w := runningWorld(21)
	w.store.down = true
	w.run(100 * time.Millisecond)
	for range 40 {
		keyed, get := w.send(w.nodes[0], "portal", "POST", "k"), w.send(w.nodes[1], "portal", "GET", "")
		w.run(1200 * time.Millisecond)
		if c := w.callers[keyed]; c.kind != control.AnswerNotRun || c.took > 1010*time.Millisecond || c.answer.RetryAfter == 0 {
			t.Fatalf("keyed call during the outage: %+v", c)
		}
		if c := w.callers[get]; !c.answered || c.kind != 0 {
			t.Fatalf("idempotent call during the outage: %+v", c)
		}
	}
	w.store.down = false
	w.run(5 * time.Second)
	id := w.send(w.nodes[2], "portal", "POST", "k")
	w.run(2 * time.Second)
	if c := w.callers[id]; c.kind != 0 || w.runsByKey["portal/k"] != 1 {
		t.Errorf("keyed call after the outage: %+v", c)
	}
	w.check(t)
}

// TestClaimHostDeath guards against running a keyed call a second time after
// its host died: other hosts must answer that its outcome is unknown.
func TestClaimHostDeath(t *testing.T) {
	w := runningWorld(22)
	w.send(w.nodes[0], "portal", "POST", "k")
	w.runUntil(time.Second, func() bool { return w.store.get(structs.ClaimKey("portal", "k")).Version > 0 })
	w.nodes[0].kill()
	w.run(5 * time.Second)
	id := w.send(w.nodes[1], "portal", "POST", "k")
	w.run(time.Second)
	if c := w.callers[id]; c.kind != control.AnswerUnknown || c.answer.Status != 409 {
		t.Errorf("repeat: %+v", c)
	}
	w.check(t)
}
