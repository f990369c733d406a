package deployment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
	"github.com/tamarackstep/tamarackstep/standin/worker"
)

const callTimeout = 15 * time.Second // of one call, in addition to its hold time

// Call sends one call, or an order if key is set, and checks that the answer is
// complete and belongs to it. The target repeats the id in its answer.
func (h *EntryHost) Call(service, id, key string, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+hold)
	defer cancel()
	method, body := http.MethodGet, ""
	if key != "" {
		method, body = http.MethodPost, "order "+key
	}
	url := fmt.Sprintf("http://%s/%s/work?%s=%d", h.CallerAddress, service, worker.ParamHold, hold.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return oops.Wrapf(err, "build call")
	}
	r.Header.Set(worker.HeaderCallerID, id)
	if key != "" {
		r.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return oops.Wrapf(err, "send call")
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return oops.Wrapf(err, "answer was truncated after %d bytes", len(text))
	}
	if answer.StatusCode != http.StatusOK {
		return oops.Errorf("status %d %s: %.300s", answer.StatusCode, answer.Header.Get(wire.HeaderOutcome), text)
	}
	return stream.Verify(string(text), id, stream.Digest([]byte(body)))
}

// AwaitGeneration waits until at least the given generation is in force on all
// active entry hosts.
func (d *Deployment) AwaitGeneration(ctx context.Context, g structs.Generation, timeout time.Duration) error {
	return Await(ctx, fmt.Sprintf("generation %d in force", g), timeout, func() error {
		for _, h := range d.ActiveEntryHosts() {
			status, err := h.Status()
			if err != nil {
				return err
			}
			if status.Generation < g {
				return oops.Errorf("entry host %s has generation %d", h.ID, status.Generation)
			}
		}
		return nil
	})
}

// ActiveEntryHosts returns the entry hosts whose processes are alive and not frozen.
func (d *Deployment) ActiveEntryHosts() []*EntryHost {
	var active []*EntryHost
	for _, h := range d.EntryHosts {
		spans := h.Frozen()
		if frozen := len(spans) > 0 && spans[len(spans)-1].End.IsZero(); h.Alive() && !frozen {
			active = append(active, h)
		}
	}
	return active
}

// AwaitRunning waits until all tasks of the rows run and each active entry host
// knows all targets of the services.
func (d *Deployment) AwaitRunning(ctx context.Context, rows []structs.SheetRow, timeout time.Duration) error {
	return Await(ctx, "all tasks run and all targets are known", timeout, func() error {
		running, err := d.runningTasks()
		if err != nil {
			return err
		}
		for _, row := range rows {
			if n := running[row.Name]; n != row.Count {
				return oops.Errorf("%d of %d tasks of row %s run", n, row.Count, row.Name)
			}
		}
		return d.checkTargets(rows)
	})
}

// checkTargets returns an error unless each active entry host knows all targets of
// the services.
func (d *Deployment) checkTargets(rows []structs.SheetRow) error {
	for _, h := range d.ActiveEntryHosts() {
		status, err := h.Status()
		if err != nil {
			return err
		}
		targets := make(map[string]int)
		for _, s := range status.Services {
			targets[s.Service] = s.Targets
		}
		for _, row := range rows {
			if row.Kind == structs.KindService && targets[row.Name] < row.Count {
				return oops.Errorf("entry host %s knows %d of %d targets of service %s", h.ID, targets[row.Name], row.Count, row.Name)
			}
		}
	}
	return nil
}

// runningTasks counts the runs without an end, by row of the sheet, on workers
// whose processes are active.
func (d *Deployment) runningTasks() (map[string]int, error) {
	journal, err := d.Journal()
	if err != nil {
		return nil, err
	}
	type runKey struct {
		task structs.TaskID
		run  structs.Run
	}
	ended := make(map[runKey]bool)
	for _, e := range journal {
		if e.Ended != nil {
			ended[runKey{e.Ended.Task, e.Ended.Run}] = true
		}
	}
	count := make(map[string]int)
	for _, e := range journal {
		if s := e.Started; s != nil && !ended[runKey{s.Task, s.Run}] && d.WorkerGroup(s.Worker).active() {
			count[s.Row]++
		}
	}
	return count, nil
}

// active reports whether the process is alive and not frozen.
func (g *WorkerGroup) active() bool {
	spans := g.Frozen()
	return g.Alive() && (len(spans) == 0 || !spans[len(spans)-1].End.IsZero())
}
