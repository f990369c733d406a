package main

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

const (
	serviceName        = "member-portal"
	batchName          = "tolerance-study"
	replicas           = 4
	batchTasks         = 4
	partitions         = 3
	stepTimeout        = 20 * time.Second // for each condition that a step waits for
	plannedStopTimeout = 35 * time.Second // for the planned stop of an entry host
	orderKey           = "demo-order-1"
)

// sheetRows is the sheet of the demo. The batch tasks run longer than the demo,
// so that one of them can move to another worker.
var sheetRows = []structs.SheetRow{
	{
		Name: serviceName, Kind: structs.KindService, Team: "portal", Command: "hold_ms=20 chunks=5",
		Importance: structs.ImportanceUrgent, Count: replicas, Request: structs.Resources{MilliCores: 4000, MemoryMB: 2000},
		LatencyTargetMS: 200,
	},
	{
		Name: batchName, Kind: structs.KindBatch, Team: "portal", Command: "use=0.8", Importance: structs.ImportanceNormal,
		Count: batchTasks, Request: structs.Resources{MilliCores: 8000, MemoryMB: 8000}, RunTimeMS: 120_000,
	},
}

func (d *demo) startAll() (string, error) {
	running, err := deployment.New(d.ctx, deployment.Options{
		ProgramFolder: d.bin, Folder: d.folder, Workers: deployment.WorkerGroupsByRack(4, partitions), EntryHosts: 3, Partitions: partitions,
	})
	d.Deployment = running
	return "8 workers in 4 racks and 2 availability zones, 3 entry hosts", err
}

func (d *demo) awaitInForce() (string, error) {
	began := time.Now()
	err := d.AwaitGeneration(d.ctx, 1, stepTimeout)
	return fmt.Sprintf("after %.2f s", time.Since(began).Seconds()), err
}

func (d *demo) awaitTasks() (string, error) {
	if err := d.AwaitRunning(d.ctx, sheetRows, stepTimeout); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d replicas and %d batch tasks run", replicas, batchTasks), nil
}

func (d *demo) callThroughEachHost() (string, error) {
	for _, h := range d.EntryHosts {
		if err := h.Call(serviceName, "demo-call-"+h.ID, "", 0); err != nil {
			return "", oops.With("host", h.ID).Wrap(err)
		}
	}
	return fmt.Sprintf("%d entry hosts; each line of the answers named its own request", len(d.EntryHosts)), nil
}

// repeatOrder sends an order and repeats it at another host. A repeat is answered
// "unknown" until the first host has recorded the result, so it is retried.
func (d *demo) repeatOrder() (string, error) {
	if err := d.EntryHosts[0].Call(serviceName, orderKey, orderKey, 0); err != nil {
		return "", oops.With("host", d.EntryHosts[0].ID).Wrap(err)
	}
	err := deployment.Await(d.ctx, "the recorded answer at another host", stepTimeout, func() error {
		return d.EntryHosts[1].Call(serviceName, orderKey, orderKey, 0)
	})
	if err != nil {
		return "", err
	}
	runs, err := d.countExecutions(orderKey)
	if err != nil {
		return "", err
	}
	if runs != 1 {
		return "", oops.Errorf("the targets executed order %s %d times", orderKey, runs)
	}
	return "both callers got the complete answer; the targets executed the order once", nil
}

// countExecutions returns how often the targets executed the order with the key.
func (d *demo) countExecutions(key string) (int, error) {
	journal, err := d.Journal()
	if err != nil {
		return 0, err
	}
	n := 0
	for _, e := range journal {
		if e.Execution != nil && e.Execution.Key == key {
			n++
		}
	}
	return n, nil
}

// leaveWorker marks a worker with a batch task as leaving and waits until the
// task runs elsewhere from its checkpoint.
func (d *demo) leaveWorker() (string, error) {
	moved, err := d.assignedBatchTask()
	if err != nil {
		return "", err
	}
	hosts, err := d.Hosts()
	if err != nil {
		return "", err
	}
	if err := deployment.MarkLeaving(hosts[string(moved.Worker)].Address); err != nil {
		return "", err
	}
	var resumed wire.RunInterval
	err = deployment.Await(d.ctx, "the batch task resumes elsewhere", stepTimeout, func() error {
		journal, err := d.Journal()
		if err != nil {
			return err
		}
		for _, e := range journal {
			if r := e.Started; r != nil && r.Task == moved.Task && r.Worker != moved.Worker && r.ResumeFrom != "" {
				resumed = *r
				return nil
			}
		}
		return oops.Errorf("task %s has not resumed", moved.Task)
	})
	return fmt.Sprintf("%s moved from %s to %s with its checkpoint", moved.Task, moved.Worker, resumed.Worker), err
}

// assignedBatchTask returns the row of a batch task that is assigned to a worker.
func (d *demo) assignedBatchTask() (structs.TaskRow, error) {
	rows, err := d.TaskRows()
	if err != nil {
		return structs.TaskRow{}, err
	}
	for i := range batchTasks {
		if row := rows[structs.TaskID(fmt.Sprintf("%s.%d", batchName, i))]; row.Phase == structs.TaskAssigned {
			return row, nil
		}
	}
	return structs.TaskRow{}, oops.Errorf("no task of batch %s is assigned", batchName)
}

// stopEntryHost stops an entry host while it serves slow calls, which must all
// get their complete answers.
func (d *demo) stopEntryHost() (string, error) {
	const slowCalls = 4
	const hold = 2 * time.Second
	h := d.EntryHosts[2]
	answers := make(chan error, slowCalls)
	for i := range slowCalls {
		go func() { answers <- h.Call(serviceName, fmt.Sprintf("demo-slow-%d", i), "", hold) }()
	}
	err := deployment.Await(d.ctx, "executions of the slow calls", stepTimeout, func() error { return d.checkExecuting("demo-slow-", slowCalls) })
	if err != nil {
		return "", err
	}
	if err := h.Terminate(); err != nil {
		return "", err
	}
	for range slowCalls {
		if err := <-answers; err != nil {
			return "", err
		}
	}
	if err := h.Wait(plannedStopTimeout); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d calls got their complete answers, then %s ended with status 0", slowCalls, h.ID), nil
}

// checkExecuting checks that targets have started at least n calls whose caller
// IDs have the prefix.
func (d *demo) checkExecuting(prefix string, n int) error {
	journal, err := d.Journal()
	if err != nil {
		return err
	}
	started := 0
	for _, e := range journal {
		if e.Execution != nil && len(e.Execution.CallerID) > len(prefix) && e.Execution.CallerID[:len(prefix)] == prefix {
			started++
		}
	}
	if started < n {
		return oops.Errorf("targets have started %d of %d calls %s*", started, n, prefix)
	}
	return nil
}
