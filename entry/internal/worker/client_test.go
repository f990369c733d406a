package worker

import (
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

const testTimeout = 20 * time.Second

// runEffect executes one effect against a worker with a fixed response. It returns
// the path and body of the request, and the event.
func runEffect(t *testing.T, status int, body string, run func(c *Client, address string)) (string, control.EventBody) {
	t.Helper()
	received := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		received <- r.URL.Path + " " + string(text)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer srv.Close()
	events := make(chan control.EventBody, 1)
	tr := transport.New(transport.Limits{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleTimeout: time.Minute, DialTimeout: time.Second})
	defer tr.CloseIdle()
	pool := runner.NewPool(runner.NewOutbox(func(b control.EventBody) { events <- b }), 1, 1)
	run(NewClient(tr, pool, func(string, string, control.Outcome, time.Duration, error) {}), srv.Listener.Addr().String())
	return <-received, <-events
}

var ref = control.RunRef{Task: "t", Run: 2}

func commandTo(address string) control.WorkerCommand {
	return control.WorkerCommand{ID: 1, Address: address, Partition: 3, Epoch: 4, Timeout: testTimeout}
}

// Guards against leases and clocks in wrong units, and against fields of a status
// that are not decoded.
func TestSync(t *testing.T) {
	run := func(c *Client, address string) {
		c.Sync(control.SyncWorker{
			WorkerCommand: commandTo(address), Boot: "b", LeaseUntil: 1500 * time.Millisecond,
			Runs: []control.RunRef{ref},
		})
	}
	request, got := runEffect(t, 200, `{"boot":"b","clock_us":2500000,"leaving":true,"runs":[{"task":"t","run":2,"state":"running"}],"usage":[{"task":"t","run":2,"age_ms":5}]}`, run)
	if request != `/v1/sync {"partition":3,"epoch":4,"boot":"b","lease_until_us":1500000,"runs":[{"task":"t","run":2}]}` {
		t.Errorf("the worker received %s", request)
	}
	want := control.WorkerSynced{
		Effect: 1, Outcome: control.OutcomeDone, Boot: "b", Clock: 2500 * time.Millisecond, Leaving: true,
		Runs:  []structs.RunStatus{{Task: "t", Run: 2, State: structs.RunRunning}},
		Usage: []structs.UsageSample{{Task: "t", Run: 2, AgeMS: 5}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v", got)
	}
	_, got = runEffect(t, 409, `{"epoch":9}`, run)
	if !reflect.DeepEqual(got, control.WorkerSynced{Effect: 1, Outcome: control.OutcomeNotDone, Fenced: 9}) {
		t.Errorf("fenced: got %+v", got)
	}
	_, got = runEffect(t, 200, `{"boot":`, run)
	if e := got.(control.WorkerSynced); e.Outcome != control.OutcomeUnknown {
		t.Errorf("invalid JSON: got %+v", got)
	}
}

// Guards against commands without partition and epoch, and against outcomes that
// a response does not prove.
func TestCommands(t *testing.T) {
	start := func(c *Client, a string) {
		c.Start(control.StartTask{
			WorkerCommand: commandTo(a), Boot: "b", NotAfter: time.Second, LeaseUntil: 2 * time.Second,
			Ref: ref, Spec: structs.TaskSpec{Row: "r", Kind: structs.KindBatch, Command: "c"},
		})
	}
	const done, not, unknown = control.OutcomeDone, control.OutcomeNotDone, control.OutcomeUnknown
	for name, c := range map[string]struct {
		run     func(*Client, string)
		status  int
		body    string
		request string
		want    control.CommandDone
	}{
		"start": {start, 200, "{}", `/v1/start {"partition":3,"epoch":4,"task":"t","run":2,"boot":"b","not_after_us":1000000,"lease_until_us":2000000,"spec":{"row":"r","kind":"batch","command":"c","request":{"milli_cores":0,"memory_mb":0,"accelerators":0}}}`,
			control.CommandDone{Effect: 1, Outcome: done}},
		"late start":   {start, 412, `{"reason":"too late"}`, "", control.CommandDone{Effect: 1, Outcome: not, Detail: "too late"}},
		"fenced":       {start, 409, `{"epoch":9}`, "", control.CommandDone{Effect: 1, Outcome: not, Fenced: 9, Detail: "answered with status 409"}},
		"server fault": {start, 500, ``, "", control.CommandDone{Effect: 1, Outcome: unknown, Detail: "answered with status 500"}},
		"stop": {func(c *Client, a string) {
			c.Stop(control.StopTask{WorkerCommand: commandTo(a), Ref: ref})
		}, 200, "", `/v1/stop {"partition":3,"epoch":4,"task":"t","run":2}`, control.CommandDone{Effect: 1, Outcome: done}},
		"checkpoint": {func(c *Client, a string) {
			c.Checkpoint(control.CheckpointTask{WorkerCommand: commandTo(a), Ref: ref, Object: "o"})
		}, 202, "", `/v1/checkpoint {"partition":3,"epoch":4,"task":"t","run":2,"object":"o"}`, control.CommandDone{Effect: 1, Outcome: done}},
		"throttle": {func(c *Client, a string) {
			c.Throttle(control.ThrottleTask{WorkerCommand: commandTo(a), Ref: ref, Share: 0.5})
		}, 200, "", `/v1/throttle {"partition":3,"epoch":4,"task":"t","run":2,"share":0.5}`, control.CommandDone{Effect: 1, Outcome: done}},
	} {
		t.Run(name, func(t *testing.T) {
			request, got := runEffect(t, c.status, c.body, c.run)
			if c.request != "" && request != c.request {
				t.Errorf("the worker received %s, want %s", request, c.request)
			}
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
