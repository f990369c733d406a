package control_test

import (
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// checkStartedRun checks a run that begins on a worker: no other worker runs
// the same task, the run starts once and after its assignment is durable, its
// checkpoint exists, and the worker has capacity for all its runs.
func (w *world) checkStartedRun(x *fakeWorker, r *fakeRun) {
	for _, other := range w.workers {
		if other == x || other.dead {
			continue
		}
		other.expireLeases()
		if o := other.runs[r.ref.Task]; o != nil && !other.frozen {
			w.recordViolation("task %s runs on %s (run %d) and on %s (run %d)", r.ref.Task, other.spec.ID, o.ref.Run, x.spec.ID, r.ref.Run)
		}
	}
	if w.started[r.ref]++; w.started[r.ref] > 1 {
		w.recordViolation("run %d of task %s was started %d times", r.ref.Run, r.ref.Task, w.started[r.ref])
	}
	if !w.durable(r.ref) {
		w.recordViolation("run %d of task %s started before its assignment was durable", r.ref.Run, r.ref.Task)
	}
	if from := r.spec.ResumeFrom; from != "" {
		if _, ok := w.checkpoints[from]; !ok {
			w.recordViolation("task %s resumes from %s, which was never written", r.ref.Task, from)
		}
	}
	var used structs.Resources
	for _, id := range x.taskIDs() {
		used = used.Add(x.runs[id].spec.Request)
	}
	if !used.Fits(x.spec.Capacity) {
		w.recordViolation("worker %s runs tasks that request %+v, more than its capacity %+v", x.spec.ID, used, x.spec.Capacity)
	}
}

// durable reports whether the store holds a task row with the run or a later
// one.
func (w *world) durable(ref control.RunRef) bool {
	for p := range w.partitions {
		row, ok := w.store.get(structs.TaskKey(structs.PartitionID(p), ref.Task)).Row.(structs.TaskRow)
		if ok && row.Run >= ref.Run {
			return true
		}
	}
	return false
}

// checkCommit checks the rows that a transaction writes: no worker is committed
// beyond its capacity, and no epoch of a partition has two owners.
func (w *world) checkCommit(writes []structs.Write) {
	for _, x := range writes {
		if row, ok := x.Row.(structs.PartitionRow); ok {
			w.checkEpoch(x.Key, row)
		}
		row, ok := x.Row.(structs.WorkerRow)
		if !ok {
			continue
		}
		if worker := w.workerAt(string(row.Worker)); worker != nil && !row.Committed().Fits(worker.spec.Capacity) {
			w.recordViolation("worker %s is committed to %+v, more than its capacity %+v", row.Worker, row.Committed(), worker.spec.Capacity)
		}
	}
}

func (w *world) checkEpoch(key structs.RowKey, row structs.PartitionRow) {
	of := fmt.Sprintf("%s epoch %d", key, row.Epoch)
	if before, ok := w.epochs[of]; ok && before != row.Instance {
		w.recordViolation("%s belongs to %s and to %s", of, before, row.Instance)
	}
	w.epochs[of] = row.Instance
}

// checkGenerations checks that no entry host reverted to an older generation.
func (w *world) checkGenerations() {
	for _, n := range w.live() {
		g := n.status().Generation
		if g < n.maxGeneration {
			w.recordViolation("%s went back from generation %d to %d", n.host, n.maxGeneration, g)
		}
		n.maxGeneration = max(n.maxGeneration, g)
	}
}

// owners returns, by partition, the live nodes that report to own it.
func (w *world) owners() map[structs.PartitionID][]structs.HostID {
	owners := make(map[structs.PartitionID][]structs.HostID)
	for _, n := range w.live() {
		for _, p := range n.status().Partitions {
			if p.Owner == n.host {
				owners[p.Partition] = append(owners[p.Partition], n.host)
			}
		}
	}
	return owners
}

// reply returns a node's reply to an operator's request.
func reply[T control.Reply](n *node, id control.OperatorRequestID) (T, bool) {
	r, ok := n.replies[id].(T)
	return r, ok
}
