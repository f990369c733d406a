package control_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// taskWorld returns a world with three entry hosts that have taken over all
// partitions, and racks of four workers with 8 processors each.
func taskWorld(seed uint64, partitions, workers int) *world {
	return newWorld(seed, partitions).addHosts(workers)
}

// addHosts adds the workers and three entry hosts and waits until the partitions
// have owners.
func (w *world) addHosts(workers int) *world {
	w.store.onCommit = w.checkCommit
	for i := range workers {
		x := w.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("rack%d", i/4), structs.Resources{MilliCores: 8000, MemoryMB: 8000})
		x.spec.Zone = fmt.Sprintf("z%d", i/4%2)
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("e%d", i), 1)
	}
	w.run(4 * time.Second)
	return w
}

// batchRow returns a batch row of low importance whose tasks request 500 MB of
// memory; cores is in thousandths of a processor.
func batchRow(name string, count int, cores int64, runTime time.Duration) structs.SheetRow {
	return structs.SheetRow{
		Name: name, Kind: structs.KindBatch, Count: count, Command: name, Importance: structs.ImportanceLow,
		Request: structs.Resources{MilliCores: cores, MemoryMB: 500}, RunTimeMS: runTime.Milliseconds(),
	}
}

// apply applies a sheet with all removals confirmed and waits until it is
// accepted.
func (w *world) apply(t *testing.T, rows ...structs.SheetRow) {
	t.Helper()
	id := control.OperatorRequestID(1000 + len(w.nodes[0].replies))
	n := w.live()[0]
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	removed := 0
	for _, r := range w.sheet {
		if _, ok := sheet.Find(rows, r.Name); !ok {
			removed++
		}
	}
	w.sheet = rows
	n.apply(control.ApplyRequested{Request: id, Author: "operator", Rows: rows, ConfirmRemovals: removed})
	if !w.runUntil(10*time.Second, func() bool { r, ok := reply[control.ApplyReply](n, id); return ok && r.Accepted }) {
		t.Fatalf("sheet not accepted: %+v", n.replies[id])
	}
}

// tasks returns the task rows of a sheet row, by id, without the markers of
// transferred tasks.
func (w *world) tasks(row string) []structs.TaskRow {
	var list []structs.TaskRow
	for _, k := range w.store.keys {
		if t, ok := w.store.rows[k].Row.(structs.TaskRow); ok && t.Row == row && t.Phase != structs.TaskMoved {
			list = append(list, t)
		}
	}
	return list
}

// inPhase counts the tasks of a sheet row in a phase.
func (w *world) inPhase(row string, phase structs.TaskPhase) int {
	n := 0
	for _, t := range w.tasks(row) {
		if t.Phase == phase {
			n++
		}
	}
	return n
}

// runs returns the runs of a sheet row on live workers.
func (w *world) runs(row string) (list []*fakeRun) {
	for _, x := range w.workers {
		for _, id := range x.taskIDs() {
			if r := x.runs[id]; !x.dead && r.spec.Row == row {
				list = append(list, r)
			}
		}
	}
	return list
}

// busiest returns the live worker that runs the most tasks.
func (w *world) busiest() *fakeWorker {
	best := w.workers[0]
	for _, x := range w.workers {
		if !x.dead && len(x.runs) > len(best.runs) {
			best = x
		}
	}
	return best
}

// committed returns the resources committed on all workers.
func (w *world) committed() (sum structs.Resources) {
	for _, k := range w.store.keys {
		if row, ok := w.store.rows[k].Row.(structs.WorkerRow); ok {
			sum = sum.Add(row.Committed())
		}
	}
	return sum
}

// countDecisions counts the decision records of all nodes whose action and subject have
// the prefixes.
func (w *world) countDecisions(action, subject string) int {
	n := 0
	for _, x := range w.nodes {
		for _, d := range x.records {
			if strings.HasPrefix(d.Action, action) && strings.HasPrefix(d.Subject, subject) {
				n++
			}
		}
	}
	return n
}

// expect waits for a condition.
func (w *world) expect(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	if !w.runUntil(limit, cond) {
		t.Errorf("at %v: condition not met within %v: %s", w.now, limit, what)
	}
}

// partitionOf returns the partition to which a worker belongs.
func partitionOf(x *fakeWorker, partitions int) structs.PartitionID {
	return control.PartitionOfRack(x.spec.Region, x.spec.Zone, x.spec.Rack, partitions)
}
