package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// refuse returns the outcome of a request to the platform's closed port: an
// immediate failure with nothing done. It returns nil for other effects.
func refuse(e control.Effect) control.EventBody {
	switch f := e.(type) {
	case control.Commit:
		return control.Committed{Effect: f.ID, Outcome: control.OutcomeNotDone}
	case control.ReadRows:
		return control.RowsRead{Effect: f.ID, Outcome: control.OutcomeNotDone}
	case control.WriteObject:
		return control.ObjectWritten{Effect: f.ID, Outcome: control.OutcomeNotDone}
	case control.ReadObject:
		return control.ObjectRead{Effect: f.ID, Outcome: control.OutcomeNotDone}
	case control.DeleteObject:
		return control.ObjectDeleted{Effect: f.ID, Outcome: control.OutcomeNotDone}
	case control.ReadHostList:
		return control.HostListRead{Effect: f.ID, Outcome: control.OutcomeNotDone}
	}
	return nil
}

// TestRefusalsAreRepeatedSlowly guards against a busy loop of retries while the
// platform's port is closed and every request fails immediately. The port
// closes at several stages of the startup.
func TestRefusalsAreRepeatedSlowly(t *testing.T) {
	const perSecond = 100 // requests that a host may send while all fail
	for _, closeAfter := range []time.Duration{0, time.Millisecond, 3 * time.Second} {
		w := smallWorld(19)
		w.run(closeAfter)
		n := w.nodes[0]
		requests := 0
		n.intercept = func(e control.Effect) bool {
			answer := refuse(e)
			if answer == nil {
				return false
			}
			requests++
			if requests > 10_000 {
				t.Fatalf("closed after %v: a request is retried without a delay", closeAfter)
			}
			n.post(0, answer)
			return true
		}
		n.applySheet(1, portalRow(4))
		w.run(10 * time.Second)
		if requests > 10*perSecond {
			t.Errorf("closed after %v: %d requests in 10 s", closeAfter, requests)
		}
	}
}

// TestLoadIsRepeatedSlowly guards against a busy loop of retries when a new
// owner cannot read its partition's rows.
func TestLoadIsRepeatedSlowly(t *testing.T) {
	w := smallWorld(20)
	requests := 0
	for _, n := range w.nodes {
		n.intercept = func(e control.Effect) bool {
			f, ok := e.(control.ReadRows)
			if !ok || f.Prefix != "tasks/0000/" {
				return false
			}
			requests++
			if requests > 10_000 {
				t.Fatal("a page is read again without a delay")
			}
			n.post(0, refuse(e))
			return true
		}
	}
	w.run(10 * time.Second)
	if requests == 0 || requests > 100 {
		t.Errorf("%d reads of a page in 10 s", requests)
	}
}
