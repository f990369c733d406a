package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	requestTimeout = 3 * time.Second  // of one administrative request
	applyTimeout   = 15 * time.Second // of one apply, which may wait for the store
	pollInterval   = 50 * time.Millisecond
	maxAnswerBytes = 32 << 20
)

// Await polls until the condition returns nil. After the timeout, or when the
// context ends, it returns the last error of the condition.
func Await(parent context.Context, what string, timeout time.Duration, condition func() error) error {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			if parent.Err() != nil {
				return oops.With("awaited", what).Wrapf(err, "%s: wait cancelled: %w", what, context.Cause(parent))
			}
			return oops.With("awaited", what).Wrapf(err, "%s: not reached within %v", what, timeout)
		case <-ticker.C:
		}
	}
}

// sendJSON sends a JSON request and decodes the JSON answer into the pointer.
// Statuses below 300 and the accepted ones are decoded; others are errors.
func sendJSON(method, url string, timeout time.Duration, body, out any, acceptedStatuses ...int) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return oops.Wrapf(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return oops.Wrapf(err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return oops.With("url", url).Wrapf(err, "send request")
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return oops.With("url", url).Wrapf(err, "read answer")
	}
	accepted := answer.StatusCode < 300
	for _, status := range acceptedStatuses {
		accepted = accepted || answer.StatusCode == status
	}
	if !accepted {
		return oops.With("url", url).Errorf("status %d: %.300s", answer.StatusCode, text)
	}
	if out == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return oops.With("url", url).Wrapf(err, "decode answer")
	}
	return nil
}

// SetFaults replaces the faults that the stand-in at the address injects.
func SetFaults(address string, f wire.Faults) error {
	return sendJSON(http.MethodPost, "http://"+address+wire.PathFaults, requestTimeout, f, nil)
}

// Apply sends a sheet to an entry host. The reply tells whether it was accepted.
func (h *EntryHost) Apply(r wire.ApplyRequest) (control.ApplyReply, error) {
	var reply control.ApplyReply
	err := sendJSON(http.MethodPost, "http://"+h.OperatorAddress+wire.PathApply, applyTimeout, r, &reply, http.StatusConflict)
	return reply, err
}

// Status returns the status summary of an entry host.
func (h *EntryHost) Status() (control.StatusReply, error) {
	var reply control.StatusReply
	err := sendJSON(http.MethodGet, "http://"+h.OperatorAddress+wire.PathStatus, requestTimeout, nil, &reply)
	return reply, err
}

// Drain begins a planned stop of an entry host.
func (h *EntryHost) Drain() error {
	return sendJSON(http.MethodPost, "http://"+h.OperatorAddress+wire.PathDrain, requestTimeout, struct{}{}, nil)
}

// Hosts returns the platform's host list by host ID.
func (d *Deployment) Hosts() (map[string]wire.Host, error) {
	var answer wire.HostsResponse
	if err := sendJSON(http.MethodGet, "http://"+d.PlatformAddress+wire.PathHosts, requestTimeout, nil, &answer); err != nil {
		return nil, err
	}
	hosts := make(map[string]wire.Host, len(answer.Hosts))
	for _, h := range answer.Hosts {
		hosts[h.ID] = h
	}
	return hosts, nil
}

// Executions returns the calls that the worker at the address has executed.
func Executions(address string) (wire.ExecutionsResponse, error) {
	var answer wire.ExecutionsResponse
	err := sendJSON(http.MethodGet, "http://"+address+wire.PathExecutions, requestTimeout, nil, &answer)
	return answer, err
}

// MarkLeaving marks the worker at the address as leaving.
func MarkLeaving(address string) error {
	return sendJSON(http.MethodPost, "http://"+address+wire.PathLeave, requestTimeout, wire.LeaveRequest{Leaving: true}, nil)
}

// TaskRows reads the durable rows of all tasks except those in phase moved.
func (d *Deployment) TaskRows() (map[structs.TaskID]structs.TaskRow, error) {
	rows := make(map[structs.TaskID]structs.TaskRow)
	err := d.forEachRow(structs.TaskPrefix, func(value json.RawMessage) error {
		var row structs.TaskRow
		if err := json.Unmarshal(value, &row); err != nil {
			return oops.Wrapf(err, "decode task row")
		}
		if row.Phase != structs.TaskMoved {
			rows[row.Task] = row
		}
		return nil
	})
	return rows, err
}

// PartitionRows reads the durable rows that record the owner of each partition.
func (d *Deployment) PartitionRows() ([]structs.PartitionRow, error) {
	var rows []structs.PartitionRow
	err := d.forEachRow(structs.PartitionPrefix, func(value json.RawMessage) error {
		var row structs.PartitionRow
		if err := json.Unmarshal(value, &row); err != nil {
			return oops.Wrapf(err, "decode partition row")
		}
		rows = append(rows, row)
		return nil
	})
	return rows, err
}

// RejectedTransactions returns why the platform rejected transactions as over a limit.
func (d *Deployment) RejectedTransactions() ([]string, error) {
	var stats wire.StoreStats
	err := sendJSON(http.MethodGet, "http://"+d.PlatformAddress+wire.PathStats, requestTimeout, nil, &stats)
	return stats.Rejected, err
}

// forEachRow visits the values of all rows with the prefix, page by page.
func (d *Deployment) forEachRow(prefix string, visit func(json.RawMessage) error) error {
	for after, more := "", true; more; {
		var page wire.RowsResponse
		url := "http://" + d.PlatformAddress + wire.PathRows + "?prefix=" + prefix + "&after=" + after
		if err := sendJSON(http.MethodGet, url, requestTimeout, nil, &page); err != nil {
			return err
		}
		for _, row := range page.Rows {
			after = row.Key
			if err := visit(row.Value); err != nil {
				return err
			}
		}
		more = page.More && len(page.Rows) > 0
	}
	return nil
}
