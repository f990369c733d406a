// Package worker executes effects against workers: it renews leases, and starts,
// stops, checkpoints and throttles runs. It keeps no state and makes no decisions.
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// Client executes effects against workers. An effect that finds the pool's queue
// full has the outcome OutcomeNotDone.
type Client struct {
	endpoint transport.Endpoint
	pool     *runner.Pool[control.EventBody]
	observe  runner.Observer
}

// NewClient returns a client of all workers.
func NewClient(t *transport.Transport, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{endpoint: transport.Endpoint{Transport: t, PeerKind: "worker"}, pool: pool, observe: observe}
}

// Sync renews leases and reads the status of a worker.
func (c *Client) Sync(e control.SyncWorker) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: e.Timeout,
		Run: func(ctx context.Context) control.EventBody {
			start := time.Now()
			result, err := c.sync(ctx, e)
			c.observe("sync", e.Address, result.Outcome, time.Since(start), err)
			return result
		},
		NotRun: func() control.EventBody {
			return control.WorkerSynced{Effect: e.ID, Outcome: control.OutcomeNotDone}
		},
	})
}

func (c *Client) sync(ctx context.Context, e control.SyncWorker) (control.WorkerSynced, error) {
	result := control.WorkerSynced{Effect: e.ID}
	request := wire.SyncRequest{
		Owner: commandOwner(e.Partition, e.Epoch), Incarnation: e.Boot, LeaseUntilUS: e.LeaseUntil.Microseconds(),
		Runs: make([]wire.RunRef, 0, len(e.Runs)),
	}
	for _, r := range e.Runs {
		request.Runs = append(request.Runs, runRef(r))
	}
	response, outcome, err := c.endpoint.Post(ctx, "sync", e.Address, wire.PathSync, request)
	result.Outcome = outcome
	if err != nil {
		return result, err
	}
	if response.Status != http.StatusOK {
		result.Fenced = higherEpoch(response)
		result.Outcome, err = c.endpoint.RefusalOutcome("sync", e.Address, response)
		return result, err
	}
	var ok wire.SyncResponse
	if err := c.endpoint.Decode("sync", e.Address, response, &ok); err != nil {
		result.Outcome = control.OutcomeUnknown
		return result, err
	}
	result.Boot, result.Clock = ok.Incarnation, time.Duration(ok.ClockUS)*time.Microsecond
	result.Leaving, result.Runs, result.Usage = ok.Leaving, ok.Runs, ok.Usage
	return result, nil
}

// Start starts a committed run.
func (c *Client) Start(e control.StartTask) {
	c.command(command{
		id: e.ID, step: "start", address: e.Address, path: wire.PathStart, timeout: e.Timeout,
		body: wire.StartRequest{
			Owner: commandOwner(e.Partition, e.Epoch), RunRef: runRef(e.Ref), Incarnation: e.Boot,
			NotAfterUS: e.NotAfter.Microseconds(), LeaseUntilUS: e.LeaseUntil.Microseconds(), Spec: e.Spec,
		},
	})
}

// Stop stops a run.
func (c *Client) Stop(e control.StopTask) {
	c.command(command{
		id: e.ID, step: "stop", address: e.Address, path: wire.PathStop, timeout: e.Timeout,
		body: wire.RunRequest{Owner: commandOwner(e.Partition, e.Epoch), RunRef: runRef(e.Ref)},
	})
}

// Checkpoint tells a worker to checkpoint a run and then to stop it.
func (c *Client) Checkpoint(e control.CheckpointTask) {
	c.command(command{
		id: e.ID, step: "checkpoint", address: e.Address, path: wire.PathCheckpoint, timeout: e.Timeout,
		body: wire.CheckpointRequest{Owner: commandOwner(e.Partition, e.Epoch), RunRef: runRef(e.Ref), Object: e.Object},
	})
}

// Throttle limits a run to a share of its processors.
func (c *Client) Throttle(e control.ThrottleTask) {
	c.command(command{
		id: e.ID, step: "throttle", address: e.Address, path: wire.PathThrottle, timeout: e.Timeout,
		body: wire.ThrottleRequest{Owner: commandOwner(e.Partition, e.Epoch), RunRef: runRef(e.Ref), Share: e.Share},
	})
}

// command is a request whose outcome is reported by control.CommandDone.
type command struct {
	id            control.EffectID
	step          string
	address, path string
	timeout       time.Duration
	body          any
}

func (c *Client) command(cmd command) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: cmd.timeout,
		Run: func(ctx context.Context) control.EventBody {
			start := time.Now()
			result, err := c.send(ctx, cmd)
			c.observe(cmd.step, cmd.address, result.Outcome, time.Since(start), err)
			return result
		},
		NotRun: func() control.EventBody {
			return control.CommandDone{
				Effect: cmd.id, Outcome: control.OutcomeNotDone, Detail: "too many commands are waiting",
			}
		},
	})
}

func (c *Client) send(ctx context.Context, cmd command) (control.CommandDone, error) {
	result := control.CommandDone{Effect: cmd.id}
	response, outcome, err := c.endpoint.Post(ctx, cmd.step, cmd.address, cmd.path, cmd.body)
	result.Outcome = outcome
	if err != nil {
		result.Detail = err.Error()
		return result, err
	}
	if response.Status/100 == 2 {
		return result, nil
	}
	result.Fenced = higherEpoch(response)
	result.Outcome, err = c.endpoint.RefusalOutcome(cmd.step, cmd.address, response)
	result.Detail = refusalReason(response, err)
	return result, err
}

func commandOwner(p structs.PartitionID, e structs.Epoch) wire.Owner {
	return wire.Owner{Partition: int(p), Epoch: uint64(e)}
}

func runRef(r control.RunRef) wire.RunRef {
	return wire.RunRef{Task: string(r.Task), Run: uint64(r.Run)}
}

// higherEpoch returns the higher epoch that a worker reports in a refusal, or 0.
func higherEpoch(response transport.Response) structs.Epoch {
	if response.Status != http.StatusConflict {
		return 0
	}
	var fenced wire.Fenced
	if json.Unmarshal(response.Body, &fenced) != nil {
		return 0
	}
	return structs.Epoch(fenced.Epoch)
}

// refusalReason returns the worker's reason for a refusal, or else the text of err.
func refusalReason(response transport.Response, err error) string {
	var refusal wire.Refusal
	if json.Unmarshal(response.Body, &refusal) == nil && refusal.Reason != "" {
		return refusal.Reason
	}
	return err.Error()
}
