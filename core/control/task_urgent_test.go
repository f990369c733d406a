package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const urgentLimit = 3300 * time.Millisecond

func urgentRow(count int, cores int64) structs.SheetRow {
	row := batchRow("settle", count, cores, 20*time.Second)
	row.Importance = structs.ImportanceUrgent
	return row
}

// TestUrgentLeavesEmptyPartition guards against urgent work that waits in a
// partition without workers because every other partition is full.
func TestUrgentLeavesEmptyPartition(t *testing.T) {
	w := taskWorld(66, 8, 4)
	study := batchRow("study", 20, 4000, time.Hour)
	w.apply(t, study)
	w.expect(t, 60*time.Second, "the only rack is full", func() bool { return len(w.runs("study")) == 8 })
	w.run(10 * time.Second)
	w.apply(t, study, urgentRow(3, 4000))
	w.expect(t, urgentLimit, "3 urgent tasks run", func() bool { return len(w.runs("settle")) == 3 })
	w.check(t)
}

// TestUrgentUnderPressure guards against urgent work that never starts, with
// repeated evictions, on workers where batch is throttled for a service.
func TestUrgentUnderPressure(t *testing.T) {
	w := taskWorld(67, 1, 2)
	for _, x := range w.workers {
		x.usage = func(r *fakeRun) structs.UsageSample {
			if r.spec.Row == "portal" {
				return structs.UsageSample{LatencyMS: 500}
			}
			return structs.UsageSample{Used: r.spec.Request}
		}
	}
	portal, study := portalRow(2), batchRow("study", 12, 1000, time.Hour)
	portal.LatencyTargetMS = 100
	w.apply(t, portal, study)
	w.expect(t, 30*time.Second, "batch is throttled", func() bool { return w.countDecisions("batch gets", "w") >= 2 })
	w.run(6 * time.Second) // runs that started less than 5 s ago are not evicted
	w.apply(t, portal, study, urgentRow(2, 4000))
	w.expect(t, urgentLimit, "2 urgent tasks run", func() bool { return len(w.runs("settle")) == 2 })
	w.check(t)
}

// TestCapacityReservedForUrgent guards against less important work that takes the free
// capacity of a worker while batch is being evicted there for urgent work.
func TestCapacityReservedForUrgent(t *testing.T) {
	w := taskWorld(68, 1, 4)
	study, small := batchRow("study", 4, 5000, time.Hour), batchRow("small", 8, 3000, time.Hour)
	w.apply(t, study)
	w.expect(t, 10*time.Second, "4 run", func() bool { return len(w.runs("study")) == 4 })
	w.run(10 * time.Second)
	w.apply(t, study, urgentRow(1, 8000))
	w.expect(t, time.Second, "the eviction has begun", func() bool { return w.countDecisions("evicted", "study") == 1 })
	w.apply(t, study, urgentRow(1, 8000), small)
	w.expect(t, urgentLimit, "the urgent task runs", func() bool { return len(w.runs("settle")) == 1 })
	if n := w.countDecisions("evicted", ""); n != 1 {
		t.Errorf("%d evictions for one urgent task, want 1", n)
	}
	w.check(t)
}
