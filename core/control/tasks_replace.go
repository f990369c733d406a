package control

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// replicaDrainTime is how long a replica keeps running after it was removed from
// the targets, so that a planned stop interrupts no call: 3 s until no entry host
// sends it new calls, and 2 s for those in progress.
const replicaDrainTime = 5 * time.Second

// retireTimeout bounds how long an old replica waits for its replacement to run.
const retireTimeout = 60 * time.Second

// taskID returns the id of the task of a slot; number counts the replacements,
// starting at 0. The home partition follows from the id with number 0.
func taskID(row string, index, number int) structs.TaskID {
	if number == 0 {
		return structs.TaskID(fmt.Sprintf("%s.%d", row, index))
	}
	return structs.TaskID(fmt.Sprintf("%s.%d-%d", row, index, number))
}

// replacementNumber extracts the replacement number from a task id.
func replacementNumber(id structs.TaskID) int {
	tail := string(id[strings.LastIndexByte(string(id), '.')+1:])
	_, number, ok := strings.Cut(tail, "-")
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(number)
	return n
}

// newest returns the task of the slot with the highest replacement number. All
// others in the slot are being replaced.
func (t *taskState) newest(x *task) *task {
	best := x
	for _, y := range t.bySlot[slotKey{x.row.Row, x.row.Index}] {
		if replacementNumber(y.row.Task) > replacementNumber(best.row.Task) {
			best = y
		}
	}
	return best
}

// replaceReplicas replaces the service replicas on a worker.
func (s *State) replaceReplicas(o *ownedPartition, w *workerState, reason string) {
	for _, c := range w.row.Commitments {
		if t := o.tasks.byID[c.Task]; t != nil && t.isRun(RunRef{c.Task, c.Run}) {
			s.replaceReplica(o, t, reason)
		}
	}
}

// replaceReplica creates a task with a new id in the slot of a service replica.
// The old replica keeps its commitment until its run has certainly ended.
func (s *State) replaceReplica(o *ownedPartition, t *task, reason string) {
	r := s.rowOf(o, t.row.Row)
	if t.row.Kind != structs.KindService || t.intent != intentKeep || !r.listed || r.stopped || o.tasks.newest(t) != t ||
		o.tasks.unreadable[slotPrefix(t.row.Task)] {
		return
	}
	id := taskID(t.row.Row, t.row.Index, replacementNumber(t.row.Task)+1)
	s.createTask(o, r, id, t.row.Index, t.row.Run)
	s.retire(o, t)
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "replaced by " + string(id), Subject: string(t.row.Task), Where: string(t.row.Worker),
		Reason: reason, Request: string(t.row.Task),
	})
}

// retire schedules the removal of an old replica once its replacement is running.
func (s *State) retire(o *ownedPartition, t *task) {
	t.replacedAt = s.now
	o.tasks.retiring = append(o.tasks.retiring, t)
}

// removeRetired removes old replicas whose replacement is running, or that have
// waited for retireTimeout.
func (s *State) removeRetired(o *ownedPartition) {
	kept := o.tasks.retiring[:0]
	for _, t := range o.tasks.retiring {
		if o.tasks.byID[t.row.Task] != t {
			continue
		}
		newest := o.tasks.newest(t)
		if newest == t {
			continue
		}
		kept = append(kept, t)
		if !o.stored(newest) {
			continue // a slot without any stored row would begin its run numbers anew
		}
		if t.row.Phase != structs.TaskPending && !s.replicaRunning(newest) && s.now-t.replacedAt < retireTimeout {
			continue
		}
		if t.run.endReason == "" {
			t.run.endReason = "replaced by " + string(newest.row.Task)
		}
		if t.intent != intentRemove {
			t.intent = intentRemove
			s.drainReplica(o, t)
		}
		s.advance(o, t)
	}
	o.tasks.retiring = kept
}

// drainReplica removes a replica that is to be stopped from the targets. It is
// stopped replicaDrainTime later. That also applies to an adopted replica whose
// worker has not yet confirmed that it runs.
func (s *State) drainReplica(o *ownedPartition, t *task) {
	if t.answersCalls() && t.run.drainingSince == 0 {
		t.run.drainingSince = s.now
		s.targetsChanged(o)
	}
}

// draining reports whether a replica that is to be stopped may still have calls
// in progress.
func (t *task) draining(now Instant) bool {
	return t.run.drainingSince > 0 && now-t.run.drainingSince < replicaDrainTime
}

// replicaRunning reports whether a replica is running, here or in the partition
// that it was transferred to.
func (s *State) replicaRunning(t *task) bool {
	if t.run.running {
		return true
	}
	for _, target := range s.routes.byService[t.row.Row] {
		if target.Task == t.row.Task {
			return true
		}
	}
	return false
}

// evacuateWorker moves all tasks away from a leaving worker: batch by eviction,
// replicas by replacement.
func (s *State) evacuateWorker(o *ownedPartition, w *workerState) {
	s.recordDecision(DecisionRecord{Part: "worker", Action: "leaves", Subject: string(w.id), Reason: "no new tasks; batch moves, replicas are replaced"})
	for _, c := range w.row.Commitments {
		if t := o.tasks.byID[c.Task]; t != nil && t.isRun(RunRef{c.Task, c.Run}) {
			s.moveOffWorker(o, t)
		}
	}
}

// moveOffWorker moves one task away from a leaving worker.
func (s *State) moveOffWorker(o *ownedPartition, t *task) {
	if t.row.Kind == structs.KindService {
		s.replaceReplica(o, t, "its worker leaves")
		return
	}
	s.evict(o, t, "its worker leaves", nil)
}
