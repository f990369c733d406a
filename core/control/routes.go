package control

import (
	"slices"
	"sort"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// routeTable holds the published targets of all partitions.
type routeTable struct {
	byPartition []partitionRoutes
	byService   map[string][]structs.Target // by service, in order of task
}

// partitionRoutes holds the targets that one owner published. A lower epoch or
// version never replaces a higher one.
type partitionRoutes struct {
	epoch     structs.Epoch
	version   uint64
	targets   []structs.Target
	byService map[string][]structs.Target // targets by service, in their order
}

func newRouteTable(partitions int) routeTable {
	return routeTable{byPartition: make([]partitionRoutes, partitions), byService: make(map[string][]structs.Target)}
}

// publish replaces the targets of an owned partition and sends them to the
// peers.
func (s *State) publish(o *ownedPartition, targets []structs.Target) {
	r := &s.routes.byPartition[o.partition.id]
	version := uint64(1)
	if r.epoch == o.epoch {
		version = r.version + 1
	}
	m := Endpoints{Partition: o.partition.id, Epoch: o.epoch, Version: version, Targets: targets}
	s.setRoutes(m)
	for _, p := range s.members.peers {
		if p.address != s.self.Address {
			s.sendTargets(p, o.partition.id)
		}
	}
}

// sendTargets sends the targets of an owned partition to a peer. One message for each
// partition is in flight to a peer, and a later one carries the newest targets: a peer
// that does not answer must not fill the pool that the messages to all peers share.
func (s *State) sendTargets(p *peer, id structs.PartitionID) {
	if _, inFlight := p.endpoints[id]; inFlight {
		p.endpoints[id] = true
		return
	}
	p.endpoints[id] = false
	r := s.routes.byPartition[id]
	s.emit(SendPeer{
		ID: s.effectID(targetsSent{p, id}), Address: p.address, Timeout: peerTimeout,
		Message: Endpoints{Partition: id, Epoch: r.epoch, Version: r.version, Targets: r.targets},
	})
}

// targetsSent handles the outcome of a message with targets. A peer that did not get it
// learns of the version from a heartbeat and asks for the targets.
type targetsSent struct {
	p  *peer
	id structs.PartitionID
}

func (c targetsSent) complete(s *State, _ EventBody) {
	changed := c.p.endpoints[c.id]
	delete(c.p.endpoints, c.id)
	if changed && s.partitions[c.id].owned != nil {
		s.sendTargets(c.p, c.id)
	}
}

func (s *State) receiveEndpoints(m Endpoints) {
	if _, ok := s.partition(m.Partition); !ok {
		return
	}
	r := s.routes.byPartition[m.Partition]
	if m.Epoch < r.epoch || m.Epoch == r.epoch && m.Version <= r.version {
		return
	}
	s.setRoutes(m)
}

// setRoutes replaces the targets of a partition and rebuilds the index of the
// services whose targets changed. The cost must not depend on the other
// services, because an owner publishes each time one replica starts or ends.
func (s *State) setRoutes(m Endpoints) {
	r := &s.routes.byPartition[m.Partition]
	next := partitionRoutes{epoch: m.Epoch, version: m.Version, targets: m.Targets, byService: make(map[string][]structs.Target)}
	for _, t := range m.Targets {
		next.byService[t.Service] = append(next.byService[t.Service], t)
	}
	var changed []string
	for _, name := range serviceNames(r.targets, m.Targets) {
		if !slices.Equal(r.byService[name], next.byService[name]) {
			changed = append(changed, name)
		}
	}
	*r = next
	for _, name := range changed {
		s.rebuildService(name)
	}
	s.routesChanged(changed)
}

func (s *State) rebuildService(name string) {
	var targets []structs.Target
	for _, part := range s.routes.byPartition {
		targets = append(targets, part.byService[name]...)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Task < targets[j].Task })
	s.routes.byService[name] = targets
}

// serviceNames returns the services in the lists, sorted, each once.
func serviceNames(lists ...[]structs.Target) []string {
	set := make(map[string]bool)
	var names []string
	for _, l := range lists {
		for _, t := range l {
			if !set[t.Service] {
				set[t.Service] = true
				names = append(names, t.Service)
			}
		}
	}
	sort.Strings(names)
	return names
}

func (s *State) sendEndpointsTo(m EndpointsRequest) {
	if p, ok := s.partition(m.Partition); !ok || p.owned == nil {
		return
	}
	r := s.routes.byPartition[m.Partition]
	s.emit(SendPeer{
		ID: s.effectID(nil), Address: m.Address, Timeout: peerTimeout,
		Message: Endpoints{Partition: m.Partition, Epoch: r.epoch, Version: r.version, Targets: r.targets},
	})
}
