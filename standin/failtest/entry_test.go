package failtest

import (
	"fmt"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

// Guards against partitions that stay without an owner, tasks that are
// interrupted and orders that run twice after an owner is killed.
func TestOwnerKilled(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 150))
	killed := c.busiestOwner()
	killed.Kill()
	c.awaitOwnersOtherThan(killed.ID)
	c.callThroughEachHost("after")
	rows := append([]structs.SheetRow{{
		Name: "late", Kind: structs.KindBatch, Team: "portal", Count: 2, RunTimeMS: 600_000,
		Request: structs.Resources{MilliCores: 1000, MemoryMB: 1000},
	}}, sheetRows...)
	living := 0
	if c.EntryHosts[0] == killed {
		living = 1
	}
	g := c.apply(living, "planner", 0, rows)
	c.must(c.AwaitGeneration(c.ctx, g, inForceTimeout))
	c.must(c.AwaitRunning(c.ctx, rows, placementTimeout))
	_, journal := c.stopAndAudit()
	for _, e := range journal {
		if e.Ended != nil {
			t.Errorf("%s run %d ended instead of being adopted by the new owner: %s", e.Ended.Task, e.Ended.Run, e.Ended.State)
		}
	}
}

// Guards against a frozen owner that acts on its former epoch once it continues.
func TestOwnerFrozen(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 150))
	frozen := c.busiestOwner()
	c.must(frozen.Freeze())
	c.awaitOwnersOtherThan(frozen.ID)
	c.callThroughEachHost("during")
	c.must(frozen.Thaw())
	c.must(deployment.Await(c.ctx, "the partition table's epochs at the former owner", recoveryTimeout, func() error { return c.checkEpochs(frozen) }))
	c.callThroughEachHost("after")
	_, journal := c.stopAndAudit()
	for _, e := range journal {
		if e.Ended != nil {
			t.Errorf("%s run %d ended: %s", e.Ended.Task, e.Ended.Run, e.Ended.State)
		}
	}
}

// checkEpochs checks that an entry host reports the epochs of the partition table.
func (c *cluster) checkEpochs(h *deployment.EntryHost) error {
	rows, err := c.PartitionRows()
	if err != nil {
		return err
	}
	status, err := h.Status()
	if err != nil {
		return err
	}
	for _, p := range status.Partitions {
		if int(p.Partition) < len(rows) && p.Epoch != rows[p.Partition].Epoch {
			return fmt.Errorf("partition %d: %s reports epoch %d, the table has %d", p.Partition, h.ID, p.Epoch, rows[p.Partition].Epoch)
		}
	}
	return nil
}

// Guards against an entry host that keeps its partitions, stops routing calls or
// accepts orders without a claim while it alone cannot reach the store.
func TestEntryHostDisconnectedFromStore(t *testing.T) {
	proxies := []*proxy{newProxy(t), newProxy(t), newProxy(t)}
	c := startCluster(t, func(i int, platform string) string { return proxies[i].setTarget(platform) }, loadFlags(40, 10, 0))
	isolated := c.busiestOwner()
	for i, h := range c.EntryHosts {
		if h == isolated {
			proxies[i].disconnect()
			defer proxies[i].reconnect()
		}
	}
	c.awaitOwnersOtherThan(isolated.ID)
	c.must(deployment.Await(c.ctx, "the isolated host reports the store unreachable", recoveryTimeout, func() error {
		if s, err := isolated.Status(); err != nil || s.StoreReachable {
			return fmt.Errorf("%s: store reachable: %v, %w", isolated.ID, s.StoreReachable, err)
		}
		return nil
	}))
	c.must(isolated.Call(calledService, "alone", "", 0))
	if err := isolated.Call(calledService, "alone-order", "alone-order", 0); err == nil {
		t.Error("an order was accepted without a claim")
	}
	for _, p := range proxies {
		p.reconnect()
	}
	c.must(deployment.Await(c.ctx, "an order through the reconnected host", recoveryTimeout, func() error {
		return isolated.Call(calledService, "mended-order", "mended-order", 0)
	}))
	_, journal := c.stopAndAudit()
	for _, e := range journal {
		if e.Execution != nil && e.Execution.Key == "alone-order" {
			t.Error("a target executed the refused order alone-order")
		}
		if e.Ended != nil {
			t.Errorf("%s run %d ended: %s", e.Ended.Task, e.Ended.Run, e.Ended.State)
		}
	}
}

// Guards against a planned stop that cuts calls, leaves partitions without an
// owner beyond the hand-over, or does not end.
func TestPlannedStopUnderLoad(t *testing.T) {
	c := startCluster(t, nil, loadFlags(8, 2, 2000)) // most calls outlast the hand-over
	c.callThroughEachHost("before")
	stopped := c.busiestOwner()
	c.must(stopped.Terminate())
	c.awaitOwnersOtherThan(stopped.ID)
	c.must(stopped.Wait(drainTimeout))
	c.callThroughEachHost("after")
	report, journal := c.stopAndAudit()
	for _, attempt := range report.IncompleteAttempts {
		t.Errorf("incomplete attempt: %+v", attempt)
	}
	for _, e := range journal {
		if e.Ended != nil {
			t.Errorf("%s run %d ended: %s", e.Ended.Task, e.Ended.Run, e.Ended.State)
		}
	}
}
