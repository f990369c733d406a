package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestLateConfigPush guards against reverting to an older generation when a
// push was delayed in the network.
func TestLateConfigPush(t *testing.T) {
	w := smallWorld(10)
	w.run(3 * time.Second)
	w.nodes[0].applySheet(1, portalRow(1))
	w.run(2 * time.Second)
	old := w.configurationOf(1)
	w.nodes[0].applySheet(2, portalRow(2))
	w.run(2 * time.Second)
	w.nodes[1].apply(control.PeerMessage{From: "e0", Message: control.ConfigPush{Configuration: old}})
	if g := w.nodes[1].status().Generation; g != 2 {
		t.Errorf("generation %d in force after a late push of generation 1, want 2", g)
	}
}

// TestUnknownApply guards against replying to an operator that nothing was
// changed when the commit took effect and only its answers were late.
func TestUnknownApply(t *testing.T) {
	w := smallWorld(11)
	w.run(3 * time.Second)
	w.store.slow = 1200 * time.Millisecond // longer than the limit of a commit
	w.nodes[0].applySheet(1, portalRow(1))
	if !w.runUntil(20*time.Second, func() bool { return len(w.nodes[0].replies) > 0 && w.nodes[0].replies[1] != nil }) {
		t.Fatal("the operator got no answer")
	}
	if r, _ := reply[control.ApplyReply](w.nodes[0], 1); r.Accepted || r.Outcome != control.OutcomeUnknown {
		t.Errorf("answer %+v, want outcome unknown", r)
	}
	w.endFaults()
	w.run(3 * time.Second)
	if g := w.nodes[2].status().Generation; g != 1 {
		t.Errorf("generation %d in force after the store recovered, want 1", g)
	}
}

// TestStartDuringOutage guards against a host that starts while the store is
// down and never becomes ready, or becomes ready without a configuration. It
// must get the configuration from its peers.
func TestStartDuringOutage(t *testing.T) {
	w := smallWorld(12)
	w.run(3 * time.Second)
	w.nodes[0].applySheet(1, portalRow(1))
	w.run(2 * time.Second)
	w.store.down = true
	w.run(5 * time.Second)
	n := w.addNode("e9", 1)
	if n.status().Ready {
		t.Error("ready without a configuration")
	}
	if !w.runUntil(3*time.Second, func() bool { return n.status().Ready }) {
		t.Error("not ready 3 s after its start although its peers have a configuration")
	}
	if g := n.status().Generation; g != 1 {
		t.Errorf("generation %d in force, want 1", g)
	}
}

// TestLargeRemoval guards against accepting a truncated export: a sheet that
// removes more than a fifth of the running rows changes nothing unless the
// number of removals is confirmed.
func TestLargeRemoval(t *testing.T) {
	w := smallWorld(13)
	w.run(3 * time.Second)
	var rows []structs.SheetRow
	for _, name := range []string{"a", "b", "c", "d"} {
		row := portalRow(1)
		row.Name = name
		rows = append(rows, row)
	}
	n := w.nodes[0]
	n.applySheet(1, rows...)
	w.run(time.Second)
	n.applySheet(2, rows[:3]...)
	w.run(time.Second)
	if r, _ := reply[control.ApplyReply](n, 2); r.Accepted || r.Reason == "" {
		t.Errorf("reply to a sheet that removes 1 of 4 rows: %+v", r)
	}
	n.apply(control.ApplyRequested{Request: 3, Author: "operator", Rows: rows[:3], ConfirmRemovals: 1})
	w.run(time.Second)
	if r, _ := reply[control.ApplyReply](n, 3); !r.Accepted {
		t.Errorf("reply to the same sheet with the number confirmed: %+v", r)
	}
}

// TestConflictNamesItsAuthor guards against reporting the author of the newest
// generation as the cause of a conflict when that author changed other rows.
func TestConflictNamesItsAuthor(t *testing.T) {
	w := smallWorld(18)
	w.run(3 * time.Second)
	n := w.nodes[0]
	other := portalRow(1)
	other.Name = "quotes"
	for i, a := range []control.ApplyRequested{
		{Author: "ana", Rows: []structs.SheetRow{portalRow(1)}},
		{Author: "maria", Rows: []structs.SheetRow{portalRow(2)}},
		{Author: "ivan", Rows: []structs.SheetRow{portalRow(2), other}},
		{Author: "petar", Rows: []structs.SheetRow{portalRow(3)}, Base: 1},
	} {
		a.Request = control.OperatorRequestID(i + 1)
		n.apply(a)
		w.run(time.Second)
	}
	if r, _ := reply[control.ApplyReply](n, 4); len(r.Conflicts) != 1 || r.OtherAuthor != "maria" {
		t.Errorf("answer %+v, want a conflict with the change of maria", r)
	}
}

// TestMergeWithOlderGenerations guards against wrong merges of a change that
// was planned several generations ago: older generations are reconstructed from
// stored differences and must be exact.
func TestMergeWithOlderGenerations(t *testing.T) {
	w := smallWorld(21)
	w.run(3 * time.Second)
	n := w.nodes[0]
	named := func(names ...string) []structs.SheetRow {
		var rows []structs.SheetRow
		for _, name := range names {
			row := portalRow(1)
			row.Name = name
			rows = append(rows, row)
		}
		return rows
	}
	for i, a := range []control.ApplyRequested{
		{Rows: named("a", "b", "c", "d", "e", "f")},
		{Rows: named("a", "b", "c", "d", "e", "f", "g")},
		{Rows: named("b", "c", "d", "e", "f", "g")},
		{Rows: named("a", "b", "c", "d", "e", "f", "h"), Base: 1}, // adds h only
		{Rows: named("a", "b", "c", "d", "e"), Base: 1},           // removes f only
	} {
		a.Request, a.Author = control.OperatorRequestID(i+1), "operator"
		n.apply(a)
		w.run(time.Second)
		if r, _ := reply[control.ApplyReply](n, a.Request); !r.Accepted {
			t.Fatalf("change %d: %+v", i+1, r)
		}
	}
	var names string
	for _, r := range w.configurationOf(5).Rows {
		names += r.Name
	}
	if names != "bcdegh" {
		t.Errorf("rows %q in force, want bcdegh", names)
	}
}
