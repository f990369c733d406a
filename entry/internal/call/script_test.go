package call

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// waitLimit is a generous bound on everything that a test waits for.
const waitLimit = 20 * time.Second

// script stands in for the reducer: the test reads events and orders effects.
type script struct {
	t      *testing.T
	events chan control.EventBody
	full   bool
	front  *Front
	server *httptest.Server
}

func (s *script) Post(b control.EventBody) { s.events <- b }

func (s *script) TryPost(b control.EventBody) error {
	if s.full {
		return loop.ErrQueueFull
	}
	s.events <- b
	return nil
}

// newScript serves a front on loopback. Change adjusts its limits.
func newScript(t *testing.T, change func(*Limits)) *script {
	s := &script{t: t, events: make(chan control.EventBody, 256)}
	limits := DefaultLimits()
	if change != nil {
		change(&limits)
	}
	tr := transport.New(transport.Limits{PerHost: 64, Idle: 64, IdleTime: time.Minute, Dial: time.Second})
	s.front = NewFront(s, runner.NewAnswers(s.Post), tr, limits, func(string, Result, time.Duration) {})
	s.server = httptest.NewUnstartedServer(s.front)
	s.server.Config.MaxHeaderBytes = 16 << 10
	s.server.Start()
	t.Cleanup(func() {
		tr.CloseIdle()
		s.server.Close()
	})
	return s
}

// next returns the next event, which must be of type T.
func next[T control.EventBody](s *script) T {
	s.t.Helper()
	select {
	case b := <-s.events:
		e, ok := b.(T)
		if !ok {
			s.t.Fatalf("got %T %+v, want %T", b, b, e)
		}
		return e
	case <-time.After(waitLimit):
		var e T
		s.t.Fatalf("no event, want %T", e)
		return e
	}
}

func dispatch(c control.CallArrived, attempt uint64, address string) control.DispatchCall {
	return control.DispatchCall{
		Call: c.Call, Attempt: attempt, Address: address, Timeout: waitLimit, Final: true,
		Target: structs.Target{Task: "portal.0"},
	}
}

// target serves a stand-in for a worker and returns its address.
func target(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// rawTarget accepts connections and hands each to the function, which gets a
// reader positioned after the request's headers.
func rawTarget(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

// answer is what a caller saw.
type answer struct {
	resp *http.Response
	body string
	err  error // of the request, or of reading the body
}

// call sends a request and returns a channel with its one answer.
func (s *script) call(method, path, body string, header ...string) <-chan answer {
	s.t.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return s.send(req)
}

func (s *script) send(req *http.Request) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		resp, err := s.server.Client().Do(req)
		if err != nil {
			out <- answer{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		out <- answer{resp, string(body), err}
	}()
	return out
}

func wait(t *testing.T, c <-chan answer) answer {
	t.Helper()
	select {
	case a := <-c:
		return a
	case <-time.After(waitLimit):
		t.Fatal("the caller got no answer")
		return answer{}
	}
}
