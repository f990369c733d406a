package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// answered waits for the reply to an operator's request.
func (w *world) answered(t *testing.T, n *node, id control.OperatorRequestID) control.ApplyReply {
	t.Helper()
	w.expect(t, 15*time.Second, "the operator has an answer", func() bool { return n.replies[id] != nil })
	r, _ := reply[control.ApplyReply](n, id)
	return r
}

// manyRows returns n rows of the sheet.
func manyRows(prefix string, n int) []structs.SheetRow {
	var rows []structs.SheetRow
	for i := range n {
		rows = append(rows, structs.SheetRow{Name: fmt.Sprintf("%s%05d", prefix, i), Kind: structs.KindTeam, Request: structs.Resources{MilliCores: 1, MemoryMB: 1}})
	}
	return rows
}

// Guards against one operator's change that the store refuses for its size, and that holds
// up the changes of others for ten seconds with a wrong reason.
func TestUnstorableChangeIsRefusedAtOnce(t *testing.T) {
	w := smallWorld(13)
	w.run(3 * time.Second)
	n := w.nodes[0]
	n.apply(control.ApplyRequested{Request: 1, Author: strings.Repeat("a", 70_000), Rows: []structs.SheetRow{portalRow(1)}})
	if r, ok := reply[control.ApplyReply](n, 1); !ok || r.Accepted || !strings.Contains(r.Reason, "author") {
		t.Errorf("answer to a long author: %+v", r)
	}
	n.applySheet(2, portalRow(1))
	if r := w.answered(t, n, 2); !r.Accepted {
		t.Errorf("answer to the next operator: %+v", r)
	}
	large := manyRows("a", 5000)
	for i := range large {
		large[i].Command = strings.Repeat("c", sheet.MaxTextBytes)
	}
	n.applySheet(3, append(large, portalRow(1))...)
	if r := w.answered(t, n, 3); r.Accepted || !strings.Contains(r.Reason, "bytes") {
		t.Errorf("answer to a large sheet: accepted %v, %s", r.Accepted, r.Reason)
	}
	w.checkViolations(t)
}

// Guards against the changes of two operators that together are more than a sheet may
// have, although each of them is not.
func TestMergedSheetStaysWithinLimits(t *testing.T) {
	w := smallWorld(14)
	w.run(3 * time.Second)
	n := w.nodes[0]
	n.applySheet(1, portalRow(1))
	w.answered(t, n, 1)
	n.applySheet(2, append(manyRows("a", 12_000), portalRow(1))...)
	if r := w.answered(t, n, 2); !r.Accepted {
		t.Fatalf("the first change was refused: %s", r.Reason)
	}
	n.apply(control.ApplyRequested{Request: 3, Author: "other", Base: 1, Rows: append(manyRows("b", 12_000), portalRow(1))})
	if r := w.answered(t, n, 3); r.Accepted || !strings.Contains(r.Reason, "rows") {
		t.Errorf("answer to the second change: accepted %v, %s", r.Accepted, r.Reason)
	}
}

// Guards against requests that wait in memory without a bound, each with a whole sheet.
func TestWaitingChangesAreBounded(t *testing.T) {
	w := smallWorld(15)
	w.run(3 * time.Second)
	n := w.nodes[0]
	for id := range control.OperatorRequestID(40) {
		n.applySheet(id+1, portalRow(int(id%3)+1))
	}
	refused := len(n.replies)
	if refused != 40-16 {
		t.Errorf("%d requests were refused at once, want 24", refused)
	}
	for id := range control.OperatorRequestID(16) {
		if r := w.answered(t, n, id+1); !r.Accepted {
			t.Errorf("request %d: %+v", id+1, r)
		}
	}
}

// Guards against a history of whole sheets that takes hundreds of megabytes.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	w := smallWorld(16)
	w.run(3 * time.Second)
	n := w.nodes[0]
	for id := range control.OperatorRequestID(8) {
		n.applySheet(id+1, append(manyRows(fmt.Sprint("v", id), 10_000), portalRow(1))...)
		if r := w.answered(t, n, id+1); !r.Accepted {
			t.Fatalf("change %d was refused: %s", id+1, r.Reason)
		}
	}
	for base, kept := range map[structs.Generation]bool{1: false, 7: true} {
		id := control.OperatorRequestID(100 + base)
		n.apply(control.ApplyRequested{Request: id, Author: "other", Base: base, PlanOnly: true, Rows: []structs.SheetRow{portalRow(1)}})
		if r := w.answered(t, n, id); kept == strings.Contains(r.Reason, "too old") {
			t.Errorf("plan against generation %d: %s", base, r.Reason)
		}
	}
}
