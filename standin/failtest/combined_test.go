package failtest

import (
	"testing"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

// setWorkerFaults sets the faults of all workers of a process.
func (c *cluster) setWorkerFaults(g *deployment.WorkerGroup, f wire.Faults) {
	c.t.Helper()
	hosts, err := c.Hosts()
	c.must(err)
	for _, id := range g.WorkerIDs() {
		c.must(deployment.SetFaults(hosts[string(id)].Address, f))
	}
}

// Guards against a lost answer that makes the entry host or its HTTP transport
// send an order to a target again, or makes a start or stop of a task count as
// not done.
func TestTargetsLoseAnswers(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 0))
	for _, g := range c.Workers {
		c.setWorkerFaults(g, wire.Faults{LoseResponsesPerMill: 200})
	}
	rows := append([]structs.SheetRow{{
		Name: "late", Kind: structs.KindBatch, Team: "portal", Count: 4, RunTimeMS: 600_000,
		Request: structs.Resources{MilliCores: 1000, MemoryMB: 1000},
	}}, sheetRows...)
	g := c.apply(1, "planner", 0, rows)
	c.must(c.AwaitGeneration(c.ctx, g, inForceTimeout))
	c.must(c.AwaitRunning(c.ctx, rows, placementTimeout))
	report, _ := c.stopAndAudit()
	lost := 0
	for status, n := range report.Statuses {
		if status != "200" && status != "200 recorded" {
			lost += n
		}
	}
	if lost == 0 {
		t.Error("no answer was lost: the fault had no effect")
	}
}

// Guards against tasks that stay on workers where every run fails, so that their
// row never runs: they must be rescheduled to workers that run them.
func TestTasksLeaveFailingWorkers(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 0))
	failing := c.busiestGroup(nil)
	c.setWorkerFaults(failing, wire.Faults{FailAll: true})
	rows := append([]structs.SheetRow{{
		Name: "late", Kind: structs.KindBatch, Team: "portal", Count: 6, RunTimeMS: 600_000,
		Request: structs.Resources{MilliCores: 1000, MemoryMB: 1000},
	}}, sheetRows...)
	g := c.apply(1, "planner", 0, rows)
	c.must(c.AwaitGeneration(c.ctx, g, inForceTimeout))
	c.must(c.AwaitRunning(c.ctx, rows, reschedulingTimeout))
	c.stopAndAudit()
}

// Guards against faults that are only handled one at a time: an owner is killed
// while the store loses answers, then a worker leaves and another owner is
// frozen until its partitions are taken over.
func TestOverlappingFaults(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 100))
	c.must(deployment.SetFaults(c.PlatformAddress, wire.Faults{LoseResponsesPerMill: 150, DelayMS: 30}))
	killed := c.busiestOwner()
	killed.Kill()
	c.awaitOwnersOtherThan(killed.ID)
	leaving := c.busiestGroup(nil)
	c.markLeaving(leaving)
	frozen := c.busiestOwner()
	c.must(frozen.Freeze())
	c.awaitOwnersOtherThan(frozen.ID)
	c.must(frozen.Thaw())
	c.must(deployment.Await(c.ctx, "no tasks on the leaving workers", reschedulingTimeout, func() error { return c.checkNoTasks(leaving.WorkerIDs()) }))
	c.must(c.AwaitRunning(c.ctx, sheetRows, reschedulingTimeout))
	c.must(deployment.SetFaults(c.PlatformAddress, wire.Faults{}))
	c.callThroughEachHost("after")
	_, journal := c.stopAndAudit()
	checkResumes(t, journal)
}
