package control

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	peerSuspectAfter  = 1500 * time.Millisecond
	peerTimeout       = 1 * time.Second
	entryHostLimit    = 512 // peers kept in memory
)

// peer is the state of another entry host, from its heartbeats and its row.
type peer struct {
	address           string
	host              structs.HostID // empty until the first heartbeat
	lastHeartbeat     Heartbeat
	heartbeatAt       Instant
	hasHeartbeat      bool
	instanceSince     Instant // first heartbeat of this instance
	addedAt           Instant
	seed              bool
	heartbeatInFlight bool // a heartbeat sent to it has no outcome yet

	rowVersion structs.Version // of its row in the store
	rowSince   Instant         // when this version of the row was first read

	// endpoints has the partitions whose targets are being sent to the peer; true:
	// they have changed since.
	endpoints map[structs.PartitionID]bool
}

// membership holds the other entry hosts known to this one.
type membership struct {
	peers []*peer // by address
}

func (m *membership) start(s *State) {
	for _, a := range s.self.Seeds {
		m.add(s, a).seed = true
	}
}

// add returns the peer with the address and creates it if it is unknown. The
// host's own address may have an entry too; nothing is sent to it.
func (m *membership) add(s *State, address string) *peer {
	i := sort.Search(len(m.peers), func(i int) bool { return m.peers[i].address >= address })
	if i < len(m.peers) && m.peers[i].address == address {
		return m.peers[i]
	}
	p := &peer{address: address, addedAt: s.now, endpoints: make(map[structs.PartitionID]bool)}
	if len(m.peers) >= entryHostLimit {
		return p // not kept: nothing is sent to it
	}
	m.peers = append(m.peers, nil)
	copy(m.peers[i+1:], m.peers[i:])
	m.peers[i] = p
	return p
}

// live reports whether the peer sent a heartbeat within peerSuspectAfter.
func (p *peer) live(now Instant) bool { return p.hasHeartbeat && now-p.heartbeatAt < peerSuspectAfter }

// heartbeat sends this host's state to every peer. It skips a peer whose last
// heartbeat has no outcome yet, so that no backlog builds up for a slow peer.
func (s *State) heartbeat() {
	s.setTimer(s.now+heartbeatInterval, timerHeartbeat, 0)
	hb := s.heartbeatMessage()
	kept := s.members.peers[:0]
	for _, p := range s.members.peers {
		if s.expired(p) {
			continue
		}
		kept = append(kept, p)
		if p.heartbeatInFlight || p.address == s.self.Address {
			continue
		}
		p.heartbeatInFlight = true
		s.emit(SendPeer{ID: s.effectID(heartbeatSent{p}), Address: p.address, Message: hb, Timeout: peerTimeout})
	}
	s.members.peers = kept
}

// expired reports whether a peer has been silent for longer than
// entryHostExpiry and so counts as replaced. Seeds never expire, because a new
// host may start at the address.
func (s *State) expired(p *peer) bool {
	if p.seed {
		return false
	}
	return s.now-max(p.heartbeatAt, p.addedAt, p.rowSince) > entryHostExpiry
}

type heartbeatSent struct{ p *peer }

func (h heartbeatSent) complete(*State, EventBody) { h.p.heartbeatInFlight = false }

func (s *State) heartbeatMessage() Heartbeat {
	hb := Heartbeat{
		Host: s.self.Host, Instance: s.self.Instance, Address: s.self.Address,
		Region: s.self.Region, Zone: s.self.Zone, Generation: s.config.current.Generation,
		StoreReachable: s.store.reachable(), Draining: s.drain.active,
	}
	for _, p := range s.partitions {
		if p.owned != nil {
			free, waiting := s.partitionCapacity(p.owned)
			hb.Owned = append(hb.Owned, OwnedPartition{
				Partition: p.id, Epoch: p.owned.epoch, EndpointVersion: s.routes.byPartition[p.id].version,
				Free: free, Pending: waiting,
			})
		}
	}
	return hb
}

// receivePeerMessage passes a peer's message to its handler.
func (s *State) receivePeerMessage(m PeerMessage) {
	switch b := m.Message.(type) {
	case Heartbeat:
		s.receiveHeartbeat(b)
	case Endpoints:
		s.receiveEndpoints(b)
	case EndpointsRequest:
		s.sendEndpointsTo(b)
	case ConfigPush:
		s.activateConfiguration(b.Configuration, "peer")
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
	if !p.hasHeartbeat || p.lastHeartbeat.Instance != hb.Instance {
		p.instanceSince = s.now
		s.recordDecision(DecisionRecord{Part: "peer", Action: "joined", Subject: string(hb.Host), Where: hb.Address})
	}
	p.host, p.lastHeartbeat, p.hasHeartbeat, p.heartbeatAt = hb.Host, hb, true, s.now
	for _, o := range hb.Owned {
		s.handleOwnershipReport(p, o)
	}
	if hb.Generation > s.config.current.Generation {
		s.requestConfiguration(hb.Address)
	}
}

// handleOwnershipReport handles one owned partition from a peer's heartbeat. A
// report with a lower epoch than known comes from a former owner and is
// ignored.
func (s *State) handleOwnershipReport(p *peer, o OwnedPartition) {
	part, ok := s.partition(o.Partition)
	if !ok || part.owned != nil || o.Epoch < part.row.Epoch {
		return
	}
	if p.lastHeartbeat.StoreReachable {
		part.unchangedSince = s.now
	}
	r := s.routes.byPartition[o.Partition]
	if o.Epoch > r.epoch || o.Epoch == r.epoch && o.EndpointVersion > r.version {
		s.emit(SendPeer{
			ID: s.effectID(nil), Address: p.address,
			Message: EndpointsRequest{Partition: o.Partition, Address: s.self.Address}, Timeout: peerTimeout,
		})
	}
}

// hasLiveOwner reports whether a live peer that can reach the store reports to
// own the partition under the newest known epoch.
func (m *membership) hasLiveOwner(s *State, part *partition) bool {
	for _, p := range m.peers {
		if !p.live(s.now) || !p.lastHeartbeat.StoreReachable {
			continue
		}
		for _, o := range p.lastHeartbeat.Owned {
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

// eligible returns the hosts that may own partitions, including this one, by
// id.
func (m *membership) eligible(s *State) []structs.HostID {
	hosts := []structs.HostID{s.self.Host}
	for _, p := range m.peers {
		if p.live(s.now) && p.lastHeartbeat.StoreReachable && !p.lastHeartbeat.Draining {
			hosts = append(hosts, p.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i] < hosts[j] })
	return hosts
}

// ownershipWeight returns the rendezvous hash of a host for a partition. The
// eligible host with the highest weight should own the partition.
func ownershipWeight(h structs.HostID, p structs.PartitionID) uint64 {
	return hashOf("owner", string(h), string(structs.PartitionKey(p)))
}

// rank returns the number of eligible hosts with a higher weight for a
// partition than this one.
func (m *membership) rank(s *State, p structs.PartitionID) int {
	own, n := ownershipWeight(s.self.Host, p), 0
	for _, h := range m.eligible(s) {
		if ownershipWeight(h, p) > own {
			n++
		}
	}
	return n
}

// stablePeerRanksFirst reports whether a peer ranks first for a partition and
// has been known for at least minPeerUptime.
func (m *membership) stablePeerRanksFirst(s *State, id structs.PartitionID) bool {
	if m.rank(s, id) == 0 {
		return false
	}
	var first *peer
	for _, p := range m.peers {
		if p.live(s.now) && p.lastHeartbeat.StoreReachable && !p.lastHeartbeat.Draining &&
			(first == nil || ownershipWeight(p.host, id) > ownershipWeight(first.host, id)) {
			first = p
		}
	}
	return first != nil && s.now-first.instanceSince >= minPeerUptime
}
