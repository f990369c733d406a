package control

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	heartbeatEvery   = 500 * time.Millisecond
	peerSuspectAfter = 1500 * time.Millisecond
	peerTimeout      = 1 * time.Second
	entryHostLimit   = 512 // rows read of entry hosts, and peers kept
)

// peer is another entry host as its heartbeats describe it.
type peer struct {
	address  string
	host     structs.HostID // empty until the first heartbeat
	last     Heartbeat
	heardAt  Instant
	heard    bool
	since    Instant // first heartbeat of this instance
	addedAt  Instant
	seed     bool
	inFlight bool // a heartbeat to it awaits its outcome

	rowVersion structs.Version // of its row in the table
	rowSince   Instant         // when this version of the row was first read
}

// membership knows the other entry hosts.
type membership struct {
	peers []*peer // by address
}

func (m *membership) start(s *State) {
	for _, a := range s.self.Seeds {
		m.add(s, a).seed = true
	}
}

// add returns the peer with the address, new if need be. The entry host's own
// address yields an entry that nobody sends to.
func (m *membership) add(s *State, address string) *peer {
	i := sort.Search(len(m.peers), func(i int) bool { return m.peers[i].address >= address })
	if i < len(m.peers) && m.peers[i].address == address {
		return m.peers[i]
	}
	p := &peer{address: address, addedAt: s.now}
	if len(m.peers) >= entryHostLimit {
		return p // not kept: nothing is sent to it
	}
	m.peers = append(m.peers, nil)
	copy(m.peers[i+1:], m.peers[i:])
	m.peers[i] = p
	return p
}

// live reports whether the peer was heard lately.
func (p *peer) live(now Instant) bool { return p.heard && now-p.heardAt < peerSuspectAfter }

// heartbeat sends this host's state to every peer. A peer whose last heartbeat
// has no outcome yet is passed over, so that a slow peer gathers no backlog.
func (s *State) heartbeat() {
	s.setTimer(s.now+heartbeatEvery, timerHeartbeat, 0)
	hb := s.heartbeatMessage()
	kept := s.members.peers[:0]
	for _, p := range s.members.peers {
		if s.forgotten(p) {
			continue
		}
		kept = append(kept, p)
		if p.inFlight || p.address == s.self.Address {
			continue
		}
		p.inFlight = true
		s.emit(SendPeer{ID: s.effectID(heartbeatSent{p}), Address: p.address, Message: hb, Timeout: peerTimeout})
	}
	s.members.peers = kept
}

// forgotten reports whether a peer has been silent so long that it was
// replaced. Seeds are kept: the address may come back.
func (s *State) forgotten(p *peer) bool {
	if p.seed {
		return false
	}
	return s.now-max(p.heardAt, p.addedAt, p.rowSince) > entryHostGone
}

type heartbeatSent struct{ p *peer }

func (h heartbeatSent) complete(*State, EventBody) { h.p.inFlight = false }

func (s *State) heartbeatMessage() Heartbeat {
	hb := Heartbeat{
		Host: s.self.Host, Instance: s.self.Instance, Address: s.self.Address,
		Region: s.self.Region, Zone: s.self.Zone, Generation: s.config.current.Generation,
		StoreReachable: s.store.reachable(), Draining: s.drain.active,
	}
	for _, p := range s.partitions {
		if p.own != nil {
			free, waiting := s.partitionCapacity(p.own)
			hb.Owned = append(hb.Owned, OwnedPartition{
				Partition: p.id, Epoch: p.own.epoch, EndpointVersion: s.routes.parts[p.id].version,
				Free: free, Pending: waiting,
			})
		}
	}
	return hb
}

// receive dispatches a peer's message.
func (s *State) receive(m PeerMessage) {
	switch b := m.Message.(type) {
	case Heartbeat:
		s.receiveHeartbeat(b)
	case Endpoints:
		s.receiveEndpoints(b)
	case EndpointsRequest:
		s.sendEndpointsTo(b)
	case ConfigPush:
		s.adopt(b.Configuration, "peer")
	case ConfigDelta:
		s.receiveDelta(b)
	case ConfigRequest:
		s.sendConfigurationTo(b.Address)
	case Transferred:
		s.receiveTransferred(b)
	case Released:
		s.receiveReleased(b)
	}
}

func (s *State) receiveHeartbeat(hb Heartbeat) {
	if hb.Host == s.self.Host || hb.Address == "" {
		return
	}
	p := s.members.add(s, hb.Address)
	if !p.heard || p.last.Instance != hb.Instance {
		p.since = s.now
		s.decide(DecisionRecord{Part: "peer", Action: "joined", Subject: string(hb.Host), Where: hb.Address})
	}
	p.host, p.last, p.heard, p.heardAt = hb.Host, hb, true, s.now
	for _, o := range hb.Owned {
		s.heardOwner(p, o)
	}
	if hb.Generation > s.config.current.Generation {
		s.requestConfiguration(hb.Address)
	}
}

// heardOwner takes in an owner's claim on one partition. A claim with an older
// epoch than known comes from a former owner and counts for nothing.
func (s *State) heardOwner(p *peer, o OwnedPartition) {
	part, ok := s.partition(o.Partition)
	if !ok || part.own != nil || o.Epoch < part.row.Epoch {
		return
	}
	if p.last.StoreReachable {
		part.stillFrom = s.now
	}
	r := s.routes.parts[o.Partition]
	if o.Epoch > r.epoch || o.Epoch == r.epoch && o.EndpointVersion > r.version {
		s.emit(SendPeer{
			ID: s.effectID(nil), Address: p.address,
			Message: EndpointsRequest{Partition: o.Partition, Address: s.self.Address}, Timeout: peerTimeout,
		})
	}
}

// ownerHeard reports whether a live peer with a working store claims the
// partition under the newest epoch known.
func (m *membership) ownerHeard(s *State, part *partition) bool {
	for _, p := range m.peers {
		if !p.live(s.now) || !p.last.StoreReachable {
			continue
		}
		for _, o := range p.last.Owned {
			if o.Partition == part.id && o.Epoch >= part.row.Epoch {
				return true
			}
		}
	}
	return false
}

// broadcast sends a message to every known peer.
func (s *State) broadcast(m Message) {
	for _, p := range s.members.peers {
		if p.address != s.self.Address {
			s.emit(SendPeer{ID: s.effectID(nil), Address: p.address, Message: m, Timeout: peerTimeout})
		}
	}
}

// eligible returns the hosts that may own partitions, this one included, by id.
func (m *membership) eligible(s *State) []structs.HostID {
	hosts := []structs.HostID{s.self.Host}
	for _, p := range m.peers {
		if p.live(s.now) && p.last.StoreReachable && !p.last.Draining {
			hosts = append(hosts, p.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i] < hosts[j] })
	return hosts
}

// preference orders hosts for a partition by rendezvous hashing.
func preference(h structs.HostID, p structs.PartitionID) uint64 {
	return hashOf("owner", string(h), string(structs.PartitionKey(p)))
}

// rank returns how many eligible hosts come before this one for a partition.
func (m *membership) rank(s *State, p structs.PartitionID) int {
	own, n := preference(s.self.Host, p), 0
	for _, h := range m.eligible(s) {
		if preference(h, p) > own {
			n++
		}
	}
	return n
}

// settledFirst reports whether a peer that has lived for a while ranks first
// for a partition.
func (m *membership) settledFirst(s *State, id structs.PartitionID) bool {
	if m.rank(s, id) == 0 {
		return false
	}
	var first *peer
	for _, p := range m.peers {
		if p.live(s.now) && p.last.StoreReachable && !p.last.Draining &&
			(first == nil || preference(p.host, id) > preference(first.host, id)) {
			first = p
		}
	}
	return first != nil && s.now-first.since >= balanceAfter
}
