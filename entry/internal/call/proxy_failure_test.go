package call

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// Guards against a truncated answer that the caller takes for a complete one.
func TestTruncatedAnswerIsSeenAsTruncated(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			address := startRawTarget(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					_, _ = io.WriteString(c, head)
				}
			})
			got := s.call("GET", "/portal/", "")
			c := nextEvent[control.CallArrived](s)
			s.proxy.Dispatch(dispatch(c, 1, address))
			nextEvent[control.AnswerStarted](s)
			if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeUnknown {
				t.Errorf("got %+v", f)
			}
			if a := waitAnswer(t, got); a.err == nil {
				t.Errorf("caller took %q for a complete answer", a.body)
			}
		})
	}
}

// Guards against http.Transport retrying a call by itself: it does so for requests
// with an Idempotency-Key when a reused connection breaks.
func TestKeyedCallIsSentOnceWhenConnectionBreaks(t *testing.T) {
	s := newTestServer(t, nil)
	var seen atomic.Int32
	address := startRawTarget(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) == nil {
			if seen.Add(1) > 1 {
				return // the call ran, but its answer is lost
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for i, want := range []control.Outcome{control.OutcomeDone, control.OutcomeUnknown} {
		got := s.call("POST", "/portal/order", "", wire.HeaderIdempotencyKey, fmt.Sprint(i))
		c := nextEvent[control.CallArrived](s)
		s.proxy.Dispatch(dispatch(c, 1, address))
		if want == control.OutcomeDone {
			nextEvent[control.AnswerStarted](s)
		}
		if f := nextEvent[control.AnswerFinished](s); f.Outcome != want {
			t.Fatalf("call %d: got %+v", i, f)
		}
		s.proxy.Answer(control.AnswerCall{Call: c.Call, Kind: control.AnswerUnknown, Status: 502})
		waitAnswer(t, got)
	}
	if n := seen.Load(); n != 2 {
		t.Errorf("the target saw %d requests, want 2", n)
	}
}

// Guards against reporting OutcomeUnknown for an unreachable target, which cannot
// have run the call, and OutcomeNotDone for a slow one, which may have run it.
func TestOutcomeOfUnreachableAndSlowTargets(t *testing.T) {
	s := newTestServer(t, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	slow := startRawTarget(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	got := s.call("POST", "/portal/", "x")
	c := nextEvent[control.CallArrived](s)
	s.proxy.Dispatch(dispatch(c, 1, closed.Addr().String()))
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeNotDone {
		t.Errorf("closed port: got %+v", f)
	}
	d := dispatch(c, 2, slow)
	d.Timeout = 50 * time.Millisecond
	s.proxy.Dispatch(d)
	if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeUnknown || !strings.Contains(f.Detail, "no answer within") {
		t.Errorf("slow target: got %+v", f)
	}
	s.proxy.Answer(control.AnswerCall{Call: c.Call, Kind: control.AnswerNotRun, Status: 503, RetryAfter: time.Second})
	if a := waitAnswer(t, got); a.resp.StatusCode != 503 || a.resp.Header.Get("Retry-After") != "1" {
		t.Errorf("caller saw %+v", a)
	}
}

// Guards against large bodies that are held in memory, corrupted, or sent twice.
func TestLargeBodyIsStreamedOnce(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 64<<10) // 1 MiB
	for name, length := range map[string]int64{"length": int64(len(body)), "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(l *Limits) { l.MaxBody = 2 << 20 })
			refusing := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(wire.HeaderRefused, "slots")
				w.WriteHeader(503)
			})
			summing := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
				h := sha256.New()
				_, _ = io.Copy(h, r.Body)
				fmt.Fprintf(w, "%x", h.Sum(nil))
			})
			post := func() <-chan answer {
				req, _ := http.NewRequest("POST", s.server.URL+"/portal/", io.MultiReader(bytes.NewReader(body)))
				req.ContentLength = length
				return s.send(req)
			}
			got := post()
			c := nextEvent[control.CallArrived](s)
			if c.Replayable {
				t.Error("a body of 1 MiB counts as replayable")
			}
			s.proxy.Dispatch(dispatch(c, 1, summing))
			nextEvent[control.AnswerStarted](s)
			nextEvent[control.AnswerFinished](s)
			if a := waitAnswer(t, got); a.body != fmt.Sprintf("%x", sha256.Sum256(body)) {
				t.Errorf("caller saw %+v", a)
			}
			got = post()
			c = nextEvent[control.CallArrived](s)
			s.proxy.Dispatch(dispatch(c, 1, refusing))
			nextEvent[control.AnswerStarted](s)
			nextEvent[control.AnswerFinished](s)
			s.proxy.Dispatch(dispatch(c, 2, summing))
			if f := nextEvent[control.AnswerFinished](s); f.Outcome != control.OutcomeNotDone {
				t.Errorf("second attempt: got %+v", f)
			}
			s.proxy.Answer(control.AnswerCall{Call: c.Call, Kind: control.AnswerNotRun, Status: 503})
			waitAnswer(t, got)
		})
	}
}

// Guards against callers who occupy a connection with a body that does not arrive,
// and against bodies larger than the limit.
func TestSlowAndOversizedBodies(t *testing.T) {
	s := newTestServer(t, func(l *Limits) { l.BodyTimeout, l.MaxBody = 100*time.Millisecond, 128<<10 })
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /portal/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get(wire.HeaderOutcome) != "not-run" {
		t.Errorf("slow body: got %+v, %v", resp, err)
	}
	a := waitAnswer(t, s.call("POST", "/portal/", strings.Repeat("x", 256<<10)))
	if a.err != nil || a.resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: caller saw %+v", a)
	}
}

// Guards against recording a truncated answer, and against large answers held in
// memory.
func TestRecordedBodyIsWholeOrOmitted(t *testing.T) {
	s := newTestServer(t, nil)
	address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		size := 16 << 10
		if strings.HasSuffix(r.URL.Path, "large") {
			size++
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	})
	for path, want := range map[string]int{"/portal/small": 16 << 10, "/portal/large": 0} {
		got := s.call("POST", path, "")
		d := dispatch(nextEvent[control.CallArrived](s), 1, address)
		d.Record = true
		s.proxy.Dispatch(d)
		nextEvent[control.AnswerStarted](s)
		f := nextEvent[control.AnswerFinished](s)
		if len(f.Body) != want || f.BodyOmitted != (want == 0) || f.ContentType != "text/plain" {
			t.Errorf("%s: got %d bytes, omitted %v", path, len(f.Body), f.BodyOmitted)
		}
		waitAnswer(t, got)
	}
}

// Guards against answering an empty 200 to a caller that closed only its sending
// side. net/http reports such a caller as disconnected.
func TestHalfClosedCallerGetsNoAnswer(t *testing.T) {
	s := newTestServer(t, nil)
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /portal/ HTTP/1.1\r\nHost: x\r\n\r\n")
	nextEvent[control.CallArrived](s)
	_ = conn.(*net.TCPConn).CloseWrite()
	nextEvent[control.CallerGone](s)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if text, err := io.ReadAll(conn); len(text) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the caller got %q, %v", text, err)
	}
}

// Guards against an attempt that never ends because its caller stalls within a
// streamed body, and against reporting OutcomeNotDone although the target received
// a part of the body.
func TestStalledUploadEnds(t *testing.T) {
	s := newTestServer(t, func(l *Limits) { l.BodyTimeout, l.HeldBody = 200*time.Millisecond, 4 })
	address := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /portal/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	s.proxy.Dispatch(dispatch(nextEvent[control.CallArrived](s), 1, address))
	// CallerGone and AnswerFinished may come in either order once the body stalls.
	for range 2 {
		select {
		case b := <-s.events:
			if f, ok := b.(control.AnswerFinished); ok && f.Outcome != control.OutcomeUnknown {
				t.Errorf("got %+v", f)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("the attempt did not end within %v", waitTimeout)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if text, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(string(text), " 200 ") {
		t.Errorf("the caller got %q, %v", text, err)
	}
}
