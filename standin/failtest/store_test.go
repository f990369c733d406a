package failtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

// Guards against lost answers of the store that count as refusals, and against
// an outage of the store that stops idempotent calls, lets orders pass without a
// claim, or loses tasks or a configuration.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 0))
	c.must(deployment.SetFaults(c.PlatformAddress, wire.Faults{LoseResponsesPerMill: 300, DelayMS: 20}))
	row := sheetRows[1]
	row.Name, row.Count = "during", 2
	rows := append([]structs.SheetRow{row}, sheetRows...)
	reply, err := c.EntryHosts[1].Apply(wire.ApplyRequest{Author: "planner", Rows: rows})
	c.must(err)
	if !reply.Accepted && reply.Outcome != control.OutcomeUnknown {
		t.Fatalf("apply with lost answers: %+v", reply)
	}
	c.must(deployment.Await(c.ctx, "an order while the store loses answers", placementTimeout, func() error {
		return c.EntryHosts[0].Call(calledService, "lossy-order", "lossy-order", 0)
	}))
	c.must(deployment.SetFaults(c.PlatformAddress, wire.Faults{Hang: true}))
	c.must(deployment.Await(c.ctx, "all hosts report the store unreachable", recoveryTimeout, func() error { return c.checkStoreReachable(false) }))
	for i, h := range c.ActiveEntryHosts() {
		c.must(h.Call(calledService, fmt.Sprintf("outage-%d", i), "", 0))
	}
	began := time.Now()
	if err := c.EntryHosts[2].Call(calledService, "outage-order", "outage-order", 0); err == nil {
		t.Error("an order was accepted without a claim")
	}
	t.Logf("an order during the outage was refused after %.2f s", time.Since(began).Seconds())
	c.must(deployment.SetFaults(c.PlatformAddress, wire.Faults{}))
	c.must(deployment.Await(c.ctx, "all hosts report the store reachable", recoveryTimeout, func() error { return c.checkStoreReachable(true) }))
	c.must(deployment.Await(c.ctx, "an order after the outage", recoveryTimeout, func() error {
		return c.EntryHosts[2].Call(calledService, "restored-order", "restored-order", 0)
	}))
	g := c.apply(0, "planner", 0, rows)
	c.must(c.AwaitGeneration(c.ctx, g, inForceTimeout))
	c.must(c.AwaitRunning(c.ctx, rows, placementTimeout))
	_, journal := c.stopAndAudit()
	for _, e := range journal {
		if e.Ended != nil {
			t.Errorf("%s run %d ended: %s", e.Ended.Task, e.Ended.Run, e.Ended.State)
		}
	}
}

// checkStoreReachable checks that each active entry host reports the store as
// reachable or not, as wanted.
func (c *cluster) checkStoreReachable(want bool) error {
	for _, h := range c.ActiveEntryHosts() {
		if s, err := h.Status(); err != nil || s.StoreReachable != want {
			return fmt.Errorf("%s: store reachable: %v, %w", h.ID, s.StoreReachable, err)
		}
	}
	return nil
}

// Guards against a change that is lost, accepted twice or reverted when two
// operators apply at once.
func TestOperatorsRace(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 0))
	base := structs.Generation(1)
	for round := range 3 {
		replies := make(chan control.ApplyReply, 2)
		for i := range 2 {
			rows := append([]structs.SheetRow(nil), sheetRows...)
			rows[1].RunTimeMS = int64(700_000 + 10*round + i) // both change the same row
			go func() {
				reply, err := c.EntryHosts[i].Apply(wire.ApplyRequest{Author: fmt.Sprintf("operator-%d", i), Base: uint64(base), Rows: rows})
				if err != nil {
					t.Error(err)
				}
				replies <- reply
			}()
		}
		first, second := <-replies, <-replies
		if first.Accepted == second.Accepted {
			t.Fatalf("round %d: want one change accepted and one refused: %+v, %+v", round, first, second)
		}
		if second.Accepted {
			first, second = second, first
		}
		if len(second.Conflicts) != 1 || second.Conflicts[0].Name != sheetRows[1].Name {
			t.Errorf("round %d: the conflict does not name the row: %+v", round, second)
		}
		if first.Generation != base+1 {
			t.Errorf("round %d: generation %d follows generation %d", round, first.Generation, base)
		}
		base = first.Generation
		c.must(c.AwaitGeneration(c.ctx, base, inForceTimeout))
	}
	c.stopAndAudit()
}
