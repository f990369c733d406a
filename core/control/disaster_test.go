package control_test

import (
	"testing"
	"time"
)

// TestAllHostsReplaced guards against losing the sheet or restarting tasks when
// all entry hosts are lost at once: their replacements, which start without
// state, must read the sheet, take the partitions over and adopt the running
// tasks.
func TestAllHostsReplaced(t *testing.T) {
	w := taskWorld(71, 3, 24)
	w.apply(t, portalRow(6), batchRow("study", 12, 1000, time.Hour))
	w.expect(t, 10*time.Second, "18 run", func() bool { return len(w.runs("portal"))+len(w.runs("study")) == 18 })
	w.run(5 * time.Second)
	starts := len(w.started)
	for _, n := range w.nodes {
		n.kill()
	}
	w.nodes = nil
	for _, name := range []string{"n0", "n1", "n2"} {
		w.addNode(name, 1)
	}
	w.expect(t, 10*time.Second, "all targets in the routes", func() bool {
		for _, n := range w.nodes {
			if st := n.status(); !st.Ready || len(st.Services) != 1 || st.Services[0].Targets != 6 {
				return false
			}
		}
		return w.settled()
	})
	w.run(30 * time.Second) // longer than the leases
	if n := len(w.runs("portal")) + len(w.runs("study")); n != 18 || len(w.started) != starts {
		t.Errorf("%d of 18 run, %d starts after %d", n, len(w.started), starts)
	}
	w.check(t)
}

// liveRuns returns the number of runs of a row on workers that are not dead.
func (w *world) liveRuns(row string) int {
	n := 0
	for _, x := range w.workers {
		for _, r := range x.runs {
			if !x.dead && r.spec.Row == row {
				n++
			}
		}
	}
	return n
}

// TestZoneLost guards against work that does not recover from the loss of an
// availability zone: replicas must run elsewhere within seconds, batch tasks
// once their leases have ended. If an owner is lost with the zone, it may still
// be renewing leases unseen by others, so batch tasks also wait until it must
// stop renewing after outageGrace.
func TestZoneLost(t *testing.T) {
	for _, c := range []struct {
		ownerLost bool
		batch     time.Duration
	}{{false, 90 * time.Second}, {true, 32 * time.Minute}} {
		w := taskWorld(72, 3, 24)
		w.apply(t, portalRow(6), batchRow("study", 12, 1000, time.Hour))
		w.expect(t, 10*time.Second, "18 run", func() bool { return len(w.runs("portal"))+len(w.runs("study")) == 18 })
		w.run(5 * time.Second)
		if c.ownerLost {
			w.anyOwner().kill()
		}
		for _, x := range w.workers {
			x.dead = x.spec.Zone == "z1"
		}
		w.expect(t, 30*time.Second, "6 replicas in the other zone", func() bool { return w.liveRuns("portal") >= 6 })
		w.expect(t, c.batch, "12 batch tasks in the other zone", func() bool { return w.liveRuns("study") == 12 })
		w.check(t)
	}
}

// TestNetworkPartition guards against tasks that run in two places during a network
// partition: one of the entry hosts and half of the workers are cut off from
// the store and from the rest for minutes.
func TestNetworkPartition(t *testing.T) {
	w := taskWorld(73, 3, 24)
	w.apply(t, portalRow(6), batchRow("study", 12, 1000, time.Hour))
	w.expect(t, 10*time.Second, "18 run", func() bool { return len(w.runs("portal"))+len(w.runs("study")) == 18 })
	far := map[string]bool{"e2": true}
	for _, x := range w.workers {
		far[x.spec.Address] = x.spec.Zone == "z1"
	}
	cut := func(on bool) {
		for _, n := range w.nodes {
			w.cut(n.address, "store", on && far[n.address])
			for address := range far {
				w.cut(n.address, address, on && far[n.address] != far[address])
			}
		}
	}
	for _, n := range w.nodes {
		far[n.address] = n.address == "e2"
	}
	cut(true)
	w.run(4 * time.Minute)
	if len(w.violations) > 0 {
		t.Fatal(w.violations)
	}
	cut(false)
	w.expect(t, 2*time.Minute, "18 run after the cut", func() bool {
		return len(w.runs("portal")) == 6 && len(w.runs("study")) == 12 && w.settled()
	})
	w.check(t)
}
