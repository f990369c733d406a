package control_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// smallWorld returns a world with three entry hosts and two racks of four
// workers.
func smallWorld(seed uint64) *world {
	w := newWorld(seed, 2)
	w.store.onCommit = w.checkCommit
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("rack%d", i/4), structs.Resources{MilliCores: 8000, MemoryMB: 8000})
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("e%d", i), 1)
	}
	return w
}

func portalRow(count int) structs.SheetRow {
	return structs.SheetRow{
		Name: "portal", Kind: structs.KindService, Count: count, Importance: structs.ImportanceHigh,
		Request: structs.Resources{MilliCores: 1000, MemoryMB: 500},
	}
}

// TestApplyToAnswer guards against a break anywhere between an applied sheet and an
// answered call.
func TestApplyToAnswer(t *testing.T) {
	w := smallWorld(1)
	w.run(3 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	ready := func() bool {
		for _, n := range w.nodes {
			st := n.status()
			if st.Generation != 1 || len(st.Services) != 1 || st.Services[0].Targets != 4 {
				return false
			}
		}
		return true
	}
	if !w.runUntil(5*time.Second, ready) {
		t.Fatalf("service not running everywhere: %+v", w.nodes[1].status())
	}
	for i, n := range w.nodes {
		id := w.send(n, "portal", "GET", "")
		w.run(time.Second)
		if c := w.callers[id]; !c.answered || c.kind != 0 {
			t.Errorf("call through entry host %d: answered %v, kind %d", i, c.answered, c.kind)
		}
	}
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
}

// TestReplay guards against nondeterminism: replaying the recorded events of a
// host in a new reducer must give the same effects, byte for byte.
func TestReplay(t *testing.T) {
	w := smallWorld(2)
	var events []control.Event
	var effects []string
	n := w.nodes[0]
	n.observe = func(ev control.Event, out []control.Effect) {
		events = append(events, ev)
		effects = append(effects, render(out))
	}
	n.state = control.NewState()
	n.apply(control.Started{Host: n.host, Instance: n.instance, Address: n.address, Partitions: 2, Seeds: []string{"e1", "e2"}})
	w.run(2 * time.Second)
	n.applySheet(1, portalRow(4))
	w.run(2 * time.Second)
	w.send(n, "portal", "GET", "")
	w.run(time.Second)
	fresh := control.NewState()
	for i, ev := range events {
		if got := render(control.Reduce(fresh, ev)); got != effects[i] {
			t.Fatalf("event %d %T: effects differ\n got %s\nwant %s", i, ev.Body, got, effects[i])
		}
	}
}

// render returns effects as text with pointers followed, so that they can be
// compared.
func render(effects []control.Effect) string {
	var b strings.Builder
	for _, e := range effects {
		body, err := json.Marshal(e)
		fmt.Fprintf(&b, "%T %s %v\n", e, body, err)
	}
	return b.String()
}
