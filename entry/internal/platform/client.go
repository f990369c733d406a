package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// Client executes effects against the platform at one address. An effect that
// finds the pool's queue full has the outcome OutcomeNotDone.
type Client struct {
	endpoint transport.Endpoint
	address  string
	pool     *runner.Pool[control.EventBody]
	observe  runner.Observer
}

// NewClient returns a client of the platform at address (IP:port).
func NewClient(t *transport.Transport, address string, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{
		endpoint: transport.Endpoint{Transport: t, PeerKind: "platform"}, address: address, pool: pool, observe: observe,
	}
}

// submit queues one request. NewEvent returns the event that reports its outcome.
func (c *Client) submit(step string, timeout time.Duration,
	request func(context.Context) (control.Outcome, error),
	newEvent func(control.Outcome) control.EventBody,
) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: timeout,
		Run: func(ctx context.Context) control.EventBody {
			start := time.Now()
			outcome, err := request(ctx)
			c.observe(step, c.address, outcome, time.Since(start), err)
			return newEvent(outcome)
		},
		NotRun: func() control.EventBody { return newEvent(control.OutcomeNotDone) },
	})
}

// Commit executes a transaction.
func (c *Client) Commit(e control.Commit) {
	result := control.Committed{Effect: e.ID}
	c.submit("commit", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		return c.commit(ctx, e, &result)
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

func (c *Client) commit(ctx context.Context, e control.Commit, result *control.Committed) (control.Outcome, error) {
	const step = "commit"
	writes, err := encodeWrites(e.Writes)
	if err != nil {
		return control.OutcomeNotDone, err
	}
	request := wire.CommitRequest{Conditions: encodeConditions(e.Conditions), Writes: writes}
	response, outcome, err := c.endpoint.Post(ctx, step, c.address, wire.PathCommit, request)
	if err != nil {
		return outcome, err
	}
	switch response.Status {
	case http.StatusOK:
		var ok wire.CommitResponse
		if err := c.endpoint.Decode(step, c.address, response, &ok); err != nil {
			return control.OutcomeUnknown, err
		}
		result.Revision = structs.Version(ok.Revision)
		return control.OutcomeDone, nil
	case http.StatusConflict:
		return c.decodeConflict(response, result)
	}
	result.Rejected = transport.RejectsContent(response.Status)
	return c.endpoint.RefusalOutcome(step, c.address, response)
}

// decodeConflict decodes the rows of a refused transaction into result. An answer
// that cannot be decoded counts as unknown, so that the same transaction is
// submitted again.
func (c *Client) decodeConflict(response transport.Response, result *control.Committed) (control.Outcome, error) {
	var refusal wire.CommitConflict
	if err := c.endpoint.Decode("commit", c.address, response, &refusal); err != nil {
		return control.OutcomeUnknown, err
	}
	result.Conflicts = decodeRows(refusal.Conflicts)
	return control.OutcomeNotDone, nil
}

// ReadRows reads a page of rows.
func (c *Client) ReadRows(e control.ReadRows) {
	result := control.RowsRead{Effect: e.ID}
	c.submit("read-rows", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		query := url.Values{"prefix": {e.Prefix}, "limit": {strconv.Itoa(e.Limit)}}
		if e.After != "" {
			query.Set("after", string(e.After))
		}
		var page wire.RowsResponse
		if outcome, err := c.get(ctx, "read-rows", wire.PathRows, query, &page); err != nil {
			return outcome, err
		}
		result.Rows, result.More = decodeRows(page.Rows), page.More
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// ReadHostList reads the platform's list of workers.
func (c *Client) ReadHostList(e control.ReadHostList) {
	result := control.HostListRead{Effect: e.ID}
	c.submit("read-hosts", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		var list wire.HostsResponse
		query := url.Values{"known": {strconv.FormatUint(e.Known, 10)}}
		if outcome, err := c.get(ctx, "read-hosts", wire.PathHosts, query, &list); err != nil {
			return outcome, err
		}
		result.Version, result.Unchanged, result.Workers = list.Version, list.Unchanged, workersFromHosts(list.Hosts)
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// get fetches a JSON body and decodes it into out. The error is nil if and only if
// the outcome is OutcomeDone.
func (c *Client) get(ctx context.Context, step, path string, query url.Values, out any) (control.Outcome, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	response, outcome, err := c.endpoint.Do(ctx, step, http.MethodGet, u, nil, nil)
	if err != nil {
		return outcome, err
	}
	if response.Status != http.StatusOK {
		return c.endpoint.RefusalOutcome(step, c.address, response)
	}
	if err := c.endpoint.Decode(step, c.address, response, out); err != nil {
		return control.OutcomeUnknown, err
	}
	return control.OutcomeDone, nil
}

func workersFromHosts(hosts []wire.Host) []structs.Worker {
	workers := make([]structs.Worker, 0, len(hosts))
	for _, h := range hosts {
		workers = append(workers, structs.Worker{
			ID: structs.WorkerID(h.ID), Region: h.Region, Zone: h.Zone, Rack: h.Rack, Address: h.Address,
			State:    structs.HostState(h.State),
			Capacity: structs.Resources{MilliCores: h.MilliCores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators},
			Slots:    h.Slots, Connections: h.Connections,
		})
	}
	return workers
}
