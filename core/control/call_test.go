package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// runningWorld returns a small world in which four replicas of the portal run.
func runningWorld(seed uint64) *world {
	w := smallWorld(seed)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(4 * time.Second)
	return w
}

// TestCallRetryBudget guards against a retry storm when all targets fail, and
// against answering a call that may have run as not run.
func TestCallRetryBudget(t *testing.T) {
	h := newHarness(t, 8, 64)
	sent, notRun := 0, 0
	for range 200 {
		h.call(control.CallArrived{})
		for d := takeAll[control.DispatchCall](h); len(d) > 0; d = takeAll[control.DispatchCall](h) {
			sent++
			h.finish(d[0], control.OutcomeUnknown, 0)
		}
		h.advance(time.Millisecond)
	}
	for _, a := range takeAll[control.AnswerCall](h) {
		if a.Kind == control.AnswerNotRun {
			notRun++
		}
	}
	if sent < 210 || sent > 200+10+20 {
		t.Errorf("200 calls were dispatched %d times, want 210 to 230: retries limited by the budget", sent)
	}
	if notRun > 0 {
		t.Errorf("%d calls that were dispatched are answered as not run", notRun)
	}
}

// TestCallRetryOnAnotherTarget guards against retrying a call on the target that just
// failed it, and against retrying a call that is not idempotent.
func TestCallRetryOnAnotherTarget(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.call(control.CallArrived{})
	first := takeOne[control.DispatchCall](h)
	h.finish(first, control.OutcomeDone, 503)
	second := takeOne[control.DispatchCall](h)
	if first.Final || second.Target.Worker == first.Target.Worker {
		t.Errorf("retry after %+v: %+v", first, second)
	}
	h.finish(second, control.OutcomeDone, 200)
	h.call(control.CallArrived{Method: "POST"})
	h.finish(takeOne[control.DispatchCall](h), control.OutcomeUnknown, 0)
	expectNone[control.DispatchCall](h, "a POST was retried")
}

// TestMaybeRunCallIsNeverNotRun guards against answering a call as not run when its first
// attempt may have run and the second one cannot be sent.
func TestMaybeRunCallIsNeverNotRun(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.call(control.CallArrived{})
	h.finish(takeOne[control.DispatchCall](h), control.OutcomeUnknown, 0)
	h.finish(takeOne[control.DispatchCall](h), control.OutcomeNotDone, 0)
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerUnknown {
		t.Errorf("answer: %+v", a)
	}
}

// TestCallerGone guards against work for callers that left: a queued call must
// not be dispatched, and a dispatched one is cancelled and occupies its slot
// only until its end is reported or the cancel times out.
func TestCallerGone(t *testing.T) {
	h := newHarness(t, 1, 1)
	first, second := h.call(control.CallArrived{}), h.call(control.CallArrived{})
	d := takeOne[control.DispatchCall](h)
	h.apply(control.CallerGone{Call: second})
	h.apply(control.CallerGone{Call: first})
	takeOne[control.CancelDispatch](h)
	h.call(control.CallArrived{})
	expectNone[control.DispatchCall](h, "the cancelled attempt still holds the slot")
	h.finish(d, control.OutcomeUnknown, 0)
	if d := takeOne[control.DispatchCall](h); d.Call != 3 {
		t.Errorf("call %d was dispatched, want call 3", d.Call)
	}
	h.apply(control.CallerGone{Call: 3})
	h.call(control.CallArrived{})
	h.advance(5 * time.Second)
	if d := takeAll[control.DispatchCall](h); len(d) != 1 || d[0].Call != 4 {
		t.Errorf("a cancelled attempt that never reports its end keeps its slot: %v", d)
	}
	expectNone[control.AnswerCall](h, "a caller that left was answered")
}

// TestCallTargetChoice guards against ignoring the load that answers report,
// and against preferring the same zone over a lower load.
func TestCallTargetChoice(t *testing.T) {
	h := newHarness(t, 3, 8)
	h.call(control.CallArrived{})
	near := takeOne[control.DispatchCall](h)
	if near.Target.Zone != "z0" {
		t.Errorf("equal load, but the call went to zone %s, want z0", near.Target.Zone)
	}
	h.call(control.CallArrived{})
	if d := takeOne[control.DispatchCall](h); d.Target.Zone == "z0" {
		t.Error("a loaded target in the same zone was preferred to an idle one")
	}
	h.apply(control.AnswerStarted{Call: near.Call, Attempt: near.Attempt, Status: 200, SlotsUsed: 6})
	h.finish(near, control.OutcomeDone, 200)
	for range 4 {
		h.call(control.CallArrived{})
	}
	for _, d := range takeAll[control.DispatchCall](h) {
		if d.Target.Zone == "z0" {
			t.Error("the reported slot usage of other hosts was ignored")
		}
	}
}

// TestCallEjection guards against sending calls to a target that keeps failing,
// against several probes of it at once, and against ejecting more than half of
// the targets.
func TestCallEjection(t *testing.T) {
	h := newHarness(t, 4, 64)
	to := map[structs.WorkerID]int{}
	run := func(n int, bad func(structs.WorkerID) bool) {
		clear(to)
		for range n {
			h.call(control.CallArrived{Method: "POST"})
			for d := takeAll[control.DispatchCall](h); len(d) > 0; d = takeAll[control.DispatchCall](h) {
				to[d[0].Target.Worker]++
				if bad(d[0].Target.Worker) {
					h.finish(d[0], control.OutcomeUnknown, 0)
				} else {
					h.finish(d[0], control.OutcomeDone, 200)
				}
			}
		}
	}
	run(100, func(w structs.WorkerID) bool { return w == "w0" })
	if to["w0"] != 3 {
		t.Errorf("%d calls went to a target that fails all calls, want 3", to["w0"])
	}
	h.advance(1100 * time.Millisecond)
	h.call(control.CallArrived{})
	h.call(control.CallArrived{})
	probes := 0
	for _, d := range takeAll[control.DispatchCall](h) {
		if d.Target.Worker == "w0" {
			probes++
		}
	}
	if probes > 1 {
		t.Errorf("%d probes at once, want at most 1", probes)
	}
	run(400, func(structs.WorkerID) bool { return true })
	if in := len(to); in < 2 {
		t.Errorf("only %d of 4 targets still get calls, want at least 2", in)
	}
}

// TestCallLeaving guards against new calls to a worker that is leaving, for
// each of the three ways in which a host learns of it.
func TestCallLeaving(t *testing.T) {
	signs := map[string]func(h *harness){
		"answer header": func(h *harness) {
			h.call(control.CallArrived{})
			d := takeOne[control.DispatchCall](h)
			h.apply(control.AnswerStarted{Call: d.Call, Attempt: d.Attempt, Status: 200, SlotsUsed: 1, Leaving: true})
			h.finish(d, control.OutcomeDone, 200)
		},
		"endpoints": func(h *harness) {
			targets := portalTargets("portal", 2, 8)
			targets[0].Leaving = true
			h.publish(2, targets)
		},
		"host list": func(h *harness) {
			for _, e := range takeAll[control.ReadHostList](h) {
				h.apply(control.HostListRead{Effect: e.ID, Outcome: control.OutcomeDone, Workers: []structs.Worker{{ID: "w0", State: structs.HostLeaving}}})
			}
		},
	}
	for name, sign := range signs {
		h := newHarness(t, 2, 8)
		h.apply(control.Started{Host: "e0", Instance: "e0/1", Address: "e0", Zone: "z0", Partitions: 1, Seed: 1})
		h.message(control.ConfigPush{Configuration: structs.Configuration{Generation: 2, Rows: []structs.SheetRow{portalRow(2)}}})
		h.publish(1, portalTargets("portal", 2, 8))
		sign(h)
		for range 6 {
			h.call(control.CallArrived{})
		}
		d := takeAll[control.DispatchCall](h)
		for _, x := range d {
			if x.Target.Worker == "w0" {
				t.Errorf("%s: a new call went to the leaving worker", name)
			}
		}
		if len(d) != 6 {
			t.Errorf("%s: %d of 6 calls were dispatched", name, len(d))
		}
	}
}

// TestCallQueue guards against dispatching queued calls in the wrong order, an
// unbounded queue, and queued calls that are not answered when they expire.
func TestCallQueue(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.publish(2, append(portalTargets("portal", 1, 1), portalTargets("quotes", 1, 1)...))
	h.call(control.CallArrived{})
	running := takeOne[control.DispatchCall](h)
	low := h.call(control.CallArrived{Service: "quotes", Timeout: time.Second})
	late := h.call(control.CallArrived{Timeout: 9 * time.Second})
	soon := h.call(control.CallArrived{Timeout: 5 * time.Second})
	expired := h.call(control.CallArrived{Timeout: 10 * time.Millisecond})
	h.advance(15 * time.Millisecond)
	if a := takeOne[control.AnswerCall](h); a.Call != expired || a.Kind != control.AnswerNotRun {
		t.Errorf("answer to the expired call: %+v", a)
	}
	for _, want := range []control.CallID{soon, late, low} {
		h.finish(running, control.OutcomeDone, 200)
		if running = takeOne[control.DispatchCall](h); running.Call != want {
			t.Fatalf("call %d was dispatched, want call %d", running.Call, want)
		}
	}
	for range 65 {
		h.call(control.CallArrived{})
	}
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerNotRun || a.RetryAfter == 0 {
		t.Errorf("answer to a call beyond the bound of the queue: %+v", a)
	}
}

// TestCallShortBeforeLong guards against short calls that wait behind long
// ones, in the queue or because long ones occupy all slots.
func TestCallShortBeforeLong(t *testing.T) {
	h := newHarness(t, 1, 8)
	long := control.CallArrived{Method: "POST", Class: "/study", Timeout: time.Minute}
	short := control.CallArrived{Class: "/fit"}
	for range 10 {
		for c, took := range map[*control.CallArrived]time.Duration{&short: 5 * time.Millisecond, &long: 2 * time.Second} {
			h.call(*c)
			d := takeOne[control.DispatchCall](h)
			h.advance(took)
			h.finish(d, control.OutcomeDone, 200)
		}
	}
	for range 12 {
		h.call(long)
	}
	d := takeAll[control.DispatchCall](h)
	if len(d) != 7 {
		t.Fatalf("long calls occupy %d of 8 slots, want 7", len(d))
	}
	first := h.call(short)
	if x := takeOne[control.DispatchCall](h); x.Call != first {
		t.Fatalf("call %d was dispatched, want the short call %d", x.Call, first)
	}
	second := h.call(short)
	h.finish(d[0], control.OutcomeDone, 200)
	if x := takeOne[control.DispatchCall](h); x.Call != second {
		t.Errorf("a long call was dispatched before a queued short one")
	}
}

// TestCallProbe guards against calls that stay queued after another host has
// freed slots: a target that seems full is probed every 20 ms.
func TestCallProbe(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.call(control.CallArrived{})
	h.refuse(takeOne[control.DispatchCall](h), 8)
	h.advance(19 * time.Millisecond)
	expectNone[control.DispatchCall](h, "probed before the interval had passed")
	h.advance(2 * time.Millisecond)
	h.refuse(takeOne[control.DispatchCall](h), 8)
	for range 16 {
		h.call(control.CallArrived{})
	}
	h.advance(21 * time.Millisecond)
	if d := takeAll[control.DispatchCall](h); len(d) != 3 {
		t.Errorf("%d probes for 17 queued calls, want 3: a host with a long queue must get its share of freed slots", len(d))
	}
}

// TestCallNotReady guards against serving calls without a configuration, when
// it is unknown which of them are idempotent.
func TestCallNotReady(t *testing.T) {
	h := &harness{t: t, s: control.NewState(), now: time.Second}
	h.apply(control.Started{Host: "e0", Instance: "e0/1", Address: "e0", Zone: "z0", Partitions: 1, Seed: 1})
	h.publish(1, portalTargets("portal", 2, 8))
	h.call(control.CallArrived{})
	expectNone[control.DispatchCall](h, "a call was dispatched without a configuration")
	if a := takeOne[control.AnswerCall](h); a.Kind != control.AnswerNotRun || a.RetryAfter == 0 {
		t.Errorf("answer: %+v", a)
	}
}

// TestCallReplay guards against nondeterminism under load and faults: replaying
// the recorded events of a host in a new reducer must give the same effects.
func TestCallReplay(t *testing.T) {
	w := smallWorld(23)
	var events []control.Event
	var effects []string
	n := w.nodes[0]
	n.observe = func(ev control.Event, out []control.Effect) {
		events, effects = append(events, ev), append(effects, render(out))
	}
	n.state = control.NewState()
	n.apply(control.Started{Host: n.host, Instance: n.instance, Address: n.address, Partitions: 2, Seeds: []string{"e1", "e2"}, Seed: 4})
	w.run(4 * time.Second)
	n.applySheet(1, portalRow(4))
	w.run(4 * time.Second)
	w.store.lose = 200
	for i, x := range w.workers {
		x.loseAnswers, x.failCalls, x.serviceTime = 100, 200, time.Duration(5+40*i)*time.Millisecond
	}
	for i := range 300 {
		w.send(w.nodes[i%2], "portal", "GET", "")
		w.send(n, "portal", "POST", fmt.Sprint("k", i/2))
		w.run(5 * time.Millisecond)
	}
	w.run(10 * time.Second)
	fresh := control.NewState()
	for i, ev := range events {
		if got := render(control.Reduce(fresh, ev)); got != effects[i] {
			t.Fatalf("event %d %T: effects differ\n got %s\nwant %s", i, ev.Body, got, effects[i])
		}
	}
	w.check(t)
}

// TestPathClass guards against a separate class for each identifier in a path.
func TestPathClass(t *testing.T) {
	for path, want := range map[string]string{
		"/": "", "/plan": "/plan", "/plan/today/x": "/plan/today", "/herder/h-17/log": "/herder/*",
		"//a//b": "/a/", "/quotes/0123456789abcdef0123456789abcdef/x": "/quotes/*",
	} {
		if got := control.PathClass(path); got != want {
			t.Errorf("%q: class %q, want %q", path, got, want)
		}
	}
}
