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

// Client executes effects against the platform at one address. Jobs that find
// its pool's queue full are answered "not done".
type Client struct {
	endpoint transport.Endpoint
	address  string
	pool     *runner.Pool[control.EventBody]
	observe  runner.Observer
}

// NewClient returns a client of the platform at address (IP:port).
func NewClient(t *transport.Transport, address string, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{
		endpoint: transport.Endpoint{Transport: t, Part: "platform"}, address: address, pool: pool, observe: observe,
	}
}

// submit runs one request. The result's outcome is set by finish.
func (c *Client) submit(step string, timeout time.Duration,
	request func(context.Context) (control.Outcome, error),
	finish func(control.Outcome) control.EventBody,
) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: timeout,
		Run: func(ctx context.Context) control.EventBody {
			began := time.Now()
			outcome, err := request(ctx)
			c.observe(step, c.address, outcome, time.Since(began), err)
			return finish(outcome)
		},
		NotRun: func() control.EventBody { return finish(control.OutcomeNotDone) },
	})
}

// Commit executes a transaction.
func (c *Client) Commit(f control.Commit) {
	result := control.Committed{Effect: f.ID}
	c.submit("commit", f.Timeout, func(ctx context.Context) (control.Outcome, error) {
		return c.commit(ctx, f, &result)
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

func (c *Client) commit(ctx context.Context, f control.Commit, result *control.Committed) (control.Outcome, error) {
	const step = "commit"
	writes, err := encodeWrites(f.Writes)
	if err != nil {
		return control.OutcomeNotDone, err
	}
	request := wire.CommitRequest{Conditions: encodeConditions(f.Conditions), Writes: writes}
	answer, outcome, err := c.endpoint.Post(ctx, step, c.address, wire.PathCommit, request)
	if err != nil {
		return outcome, err
	}
	switch answer.Status {
	case http.StatusOK:
		var ok wire.CommitAnswer
		if err := c.endpoint.Decode(step, c.address, answer, &ok); err != nil {
			return control.OutcomeUnknown, err
		}
		result.Revision = structs.Version(ok.Revision)
		return control.OutcomeDone, nil
	case http.StatusConflict:
		return c.conflict(answer, result)
	}
	return c.endpoint.Refused(step, c.address, answer)
}

// conflict takes in the rows of a refused transaction. A refusal that cannot be
// read counts as unknown, so that the same transaction is submitted again.
func (c *Client) conflict(answer transport.Answer, result *control.Committed) (control.Outcome, error) {
	var refusal wire.CommitConflict
	if err := c.endpoint.Decode("commit", c.address, answer, &refusal); err != nil {
		return control.OutcomeUnknown, err
	}
	conflicts, err := decodeRows(refusal.Conflicts)
	if err != nil {
		return control.OutcomeUnknown, err
	}
	result.Conflicts = conflicts
	return control.OutcomeNotDone, nil
}

// ReadRows reads a page of rows.
func (c *Client) ReadRows(f control.ReadRows) {
	result := control.RowsRead{Effect: f.ID}
	c.submit("read-rows", f.Timeout, func(ctx context.Context) (control.Outcome, error) {
		query := url.Values{"prefix": {f.Prefix}, "limit": {strconv.Itoa(f.Limit)}}
		if f.After != "" {
			query.Set("after", string(f.After))
		}
		var page wire.RowsAnswer
		if outcome, err := c.get(ctx, "read-rows", wire.PathRows, query, &page); err != nil {
			return outcome, err
		}
		rows, err := decodeRows(page.Rows)
		if err != nil {
			return control.OutcomeUnknown, err
		}
		result.Rows, result.More = rows, page.More
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// ReadHostList reads the list of hosts.
func (c *Client) ReadHostList(f control.ReadHostList) {
	result := control.HostListRead{Effect: f.ID}
	c.submit("read-hosts", f.Timeout, func(ctx context.Context) (control.Outcome, error) {
		var list wire.HostsAnswer
		query := url.Values{"known": {strconv.FormatUint(f.Known, 10)}}
		if outcome, err := c.get(ctx, "read-hosts", wire.PathHosts, query, &list); err != nil {
			return outcome, err
		}
		result.Version, result.Unchanged, result.Workers = list.Version, list.Unchanged, workersOf(list.Hosts)
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// get reads a JSON body. Its error is nil exactly when the outcome is done.
func (c *Client) get(ctx context.Context, step, path string, query url.Values, out any) (control.Outcome, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	answer, outcome, err := c.endpoint.Exchange(ctx, step, http.MethodGet, u, nil, nil)
	if err != nil {
		return outcome, err
	}
	if answer.Status != http.StatusOK {
		return c.endpoint.Refused(step, c.address, answer)
	}
	if err := c.endpoint.Decode(step, c.address, answer, out); err != nil {
		return control.OutcomeUnknown, err
	}
	return control.OutcomeDone, nil
}

func workersOf(hosts []wire.Host) []structs.Worker {
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
