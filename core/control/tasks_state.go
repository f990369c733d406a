package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// itemsPerStep bounds the sheet rows, tasks or waiting rows handled in one
	// event.
	itemsPerStep = 64
	// workStepDelay moves the next step of work to a later event: a timer set for
	// the current instant would fire within the same event.
	workStepDelay = time.Microsecond
)

// taskState holds the tasks and workers of one owned partition. The maps are only
// used for lookups; nothing iterates over them, so that no result depends on map
// order.
type taskState struct {
	byID             map[structs.TaskID]*task
	all              []*task // order depends only on the sequence of events
	bySlot           map[slotKey][]*task
	rows             map[string]*rowState
	countByRow       map[string]int // number of tasks by sheet row
	workers          map[structs.WorkerID]*workerState
	workerList       []*workerState               // by id
	unreadable       map[structs.TaskID]bool      // slots with an unreadable row, by slotPrefix
	teamUsage        map[string]structs.Resources // resources committed in this partition, by team
	quotas           map[string]teamQuota
	workerCapacities []structs.Resources // distinct capacities of all listed workers

	pending int // tasks in phase pending
	running int // tasks in phase assigned or evicting

	queue            pendingQueue
	delayed          delayQueue
	retiring         []*task // replicas that have a replacement; may contain stale entries
	movedMarkers     []*task // markers of tasks transferred to other partitions, next to check first; may contain stale entries
	unwantedMarkers  []*task // markers of tasks that the sheet no longer asks for
	reconcile        reconcileCursor
	configHead       configHeadState
	adopted          bool // the committed runs in the loaded rows were adopted
	workScheduled    bool // a step of work is scheduled
	targetsLeftOut   bool // the published targets are not all
	targetsDirty     bool // the published targets are out of date
	publishScheduled bool // a step is scheduled at nextPublish
	nextPublish      Instant
	nextSync         Instant
	nextPolicy       Instant
	syncScheduled    bool // the periodic synchronization was started

	loadedAt         Instant // when the rows were loaded
	formerReleasedAt Instant // when this owner first saw that the former owner had released the partition
	inbox            inboxState
	evictions        policy.EvictionBudget
	interference     *policy.Interference
	policyScheduled  bool
	policyCursor     int // worker in workerList with which the current policy step continues
}

// slotKey identifies one task index of a sheet row. A service may have several
// tasks in a slot while an old replica is being replaced.
type slotKey struct {
	row   string
	index int
}

// intent is what the sheet requires of a task, in addition to its stored phase.
type intent uint8

const (
	intentKeep   intent = iota
	intentRemove        // end the run, then delete the row
	intentStop          // end the run, then keep the row in phase stopped
)

// task is a task row and the state that the owner keeps only in memory.
type task struct {
	row                 structs.TaskRow
	listIndex           int // index in taskState.all
	run                 runState
	writing             bool // a change of the row is not yet durable
	writesInFlight      int  // number of changes of the row that are not yet durable
	intent              intent
	queued              bool
	queueSeq            uint64
	retryAt             Instant
	chargedTeam         string // team whose usage includes the commitment
	unplaceableReported bool   // the decision that no worker is large enough was recorded

	// unusedCheckpoints are objects that the row no longer names once it is durable.
	unusedCheckpoints []string

	resumeProgress float64         // progress at the checkpoint that the next run resumes from; shows how much the resumption loses
	failures       int             // since the last success; determines the delay before a retry
	replacedAt     Instant         // when a replacement was created
	inboxVersion   structs.Version // of the newest inbox row accepted
}

// loadRow adds one row that was read from the store after a takeover.
func (s *State) loadRow(o *ownedPartition, kr structs.KeyedRow) {
	o.tasks.init()
	switch r := kr.Row.(type) {
	case structs.UnreadableRow:
		s.loadUnreadable(o, kr.Key)
	case structs.TaskRow:
		o.tasks.insert(&task{row: r})
	case structs.WorkerRow:
		w := o.tasks.addWorker(r.Worker)
		w.row = r
		w.committed = r.Committed()
		for i := range r.Commitments {
			w.rowBytes += r.Commitments[i].Bytes()
		}
	}
}

// init creates the maps unless they exist already.
func (t *taskState) init() {
	if t.byID != nil {
		return
	}
	t.byID = make(map[structs.TaskID]*task)
	t.bySlot = make(map[slotKey][]*task)
	t.rows = make(map[string]*rowState)
	t.countByRow = make(map[string]int)
	t.workers = make(map[structs.WorkerID]*workerState)
	t.teamUsage = make(map[string]structs.Resources)
	t.unreadable = make(map[structs.TaskID]bool)
	t.interference = policy.NewInterference()
}

// insert adds a task to the list and to every index.
func (t *taskState) insert(x *task) {
	t.byID[x.row.Task] = x
	x.listIndex = len(t.all)
	t.all = append(t.all, x)
	key := slotKey{x.row.Row, x.row.Index}
	t.bySlot[key] = append(t.bySlot[key], x)
	t.countByRow[x.row.Row]++
	t.addToPhaseCount(x.row.Phase, 1)
	if x.row.Phase == structs.TaskMoved {
		t.movedMarkers = append(t.movedMarkers, x)
	}
}

// remove deletes a task from memory. The last task of the list takes its place,
// so that the cost does not depend on the number of tasks.
func (t *taskState) remove(x *task) {
	last := t.all[len(t.all)-1]
	t.all[x.listIndex], last.listIndex = last, x.listIndex
	t.all = t.all[:len(t.all)-1]
	delete(t.byID, x.row.Task)
	key := slotKey{x.row.Row, x.row.Index}
	t.bySlot[key] = without(t.bySlot[key], x)
	if len(t.bySlot[key]) == 0 {
		delete(t.bySlot, key)
	}
	t.addToPhaseCount(x.row.Phase, -1)
	if t.countByRow[x.row.Row]--; t.countByRow[x.row.Row] == 0 {
		delete(t.countByRow, x.row.Row)
		if r := t.rows[x.row.Row]; r != nil && !r.listed {
			delete(t.rows, x.row.Row)
		}
	}
}

// without removes x from the list in place and keeps the order.
func without(list []*task, x *task) []*task {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// addToPhaseCount adds n to the count of pending or running tasks that the phase
// belongs to.
func (t *taskState) addToPhaseCount(phase structs.TaskPhase, n int) {
	switch phase {
	case structs.TaskPending:
		t.pending += n
	case structs.TaskAssigned, structs.TaskEvicting:
		t.running += n
	}
}

// setPhase changes the phase of a task and updates the counts.
func (t *taskState) setPhase(x *task, phase structs.TaskPhase) {
	if phase == structs.TaskMoved {
		t.movedMarkers = append(t.movedMarkers, x)
	}
	t.addToPhaseCount(x.row.Phase, -1)
	x.row.Phase = phase
	t.addToPhaseCount(phase, 1)
}

// counts returns the number of pending and of running tasks.
func (t *taskState) counts() (pending, running int) { return t.pending, t.running }

// placed reports whether resources are committed to the task on a worker.
func (x *task) placed() bool {
	return x.row.Phase == structs.TaskAssigned || x.row.Phase == structs.TaskEvicting
}

// partitionLoaded starts managing a partition once all of its rows are loaded.
func (s *State) partitionLoaded(o *ownedPartition) {
	o.tasks.init()
	o.tasks.loadedAt = s.now
	s.readConfigHead(o)
	s.updateWorkers()
	s.adoptTasks(o)
	o.tasks.adopted = true
	for _, w := range o.tasks.workerList {
		if w.isLeaving() {
			s.evacuateWorker(o, w)
		}
	}
	s.scheduleReconcile(o)
	s.publish(o, s.runningTargets(o))
	if !o.tasks.syncScheduled {
		o.tasks.syncScheduled = true
		s.setTimer(s.now, timerWorkerSync, uint64(o.partition.id))
	}
}

// adoptTasks adopts the committed runs in the loaded rows. Nothing is done with a
// run until its worker has reported its state.
func (s *State) adoptTasks(o *ownedPartition) {
	o.tasks.restoreRows()
	for _, w := range o.tasks.workerList {
		for _, c := range w.row.Commitments {
			name := ""
			if t := o.tasks.byID[c.Task]; t != nil {
				name = t.row.Row
			}
			w.rowNames = append(w.rowNames, name)
		}
	}
	for _, t := range o.tasks.all {
		r := s.rowOf(o, t.row.Row)
		switch w := o.tasks.workers[t.row.Worker]; {
		case t.placed() && (w == nil || !w.hasCommitment(t.ref())):
			s.requeueUncommitted(o, t)
		case t.placed():
			s.charge(o, t, r.sheet.Team, t.row.Request)
			t.run.startSent, t.run.presumedRunning, t.run.evictedAt = true, true, s.now
			r.addPlacement(t, o.tasks.workers[t.row.Worker])
		}
		if o.tasks.newest(t) != t {
			s.retire(o, t)
		}
	}
}

// requeueUncommitted makes a task pending whose run is over: the commitment of a run is
// removed only when the run has certainly ended. The task's own row was not written when
// the store refused it.
func (s *State) requeueUncommitted(o *ownedPartition, t *task) {
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "requeued", Subject: string(t.row.Task), Where: string(t.row.Worker),
		Reason: "its worker's row has no commitment for the run", Request: string(t.row.Task),
	})
	o.tasks.setPhase(t, structs.TaskPending)
	t.row.Worker = ""
	s.saveTask(o, t, nil)
}

// partitionDropped is called when ownership ends. It writes nothing: the next
// owner reads the rows from the store.
func (s *State) partitionDropped(*ownedPartition) {}

// configChanged compares every owned partition with the new configuration.
func (s *State) configChanged() {
	s.forgetUnusedServices()
	for _, p := range s.partitions {
		if p.owned != nil && p.owned.loaded {
			s.scheduleReconcile(p.owned)
		}
	}
}

// scheduleWork schedules a step of work in a later event.
func (s *State) scheduleWork(o *ownedPartition) {
	if o.tasks.workScheduled {
		return
	}
	o.tasks.workScheduled = true
	s.setTimer(s.now+workStepDelay, timerTaskWork, uint64(o.partition.id))
}

// taskStep performs one bounded step: it compares the sheet with the tasks,
// places waiting tasks and publishes the targets.
func (s *State) taskStep(p *partition) {
	o := p.owned
	if o == nil || !o.loaded || o.releasing {
		return
	}
	o.tasks.workScheduled = false
	more := s.reconcileStep(o)
	if !more {
		more = s.placeStep(o)
	}
	if more {
		s.scheduleWork(o)
	}
	if o.tasks.targetsDirty {
		s.schedulePublish(o)
	}
}

// publishInterval is the minimum time between two publications of the targets:
// each one sends all targets to every peer.
const publishInterval = 50 * time.Millisecond

// schedulePublish publishes the targets, or schedules it when the last
// publication is less than publishInterval ago.
func (s *State) schedulePublish(o *ownedPartition) {
	if s.now < o.tasks.nextPublish {
		if !o.tasks.publishScheduled {
			o.tasks.publishScheduled = true
			s.setTimer(o.tasks.nextPublish, timerTaskWork, uint64(o.partition.id))
		}
		return
	}
	o.tasks.targetsDirty, o.tasks.publishScheduled = false, false
	o.tasks.nextPublish = s.now + publishInterval
	s.publish(o, s.runningTargets(o))
}

// targetsChanged schedules a publication of the targets with the next step of
// work.
func (s *State) targetsChanged(o *ownedPartition) {
	o.tasks.targetsDirty = true
	s.scheduleWork(o)
}
