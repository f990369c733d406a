package control_test

import (
	"testing"
	"time"
)

// TestFrozenWorker guards against a worker that, after a pause longer than its
// leases, continues runs that were placed elsewhere in the meantime.
func TestFrozenWorker(t *testing.T) {
	w := smallWorld(8)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(3 * time.Second)
	w.workers[0].frozen = true
	w.run(40 * time.Second)
	w.workers[0].thaw()
	w.run(5 * time.Second)
	w.check(t)
}

// TestWorkerRestart guards against treating the runs of a worker as running after
// it has rebooted.
func TestWorkerRestart(t *testing.T) {
	w := smallWorld(9)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(3 * time.Second)
	w.workers[0].restart()
	w.run(20 * time.Second)
	w.check(t)
}
