package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	partitionRenewInterval = 1 * time.Second
	minFlushInterval       = 50 * time.Millisecond
	// taskWritesPerSecond bounds the transactions of all partitions together. The
	// store accepts several hundred writes a second, including those for claims.
	taskWritesPerSecond = 200
	// Each row of a transaction has a condition and a write; one row is that of the
	// partition.
	maxRowsPerCommit = structs.MaxTransactionEntries / 2
	outboxLimit      = 4096 // queued changes from which periodic work waits
)

// change is a group of rows to write in one transaction, with the handler that
// runs after the commit.
type change struct {
	writes   []structs.Write
	onCommit changeHandler // may be nil
}

// changeHandler is called when its change is durable. It is not called when
// ownership is lost; partitionDropped handles that.
type changeHandler interface {
	changeCommitted(s *State, o *ownedPartition)
}

// submit queues rows for the partition's next transaction.
func (s *State) submit(o *ownedPartition, c change) {
	o.outbox = append(o.outbox, c)
	s.scheduleFlush(o)
}

// outboxHasCapacity reports whether more changes may be submitted. Periodic work that
// submits changes waits while it is false.
func (o *ownedPartition) outboxHasCapacity() bool { return len(o.outbox) < outboxLimit }

func (s *State) scheduleFlush(o *ownedPartition) {
	if o.flushScheduled || o.inFlight != nil {
		return
	}
	o.flushScheduled = true
	s.setTimer(max(s.now, o.nextFlush), timerPartitionFlush, uint64(o.partition.id))
}

// flushPartition sends the queued changes as one transaction. One transaction
// per partition is in flight at a time.
func (s *State) flushPartition(p *partition) {
	o := p.owned
	if o == nil {
		return
	}
	o.flushScheduled = false
	if o.inFlight != nil || len(o.outbox) == 0 {
		return
	}
	if o.changeLimit > 0 && s.now-o.lastRenewed >= partitionRenewInterval {
		// The ownership does not depend on changes that may be rejected.
		s.commitPartition(o, nil, s.nextOwnerRow(o))
		return
	}
	n := o.nextBatch()
	s.commitPartition(o, o.outbox[:n:n], s.nextOwnerRow(o))
	o.outbox = append([]change(nil), o.outbox[n:]...)
}

// nextOwnerRow returns the ownership row that the next transaction writes.
func (s *State) nextOwnerRow(o *ownedPartition) structs.PartitionRow {
	return structs.PartitionRow{Owner: s.self.Host, Instance: s.self.Instance, Epoch: o.epoch, Sequence: o.sequence + 1}
}

// nextBatch returns how many of the queued changes the next transaction holds beside
// the partition's row: as many as the store's limits allow, and at least one.
func (o *ownedPartition) nextBatch() int {
	ownerKey := structs.PartitionKey(o.partition.id)
	sizes := map[structs.RowKey]int{ownerKey: entryBytes(structs.Write{Key: ownerKey, Row: structs.PartitionRow{}})}
	total := sizes[ownerKey]
	for n, c := range o.outbox {
		for _, w := range c.writes {
			size := entryBytes(w)
			total += size - sizes[w.Key]
			sizes[w.Key] = size
		}
		if n > 0 && (n == o.changeLimit || len(sizes) > maxRowsPerCommit || total > structs.MaxTransactionBytes) {
			return n
		}
	}
	return len(o.outbox)
}

// flushSpacing returns the least time between two transactions of one
// partition.
func (s *State) flushSpacing() time.Duration {
	return max(minFlushInterval, time.Duration(len(s.partitions))*time.Second/taskWritesPerSecond)
}

// renewPartition writes the partition's row if no commit did so within
// partitionRenewInterval.
func (s *State) renewPartition(p *partition) {
	o := p.owned
	if o.inFlight != nil || s.now-o.lastRenewed < partitionRenewInterval {
		return
	}
	if len(o.outbox) > 0 {
		s.flushPartition(p)
		return
	}
	s.commitPartition(o, nil, s.nextOwnerRow(o))
}

// partitionCommit is the transaction in flight for an owned partition.
type partitionCommit struct {
	o        *ownedPartition
	ownerRow structs.PartitionRow
	changes  []change
	writes   []structs.Write // as sent, one for each row
	sent     Instant
}

// commitPartition writes the changes and the ownership row, all conditional on
// the versions that this owner knows.
func (s *State) commitPartition(o *ownedPartition, changes []change, ownerRow structs.PartitionRow) {
	ownerKey := structs.PartitionKey(o.partition.id)
	c := &partitionCommit{o: o, ownerRow: ownerRow, changes: changes, sent: s.now}
	index := map[structs.RowKey]int{ownerKey: 0}
	writes := []structs.Write{{Key: ownerKey, Row: ownerRow}}
	for _, ch := range changes {
		for _, w := range ch.writes {
			// Each write holds the whole row, so the last one replaces earlier ones.
			if i, ok := index[w.Key]; ok {
				writes[i] = w
				continue
			}
			index[w.Key] = len(writes)
			writes = append(writes, w)
		}
	}
	conditions := make([]structs.Condition, len(writes))
	for i, w := range writes {
		conditions[i] = structs.Condition{Key: w.Key, Version: o.versions[w.Key]}
	}
	c.writes = writes
	o.inFlight = c
	o.sequence = ownerRow.Sequence
	s.commit(conditions, writes, c)
}

func (c *partitionCommit) committed(s *State, revision structs.Version) {
	o := c.o
	if o.partition.owned != o {
		return
	}
	o.inFlight = nil
	o.lastRenewed = c.sent
	o.nextFlush = s.now + s.flushSpacing()
	o.partition.row, o.partition.version = c.ownerRow, revision
	for _, w := range c.writes {
		// Only the last write to a row counts: it may have been deleted and written
		// again in one transaction.
		if w.Row == nil {
			delete(o.versions, w.Key)
		} else {
			o.versions[w.Key] = revision
		}
	}
	if c.ownerRow.Owner == "" {
		s.partitionReleased(o)
		return
	}
	o.widenBatches(len(c.changes))
	if o.suspect != nil {
		s.setAsideChange(o, *o.suspect)
		o.suspect = nil
	}
	for _, ch := range c.changes {
		if ch.onCommit != nil {
			ch.onCommit.changeCommitted(s, o)
		}
	}
	if o.releasing && len(o.outbox) == 0 {
		s.releasePartition(o)
		return
	}
	if len(o.outbox) > 0 {
		s.scheduleFlush(o)
	}
}

// conflicted checks whether an earlier attempt took effect. Otherwise the
// partition has another owner, or this host's view of a row is wrong; in both
// cases all state of the partition is dropped.
func (c *partitionCommit) conflicted(s *State, conflicts []Conflict, unknown bool) {
	if c.o.partition.owned != c.o {
		return
	}
	conflict, ok := findConflict(conflicts, structs.PartitionKey(c.o.partition.id))
	if row, _ := conflict.Row.(structs.PartitionRow); ok && unknown && row == c.ownerRow {
		c.committed(s, conflict.Version)
		return
	}
	s.dropPartition(c.o, "another owner or a changed row was found")
	if ok {
		s.handlePartitionRow(c.o.partition, conflict)
	}
}

// rejected isolates the change that the store refuses, by halves, so that the
// others are stored. A change that is refused alone is set aside. If an earlier attempt
// took effect all the same, the next transaction finds that in a conflict.
func (c *partitionCommit) rejected(s *State) {
	o := c.o
	if o.partition.owned != o {
		return
	}
	o.inFlight = nil
	o.nextFlush = s.now + s.flushSpacing()
	switch len(c.changes) {
	case 0:
		s.dropPartition(o, "the store refuses its row")
	case 1:
		// It is set aside once the store accepts a transaction without it.
		o.suspect = &c.changes[0]
		s.commitPartition(o, nil, s.nextOwnerRow(o))
	default:
		o.outbox = append(c.changes, o.outbox...)
		o.changeLimit = len(c.changes) / 2
		s.scheduleFlush(o)
	}
}

// widenBatches doubles the limit of a transaction's changes after one that took effect.
func (o *ownedPartition) widenBatches(changes int) {
	if changes == 0 || o.changeLimit == 0 {
		return
	}
	if o.changeLimit *= 2; o.changeLimit >= maxRowsPerCommit {
		o.changeLimit = 0
	}
}

func (c *partitionCommit) shouldRetry(s *State, _ bool) bool { return c.o.partition.owned == c.o }
