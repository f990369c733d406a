package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestDeadWorkerBatch guards against batch work of a dead worker that is placed
// again before its leases have certainly expired, much later than that, or
// without its checkpoint.
func TestDeadWorkerBatch(t *testing.T) {
	w := taskWorld(40, 1, 8)
	w.apply(t, batchRow("study", 8, 4000, time.Hour))
	w.expect(t, 5*time.Second, "8 run", func() bool { return len(w.runs("study")) == 8 })
	w.run(2 * time.Second)
	x := w.busiest()
	lost := len(x.runs)
	x.dead = true
	w.run(14 * time.Second)
	if n := len(w.runs("study")); n != 8-lost {
		t.Errorf("%d run while a lease may be in force, want %d", n, 8-lost)
	}
	w.expect(t, 10*time.Second, "8 run again", func() bool { return len(w.runs("study")) == 8 })
	w.check(t)
}

// TestDeadWorkerReplicas guards against replacement replicas that wait for the
// leases of a dead worker: they have new ids and can start at once.
func TestDeadWorkerReplicas(t *testing.T) {
	w := taskWorld(41, 1, 8)
	w.apply(t, portalRow(8))
	w.expect(t, 5*time.Second, "8 run", func() bool { return len(w.runs("portal")) == 8 })
	x := w.busiest()
	x.dead = true
	w.expect(t, 8*time.Second, "8 run again", func() bool { return len(w.runs("portal")) == 8 })
	w.expect(t, 20*time.Second, "the old ones are retired", func() bool { return len(w.tasks("portal")) == 8 })
	w.check(t)
}

// TestUnresponsiveWorkerReturns guards against duplicate replicas that remain after a
// worker was unreachable and returned.
func TestUnresponsiveWorkerReturns(t *testing.T) {
	w := taskWorld(42, 1, 8)
	w.apply(t, portalRow(8))
	w.expect(t, 5*time.Second, "8 run", func() bool { return len(w.runs("portal")) == 8 })
	x := w.busiest()
	for _, n := range w.nodes {
		w.cut(n.address, x.spec.Address, true)
	}
	w.run(9 * time.Second)
	for _, n := range w.nodes {
		w.cut(n.address, x.spec.Address, false)
	}
	w.expect(t, 10*time.Second, "8 run, 8 rows", func() bool { return len(w.runs("portal")) == 8 && len(w.tasks("portal")) == 8 })
	w.run(10 * time.Second)
	if n := len(w.runs("portal")); n != 8 {
		t.Errorf("%d replicas run, want 8", n)
	}
	w.check(t)
}

// TestRestartedWorker guards against waiting for the leases of runs that a
// restart has certainly ended.
func TestRestartedWorker(t *testing.T) {
	w := taskWorld(43, 1, 8)
	w.apply(t, batchRow("study", 8, 4000, time.Hour))
	w.expect(t, 5*time.Second, "8 run", func() bool { return len(w.runs("study")) == 8 })
	w.busiest().restart()
	w.expect(t, 4*time.Second, "8 run again", func() bool { return len(w.runs("study")) == 8 })
	w.check(t)
}

// TestUnreachableAfterTakeover guards against placing batch runs elsewhere while
// a former owner, cut off from everything but the worker, may still renew their
// leases: not before outageGrace and one lease have passed.
func TestUnreachableAfterTakeover(t *testing.T) {
	w := taskWorld(44, 1, 8)
	w.apply(t, batchRow("study", 4, 4000, 10*time.Hour), portalRow(2))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 4 && len(w.runs("portal")) == 2 })
	former, x := w.anyOwner(), w.busiest()
	for _, n := range w.nodes {
		w.cut(former.address, n.address, n != former)
		w.cut(n.address, x.spec.Address, n != former)
	}
	w.cut(former.address, "store", true)
	w.run(10 * time.Minute)
	if n := len(w.runs("study")); n != 4 || len(x.runs) == 0 {
		t.Errorf("%d of 4 batch tasks run, %d on the worker that the former owner renews", n, len(x.runs))
	}
	if n := w.inPhase("portal", structs.TaskAssigned); n < 2 {
		t.Errorf("%d replicas are assigned, want at least 2: services must not wait", n)
	}
	x.dead = true
	w.expect(t, 25*time.Minute, "4 run after the outage grace", func() bool { return len(w.runs("study")) == 4 })
	w.check(t)
}

// TestAdoption guards against a takeover that restarts running tasks or leaves
// runs alive that are not in the rows.
func TestAdoption(t *testing.T) {
	w := taskWorld(45, 1, 8)
	w.apply(t, batchRow("study", 4, 1000, time.Hour), portalRow(4))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 4 && len(w.runs("portal")) == 4 })
	unknown := &fakeRun{spec: structs.TaskSpec{Row: "stray"}, leaseEnds: time.Hour, share: 1}
	unknown.ref.Task, unknown.ref.Run = "stray.0", 1
	w.workers[3].runs["stray.0"] = unknown
	w.anyOwner().kill()
	w.expect(t, 10*time.Second, "the unknown run is stopped", func() bool { return len(w.runs("stray")) == 0 })
	w.run(10 * time.Second)
	if n := len(w.started); n != 8 {
		t.Errorf("%d starts, want 8", n)
	}
	w.check(t)
}

// TestBadWorker guards against a worker that fails everything and keeps being
// given work, and against giving up jobs because of it.
func TestBadWorker(t *testing.T) {
	w := taskWorld(46, 1, 8)
	bad := w.workers[0]
	bad.failsAll = true
	var rows []structs.SheetRow
	// 10 rows of 4 tasks need more than all 8 workers.
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		rows = append(rows, batchRow(name, 4, 2000, time.Hour))
	}
	w.apply(t, rows...)
	w.expect(t, 30*time.Second, "set aside", func() bool { return w.countDecisions("set aside", "w00") == 1 })
	w.run(2 * time.Minute)
	running, failed := 0, 0
	for _, r := range rows {
		running += len(w.runs(r.Name))
		failed += w.inPhase(r.Name, structs.TaskFailed)
	}
	if running != 28 || failed > 0 {
		t.Errorf("%d tasks run on the 7 good workers, want 28; %d were given up, want 0", running, failed)
	}
	if n := w.countDecisions("assigned", ""); n > 28+3*4+5 {
		t.Errorf("%d assignments: the bad worker received more than the tasks of three rows and a few trials", n)
	}
	bad.failsAll = false
	w.expect(t, 10*time.Minute, "in good standing", func() bool { return w.countDecisions("in good standing", "w00") == 1 })
	w.expect(t, time.Minute, "all run", func() bool { return len(bad.runs) == 4 })
	w.check(t)
}

// TestReplacedWorkers guards against rows of removed workers that stay in the
// table, and against a conflict with the deleted row when a worker is listed
// again at once.
func TestReplacedWorkers(t *testing.T) {
	w := taskWorld(52, 1, 8)
	w.apply(t, batchRow("study", 8, 7000, 5*time.Second))
	w.expect(t, 10*time.Second, "finished", func() bool { return w.inPhase("study", structs.TaskFinished) == 8 })
	w.workers[0].unlisted, w.workers[1].unlisted = true, true
	w.run(2100 * time.Millisecond)
	w.workers[1].unlisted = false
	w.apply(t, batchRow("study", 8, 7000, 5*time.Second), batchRow("next", 7, 7000, time.Hour))
	w.expect(t, 10*time.Second, "7 run", func() bool { return len(w.runs("next")) == 7 })
	if _, ok := w.store.rows[structs.WorkerKey(0, "w00")]; ok {
		t.Error("the row of a removed worker was not deleted")
	}
	if n := w.countDecisions("gave up", ""); n > 0 {
		t.Errorf("the partition was lost %d times", n)
	}
	w.check(t)
}

// TestManyBadWorkers guards against quarantining most workers when the fault is
// in the jobs: at most a quarter of them may be.
func TestManyBadWorkers(t *testing.T) {
	w := taskWorld(50, 1, 8)
	var rows []structs.SheetRow
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		rows = append(rows, batchRow(name, 4, 2000, time.Hour))
		w.failingRows[name] = true
	}
	w.apply(t, rows...)
	w.run(25 * time.Second) // shorter than the first quarantine
	if n := w.countDecisions("set aside", ""); n != 2 {
		t.Errorf("%d of 8 workers were quarantined, want 2", n)
	}
	w.check(t)
}

// TestLeavingWorker guards against a planned leave that loses batch progress, or
// that stops replicas before their replacements run.
func TestLeavingWorker(t *testing.T) {
	w := taskWorld(47, 1, 8)
	w.apply(t, batchRow("study", 8, 2000, time.Hour), portalRow(8))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 8 && len(w.runs("portal")) == 8 })
	w.run(3 * time.Second)
	x := w.busiest()
	x.spec.State = structs.HostLeaving
	least := 8
	w.expect(t, 15*time.Second, "the worker is empty", func() bool {
		least = min(least, len(w.runs("portal")))
		return len(x.runs) == 0
	})
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 8 && len(w.runs("portal")) == 8 })
	if least < 8 {
		t.Errorf("at one point only %d replicas ran, want 8", least)
	}
	w.check(t)
}

// TestMovedRack guards against runs that stay duplicated, or with the old
// partition, after a worker returns in a rack of another partition.
func TestMovedRack(t *testing.T) {
	w := taskWorld(51, 2, 8)
	w.apply(t, batchRow("study", 8, 1000, time.Hour), portalRow(4))
	w.expect(t, 10*time.Second, "all run", func() bool { return len(w.runs("study")) == 8 && len(w.runs("portal")) == 4 })
	w.run(3 * time.Second)
	x := w.busiest()
	runs, from := len(x.runs), partitionOf(x, w.partitions)
	for i := 0; partitionOf(x, w.partitions) == from; i++ {
		x.spec.Rack = fmt.Sprintf("new-rack%d", i)
	}
	w.expect(t, 20*time.Second, "the old partition holds no commitment on it", func() bool {
		row, _ := w.store.rows[structs.WorkerKey(from, x.spec.ID)].Row.(structs.WorkerRow)
		return len(row.Commitments) == 0
	})
	w.expect(t, 10*time.Second, "all run once", func() bool { return len(w.runs("study")) == 8 && len(w.runs("portal")) == 4 })
	if runs == 0 {
		t.Error("the worker ran nothing, so the test proves nothing")
	}
	w.check(t)
}

// TestUnreachableAfterHandover guards against the same failure when the partition
// is then handed over by a planned stop: the clean release must not count as a
// release by the owner before.
func TestUnreachableAfterHandover(t *testing.T) {
	w := taskWorld(48, 1, 8)
	w.apply(t, batchRow("study", 4, 4000, 10*time.Hour))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 4 })
	former, x := w.anyOwner(), w.busiest()
	for _, n := range w.nodes {
		w.cut(former.address, n.address, n != former)
		w.cut(n.address, x.spec.Address, n != former)
	}
	w.cut(former.address, "store", true)
	w.run(12 * time.Second)
	for _, n := range w.nodes {
		if n != former && len(n.status().Tasks) > 0 {
			n.apply(control.DrainRequested{})
		}
	}
	w.run(3 * time.Minute)
	if len(x.runs) == 0 {
		t.Error("the former owner does not renew its leases, so the test proves nothing")
	}
	w.check(t)
}

// Guards against a faulty worker that lists thousands of runs nobody knows, and whose stop
// commands fill the pool of requests to all workers.
func TestManyUnknownRuns(t *testing.T) {
	w := taskWorld(19, 1, 4)
	odd := w.workers[0]
	for i := range 5000 {
		odd.extraStatuses = append(odd.extraStatuses, structs.RunStatus{Task: structs.TaskID(fmt.Sprint("ghost.", i)), Run: 1, State: structs.RunRunning})
	}
	most, stops := 0, 0
	for _, n := range w.nodes {
		n.observe = func(_ control.Event, effects []control.Effect) {
			count := 0
			for _, e := range effects {
				if _, ok := e.(control.StopTask); ok {
					count++
				}
			}
			most, stops = max(most, count), stops+count
		}
	}
	w.apply(t, batchRow("study", 8, 1000, time.Hour))
	w.expect(t, 10*time.Second, "all run", func() bool { return len(w.runs("study")) == 8 })
	if most > 32 || stops == 0 {
		t.Errorf("%d stop commands in one event, want 1 to 32; %d in all", most, stops)
	}
	w.check(t)
}
