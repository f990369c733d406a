package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	inboxEvery      = 5 * time.Second // in case the message about a transfer was lost
	markersPerTick  = 4               // markers checked every inboxEvery
	unwantedPerTick = 8               // markers that the sheet does not ask for, checked every second
	slotRows        = 8               // rows read of one slot
)

// inboxState is the progress of the transfers into and out of a partition.
type inboxState struct {
	reading bool
	again   bool // a message came while the inbox was being read
	readAt  Instant
	sent    int // transfers since the last second

	offers   []roomOffer // room of the other partitions, as of offersAt
	offersAt Instant
}

// inboxTick reads the inbox and checks markers from time to time.
func (s *State) inboxTick(o *ownedPartition) {
	b := &o.tasks.inbox
	b.sent = 0
	o.tasks.unwanted = s.checkMarkers(o, o.tasks.unwanted, unwantedPerTick)
	if b.readAt > 0 && s.now-b.readAt < inboxEvery {
		return
	}
	b.readAt = s.now
	s.readInbox(o)
	o.tasks.moved = s.checkMarkers(o, o.tasks.moved, markersPerTick)
}

// checkMarkers checks the first n markers of a list and returns the others. A
// marker that is not yet durable waits: until then the inbox is rightly empty.
func (s *State) checkMarkers(o *ownedPartition, list []*task, n int) []*task {
	for ; n > 0 && len(list) > 0; n-- {
		t := list[0]
		list = list[1:]
		switch {
		case o.tasks.byID[t.row.Task] != t || t.row.Phase != structs.TaskMoved:
		case t.busy:
			list = append(list, t)
		default:
			s.checkMarker(o, t)
		}
	}
	return list
}

func (s *State) readInbox(o *ownedPartition) {
	if o.tasks.inbox.reading {
		o.tasks.inbox.again = true
		return
	}
	o.tasks.inbox.reading, o.tasks.inbox.again = true, false
	s.emit(ReadRows{ID: s.effectID(inboxRead{o}), Prefix: structs.InboxOf(o.p.id), Limit: maxRowsPerRead, Timeout: storeTimeout})
}

type inboxRead struct{ o *ownedPartition }

func (c inboxRead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	o := c.o
	o.tasks.inbox.reading = false
	if o.p.own != o || o.releasing {
		return
	}
	if r.Outcome == OutcomeDone {
		for _, row := range r.Rows {
			if task, ok := row.Row.(structs.TaskRow); ok && o.outboxRoom() {
				s.takeTask(o, row, task)
			}
		}
	}
	if o.tasks.inbox.again {
		s.readInbox(o)
	}
}

// takeTask moves a task from the inbox under the partition's own prefix. A read
// from before the task was taken shows it again; the version tells.
func (s *State) takeTask(o *ownedPartition, read structs.KeyedRow, row structs.TaskRow) {
	t := o.tasks.byID[row.Task]
	if t != nil && (t.row.Phase != structs.TaskMoved || t.busy || t.inboxVersion >= read.Version) {
		return
	}
	if t != nil {
		o.tasks.setPhase(t, row.Phase)
		t.row, t.run, t.intent, t.retryAt, t.unfit, t.resumeFrom = row, runState{share: 1}, intentKeep, 0, false, 0
	} else {
		t = &task{row: row}
		o.tasks.insert(t)
	}
	t.inboxVersion = read.Version
	t.saving()
	o.versions[read.Key] = read.Version
	s.submit(o, change{
		writes: []structs.Write{{Key: read.Key}, {Key: structs.TaskKey(o.p.id, row.Task), Row: t.row}},
		done:   taskTaken{t},
	})
	s.decide(DecisionRecord{
		Part: "placement", Action: "taken from another partition", Subject: string(row.Task), Request: string(row.Task),
	})
}

// taskTaken follows the durable arrival of a task. The sheet may have changed
// while it was on its way.
type taskTaken struct{ t *task }

func (c taskTaken) changeCommitted(s *State, o *ownedPartition) {
	if c.t.saved() {
		s.reconcileTask(o, c.t)
	}
}

// checkMarker finds out whether the other partition still has the task: first
// in its inbox, then in its tasks, since it moves from the one to the other. A
// marker without use is deleted, so that the task can be created again when its
// sheet row comes back.
func (s *State) checkMarker(o *ownedPartition, t *task) {
	c := markerCheck{o: o, t: t, to: t.row.MovedTo}
	key := structs.InboxKey(c.to, t.row.Task)
	s.emit(ReadRows{ID: s.effectID(c), Prefix: string(key), Limit: 1, Timeout: storeTimeout})
}

type markerCheck struct {
	o     *ownedPartition
	t     *task
	to    structs.PartitionID
	empty bool // the inbox was read
}

func (c markerCheck) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	t, o := c.t, c.o
	if o.p.own != o || o.tasks.byID[t.row.Task] != t || t.row.Phase != structs.TaskMoved {
		return
	}
	if r.Outcome != OutcomeDone || t.busy || t.row.MovedTo != c.to || c.present(r.Rows) {
		if t.intent == intentRemove {
			o.tasks.unwanted = append(o.tasks.unwanted, t)
		} else {
			o.tasks.moved = append(o.tasks.moved, t)
		}
		return
	}
	if !c.empty {
		c.empty = true
		prefix := structs.TaskKey(c.to, taskID(t.row.Row, t.row.Index, 0))
		s.emit(ReadRows{ID: s.effectID(c), Prefix: string(prefix), Limit: slotRows, Timeout: storeTimeout})
		return
	}
	s.deleteTask(o, t, nil)
}

// present reports whether the rows show that the other partition answers for the
// slot. A marker of another task there that points back here does not count: two
// markers must not keep each other.
func (c markerCheck) present(rows []structs.KeyedRow) bool {
	for _, kr := range rows {
		row, ok := kr.Row.(structs.TaskRow)
		if !ok || row.Row != c.t.row.Row || row.Index != c.t.row.Index {
			continue
		}
		if !c.empty {
			if row.Task == c.t.row.Task {
				return true
			}
			continue
		}
		back := row.Phase == structs.TaskMoved && row.MovedTo == c.o.p.id && row.Task != c.t.row.Task
		if !back {
			return true
		}
	}
	return false
}
