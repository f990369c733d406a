package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// transferAfter is how long a task waits for free capacity in its partition
	// before it is transferred to another one. The wait doubles with each
	// transfer, so that tasks do not circulate between partitions.
	transferAfter        = 3 * time.Second
	transferUrgentAfter  = 1 * time.Second        // must allow urgent work to start within 3.3 s
	transferNoFitAfter   = 200 * time.Millisecond // if no worker of the partition is large enough
	maxTransferDoublings = 6                      // limit of the doublings of the wait
	transfersPerTick     = 16
	offersInterval       = 500 * time.Millisecond // the interval of heartbeats, which report free capacity
)

// transferIfOverdue transfers a task to the partition with the most free capacity
// when its own partition has had too little for the transfer wait. Peers report
// their free capacity in heartbeats.
func (s *State) transferIfOverdue(o *ownedPartition, r *rowState, t *task, request structs.Resources) {
	wait := s.transferWait(o, r, t, request)
	if !r.noCapacity || s.now-r.noCapacitySince < wait || s.now < r.nextTransfer || t.writing || o.tasks.inbox.transfersSent >= transfersPerTick {
		return
	}
	to, address, ok := s.chooseDestination(o, r, request)
	if !ok {
		r.nextTransfer = s.now + offersInterval
		return
	}
	o.tasks.inbox.transfersSent++
	s.transfer(o, t, to, address, "no room in its partition, most room there")
}

// transferFailedTask transfers a task that keeps failing to another partition
// with free capacity. It reports whether it did.
func (s *State) transferFailedTask(o *ownedPartition, r *rowState, t *task, request structs.Resources) bool {
	if t.writing || o.tasks.inbox.transfersSent >= transfersPerTick {
		return false
	}
	to, address, ok := s.chooseDestination(o, r, request)
	if !ok {
		return false
	}
	o.tasks.inbox.transfersSent++
	s.transfer(o, t, to, address, fmt.Sprintf("failed on %d workers of its partition", len(t.row.FailedOn)))
	return true
}

// transferWait returns how long a task of the row waits for free capacity before
// it is transferred.
func (s *State) transferWait(o *ownedPartition, r *rowState, t *task, request structs.Resources) time.Duration {
	wait := transferAfter
	switch {
	case !o.tasks.fitsLocalWorker(request):
		wait = transferNoFitAfter
	case r.sheet.Importance == structs.ImportanceUrgent:
		wait = transferUrgentAfter
	}
	return wait << min(t.row.Transfers, maxTransferDoublings)
}

// fitsLocalWorker reports whether a worker of the partition that is not leaving
// is large enough when empty.
func (t *taskState) fitsLocalWorker(r structs.Resources) bool {
	for _, w := range t.workerList {
		if w.listed && !w.isLeaving() && r.Fits(w.spec.Capacity) {
			return true
		}
	}
	return false
}

// capacityOffer is the free capacity of another partition.
type capacityOffer struct {
	partition structs.PartitionID
	address   string // address of its owner
	free      structs.Resources
	pending   int
	largest   structs.Resources // largest amount of each resource on one of its workers
}

// chooseDestination returns the other partition with free capacity for the most
// tasks of the size, less the tasks that are pending there. Urgent work goes
// ahead of pending tasks where there is free capacity, and may evict where there
// is none. Work that fits no worker of its own partition waits in another one.
// Both may be sent to a partition without free capacity, but only to one with a
// worker that is large enough.
func (s *State) chooseDestination(o *ownedPartition, r *rowState, request structs.Resources) (structs.PartitionID, string, bool) {
	b := &o.tasks.inbox
	if b.offers == nil || s.now-b.offersAt >= offersInterval {
		b.offers, b.offersAt = s.capacityOffers(o), s.now
	}
	urgent := r.sheet.Importance == structs.ImportanceUrgent
	acceptFull := urgent || !o.tasks.fitsLocalWorker(request)
	var best *capacityOffer
	var mostTasks int64
	for i := range b.offers {
		f := &b.offers[i]
		n := policy.FitCount(request, f.free)
		if !urgent || n == 0 {
			n -= int64(f.pending)
		}
		if n <= 0 && !(acceptFull && request.Fits(f.largest)) {
			continue
		}
		if best == nil || n > mostTasks {
			best, mostTasks = f, n
		}
	}
	if best == nil {
		return 0, "", false
	}
	// The transferred task counts against the offer until the next update.
	best.pending++
	best.free = best.free.Sub(request)
	return best.partition, best.address, true
}

// capacityOffers returns the free capacity of the other partitions, in order of
// partition.
func (s *State) capacityOffers(o *ownedPartition) []capacityOffer {
	offers := make([]capacityOffer, 0, len(s.partitions))
	largest := s.largestWorkers()
	for _, p := range s.partitions {
		if p.id == o.partition.id {
			continue
		}
		if p.owned != nil {
			if p.owned.loaded && !p.owned.releasing {
				free, pending := s.partitionCapacity(p.owned)
				offers = append(offers, capacityOffer{p.id, s.self.Address, free, pending, largest[p.id]})
			}
			continue
		}
		if peer, claim := s.members.owner(s, p.id); peer != nil && claim.Epoch >= p.row.Epoch {
			offers = append(offers, capacityOffer{p.id, peer.address, claim.Free, claim.Pending, largest[p.id]})
		}
	}
	return offers
}

// largestWorkers returns, by partition, the largest amount of each resource on
// any one live worker.
func (s *State) largestWorkers() []structs.Resources {
	largest := make([]structs.Resources, len(s.partitions))
	for _, w := range s.hosts.workers {
		if w.State == structs.HostLive {
			p := PartitionOfRack(w.Region, w.Zone, w.Rack, len(s.partitions))
			largest[p] = policy.MaxResources(largest[p], w.Capacity)
		}
	}
	return largest
}

// owner returns the live peer that claims a partition under the highest epoch.
func (m *membership) owner(s *State, id structs.PartitionID) (*peer, OwnedPartition) {
	var found *peer
	var claim OwnedPartition
	for _, p := range m.peers {
		if !p.live(s.now) || p.lastHeartbeat.Draining {
			continue
		}
		for _, o := range p.lastHeartbeat.Owned {
			if o.Partition == id && (found == nil || o.Epoch > claim.Epoch) {
				found, claim = p, o
			}
		}
	}
	return found, claim
}

// transfer writes the task to the inbox of the other partition and leaves a
// marker, in one transaction.
func (s *State) transfer(o *ownedPartition, t *task, to structs.PartitionID, address, reason string) {
	s.dequeue(o, t)
	inboxRow := t.row
	inboxRow.Transfers++
	inboxRow.FailedOn = nil // these are workers of this partition
	o.tasks.setPhase(t, structs.TaskMoved)
	t.row.MovedTo = to
	t.writeSubmitted()
	key := structs.InboxKey(to, t.row.Task)
	s.submit(o, change{
		writes:   []structs.Write{{Key: structs.TaskKey(o.partition.id, t.row.Task), Row: t.row}, {Key: key, Row: inboxRow}},
		onCommit: transferCommitted{t: t, to: to, address: address, key: key},
	})
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: fmt.Sprintf("handed to partition %d", to), Subject: string(t.row.Task), Where: address,
		Reason: reason, Request: string(t.row.Task),
	})
}

// transferCommitted runs once a transfer is durable.
type transferCommitted struct {
	t       *task
	to      structs.PartitionID
	address string
	key     structs.RowKey
}

func (c transferCommitted) changeCommitted(s *State, o *ownedPartition) {
	c.t.writeCommitted()
	// The row now belongs to the other owner.
	delete(o.versions, c.key)
	if own := s.partitions[c.to].owned; own != nil {
		s.receiveTransferred(Transferred{Partition: c.to})
		return
	}
	s.emit(SendPeer{ID: s.effectID(nil), Address: c.address, Message: Transferred{Partition: c.to}, Timeout: peerTimeout})
}

// receiveTransferred reads the inbox without waiting for the next tick.
func (s *State) receiveTransferred(m Transferred) {
	if p, ok := s.partition(m.Partition); ok && p.owned != nil && p.owned.loaded {
		s.readInbox(p.owned)
	}
}
