package control

import "sort"

// statusRequested replies with this host's view of peers, partitions, services
// and tasks.
func (s *State) statusRequested(r StatusRequested) {
	reply := StatusReply{
		Host: s.self.Host, Generation: s.config.current.Generation, StoreReachable: s.store.reachable(),
		Ready: s.ready() && !s.drain.active, Draining: s.drain.active,
	}
	for _, p := range s.members.peers {
		if p.hasHeartbeat {
			reply.Peers = append(reply.Peers, PeerStatus{
				Host: p.host, Zone: p.lastHeartbeat.Zone, Live: p.live(s.now), Draining: p.lastHeartbeat.Draining,
				Generation: p.lastHeartbeat.Generation,
			})
		}
	}
	for _, p := range s.partitions {
		reply.Partitions = append(reply.Partitions, s.partitionStatus(p))
		if p.owned != nil {
			reply.Tasks = append(reply.Tasks, s.taskStatuses(p.owned)...)
		}
	}
	reply.Services = s.serviceStatuses()
	sort.Slice(reply.Tasks, func(i, j int) bool { return reply.Tasks[i].Task < reply.Tasks[j].Task })
	s.emit(OperatorReply{Request: r.Request, Reply: reply})
}

func (s *State) partitionStatus(p *partition) PartitionStatus {
	st := PartitionStatus{Partition: p.id, Owner: p.row.Owner, Epoch: p.row.Epoch}
	if p.owned != nil {
		st.Owner, st.Epoch = s.self.Host, p.owned.epoch
		st.Pending, st.Running = p.owned.tasks.counts()
		return st
	}
	for _, peer := range s.members.peers {
		for _, o := range peer.lastHeartbeat.Owned {
			if o.Partition == p.id && peer.live(s.now) && o.Epoch >= st.Epoch {
				st.Owner, st.Epoch, st.Pending = peer.host, o.Epoch, o.Pending
			}
		}
	}
	return st
}
