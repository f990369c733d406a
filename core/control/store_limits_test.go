package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// checkViolations fails the test for each violation that the world recorded.
func (w *world) checkViolations(t *testing.T) {
	t.Helper()
	for _, v := range w.violations[:min(3, len(w.violations))] {
		t.Error(v)
	}
}

// Guards against a sheet with more tasks than one transaction holds, which the store
// refused as a whole and for good, so that the partition stood still.
func TestManyTasksAreWrittenInSeveralTransactions(t *testing.T) {
	w := taskWorld(1, 1, 8)
	w.apply(t, batchRow("many", 400, 10, time.Hour))
	w.expect(t, 20*time.Second, "all tasks are stored", func() bool { return len(w.tasks("many")) == 400 })
	w.checkViolations(t)
}

// Guards against a worker with room for so many small tasks that its row is over the
// store's limit, which stopped every change of its partition.
func TestWorkerRowHoldsNoMoreThanTheStoreTakes(t *testing.T) {
	w := taskWorld(3, 1, 1)
	tiny := batchRow(strings.Repeat("t", sheet.MaxNameBytes), 1000, 1, time.Hour)
	tiny.Request.MemoryMB = 1
	w.apply(t, tiny)
	w.expect(t, 60*time.Second, "the worker runs what its row holds", func() bool { return len(w.runs(tiny.Name)) > 300 })
	w.run(10 * time.Second)
	if w.countDecisions("waits", tiny.Name) == 0 {
		t.Error("no decision says why the other tasks wait")
	}
	w.apply(t, tiny, portalRow(1))
	w.workers[0].spec.State = structs.HostLeaving
	w.expect(t, 30*time.Second, "the tasks leave the worker", func() bool { return len(w.runs(tiny.Name)) == 0 })
	w.checkViolations(t)
}

// Guards against a worker's long reason for a failed run that makes the task's row larger
// than the store takes and so stops its whole partition, or that fills log and memory.
func TestLongReasonOfAFailure(t *testing.T) {
	w := taskWorld(4, 1, 4)
	good := batchRow("good", 8, 1000, 2*time.Second)
	w.apply(t, good)
	w.expect(t, 30*time.Second, "the workers run others well", func() bool { return w.inPhase("good", structs.TaskFinished) == 8 })
	for _, x := range w.workers {
		x.failDetail = strings.Repeat("é<", 60_000)
	}
	w.failingRows["bad"] = true
	w.apply(t, good, batchRow("bad", 1, 1000, time.Hour))
	w.expect(t, 120*time.Second, "the job is given up", func() bool { return w.inPhase("bad", structs.TaskFailed) == 1 })
	w.apply(t, good, batchRow("later", 1, 1000, time.Hour))
	w.expect(t, 10*time.Second, "other work starts", func() bool { return len(w.runs("later")) == 1 })
	for _, n := range w.nodes {
		for _, d := range n.records {
			if len(d.Reason) > 1024 || !utf8.ValidString(d.Reason) {
				t.Fatalf("%s %s: a reason of %d bytes", d.Part, d.Action, len(d.Reason))
			}
		}
	}
	w.checkViolations(t)
}

// Guards against a task's row that grows with every worker on which the task failed.
func TestTaskFailsOnManyWorkers(t *testing.T) {
	w := newWorld(5, 3)
	for i := range 48 {
		w.addWorker(fmt.Sprintf("w%02d", i), "rack", structs.Resources{MilliCores: 8000, MemoryMB: 8000})
	}
	w.addHosts(0) // all workers are in one partition, so that the task can't be tried in each
	w.failingRows["bad"] = true
	w.apply(t, batchRow("bad", 1, 1000, time.Hour))
	longest := 0
	w.store.onCommit = func([]structs.Write) {
		for _, row := range w.tasks("bad") {
			longest = max(longest, len(row.FailedOn))
		}
	}
	w.expect(t, 3*time.Hour, "the task has failed on 32 workers", func() bool { return longest >= 32 })
	w.run(10 * time.Minute)
	if longest > 32 {
		t.Errorf("%d workers in the task's row, want at most 32", longest)
	}
}

// Guards against one long entry of the host list that makes the store refuse the row of
// its worker and everything else of the partition.
func TestLongEntryOfTheHostList(t *testing.T) {
	w := newWorld(6, 1)
	w.addWorker(strings.Repeat("x", 200), "rack0", structs.Resources{MilliCores: 64_000, MemoryMB: 64_000})
	w.addWorker("", "rack0", structs.Resources{MilliCores: 64_000, MemoryMB: 64_000})
	w.addHosts(4)
	w.apply(t, batchRow("study", 8, 1000, time.Hour))
	w.expect(t, 10*time.Second, "all run on the other workers", func() bool { return len(w.runs("study")) == 8 })
	if w.countDecisions("entries not used", "host list") == 0 {
		t.Error("no decision says that entries are not used")
	}
	w.checkViolations(t)
}

// Guards against a row that the store refuses for good and that holds up the ownership
// of its partition and the tasks of all others.
func TestRefusedRowCostsItsTaskOnly(t *testing.T) {
	for name, refused := range map[string]func(structs.TaskRow) bool{
		"every row":       func(structs.TaskRow) bool { return true },
		"each assignment": func(row structs.TaskRow) bool { return row.Phase == structs.TaskAssigned },
	} {
		t.Run(name, func(t *testing.T) {
			w := taskWorld(7, 1, 8)
			w.store.rejects = func(x structs.Write) bool {
				row, ok := x.Row.(structs.TaskRow)
				return ok && row.Row == "odd" && refused(row)
			}
			w.apply(t, batchRow("odd", 3, 1000, time.Hour), batchRow("study", 40, 1000, time.Hour))
			w.expect(t, 15*time.Second, "the others run", func() bool { return len(w.runs("study")) == 40 })
			w.run(20 * time.Second)
			if took := w.countDecisions("took over", ""); took != 1 {
				t.Errorf("the partition had %d owners, want 1", took)
			}
			if n := w.countDecisions("row set aside", "odd."); n != 3 {
				t.Errorf("%d tasks were set aside, want the 3 refused ones", n)
			}
			w.apply(t, batchRow("odd", 3, 1000, time.Hour), batchRow("study", 64, 1000, time.Hour))
			w.expect(t, 15*time.Second, "later work has all of the workers", func() bool { return len(w.runs("study")) == 64 })
			w.store.rejects = nil
			w.apply(t, batchRow("odd", 3, 1000, time.Hour), batchRow("study", 61, 1000, time.Hour))
			w.expect(t, 2*time.Minute, "the refused ones run once the store takes them", func() bool { return len(w.runs("odd")) == 3 })
			w.check(t)
		})
	}
}

// Guards against accepted changes that are given up because the store refuses everything
// for a while.
func TestStoreRefusesEverything(t *testing.T) {
	w := taskWorld(8, 1, 8)
	w.apply(t, batchRow("study", 8, 1000, time.Hour))
	w.store.rejects = func(structs.Write) bool { return true }
	w.run(20 * time.Second)
	w.store.rejects = nil
	w.expect(t, 20*time.Second, "all run", func() bool { return len(w.runs("study")) == 8 })
	if n := w.countDecisions("row set aside", ""); n != 0 {
		t.Errorf("%d changes were given up", n)
	}
	w.check(t)
}

// Guards against tasks in an inbox that the store refuses to move and that hide the tasks
// behind them, on a page that is never read.
func TestRefusedTransfersDoNotHideOthers(t *testing.T) {
	w := newWorld(10, 1)
	w.store.rejects = func(x structs.Write) bool {
		row, ok := x.Row.(structs.TaskRow)
		return ok && row.Row == "odd"
	}
	row := structs.TaskRow{Kind: structs.KindBatch, Phase: structs.TaskPending, Row: "odd"}
	for i := range 210 {
		row.Task, row.Index = structs.TaskID(fmt.Sprintf("odd.%d", i)), i
		w.store.revision++
		w.store.set(structs.Write{Key: structs.InboxKey(0, row.Task), Row: row})
	}
	row.Task, row.Row, row.Index = "study.0", "study", 0
	w.store.revision++
	w.store.set(structs.Write{Key: structs.InboxKey(0, row.Task), Row: row})
	w.addHosts(4)
	w.expect(t, 10*time.Minute, "the task behind them is taken", func() bool {
		return w.store.get(structs.InboxKey(0, "study.0")).Row == nil
	})
	if w.store.get(structs.InboxKey(0, "odd.0")).Row == nil {
		t.Error("a refused task was dropped from the inbox")
	}
}

// Guards against a replica that is removed for a replacement whose row the store refuses,
// so that run numbers of the slot begin anew, and against a task that stays assigned for
// ever because the store took the end of its run in the worker's row only. Stateful fuzzing
// found both.
func TestRefusedRowsAroundTheEndOfARun(t *testing.T) {
	w := taskWorld(21, 1, 8)
	w.apply(t, portalRow(8), batchRow("study", 8, 1000, time.Hour))
	w.expect(t, 15*time.Second, "all run", func() bool { return len(w.runs("portal"))+len(w.runs("study")) == 16 })
	w.store.rejects = func(x structs.Write) bool {
		row, ok := x.Row.(structs.TaskRow)
		return ok && (strings.Contains(string(row.Task), "-") || row.Row == "study" && row.Phase != structs.TaskAssigned)
	}
	for _, x := range w.workers[:4] {
		x.dead = true
	}
	w.run(90 * time.Second)
	if n := len(w.tasks("portal")); n != 8 {
		t.Errorf("%d replicas have a row, want 8", n)
	}
	for _, x := range w.workers[:4] {
		x.restart()
	}
	w.apply(t, portalRow(8), batchRow("study", 8, 1000, time.Hour), batchRow("more", 40, 1000, time.Hour))
	w.expect(t, 15*time.Second, "rows of the workers are written", func() bool { return len(w.runs("more")) == 40 })
	w.store.rejects = nil
	w.anyOwner().kill()
	w.expect(t, 2*time.Minute, "all run again", func() bool { return len(w.runs("portal")) == 8 && len(w.runs("study")) == 8 })
	w.check(t)
}
