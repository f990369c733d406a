package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
