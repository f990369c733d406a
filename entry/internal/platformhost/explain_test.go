package platformhost

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// newExplainer returns a handler that passes events to a reducer with one queue, and its server.
func newExplainer(t *testing.T) (*explainHandler, *httptest.Server) {
	state := scheduler.NewState()
	scheduler.Reduce(state, scheduler.Event{Body: scheduler.Started{Host: "front-a-1"}})
	queue := structs.Queue{Name: "glaze", Host: "kiln.example", PathPrefix: "/glaze/", Policy: structs.Policy{Service: "kiln"}}
	row := scheduler.Row{Key: scheduler.KeyConfiguration, Value: scheduler.ConfigurationRow{QueueConfiguration: structs.QueueConfiguration{Number: 1, Queues: []structs.Queue{queue}}}}
	for id := scheduler.EffectID(1); id < 20; id++ { // one of them reads the configuration
		scheduler.Reduce(state, scheduler.Event{Body: scheduler.RowsRead{Effect: id, Outcome: structs.OutcomeDone, Rows: []scheduler.Row{row}}})
	}
	var h *explainHandler
	h = newExplainHandler(func(body scheduler.EventBody) error {
		e := scheduler.Reduce(state, scheduler.Event{Body: body})[0].(scheduler.Explained)
		h.pending.deliver(e.Request, e)
		return nil
	})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, server
}

// post sends a job and returns the status and the error of the answer, or the verdict.
func post(t *testing.T, url, body string) (status int, text string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var got struct {
		wire.ErrorResponse
		scheduler.Explanation
	}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, got.Error + string(got.Verdict)
}

// TestExplain guards against bodies that are decoded in another way than those of callers, and
// bad input that is answered as an explanation.
func TestExplain(t *testing.T) {
	_, server := newExplainer(t)
	const job, queue = `{"Steps": [{"Count": 1, "Cpu": 100}]}`, "?host=kiln.example:80&path=/glaze/"
	for _, c := range []struct {
		query, body string
		status      int
		text        string
	}{
		{queue, job, http.StatusOK, "waits"}, // no shard has a leader
		{queue, "name,count", http.StatusBadRequest, "the body cannot be read: not JSON"},
		{queue, `{"Steps": 1}`, http.StatusBadRequest, "the body cannot be read: field Steps has another type"},
		{queue, `{}`, http.StatusBadRequest, "the job has no steps"},
		{queue, strings.Repeat(" ", 1<<20+1), http.StatusBadRequest, "the body is over the limit"},
		{"?host=other&path=/glaze/", job, http.StatusBadRequest, "no such queue"},
		{"", job, http.StatusBadRequest, "no such queue"},
	} {
		if status, text := post(t, server.URL+c.query, c.body); status != c.status || text != c.text {
			t.Errorf("%s %.40s: %d %s, want %d %s", c.query, c.body, status, text, c.status, c.text)
		}
	}
}

// TestExplainIsBounded guards against requests to explain that pile up before a control loop
// that does not answer, and against an answer that never comes.
func TestExplainIsBounded(t *testing.T) {
	h, server := newExplainer(t)
	full := errors.New("the queue of events is full")
	h.post = func(scheduler.EventBody) error { return full }
	if status, text := post(t, server.URL, "{}"); status != http.StatusServiceUnavailable || text != full.Error() {
		t.Errorf("full queue: %d %s", status, text)
	}
	for range maxPendingExplanations - 1 {
		h.pending.register()
	}
	h.post = func(scheduler.EventBody) error { return nil }
	if status, text := post(t, server.URL, "{}"); status != http.StatusServiceUnavailable || text != "the control loop did not answer in time" {
		t.Errorf("no answer: %d %s", status, text)
	}
	h.pending.register()
	if status, text := post(t, server.URL, "{}"); status != http.StatusServiceUnavailable || text != "too many jobs are being explained" {
		t.Errorf("too many: %d %s", status, text)
	}
}
