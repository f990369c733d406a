package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeLoop stands in for the control loop. It answers every event immediately with
// the prepared reply.
type fakeLoop struct {
	replies   *Replies
	reply     control.Reply
	queueFull bool
	last      control.EventBody
}

func (f *fakeLoop) TryPost(b control.EventBody) error {
	if f.queueFull {
		return loop.ErrQueueFull
	}
	f.last = b
	var id control.OperatorRequestID
	switch b := b.(type) {
	case control.ApplyRequested:
		id = b.Request
	case control.StopRequested:
		id = b.Request
	case control.StatusRequested:
		id = b.Request
	case control.ExplainRequested:
		id = b.Request
	case control.DrainRequested:
		id = b.Request
	}
	f.replies.Deliver(control.OperatorReply{Request: id, Reply: f.reply})
	return nil
}

func newServer(t *testing.T, token string) (*fakeLoop, string) {
	f := &fakeLoop{}
	f.replies = NewReplies(f)
	h := NewHandler(Config{
		Token: token, BodyBytes: 1024, Replies: f.replies, StatusCache: NewStatusCache(f.replies),
		Metrics: func(w io.Writer) { _, _ = io.WriteString(w, "x 1\n") },
	})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return f, srv.URL
}

func do(t *testing.T, method, url, body, token string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set(wire.HeaderOperatorToken, token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

const sheetBody = `{"author":"o","rows":[{"name":"b","kind":"batch","count":1,"request":{"milli_cores":1,"memory_mb":1}},` +
	`{"name":"a","kind":"service","count":1,"request":{"milli_cores":1,"memory_mb":1}}]}`

// Guards against wrong HTTP statuses and unclear error texts on each path.
func TestPaths(t *testing.T) {
	refused := control.ApplyReply{Reason: "2 rows were changed", Outcome: control.OutcomeNotDone}
	unknown := control.ApplyReply{Reason: "no answer", Outcome: control.OutcomeUnknown}
	for name, c := range map[string]struct {
		method, path, body string
		reply              control.Reply
		status             int
		text               string
	}{
		"health":        {"GET", wire.PathHealth, "", nil, 200, "ok"},
		"metrics":       {"GET", wire.PathMetrics, "", nil, 200, "x 1"},
		"ready":         {"GET", wire.PathReady, "", control.StatusReply{Ready: true}, 200, "ready"},
		"not ready":     {"GET", wire.PathReady, "", control.StatusReply{}, 503, "no configuration"},
		"draining":      {"GET", wire.PathReady, "", control.StatusReply{Draining: true}, 503, "planned stop"},
		"status":        {"GET", wire.PathStatus, "", control.StatusReply{Host: "h"}, 200, `"host":"h"`},
		"explain":       {"GET", wire.PathExplain + "?subject=a", "", control.ExplainReply{Subject: "a"}, 200, `"subject":"a"`},
		"no subject":    {"GET", wire.PathExplain, "", nil, 400, "subject"},
		"plan":          {"POST", wire.PathPlan, sheetBody, control.ApplyReply{}, 200, `"accepted":false`},
		"apply":         {"POST", wire.PathApply, sheetBody, control.ApplyReply{Accepted: true, Outcome: 1}, 200, `"accepted":true`},
		"conflict":      {"POST", wire.PathApply, sheetBody, refused, 409, "2 rows"},
		"unknown":       {"POST", wire.PathApply, sheetBody, unknown, 504, "no answer"},
		"stop":          {"POST", wire.PathStopRows, `{"author":"o","rows":["a"]}`, control.ApplyReply{Accepted: true}, 200, "accepted"},
		"stop nothing":  {"POST", wire.PathStopRows, `{"author":"o"}`, nil, 400, "must not be empty"},
		"drain":         {"POST", wire.PathDrain, "", control.DrainReply{Calls: 3}, 200, `"calls":3`},
		"no author":     {"POST", wire.PathApply, `{}`, nil, 400, "author"},
		"twice":         {"POST", wire.PathApply, `{"author":"o","rows":[{"name":"a","kind":"batch"},{"name":"a","kind":"batch"}]}`, nil, 400, "twice"},
		"unknown kind":  {"POST", wire.PathApply, `{"author":"o","rows":[{"name":"a","kind":"cron"}]}`, nil, 400, "cron"},
		"unknown field": {"POST", wire.PathApply, `{"autor":"o"}`, nil, 400, "autor"},
		"not JSON":      {"POST", wire.PathApply, `author`, nil, 400, "not valid"},
		"trailing":      {"POST", wire.PathApply, `{"author":"o"}{}`, nil, 400, "follows"},
		"too large":     {"POST", wire.PathApply, `{"author":"` + strings.Repeat("o", 2048) + `"}`, nil, 413, "1024 bytes"},
		"no path":       {"GET", "/v2/none", "", nil, 404, "no such path"},
		"method":        {"GET", wire.PathApply, "", nil, 405, "method"},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newServer(t, "")
			f.reply = c.reply
			if status, text := do(t, c.method, url+c.path, c.body, ""); status != c.status || !strings.Contains(text, c.text) {
				t.Errorf("got %d %s", status, text)
			}
		})
	}
}

// Guards against passing unsorted rows to the reducer, which relies on the order.
func TestApplySortsRows(t *testing.T) {
	f, url := newServer(t, "")
	f.reply = control.ApplyReply{Accepted: true}
	do(t, "POST", url+wire.PathApply, sheetBody, "")
	got, _ := f.last.(control.ApplyRequested)
	if len(got.Rows) != 2 || got.Rows[0].Name != "a" || got.Rows[0].Kind != structs.KindService || got.PlanOnly {
		t.Errorf("got %+v", got)
	}
}

// Guards against serving requests without the token, probes that need it, and a
// full event queue that is not reported as "not taken".
func TestTokenAndFullQueue(t *testing.T) {
	f, url := newServer(t, "operator-token-for-tests")
	f.reply = control.StatusReply{Ready: true}
	for _, c := range []struct {
		path, token string
		status      int
	}{
		{wire.PathStatus, "", 401}, {wire.PathStatus, "wrong", 401},
		{wire.PathStatus, "operator-token-for-tests", 200}, {wire.PathReady, "", 200},
	} {
		if status, text := do(t, "GET", url+c.path, "", c.token); status != c.status {
			t.Errorf("%s with %q: got %d %s", c.path, c.token, status, text)
		}
	}
	f.queueFull = true
	if status, text := do(t, "GET", url+wire.PathStatus, "", "operator-token-for-tests"); status != 503 || !strings.Contains(text, "not taken") {
		t.Errorf("full queue: got %d %s", status, text)
	}
}
