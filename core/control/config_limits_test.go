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

// Guards against a sheet of so many tasks that their rows fill the store and the memory of
// the hosts: each of its rows is within its own limit.
func TestSheetOfTooManyTasksIsRefused(t *testing.T) {
	w := smallWorld(20)
	w.run(3 * time.Second)
	for id, rows := range map[control.OperatorRequestID]int{1: 5, 2: 4} {
		var large []structs.SheetRow
		for i := range rows {
			large = append(large, batchRow(fmt.Sprint("large-", i), 50_000, 1, time.Hour))
		}
		n := w.nodes[id]
		n.applySheet(id, large...)
		if r := w.answered(t, n, id); r.Accepted != (rows == 4) || r.Accepted == strings.Contains(r.Reason, "tasks") {
			t.Errorf("a sheet of %d tasks: accepted %v, %s", rows*50_000, r.Accepted, r.Reason)
		}
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

// Guards against an object store that fills up with the sheets of old generations and of
// attempts that lost a race, after which no configuration can be changed any more, and
// against a host that falls behind and never gets the newest sheet.
func TestOldSheetsAreDeleted(t *testing.T) {
	w := smallWorld(17)
	w.run(3 * time.Second)
	behind := w.nodes[2]
	id := control.OperatorRequestID(1)
	w.nodes[0].applySheet(id, portalRow(1), batchRow("study", 1, 1000, time.Hour))
	w.run(2 * time.Second)
	for round := range 40 {
		if round == 10 {
			behind.freeze()
		}
		// Both change another row of the same sheet at the same time.
		before, after := round%2+1, (round+1)%2+1
		w.nodes[0].applySheet(id+1, portalRow(after), batchRow("study", before, 1000, time.Hour))
		w.nodes[1].applySheet(id+2, portalRow(before), batchRow("study", after, 1000, time.Hour))
		id += 2
		w.run(2 * time.Second)
	}
	w.run(5 * time.Second)
	generations := 0
	for _, k := range w.store.keys {
		if k.HasPrefix(structs.GenerationPrefix) {
			generations++
		}
	}
	if len(w.store.objects) > 17 || generations > 17 {
		t.Errorf("%d sheets and %d rows of generations are stored after %d changes, want 16 or 17", len(w.store.objects), generations, id)
	}
	behind.thaw()
	w.expect(t, 10*time.Second, "the host that was behind has the newest sheet", func() bool {
		return behind.status().Generation == w.nodes[0].status().Generation && behind.status().Generation > 80
	})
	w.checkViolations(t)
}
