package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestBadRack guards against a job that is given up, or stays in its partition,
// because all workers of the partition fail what they start while other
// partitions have free capacity. Those workers have never run anything well, so
// their failures do not count against the job.
func TestBadRack(t *testing.T) {
	w := taskWorld(48, 3, 24)
	bad := 0
	for _, x := range w.workers {
		x.failsAll = control.PartitionOfRack(x.spec.Region, x.spec.Zone, x.spec.Rack, 3) == 0
		if x.failsAll {
			bad++
		}
	}
	if bad == 0 || bad == len(w.workers) {
		t.Fatalf("%d of %d workers are bad", bad, len(w.workers))
	}
	w.apply(t, batchRow("study", 12, 1000, time.Hour))
	w.expect(t, 2*time.Minute, "12 run", func() bool { return len(w.runs("study")) == 12 })
	if n := w.inPhase("study", structs.TaskFailed); n > 0 {
		t.Errorf("%d tasks were given up because of bad workers", n)
	}
	w.check(t)
}
