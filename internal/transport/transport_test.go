package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// serve handles connections on loopback until the test ends.
func serve(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

var limits = Limits{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleTimeout: time.Minute, DialTimeout: time.Second}

// Guards against the outcome "not done" for a request that was sent, and "unknown"
// for a request that never got a connection.
func TestOutcomes(t *testing.T) {
	reached := make(chan struct{}, 8)
	silent := serve(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
	})
	tr := New(limits)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan structs.Outcome)
	go func() {
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+silent+"/", strings.NewReader("x"))
		_, o, _ := tr.RoundTrip(req)
		first <- o
	}()
	<-reached
	// The second request times out while it waits for the only connection.
	short, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	req, _ := http.NewRequestWithContext(short, "POST", "http://"+silent+"/", strings.NewReader("y"))
	if _, o, err := tr.RoundTrip(req); o != structs.OutcomeNotDone {
		t.Errorf("without a connection: outcome %v, %v", o, err)
	}
	cancel()
	if o := <-first; o != structs.OutcomeUnknown {
		t.Errorf("sent and cancelled: outcome %v", o)
	}
}

// Guards against a write after a request was reported as not sent.
func TestSealedConnectionRefusesWrites(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &trackedConn{Conn: a}
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if c.sealIfWritten(0) || !c.sealIfWritten(1) {
		t.Error("sealed at the wrong number of bytes")
	}
	if _, err := c.Write([]byte("y")); err != errSealed {
		t.Errorf("write after the seal: %v", err)
	}
}

// Guards against a wrong outcome when a connection is refused, breaks after the request was
// read, or was closed by the peer while it was idle: a request that the peer has read is never
// reported as not sent, and is sent once.
func TestOutcomesOfBrokenConnections(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	if o := post(t, New(limits), closed.Addr().String()); o != structs.OutcomeNotDone {
		t.Errorf("refused connection: outcome %v", o)
	}
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		answered  int    // requests on each connection
		readsNext bool   // reads a further request before it closes the connection
		writes    string // then
	}{
		"closed without an answer":   {0, true, ""},
		"closed in the status line":  {0, true, "HTTP/1.1 20"},
		"closed after an answer":     {1, true, ""},
		"closed while it is idle":    {1, false, ""},
		"closed before it reads any": {0, false, ""},
	} {
		var read atomic.Int64
		address := serve(t, func(conn net.Conn) {
			defer conn.Close()
			buffered := bufio.NewReader(conn)
			readRequest := func() bool {
				r, err := http.ReadRequest(buffered)
				if err != nil {
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body)
				read.Add(1)
				return true
			}
			for range c.answered {
				if !readRequest() {
					return
				}
				_, _ = io.WriteString(conn, answer)
			}
			if c.readsNext && readRequest() {
				_, _ = io.WriteString(conn, c.writes)
			}
		})
		tr := New(limits)
		for i := range 4 {
			before := read.Load()
			o := post(t, tr, address)
			sent := read.Load() - before
			if sent > 1 || sent == 1 && o == structs.OutcomeNotDone || sent == 0 && o == structs.OutcomeDone {
				t.Errorf("%s, request %d: outcome %v, read %d times", name, i, o, sent)
			}
			if c.readsNext && i == c.answered && o != structs.OutcomeUnknown {
				t.Errorf("%s, request %d: outcome %v, want unknown", name, i, o)
			}
		}
	}
}

// post sends a request with a body and returns its outcome.
func post(t *testing.T, tr *Transport, address string) structs.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	resp, outcome, err := tr.RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return outcome
}

// silentServer answers requests until its open connections fall silent; new ones are answered.
type silentServer struct {
	address string
	silent  atomic.Int64 // connections up to this number do not answer
	opened  atomic.Int64
	holding atomic.Int64  // requests for /hold that have arrived
	hold    chan struct{} // closed when requests for /hold are to be answered
}

func newSilentServer(t *testing.T) *silentServer {
	s := &silentServer{hold: make(chan struct{})}
	s.address = serve(t, func(conn net.Conn) {
		defer conn.Close()
		number := s.opened.Add(1)
		buffered := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(buffered)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/hold" {
				s.holding.Add(1)
				<-s.hold
			} else if number <= s.silent.Load() {
				_, _ = io.Copy(io.Discard, conn)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	return s
}

// get sends a request, reads the response, and returns the error of either.
func (s *silentServer) get(tr *Transport, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _, err := Endpoint{Transport: tr}.Do(ctx, "test", http.MethodPost, url.URL{Scheme: "http", Host: s.address, Path: path}, nil, []byte("x"))
	return err
}

// awaitHeld waits until n requests for /hold have arrived.
func (s *silentServer) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); s.holding.Load() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests have arrived, want %d", s.holding.Load(), n)
		}
	}
}

// silentConnections is the number of connections that fall silent at once.
const silentConnections = 6

// openConnections returns a transport with silentConnections idle connections to the server.
func (s *silentServer) openConnections(t *testing.T) *Transport {
	t.Helper()
	tr := New(Limits{MaxConnsPerHost: silentConnections, MaxIdleConnsPerHost: silentConnections, IdleTimeout: time.Minute, DialTimeout: time.Second})
	errs := make(chan error)
	for range silentConnections {
		go func() { errs <- s.get(tr, "/hold", 10*time.Second) }()
	}
	s.awaitHeld(t, silentConnections)
	close(s.hold)
	for range silentConnections {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	return tr
}

// Guards against connections to a peer that fall silent together and cost a request each: the
// request after the first one that times out has to find a connection that works.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	s := newSilentServer(t)
	tr := s.openConnections(t)
	other := newSilentServer(t)
	close(other.hold)
	if err := other.get(tr, "/", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	s.silent.Store(silentConnections)
	if err := s.get(tr, "/", 300*time.Millisecond); err == nil {
		t.Fatal("a silent connection answered")
	}
	if err := s.get(tr, "/", 10*time.Second); err != nil {
		t.Errorf("the second request: %v", err)
	}
	if err := other.get(tr, "/", 10*time.Second); err != nil || other.opened.Load() != 1 {
		t.Errorf("the other peer: %v, %d connections, want 1 that is kept", err, other.opened.Load())
	}
}

// Guards against a request that is broken off because another one to the same peer timed out.
func TestTimeoutKeepsConnectionsInUse(t *testing.T) {
	s := newSilentServer(t)
	tr := New(Limits{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, IdleTimeout: time.Minute, DialTimeout: time.Second})
	if err := s.get(tr, "/", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	held := make(chan error)
	go func() { held <- s.get(tr, "/hold", 10*time.Second) }() // on the first connection, which was idle
	s.awaitHeld(t, 1)
	s.silent.Store(2)
	if err := s.get(tr, "/", 300*time.Millisecond); err == nil {
		t.Fatal("a silent connection answered")
	}
	close(s.hold)
	if err := <-held; err != nil {
		t.Errorf("the request in progress: %v", err)
	}
}

// Guards against connections that are remembered after they were closed.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	s := newSilentServer(t)
	tr := s.openConnections(t)
	tr.http.CloseIdleConnections()
	remembered := func() (conns, addresses int) {
		conns = len(tr.peers.connsTo(s.address))
		tr.peers.mu.Lock()
		defer tr.peers.mu.Unlock()
		return conns, len(tr.peers.byAddress)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		conns, addresses := remembered()
		if conns == 0 && addresses == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections to %d addresses are remembered", conns, addresses)
		}
	}
}
