package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// configOracle holds the operators' requests, to compare their replies with the
// accepted configurations.
type configOracle struct {
	w            *world
	lastRequest  control.OperatorRequestID
	requestNode  map[control.OperatorRequestID]*node
	addedRow     map[control.OperatorRequestID]string // row that each request adds
	replacements map[structs.HostID]int
}

// configurationOf returns the accepted configuration of a generation.
func (w *world) configurationOf(g structs.Generation) structs.Configuration {
	head, ok := w.store.get(structs.GenerationKey(g)).Row.(structs.ConfigHead)
	if !ok {
		return structs.Configuration{}
	}
	return w.store.objects[head.Object]
}

// apply asks a node to add one row to its configuration in force.
func (o *configOracle) apply(n *node) {
	o.lastRequest++
	row := portalRow(1)
	row.Name = fmt.Sprintf("row-%d", o.lastRequest)
	rows := append([]structs.SheetRow{row}, o.w.configurationOf(n.status().Generation).Rows...)
	o.requestNode[o.lastRequest], o.addedRow[o.lastRequest] = n, row.Name
	n.applySheet(o.lastRequest, rows...)
}

// check compares the replies with the newest accepted configuration: it must
// contain each accepted row and no row that was refused with a known outcome.
func (o *configOracle) check() {
	head, _ := o.w.store.get(structs.ConfigHeadKey).Row.(structs.ConfigHead)
	present := make(map[string]bool)
	for _, r := range o.w.configurationOf(head.Generation).Rows {
		present[r.Name] = true
	}
	for id, n := range o.requestNode {
		r, answered := reply[control.ApplyReply](n, id)
		switch {
		case answered && r.Accepted && !present[o.addedRow[id]]:
			o.w.recordViolation("%s was accepted but is not in generation %d", o.addedRow[id], head.Generation)
		case answered && !r.Accepted && r.Outcome == control.OutcomeNotDone && present[o.addedRow[id]]:
			o.w.recordViolation("%s was refused but is in generation %d", o.addedRow[id], head.Generation)
		}
	}
}

// converged reports whether all live nodes have the newest generation.
func (o *configOracle) converged() bool {
	head, _ := o.w.store.get(structs.ConfigHeadKey).Row.(structs.ConfigHead)
	for _, n := range o.w.live() {
		if n.status().Generation != head.Generation {
			return false
		}
	}
	return true
}

// replace starts a new entry host process in place of a dead one.
func (o *configOracle) replace(dead *node) {
	name := string(dead.host)
	o.replacements[dead.host]++
	for i, n := range o.w.nodes {
		if n == dead {
			o.w.nodes = append(o.w.nodes[:i:i], o.w.nodes[i+1:]...)
			break
		}
	}
	o.w.addNode(name, 1+o.replacements[dead.host])
}

// TestConfigInvariants guards against violated configuration guarantees under
// faults: an accepted sheet is never lost or reverted, a refused one never
// appears, each partition has one owner after all faults have ended, and a new
// sheet is in force everywhere within 3 s while the store is up.
func TestConfigInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		w := smallWorld(rapid.Uint64().Draw(t, "seed"))
		o := &configOracle{
			w: w, requestNode: make(map[control.OperatorRequestID]*node),
			addedRow: make(map[control.OperatorRequestID]string), replacements: make(map[structs.HostID]int),
		}
		w.run(3 * time.Second)
		pick := func() *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				if n := pick(); n.alive && !n.frozen {
					o.apply(n)
				}
			},
			"wait": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"kill": func(t *rapid.T) {
				if len(w.live()) > 1 {
					pick().kill()
				}
			},
			"replace": func(t *rapid.T) {
				if n := pick(); !n.alive {
					o.replace(n)
				}
			},
			"freeze": func(t *rapid.T) {
				if len(w.live()) > 1 {
					pick().freeze()
				}
			},
			"thaw": func(t *rapid.T) { pick().thaw() },
			"down": func(t *rapid.T) { w.store.down = true },
			"up":   func(t *rapid.T) { w.store.down, w.store.lose, w.store.slow = false, 0, 0 },
			"lose": func(t *rapid.T) { w.store.lose = rapid.IntRange(0, 500).Draw(t, "of 1000") },
			"slow": func(t *rapid.T) {
				w.store.slow = time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"cutStore": func(t *rapid.T) { w.cut(pick().address, "store", rapid.Bool().Draw(t, "cut")) },
			"cutPeers": func(t *rapid.T) { w.cut(pick().address, pick().address, rapid.Bool().Draw(t, "cut")) },
			"": func(t *rapid.T) {
				w.checkGenerations()
				o.check()
				if len(w.violations) > 0 {
					t.Fatal(w.violations)
				}
			},
		})
		w.endFaults()
		for _, n := range w.nodes {
			if n.alive {
				n.thaw()
			} else {
				o.replace(n)
			}
		}
		w.run(12 * time.Second) // applies in progress end within applyTimeout
		if !w.runUntil(10*time.Second, w.settled) {
			t.Errorf("owners after all faults ended: %v", w.owners())
		}
		o.apply(w.nodes[0])
		if !w.runUntil(3*time.Second, func() bool { _, ok := w.nodes[0].replies[o.lastRequest]; return ok && o.converged() }) {
			t.Errorf("a new sheet is not in force everywhere after 3 s")
		}
		o.check()
		w.checkGenerations()
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// endFaults ends all faults of the store and the network.
func (w *world) endFaults() {
	w.store.down, w.store.lose, w.store.slow = false, 0, 0
	clear(w.cuts)
}
