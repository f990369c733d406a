package control_test

import (
	"testing"
	"time"
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
