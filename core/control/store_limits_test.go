package control_test

import (
	"strings"
	"testing"
	"time"

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
