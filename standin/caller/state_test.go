package caller

import (
	"testing"
	"time"
)

func newTestState(orders bool) *State {
	o := Options{Name: "c", Hosts: []Host{{CallerAddress: "a"}, {CallerAddress: "b"}}, MaxInProgress: 1, MaxAttempts: 3, Duration: time.Second}
	if orders {
		o.OrdersPerSecond = 1
	} else {
		o.CallsPerSecond = 1
	}
	return NewState(o)
}

// runJob runs one job whose attempts have the given results, and returns the
// report.
func runJob(t *testing.T, s *State, results ...Result) Report {
	t.Helper()
	effects := s.Step(0, 0, TimerFired{})
	for i, r := range results {
		var send *SendAttempt
		for _, f := range effects {
			if x, ok := f.(SendAttempt); ok {
				send = &x
			}
		}
		if send == nil || send.Attempt != i+1 {
			t.Fatalf("attempt %d was not sent: effects %+v", i+1, effects)
		}
		s.Step(time.Millisecond, 0, AttemptEnded{Job: send.Job, Attempt: send.Attempt, Result: r})
		effects = s.Step(time.Duration(i+2)*10*time.Second, 0, TimerFired{})
	}
	for _, f := range effects {
		if x, ok := f.(Finish); ok {
			return x.Report
		}
	}
	return s.report
}

// Guards against an order that is reported as "not run" after an attempt that may
// have run, or as "done" without a complete answer. The audit relies on these
// states.
func TestOrderStates(t *testing.T) {
	notRun := Result{Sent: true, Complete: true, Status: 503, Outcome: outcomeNotRun}
	unknown := Result{Sent: true, Complete: true, Status: 502, Outcome: "unknown"}
	incomplete := Result{Sent: true, Status: 200}
	refused := Result{}
	complete := Result{Sent: true, Complete: true, Status: 200}
	for _, c := range []struct {
		name    string
		results []Result
		want    OrderState
	}{
		{"done at once", []Result{complete}, OrderDone},
		{"never run", []Result{notRun, refused, notRun}, OrderNotRun},
		{"unknown, then refused", []Result{unknown, notRun, notRun}, OrderUnknown},
		{"incomplete, then recorded", []Result{incomplete, {Sent: true, Complete: true, Status: 200, Outcome: "recorded"}}, OrderDone},
		{"always incomplete", []Result{incomplete, incomplete, incomplete}, OrderUnknown},
	} {
		r := runJob(t, newTestState(true), c.results...)
		if len(r.Orders) != 1 || r.Orders[0].State != c.want || r.Orders[0].Attempts != len(c.results) {
			t.Errorf("%s: orders %+v, want one with state %s and %d attempts", c.name, r.Orders, c.want, len(c.results))
		}
	}
}

// Guards against a complete answer to another request that counts as a success
// instead of a violation.
func TestWrongAnswerIsAViolation(t *testing.T) {
	wrong := Result{Sent: true, Complete: true, Status: 200, Mismatch: "another call's line"}
	r := runJob(t, newTestState(false), wrong, wrong, wrong)
	if len(r.Violations) != 3 || r.CallsDone != 0 || r.CallsFailed != 1 {
		t.Errorf("want 3 violations, no call done and one failed: %+v", r)
	}
}
