package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	inboxReadInterval      = 5 * time.Second // fallback for a lost Transferred message
	markersPerTick         = 4               // markers checked every inboxReadInterval
	unwantedMarkersPerTick = 8               // markers of unwanted tasks checked every second
	slotReadLimit          = 8               // rows read to check one slot
)

// inboxState tracks the transfers into and out of a partition.
type inboxState struct {
	reading         bool
	rereadRequested bool // a message arrived while the inbox was being read
	readAt          Instant
	transfersSent   int // transfers out of the partition since the last tick

	offers   []capacityOffer // free capacity of the other partitions, as of offersAt
	offersAt Instant
}

// inboxTick runs once a second. It checks markers of unwanted tasks, and every
// inboxReadInterval it reads the inbox and checks some of the other markers.
func (s *State) inboxTick(o *ownedPartition) {
	b := &o.tasks.inbox
	b.transfersSent = 0
	o.tasks.unwantedMarkers = s.checkMarkers(o, o.tasks.unwantedMarkers, unwantedMarkersPerTick)
	if b.readAt > 0 && s.now-b.readAt < inboxReadInterval {
		return
	}
	b.readAt = s.now
	s.readInbox(o)
	o.tasks.movedMarkers = s.checkMarkers(o, o.tasks.movedMarkers, markersPerTick)
}

// checkMarkers checks the first n markers of a list and returns the others. A
// marker that is not yet durable is kept for later: until then, the inbox of the
// destination is expected to be empty.
func (s *State) checkMarkers(o *ownedPartition, list []*task, n int) []*task {
	for ; n > 0 && len(list) > 0; n-- {
		t := list[0]
		list = list[1:]
		switch {
		case o.tasks.byID[t.row.Task] != t || t.row.Phase != structs.TaskMoved:
		case t.writing:
			list = append(list, t)
		default:
			s.checkMarker(o, t)
		}
	}
	return list
}

// readInbox reads the tasks that other partitions transferred to this one, page by
// page: rows that cannot be taken must not hide those behind them. One read is in flight
// at a time.
func (s *State) readInbox(o *ownedPartition) {
	if o.tasks.inbox.reading {
		o.tasks.inbox.rereadRequested = true
		return
	}
	o.tasks.inbox.reading, o.tasks.inbox.rereadRequested = true, false
	s.readInboxPage(o, "")
}

func (s *State) readInboxPage(o *ownedPartition, after structs.RowKey) {
	s.emit(ReadRows{
		ID: s.effectID(inboxRead{o}), Prefix: structs.InboxKeyPrefix(o.partition.id), After: after,
		Limit: maxRowsPerRead, Timeout: storeTimeout,
	})
}

// inboxRead handles one page of the inbox.
type inboxRead struct{ o *ownedPartition }

func (c inboxRead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	o := c.o
	o.tasks.inbox.reading = false
	if o.partition.owned != o || o.releasing {
		return
	}
	if r.Outcome == OutcomeDone {
		for _, row := range r.Rows {
			if task, ok := row.Row.(structs.TaskRow); ok && o.outboxHasCapacity() {
				s.acceptTransfer(o, row, task)
			}
		}
	}
	if r.Outcome == OutcomeDone && r.More && len(r.Rows) > 0 && o.outboxHasCapacity() {
		o.tasks.inbox.reading = true
		s.readInboxPage(o, r.Rows[len(r.Rows)-1].Key)
		return
	}
	if o.tasks.inbox.rereadRequested {
		s.readInbox(o)
	}
}

// acceptTransfer moves a task from the inbox to the partition's own rows. A read
// that was sent before the task was accepted still contains it; the row version
// detects that.
func (s *State) acceptTransfer(o *ownedPartition, read structs.KeyedRow, row structs.TaskRow) {
	t := o.tasks.byID[row.Task]
	if o.tasks.unreadable[slotPrefix(row.Task)] {
		return // its key may be that of the unreadable row
	}
	if t != nil && (t.row.Phase != structs.TaskMoved || t.writing || t.inboxVersion >= read.Version) {
		return
	}
	if t != nil {
		o.tasks.setPhase(t, row.Phase)
		t.row, t.run, t.intent, t.retryAt, t.unplaceableReported, t.resumeProgress = row, runState{share: 1}, intentKeep, 0, false, 0
	} else {
		t = &task{row: row}
		o.tasks.insert(t)
	}
	t.inboxVersion = read.Version
	t.writeSubmitted()
	o.versions[read.Key] = read.Version
	s.submit(o, change{
		writes:   []structs.Write{{Key: read.Key}, {Key: structs.TaskKey(o.partition.id, row.Task), Row: t.row}},
		onCommit: transferAccepted{t},
	})
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "taken from another partition", Subject: string(row.Task), Request: string(row.Task),
	})
}

// transferAccepted runs once an accepted task is durable. The sheet may have
// changed in the meantime.
type transferAccepted struct{ t *task }

func (c transferAccepted) changeCommitted(s *State, o *ownedPartition) {
	if !c.t.writeCommitted() {
		return
	}
	if o.tasks.newest(c.t) != c.t {
		// Its slot has a replacement here whose row was not stored when the home
		// partition looked for it.
		s.retire(o, c.t)
	}
	s.reconcileTask(o, c.t)
}

// checkMarker finds out whether the destination partition still has the task:
// first in its inbox, then among its tasks, because the task moves from the one
// to the other. A marker whose task is gone is deleted, so that the task can be
// created again when its sheet row returns.
func (s *State) checkMarker(o *ownedPartition, t *task) {
	c := markerCheck{o: o, t: t, to: t.row.MovedTo}
	key := structs.InboxKey(c.to, t.row.Task)
	s.emit(ReadRows{ID: s.effectID(c), Prefix: string(key), Limit: 1, Timeout: storeTimeout})
}

// markerCheck handles the reads that check one marker.
type markerCheck struct {
	o            *ownedPartition
	t            *task
	to           structs.PartitionID
	inboxChecked bool // the task is not in the inbox
}

func (c markerCheck) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	t, o := c.t, c.o
	if o.partition.owned != o || o.tasks.byID[t.row.Task] != t || t.row.Phase != structs.TaskMoved {
		return
	}
	if r.Outcome != OutcomeDone || t.writing || t.row.MovedTo != c.to || c.destinationHasTask(r.Rows) {
		if t.intent == intentRemove {
			o.tasks.unwantedMarkers = append(o.tasks.unwantedMarkers, t)
		} else {
			o.tasks.movedMarkers = append(o.tasks.movedMarkers, t)
		}
		return
	}
	if !c.inboxChecked {
		c.inboxChecked = true
		prefix := structs.TaskKey(c.to, taskID(t.row.Row, t.row.Index, 0))
		s.emit(ReadRows{ID: s.effectID(c), Prefix: string(prefix), Limit: slotReadLimit, Timeout: storeTimeout})
		return
	}
	s.deleteTask(o, t, nil)
}

// destinationHasTask reports whether the rows show that the other partition is
// responsible for the slot. A marker of another task that points back here does
// not count: two markers must not keep each other alive.
func (c markerCheck) destinationHasTask(rows []structs.KeyedRow) bool {
	for _, kr := range rows {
		if kr.Unreadable() {
			return true // it may be the task
		}
		row, ok := kr.Row.(structs.TaskRow)
		if !ok || row.Row != c.t.row.Row || row.Index != c.t.row.Index {
			continue
		}
		if !c.inboxChecked {
			if row.Task == c.t.row.Task {
				return true
			}
			continue
		}
		back := row.Phase == structs.TaskMoved && row.MovedTo == c.o.partition.id && row.Task != c.t.row.Task
		if !back {
			return true
		}
	}
	return false
}
