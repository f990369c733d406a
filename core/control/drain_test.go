package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestDrain guards against a drain that loses calls or partitions: readiness
// must turn false first, partitions are released, and calls in progress and
// those that still arrive are answered before the process ends.
func TestDrain(t *testing.T) {
	w := runningWorld(31)
	n := w.anyOwner()
	for _, x := range w.workers {
		x.serviceTime = 3 * time.Second
	}
	n.apply(control.DrainRequested{Request: 9})
	if st := n.status(); st.Ready {
		t.Error("the host is still ready after the drain began")
	}
	ids := []string{"key"}
	for range 8 {
		w.run(500 * time.Millisecond)
		ids = append(ids, w.send(n, "portal", "POST", ids[len(ids)-1]))
	}
	if !w.runUntil(25*time.Second, func() bool { return n.stopped }) {
		t.Fatal("the process did not end")
	}
	for _, id := range ids[1:] {
		if c := w.callers[id]; !c.answered || c.kind != 0 {
			t.Errorf("call %s: %+v", id, c)
		}
	}
	if !w.runUntil(2*time.Second, w.settled) {
		t.Errorf("partitions without an owner: %v", w.owners())
	}
	w.check(t)
}

// TestDrainBound guards against a drain that never ends because of a long call.
// At the limit, calls still in progress are reported as unfinished and queued
// calls are answered as not run.
func TestDrainBound(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.call(control.CallArrived{Timeout: time.Minute})
	waiting := h.call(control.CallArrived{Timeout: time.Minute})
	h.apply(control.DrainRequested{})
	h.advance(29 * time.Second)
	expectNone[control.StopProcess](h, "the process ended before the limit with a call in progress")
	h.advance(1100 * time.Millisecond)
	if e := takeOne[control.StopProcess](h); len(e.Unfinished) != 1 || e.Unfinished[0] != "req-1" {
		t.Errorf("unfinished: %v", e.Unfinished)
	}
	if a := takeOne[control.AnswerCall](h); a.Call != waiting || a.Kind != control.AnswerNotRun {
		t.Errorf("answer to the queued call: %+v", a)
	}
}

// TestDrainLateTakeover guards against keeping a partition whose takeover
// completes after the drain began.
func TestDrainLateTakeover(t *testing.T) {
	h := newHarness(t, 1, 1)
	nextPartitionCommit := func() (control.Commit, structs.PartitionRow) {
		for range 40 {
			for _, e := range takeAll[control.ReadRows](h) {
				h.apply(control.RowsRead{Effect: e.ID, Outcome: control.OutcomeDone})
			}
			for _, c := range takeAll[control.Commit](h) {
				if row, ok := c.Writes[0].Row.(structs.PartitionRow); ok {
					return c, row
				}
			}
			h.advance(100 * time.Millisecond)
		}
		t.Fatal("no transaction for the partition")
		return control.Commit{}, structs.PartitionRow{}
	}
	takeover, _ := nextPartitionCommit()
	h.apply(control.DrainRequested{})
	h.committed(takeover, 3)
	release, row := nextPartitionCommit()
	for v := structs.Version(4); row.Owner != ""; release, row = nextPartitionCommit() {
		// Changes that were queued before the release are written first.
		if h.committed(release, v); v > 8 {
			t.Fatalf("the partition was not released: %+v", row)
		}
		v++
	}
	h.committed(release, 9)
	h.advance(6 * time.Second)
	takeOne[control.StopProcess](h)
}
