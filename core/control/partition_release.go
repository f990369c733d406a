package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	minPeerUptime = 5 * time.Second  // a peer is given partitions only after it has been known for this long
	outageGrace   = 30 * time.Minute // how long an owner may renew leases without a confirmed renewal of its ownership
)

// dropPartition discards the state of an owned partition without writing to the
// store.
func (s *State) dropPartition(o *ownedPartition, reason string) {
	p := o.partition
	p.owned = nil
	p.rowRead = false
	p.unchangedSince, p.rowReadAt = s.now, s.now
	s.partitionDropped(o)
	settled := o.unreleasedFormerOwner() == ""
	p.former.released = settled
	s.recordDecision(DecisionRecord{
		Part: "partition", Action: "gave up", Subject: p.name(), Where: string(s.self.Host), Reason: reason,
	})
	if settled {
		s.broadcast(Released{Partition: p.id, Epoch: o.epoch, Host: s.self.Host, Instance: s.self.Instance})
	}
}

// beginRelease releases a partition once its queued changes are written.
func (s *State) beginRelease(o *ownedPartition) {
	if o.releasing {
		return
	}
	o.releasing = true
	if o.inFlight == nil && len(o.outbox) == 0 {
		s.releasePartition(o)
	}
}

func (s *State) releasePartition(o *ownedPartition) {
	s.commitPartition(o, nil, structs.PartitionRow{
		Instance: s.self.Instance, Epoch: o.epoch, Sequence: o.sequence + 1, PreviousInstance: o.unreleasedFormerOwner(),
	})
}

func (s *State) partitionReleased(o *ownedPartition) {
	s.dropPartition(o, "handed over")
	o.partition.rowRead = true
	s.endDrainIfIdle()
}

// receiveReleased handles the announcement that another host released a
// partition.
func (s *State) receiveReleased(m Released) {
	p, ok := s.partition(m.Partition)
	if !ok {
		return
	}
	if p.former.instance == m.Instance {
		p.former.released = true
	}
	if p.owned == nil && !p.acquiring {
		s.readOwnership()
	}
}

// mayRenewLeases reports whether the owner may still renew task leases: its
// last confirmed renewal is less than outageGrace ago. A new owner that cannot
// reach a worker waits at least that long before it treats the former owner's
// leases as expired.
func (s *State) mayRenewLeases(o *ownedPartition) bool {
	return s.now-o.lastRenewed < outageGrace
}

// balance releases one partition for which a stable peer ranks first, if this
// host owns more than its share.
func (s *State) balance() {
	if s.drain.active {
		return
	}
	hosts := s.members.eligible(s)
	share := (len(s.partitions) + len(hosts) - 1) / len(hosts)
	owned := s.ownedCount()
	if owned <= share {
		return
	}
	for _, p := range s.partitions {
		if p.owned == nil || !p.owned.loaded || p.owned.releasing {
			continue
		}
		if s.members.stablePeerRanksFirst(s, p.id) {
			s.beginRelease(p.owned)
			return
		}
	}
}

func (s *State) ownedCount() int {
	n := 0
	for _, p := range s.partitions {
		if p.owned != nil {
			n++
		}
	}
	return n
}
