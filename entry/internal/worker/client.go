// Package worker executes the effects towards workers: renewing leases and
// starting, stopping, checkpointing and throttling runs.
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

// Client executes effects against workers. Jobs that find its pool's queue full
// are answered "not done".
type Client struct {
	endpoint transport.Endpoint
	pool     *runner.Pool[control.EventBody]
	observe  runner.Observer
}

// NewClient returns a client of all workers.
func NewClient(t *transport.Transport, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{endpoint: transport.Endpoint{Transport: t, Part: "worker"}, pool: pool, observe: observe}
}

// Sync renews leases and reads the status of a worker.
func (c *Client) Sync(f control.SyncWorker) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: f.Timeout,
		Run: func(ctx context.Context) control.EventBody {
			began := time.Now()
			result, err := c.sync(ctx, f)
			c.observe("sync", f.Address, result.Outcome, time.Since(began), err)
			return result
		},
		NotRun: func() control.EventBody {
			return control.WorkerSynced{Effect: f.ID, Outcome: control.OutcomeNotDone}
		},
	})
}

func (c *Client) sync(ctx context.Context, f control.SyncWorker) (control.WorkerSynced, error) {
	result := control.WorkerSynced{Effect: f.ID}
	request := wire.SyncRequest{
		Owner: owner(f.Partition, f.Epoch), Boot: f.Boot, LeaseUntilUS: f.LeaseUntil.Microseconds(),
		Runs: make([]wire.RunRef, 0, len(f.Runs)),
	}
	for _, r := range f.Runs {
		request.Runs = append(request.Runs, runRef(r))
	}
	answer, outcome, err := c.endpoint.Post(ctx, "sync", f.Address, wire.PathSync, request)
	result.Outcome = outcome
	if err != nil {
		return result, err
	}
	if answer.Status != http.StatusOK {
		result.Fenced = fencedBy(answer)
		result.Outcome, err = c.endpoint.Refused("sync", f.Address, answer)
		return result, err
	}
	var ok wire.SyncAnswer
	if err := c.endpoint.Decode("sync", f.Address, answer, &ok); err != nil {
		result.Outcome = control.OutcomeUnknown
		return result, err
	}
	result.Boot, result.Clock = ok.Boot, time.Duration(ok.ClockUS)*time.Microsecond
	result.Leaving, result.Runs, result.Usage = ok.Leaving, ok.Runs, ok.Usage
	return result, nil
}

// Start starts a committed run.
func (c *Client) Start(f control.StartTask) {
	c.command(command{
		id: f.ID, step: "start", address: f.Address, path: wire.PathStart, timeout: f.Timeout,
		body: wire.StartRequest{
			Owner: owner(f.Partition, f.Epoch), RunRef: runRef(f.Ref), Boot: f.Boot,
			NotAfterUS: f.NotAfter.Microseconds(), LeaseUntilUS: f.LeaseUntil.Microseconds(), Spec: f.Spec,
		},
	})
}

// Stop stops a run.
func (c *Client) Stop(f control.StopTask) {
	c.command(command{
		id: f.ID, step: "stop", address: f.Address, path: wire.PathStop, timeout: f.Timeout,
		body: wire.RunRequest{Owner: owner(f.Partition, f.Epoch), RunRef: runRef(f.Ref)},
	})
}

// Checkpoint tells a worker to checkpoint a run and then to stop it.
func (c *Client) Checkpoint(f control.CheckpointTask) {
	c.command(command{
		id: f.ID, step: "checkpoint", address: f.Address, path: wire.PathCheckpoint, timeout: f.Timeout,
		body: wire.CheckpointRequest{Owner: owner(f.Partition, f.Epoch), RunRef: runRef(f.Ref), Object: f.Object},
	})
}

// Throttle limits a run to a share of its processors.
func (c *Client) Throttle(f control.ThrottleTask) {
	c.command(command{
		id: f.ID, step: "throttle", address: f.Address, path: wire.PathThrottle, timeout: f.Timeout,
		body: wire.ThrottleRequest{Owner: owner(f.Partition, f.Epoch), RunRef: runRef(f.Ref), Share: f.Share},
	})
}

// command is a request that is answered by CommandDone.
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
			began := time.Now()
			result, err := c.send(ctx, cmd)
			c.observe(cmd.step, cmd.address, result.Outcome, time.Since(began), err)
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
	answer, outcome, err := c.endpoint.Post(ctx, cmd.step, cmd.address, cmd.path, cmd.body)
	result.Outcome = outcome
	if err != nil {
		result.Detail = err.Error()
		return result, err
	}
	if answer.Status/100 == 2 {
		return result, nil
	}
	result.Fenced = fencedBy(answer)
	result.Outcome, err = c.endpoint.Refused(cmd.step, cmd.address, answer)
	result.Detail = refusalReason(answer, err)
	return result, err
}

func owner(p structs.PartitionID, e structs.Epoch) wire.Owner {
	return wire.Owner{Partition: int(p), Epoch: uint64(e)}
}

func runRef(r control.RunRef) wire.RunRef {
	return wire.RunRef{Task: string(r.Task), Run: uint64(r.Run)}
}

// fencedBy returns the higher epoch that a worker has seen, or 0.
func fencedBy(a transport.Answer) structs.Epoch {
	if a.Status != http.StatusConflict {
		return 0
	}
	var f wire.Fenced
	if json.Unmarshal(a.Body, &f) != nil {
		return 0
	}
	return structs.Epoch(f.Epoch)
}

// refusalReason returns the worker's own words where it gave any.
func refusalReason(a transport.Answer, err error) string {
	var r wire.Refusal
	if json.Unmarshal(a.Body, &r) == nil && r.Reason != "" {
		return r.Reason
	}
	return err.Error()
}
