package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestPeerDiscoveryWithoutSeeds guards against hosts that never find each other because
// they started at the same time without seeds for each other: each must find
// the other's row in the store.
func TestPeerDiscoveryWithoutSeeds(t *testing.T) {
	w := newWorld(14, 2)
	w.addNode("a", 1)
	first := w.nodes
	w.nodes = nil // the second host starts without seeds
	w.addNode("b", 1)
	w.nodes = append(first, w.nodes...)
	met := func() bool { return len(w.nodes[0].status().Peers) == 1 && len(w.nodes[1].status().Peers) == 1 }
	if !w.runUntil(40*time.Second, met) {
		t.Errorf("peers of a: %+v, of b: %+v", w.nodes[0].status().Peers, w.nodes[1].status().Peers)
	}
}

// TestReplacedHostsLeaveNoRows guards against a store that fills up with rows
// of replaced hosts: with 280 replacements a day they would push the rows of
// live hosts out of the bounded read.
func TestReplacedHostsLeaveNoRows(t *testing.T) {
	w := smallWorld(15)
	w.run(5 * time.Second)
	w.nodes[1].kill()
	if !w.runUntil(15*time.Minute, func() bool { return w.store.get(structs.EntryHostKey("e1")).Row == nil }) {
		t.Error("the row of a dead host is still there after 15 min")
	}
	if w.store.get(structs.EntryHostKey("e2")).Row == nil {
		t.Error("the row of a live host was deleted")
	}
}

// TestMalformedPeerMessages guards against a panic on partition ids out of
// range from a peer with other settings.
func TestMalformedPeerMessages(t *testing.T) {
	w := smallWorld(16)
	w.run(3 * time.Second)
	for _, id := range []structs.PartitionID{-1, 2, 1 << 40} {
		for _, m := range []control.Message{
			control.Heartbeat{Host: "x", Address: "x", Owned: []control.OwnedPartition{{Partition: id, Epoch: 9}}},
			control.Heartbeat{Host: "x"},
			control.Endpoints{Partition: id, Epoch: 9},
			control.EndpointsRequest{Partition: id, Address: "x"},
			control.Transferred{Partition: id},
			control.Released{Partition: id},
		} {
			w.nodes[0].apply(control.PeerMessage{From: "x", Message: m})
		}
	}
	w.run(time.Second)
	w.check(t)
}

// Guards against one peer that does not answer and to which each change of the targets
// sends a message: these filled the pool that the messages to all peers share.
func TestSilentPeerGetsOneMessageOfTargets(t *testing.T) {
	w := taskWorld(18, 2, 16)
	silent := w.nodes[2]
	silent.freeze()
	inFlight, most := map[control.EffectID]bool{}, 0
	for _, n := range w.nodes[:2] {
		n.observe = func(e control.Event, effects []control.Effect) {
			if sent, ok := e.Body.(control.PeerSent); ok && n == w.nodes[0] {
				delete(inFlight, sent.Effect)
			}
			for _, f := range effects {
				m, ok := f.(control.SendPeer)
				if _, targets := m.Message.(control.Endpoints); ok && targets && n == w.nodes[0] && m.Address == silent.address {
					inFlight[m.ID] = true
					most = max(most, len(inFlight))
				}
			}
		}
		n.intercept = func(e control.Effect) bool {
			m, ok := e.(control.SendPeer)
			if !ok || m.Address != silent.address {
				return false
			}
			n.post(m.Timeout, control.PeerSent{Effect: m.ID, Outcome: control.OutcomeUnknown})
			return true
		}
	}
	for count := 1; count <= 24; count++ {
		w.apply(t, portalRow(count))
		w.run(200 * time.Millisecond)
	}
	if most == 0 || most > 2 {
		t.Errorf("%d messages of targets to the silent peer at once, want one for each of 2 partitions at most", most)
	}
	silent.thaw()
	for _, n := range w.nodes {
		n.intercept = nil
	}
	w.expect(t, 10*time.Second, "the peer has all targets", func() bool {
		services := silent.status().Services
		return len(services) == 1 && services[0].Targets == 24
	})
}
