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

// waitTimeout bounds every wait in the tests.
const waitTimeout = 20 * time.Second

// testServer serves a Proxy and stands in for the control loop: the test reads the
// events and issues the effects.
type testServer struct {
	t         *testing.T
	events    chan control.EventBody
	queueFull bool
	proxy     *Proxy
	server    *httptest.Server
}

func (s *testServer) Post(b control.EventBody) { s.events <- b }

func (s *testServer) TryPost(b control.EventBody) error {
	if s.queueFull {
		return loop.ErrQueueFull
	}
	s.events <- b
	return nil
}

// newTestServer serves a Proxy on loopback. Adjust, where set, changes its limits.
func newTestServer(t *testing.T, adjust func(*Limits)) *testServer {
	s := &testServer{t: t, events: make(chan control.EventBody, 256)}
	limits := DefaultLimits()
	if adjust != nil {
		adjust(&limits)
	}
	tr := transport.New(transport.Limits{MaxConnsPerHost: 64, MaxIdleConnsPerHost: 64, IdleTimeout: time.Minute, DialTimeout: time.Second})
	s.proxy = NewProxy(s, runner.NewOutbox(s.Post), tr, limits, func(string, Result, time.Duration) {})
	s.server = httptest.NewUnstartedServer(s.proxy)
	s.server.Config.MaxHeaderBytes = 16 << 10
	s.server.Start()
	t.Cleanup(func() {
		tr.CloseIdle()
		s.server.Close()
	})
	return s
}

// nextEvent waits for the next event, which must be of type T, and returns it.
func nextEvent[T control.EventBody](s *testServer) T {
	s.t.Helper()
	select {
	case b := <-s.events:
		e, ok := b.(T)
		if !ok {
			s.t.Fatalf("got %T %+v, want %T", b, b, e)
		}
		return e
	case <-time.After(waitTimeout):
		var e T
		s.t.Fatalf("no event within %v, want %T", waitTimeout, e)
		return e
	}
}

func dispatch(c control.CallArrived, attempt uint64, address string) control.DispatchCall {
	return control.DispatchCall{
		Call: c.Call, Attempt: attempt, Address: address, Timeout: waitTimeout, Final: true,
		Target: structs.Target{Task: "portal.0"},
	}
}

// startTarget starts an HTTP server that acts as a worker and returns its address.
func startTarget(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// startRawTarget accepts connections and calls serve for each with a buffered
// reader of the connection. It returns the address.
func startRawTarget(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
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

// answer is the response that a caller received.
type answer struct {
	resp *http.Response
	body string
	err  error // of the request, or of reading the body
}

// call sends a request and returns a channel that receives its answer.
func (s *testServer) call(method, path, body string, header ...string) <-chan answer {
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

func (s *testServer) send(req *http.Request) <-chan answer {
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

func waitAnswer(t *testing.T, c <-chan answer) answer {
	t.Helper()
	select {
	case a := <-c:
		return a
	case <-time.After(waitTimeout):
		t.Fatalf("the caller got no answer within %v", waitTimeout)
		return answer{}
	}
}
