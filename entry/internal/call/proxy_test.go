package call

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// Guards against answers that are buffered instead of streamed, lost trailers, and
// forwarding of hop-by-hop headers and Tamarackstep- headers.
func TestAnswerStreamsWithTrailers(t *testing.T) {
	s := newTestServer(t, nil)
	proceed := make(chan struct{})
	address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.EscapedPath() != "/svc/portal/a%2Fb" || r.URL.RawQuery != "q=1" {
			t.Errorf("target saw %s", r.URL)
		}
		if r.Header.Get(wire.HeaderTask) != "portal.0" || r.Header.Get("X-Hop") != "" || r.Header.Get("X-Kept") != "1" {
			t.Errorf("target saw headers %v", r.Header)
		}
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set(wire.HeaderSlotsUsed, "5")
		w.Header().Set(wire.HeaderLeaving, "1")
		_, _ = w.Write([]byte("one"))
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = w.Write([]byte("two"))
		w.Header().Set("X-Sum", "6")
	})
	req, _ := http.NewRequest("GET", s.server.URL+"/portal/a%2Fb?q=1", nil)
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	req.Header.Set("X-Kept", "1")
	req.Header.Set(wire.HeaderTask, "forged")
	responses := make(chan *http.Response, 1)
	go func() {
		resp, err := s.server.Client().Do(req)
		if err != nil {
			t.Error(err)
		}
		responses <- resp
	}()
	c := nextEvent[control.CallArrived](s)
	s.proxy.Dispatch(dispatch(c, 1, address))
	started := nextEvent[control.AnswerStarted](s)
	if started.SlotsUsed != 5 || !started.Leaving || started.Refused {
		t.Errorf("got %+v", started)
	}
	resp := <-responses
	defer resp.Body.Close()
	first := make([]byte, 3)
	if _, err := resp.Body.Read(first); err != nil || string(first) != "one" {
		t.Fatalf("got %q, %v before the target went on", first, err)
	}
	close(proceed)
	rest := make([]byte, 16)
	n, _ := resp.Body.Read(rest)
	for n < 3 {
		m, err := resp.Body.Read(rest[n:])
		if n += m; err != nil {
			break
		}
	}
	_, _ = resp.Body.Read(rest[n:])
	if string(rest[:n]) != "two" || resp.Trailer.Get("X-Sum") != "6" || resp.Header.Get(wire.HeaderSlotsUsed) != "" {
		t.Errorf("got %q, trailer %v, header %v", rest[:n], resp.Trailer, resp.Header)
	}
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeDone {
		t.Errorf("got %+v", f)
	}
}

// Guards against relaying a refusal by the worker's admission check to the caller, and
// against a missing second attempt after it.
func TestWorkerRefusalIsWithheld(t *testing.T) {
	s := newTestServer(t, nil)
	full := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRefused, "slots")
		http.Error(w, "full", http.StatusServiceUnavailable)
	})
	free := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusCreated)
		body := make([]byte, 4)
		_, _ = r.Body.Read(body)
		_, _ = w.Write(body)
	})
	got := s.call("POST", "/portal/order", "milk", wire.HeaderIdempotencyKey, "k")
	c := nextEvent[control.CallArrived](s)
	if c.Key != "k" || !c.Replayable || c.Service != "portal" {
		t.Errorf("got %+v", c)
	}
	s.proxy.Dispatch(dispatch(c, 1, full))
	if started := nextEvent[control.AnswerStarted](s); !started.Refused {
		t.Errorf("got %+v", started)
	}
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeNotDone {
		t.Errorf("got %+v", f)
	}
	again := dispatch(c, 2, free)
	again.Record = true
	s.proxy.Dispatch(again)
	nextEvent[control.AnswerStarted](s)
	f := nextEvent[control.AnswerFinished](s)
	if f.Outcome != control.OutcomeDone || string(f.Body) != "milk" || f.Status != 201 {
		t.Errorf("got %+v", f)
	}
	if a := waitAnswer(t, got); a.err != nil || a.resp.StatusCode != 201 || a.body != "milk" {
		t.Errorf("caller saw %+v", a)
	}
}

// Guards against relaying a target's 5xx answer before the reducer has decided
// whether to retry at another target.
func TestFailureIsWithheldUnlessFinal(t *testing.T) {
	s := newTestServer(t, nil)
	address := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "boom", 500) })
	got := s.call("GET", "/portal/", "")
	c := nextEvent[control.CallArrived](s)
	first := dispatch(c, 1, address)
	first.Final = false
	s.proxy.Dispatch(first)
	nextEvent[control.AnswerStarted](s)
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeDone || f.Status != 500 {
		t.Errorf("got %+v", f)
	}
	s.proxy.Dispatch(dispatch(c, 2, address))
	nextEvent[control.AnswerStarted](s)
	nextEvent[control.AnswerFinished](s)
	if a := waitAnswer(t, got); a.err != nil || a.resp.StatusCode != 500 || a.body != "boom\n" {
		t.Errorf("caller saw %+v", a)
	}
}

// Guards against accepting calls while the event queue is full or the maximum
// number of calls is in progress.
func TestFullQueueRefusesNotRun(t *testing.T) {
	s := newTestServer(t, func(l *Limits) { l.MaxCalls = 1 })
	s.queueFull = true
	a := waitAnswer(t, s.call("GET", "/portal/", ""))
	if a.err != nil || a.resp.StatusCode != 503 || a.resp.Header.Get(wire.HeaderOutcome) != "not-run" ||
		a.resp.Header.Get("Retry-After") == "" {
		t.Errorf("full queue: caller saw %+v", a)
	}
	s.queueFull = false
	first := s.call("GET", "/portal/", "")
	c := nextEvent[control.CallArrived](s)
	if a := waitAnswer(t, s.call("GET", "/portal/", "")); a.resp.StatusCode != 503 || a.resp.Header.Get(wire.HeaderOutcome) != "not-run" {
		t.Errorf("too many calls: caller saw %+v", a)
	}
	s.proxy.Answer(control.AnswerCall{Call: c.Call, Kind: control.AnswerUnknown, Status: 502, Reason: "x"})
	if a := waitAnswer(t, first); a.resp.StatusCode != 502 || a.resp.Header.Get(wire.HeaderOutcome) != "unknown" {
		t.Errorf("unknown: caller saw %+v", a)
	}
}

// Guards against an attempt that continues after its caller disconnected and it was
// cancelled, and against sending an attempt for a call that has already ended.
func TestCallerGone(t *testing.T) {
	s := newTestServer(t, nil)
	reached, ended := make(chan struct{}), make(chan struct{})
	address := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", s.server.URL+"/portal/", nil)
	got := s.send(req)
	c := nextEvent[control.CallArrived](s)
	s.proxy.Dispatch(dispatch(c, 1, address))
	<-reached
	leave()
	waitAnswer(t, got)
	if gone := nextEvent[control.CallerGone](s); gone.Call != c.Call {
		t.Errorf("got %+v", gone)
	}
	s.proxy.Cancel(control.CancelDispatch{Call: c.Call, Attempt: 1})
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeUnknown {
		t.Errorf("got %+v", f)
	}
	<-ended
	s.proxy.Dispatch(dispatch(c, 2, address))
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeNotDone || f.Attempt != 2 {
		t.Errorf("after the caller left: got %+v", f)
	}
}

// Guards against losing a cancellation that arrives before its attempt begins: the
// attempt must not be sent.
func TestCancelBeforeBegin(t *testing.T) {
	s := newTestServer(t, nil)
	address := startTarget(t, func(http.ResponseWriter, *http.Request) { t.Error("the cancelled attempt was sent") })
	got := s.call("POST", "/portal/", "x")
	c := nextEvent[control.CallArrived](s)
	s.proxy.Cancel(control.CancelDispatch{Call: c.Call, Attempt: 1})
	s.proxy.Dispatch(dispatch(c, 1, address))
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeNotDone {
		t.Errorf("got %+v", f)
	}
	s.proxy.Answer(control.AnswerCall{
		Call: c.Call, Kind: control.AnswerRecorded, Status: 200, ContentType: "text/plain", Body: []byte("kept"),
	})
	if a := waitAnswer(t, got); a.body != "kept" || a.resp.Header.Get(wire.HeaderOutcome) != "recorded" {
		t.Errorf("caller saw %+v", a)
	}
}

// Guards against accepting a path whose cleaned form lies outside the service.
func FuzzServiceOf(f *testing.F) {
	for _, p := range []string{"/portal", "/portal/a%2Fb", "/portal/../x", "/portal//..%2f", "/%2e%2e/x", "/..", "//x"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, escaped string) {
		service, refused := serviceOf(escaped)
		if refused != nil {
			return
		}
		plain, err := url.PathUnescape(escaped)
		if err != nil {
			t.Fatal(err)
		}
		clean := path.Clean("/svc" + strings.ReplaceAll(plain, "\\", "/"))
		if clean != "/svc/"+service && !strings.HasPrefix(clean, "/svc/"+service+"/") {
			t.Fatalf("path %q of service %q resolves to %q", escaped, service, clean)
		}
	})
}

// Guards against paths that resolve outside a service's path on the worker, and
// against idempotency keys that are too long for the key of a stored row.
func TestInvalidRequests(t *testing.T) {
	s := newTestServer(t, nil)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/", "", 400}, {"/portal/%2e%2e/%2e%2e/v1/stop", "", 400}, {"/a%20b/", "", 400},
		{"/portal/..%2f..%2fv1/stop", "", 400}, {"/portal/..%5cv1", "", 400},
		{"/portal/", strings.Repeat("k", 300), 400}, {"/" + strings.Repeat("p", 200), "", 400},
	} {
		var header []string
		if c.key != "" {
			header = []string{wire.HeaderIdempotencyKey, c.key}
		}
		a := waitAnswer(t, s.call("POST", c.path, "", header...))
		if a.err != nil || a.resp.StatusCode != c.status || a.resp.Header.Get(wire.HeaderOutcome) != "not-run" {
			t.Errorf("%s: caller saw %+v", c.path, a)
		}
	}
	a := waitAnswer(t, s.call("GET", "/portal/", "", "X-Large", strings.Repeat("x", 64<<10)))
	if a.err != nil || a.resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large headers: caller saw %+v", a)
	}
}
