package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	ownershipCheckInterval = 500 * time.Millisecond
	ownerTimeout           = 3 * time.Second        // a partition without a row change or heartbeat for this long has no live owner
	takeoverStagger        = 300 * time.Millisecond // delay per rank, so that hosts do not compete for the row
	releasedStagger        = 200 * time.Millisecond // the same for a partition without an owner
)

// partition is this host's view of one partition.
type partition struct {
	id             structs.PartitionID
	row            structs.PartitionRow
	version        structs.Version
	rowRead        bool    // row and version are from the store; false after ownership is lost
	rowReadAt      Instant // last read of the row
	unchangedSince Instant // last time that the row changed or an owner's heartbeat arrived
	acquiring      bool
	owned          *ownedPartition // nil unless this instance owns the partition
	former         formerOwner
}

// formerOwner is the last owner before this instance, which may still send
// commands to workers.
type formerOwner struct {
	instance      structs.InstanceID
	epoch         structs.Epoch
	renewalsEndBy Instant // no renewal that it sent after this time can be confirmed
	released      bool    // it announced that it will not renew any lease
}

// ownedPartition is the state of a partition that this instance owns. It is
// dropped as a whole when ownership is lost.
type ownedPartition struct {
	partition      *partition
	epoch          structs.Epoch
	sequence       uint64
	versions       map[structs.RowKey]structs.Version // of the partition's rows
	loaded         bool
	releasing      bool
	outbox         []change
	changeLimit    int // changes in one transaction while a rejected one is isolated; 0: no limit
	inFlight       *partitionCommit
	suspect        *change          // was rejected in a transaction of its own
	setAside       []setAsideChange // rejected changes, next to retry first
	flushScheduled bool
	nextFlush      Instant
	lastRenewed    Instant // when the last confirmed commit was sent
	tasks          taskState
}

func newPartition(i int) *partition { return &partition{id: structs.PartitionID(i)} }

// partition returns the partition with an id from another process, which may be
// out of range.
func (s *State) partition(id structs.PartitionID) (*partition, bool) {
	if id < 0 || int(id) >= len(s.partitions) {
		return nil, false
	}
	return s.partitions[id], true
}

// checkOwnership renews the partitions that this host owns, reads the rows if
// another partition has no live owner, and releases a partition if this host
// owns too many.
func (s *State) checkOwnership() {
	s.setTimer(s.now+ownershipCheckInterval, timerOwnershipCheck, 0)
	ownerMissing := false
	for _, p := range s.partitions {
		if p.owned != nil {
			s.renewPartition(p)
			continue
		}
		if s.members.hasLiveOwner(s, p) {
			p.unchangedSince = s.now
			continue
		}
		ownerMissing = true
	}
	if ownerMissing {
		s.readOwnership()
	}
	s.balance()
}

func (s *State) readOwnership() { s.readList(structs.PartitionPrefix, ownershipRead{}) }

// ownershipRead handles the rows of all partitions.
type ownershipRead struct{}

func (ownershipRead) listed(s *State, read []structs.KeyedRow, outcome Outcome) {
	if outcome != OutcomeDone {
		return
	}
	rows := make(map[structs.RowKey]structs.KeyedRow, len(read))
	for _, row := range read {
		rows[row.Key] = row
	}
	for _, p := range s.partitions {
		s.handlePartitionRow(p, rows[structs.PartitionKey(p.id)])
	}
}

// handlePartitionRow stores a row and takes the partition over if its owner has
// been silent for long enough.
func (s *State) handlePartitionRow(p *partition, read structs.KeyedRow) {
	row, _ := read.Row.(structs.PartitionRow)
	if p.owned != nil || p.acquiring || read.Unreadable() {
		return // without its epoch, a partition can't be taken over
	}
	if !p.rowRead || read.Version > p.version {
		// A new version is a sign of life only if the row was also read after the
		// last heartbeat. Otherwise it may have changed before the owner went
		// silent.
		if p.rowReadAt >= p.unchangedSince {
			p.unchangedSince = s.now
		}
		p.rowRead, p.row, p.version = true, row, read.Version
	}
	p.rowReadAt = s.now
	if s.drain.active || !s.ready() {
		return
	}
	rank := s.members.rank(s, p.id)
	if rank < 0 {
		return
	}
	wait := ownerTimeout + time.Duration(rank)*takeoverStagger
	if p.row.Owner == "" || p.row.Owner == s.self.Host {
		// Released, never owned, or owned by an earlier instance of this host.
		wait = time.Duration(rank) * releasedStagger
	}
	if s.now-p.unchangedSince >= wait {
		s.acquire(p)
	}
}

// acquire tries to take a partition over under the next epoch.
func (s *State) acquire(p *partition) {
	p.acquiring = true
	next := structs.PartitionRow{
		Owner: s.self.Host, Instance: s.self.Instance, Epoch: p.row.Epoch + 1, Sequence: 1,
	}
	key := structs.PartitionKey(p.id)
	s.commit([]structs.Condition{{Key: key, Version: p.version}}, []structs.Write{{Key: key, Row: next}},
		&acquisition{p: p, row: next, sent: s.now})
}

// acquisition is the transaction that takes a partition over.
type acquisition struct {
	p    *partition
	row  structs.PartitionRow
	sent Instant
}

func (a *acquisition) committed(s *State, revision structs.Version) {
	p := a.p
	p.acquiring = false
	switch {
	case p.row.Instance == s.self.Instance:
		// This instance owned the partition last: p.former stays valid.
	case p.row.Owner != "":
		p.former = formerOwner{instance: p.row.Instance, epoch: p.row.Epoch, renewalsEndBy: s.now}
	case p.row.PreviousInstance != "":
		p.former = formerOwner{instance: p.row.PreviousInstance, renewalsEndBy: s.now}
	default:
		p.former = formerOwner{released: true}
	}
	p.row, p.version = a.row, revision
	p.owned = &ownedPartition{
		partition: p, epoch: a.row.Epoch, sequence: a.row.Sequence, lastRenewed: a.sent,
		versions: map[structs.RowKey]structs.Version{structs.PartitionKey(p.id): revision},
	}
	s.recordDecision(DecisionRecord{
		Part: "partition", Action: "took over", Subject: p.name(), Where: string(s.self.Host),
		Reason: fmt.Sprintf("epoch %d", a.row.Epoch),
	})
	s.loadPartition(p.owned, structs.TaskKeyPrefix(p.id), "")
}

func (a *acquisition) conflicted(s *State, conflicts []Conflict, _ bool) {
	a.p.acquiring = false
	c, ok := findConflict(conflicts, structs.PartitionKey(a.p.id))
	if !ok {
		return
	}
	if row, _ := c.Row.(structs.PartitionRow); row == a.row {
		a.committed(s, c.Version)
		return
	}
	s.handlePartitionRow(a.p, c)
}

// rejected leaves the partition to the next check of its ownership.
func (a *acquisition) rejected(*State) { a.p.acquiring = false }

func (a *acquisition) shouldRetry(*State, bool) bool { return true }

func (p *partition) name() string { return fmt.Sprintf("partition %d", p.id) }
