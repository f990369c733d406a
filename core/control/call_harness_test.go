package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// harness drives a single reducer: the test answers each effect itself.
type harness struct {
	t       testing.TB
	s       *control.State
	now     time.Duration
	effects []control.Effect // not yet taken
	next    control.CallID
}

// newHarness starts a host in zone z0 with the services "portal" and "quotes".
// The portal has one target on each of the workers w0, w1, ..., in zones z0, z1
// and z2 in turn.
func newHarness(t testing.TB, targets, slots int) *harness {
	h := &harness{t: t, s: control.NewState(), now: time.Second}
	h.apply(control.Started{Host: "e0", Instance: "e0/1", Address: "e0", Zone: "z0", Partitions: 1, Seed: 1})
	row := portalRow(targets)
	other := row
	other.Name, other.Importance = "quotes", structs.ImportanceLow
	h.message(control.ConfigPush{Configuration: structs.Configuration{Generation: 1, Rows: []structs.SheetRow{row, other}}})
	h.publish(1, portalTargets("portal", targets, slots))
	h.effects = nil
	return h
}

func portalTargets(service string, n, slots int) []structs.Target {
	var list []structs.Target
	for i := range n {
		list = append(list, structs.Target{
			Service: service, Task: structs.TaskID(fmt.Sprintf("%s.%03d", service, i)), Run: 1, Slots: slots,
			Worker: structs.WorkerID(fmt.Sprintf("w%d", i)), Zone: fmt.Sprintf("z%d", i%3), Address: fmt.Sprintf("w%d", i),
		})
	}
	return list
}

func (h *harness) apply(b control.EventBody) {
	h.effects = append(h.effects, control.Reduce(h.s, control.Event{At: h.now, Body: b})...)
}

func (h *harness) message(m control.Message) { h.apply(control.PeerMessage{From: "e1", Message: m}) }

func (h *harness) publish(version uint64, targets []structs.Target) {
	h.message(control.Endpoints{Partition: 0, Epoch: 1, Version: version, Targets: targets})
}

// advance moves the clock forward and fires the timers that become due.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for {
		at, ok := h.s.NextDeadline()
		if !ok || at > end {
			break
		}
		h.now = max(h.now, at)
		h.apply(control.TimerFired{})
	}
	h.now = end
}

// call sends a call; zero fields of the request get default values.
func (h *harness) call(c control.CallArrived) control.CallID {
	h.next++
	c.Call, c.RequestID = h.next, fmt.Sprint("req-", h.next)
	if c.Service == "" {
		c.Service = "portal"
	}
	if c.Method == "" {
		c.Method = "GET"
	}
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	c.Replayable = true
	h.apply(c)
	return h.next
}

func (h *harness) keyedCall(key string) control.CallID {
	return h.call(control.CallArrived{Method: "POST", Key: key})
}

// takeAll removes and returns all effects of a type.
func takeAll[T control.Effect](h *harness) []T {
	var found []T
	var rest []control.Effect
	for _, e := range h.effects {
		if f, ok := e.(T); ok {
			found = append(found, f)
		} else {
			rest = append(rest, e)
		}
	}
	h.effects = rest
	return found
}

// takeOne removes and returns the only effect of a type.
func takeOne[T control.Effect](h *harness) T {
	h.t.Helper()
	found := takeAll[T](h)
	if len(found) != 1 {
		h.t.Fatalf("%d effects of type %T, want 1: %v", len(found), *new(T), found)
	}
	return found[0]
}

// expectNone removes the effects of a type and fails the test if there are any.
func expectNone[T control.Effect](h *harness, why string) {
	h.t.Helper()
	if found := takeAll[T](h); len(found) > 0 {
		h.t.Fatalf("%s: %+v", why, found)
	}
}

// takeClaimCommit removes all transactions and returns the first one that
// writes claims.
func (h *harness) takeClaimCommit() control.Commit {
	h.t.Helper()
	for _, c := range takeAll[control.Commit](h) {
		if c.Writes[0].Key.HasPrefix(structs.ClaimPrefix) {
			return c
		}
	}
	h.t.Fatal("no transaction for claims")
	return control.Commit{}
}

// writtenClaimState returns the state that a transaction writes to the claim
// with the key, or "" if it does not write it.
func writtenClaimState(c control.Commit, key string) structs.ClaimState {
	for _, w := range c.Writes {
		if w.Key == structs.ClaimKey("portal", key) {
			return w.Row.(structs.ClaimRow).State
		}
	}
	return ""
}

func (h *harness) committed(c control.Commit, v structs.Version) {
	h.apply(control.Committed{Effect: c.ID, Outcome: control.OutcomeDone, Revision: v})
}

func (h *harness) conflict(c control.Commit, key string, v structs.Version, row structs.ClaimRow) {
	h.apply(control.Committed{Effect: c.ID, Outcome: control.OutcomeNotDone, Conflicts: []control.Conflict{
		{Key: structs.ClaimKey("portal", key), Version: v, Row: row},
	}})
}

func (h *harness) refuse(d control.DispatchCall, used int) {
	h.apply(control.AnswerStarted{Call: d.Call, Attempt: d.Attempt, Status: 503, Refused: true, SlotsUsed: used})
	h.apply(control.AnswerFinished{Call: d.Call, Attempt: d.Attempt, Outcome: control.OutcomeDone, Status: 503})
}

func (h *harness) finish(d control.DispatchCall, o control.Outcome, status int) {
	h.apply(control.AnswerFinished{Call: d.Call, Attempt: d.Attempt, Outcome: o, Status: status, Body: []byte("answer")})
}
