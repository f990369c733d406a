package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestRemovalsAreConfirmed guards against a truncated export that stops running
// work: a plan states the number of removals to confirm, and an apply must
// confirm exactly that number.
func TestRemovalsAreConfirmed(t *testing.T) {
	w := smallWorld(3)
	w.run(3 * time.Second)
	n := w.nodes[0]
	var rows []structs.SheetRow
	for i := range 4 {
		row := portalRow(1)
		row.Name = fmt.Sprintf("portal-%d", i)
		rows = append(rows, row)
	}
	n.applySheet(1, rows...)
	w.run(2 * time.Second)
	id := control.OperatorRequestID(2)
	ask := func(confirm int, plan bool) control.ApplyReply {
		id++
		n.apply(control.ApplyRequested{Request: id, Author: "operator", Rows: rows[:2], ConfirmRemovals: confirm, PlanOnly: plan})
		w.run(2 * time.Second)
		reply, _ := n.replies[id].(control.ApplyReply)
		return reply
	}
	if r := ask(0, true); r.RunningRowsRemoved != 2 || r.RunningRows != 4 || r.ConfirmRemovals != 2 || r.Reason != "" {
		t.Errorf("reply to the plan: %+v", r)
	}
	for _, wrong := range []int{0, 1, 3} {
		if r := ask(wrong, false); r.Accepted || r.ConfirmRemovals != 2 {
			t.Errorf("reply with %d removals confirmed: %+v", wrong, r)
		}
	}
	if r := ask(2, false); !r.Accepted || r.Generation != 2 {
		t.Errorf("reply with 2 removals confirmed: %+v", r)
	}
	rows = append(rows[:2:2], rows[3])
	if r := ask(0, false); !r.Accepted || r.ConfirmRemovals != 0 {
		t.Errorf("reply to a sheet that needs no confirmation: %+v", r)
	}
}
