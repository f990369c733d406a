package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Limits bounds the connections to one kind of peer.
type Limits struct {
	MaxConnsPerHost     int           // connections to one address; further requests wait
	MaxIdleConnsPerHost int           // idle connections kept to one address
	IdleTimeout         time.Duration // after which an idle connection is closed
	DialTimeout         time.Duration // timeout for connecting
}

const (
	maxResponseHeaderBytes = 64 << 10
	keepAlivePeriod        = 15 * time.Second
	ioBufferBytes          = 4 << 10
)

// Transport is a shared http.Transport that tracks whether requests were sent. Connections
// can fall silent without a reset, several at the same time. So a request that times out also
// closes the idle connections to its peer: each of them could cost one more request.
type Transport struct {
	http  *http.Transport
	peers peers
}

// New returns a transport. It uses no proxy, HTTP/1.1 only, and does not ask
// for compression on its own.
func New(l Limits) *Transport {
	dialer := &net.Dialer{Timeout: l.DialTimeout, KeepAlive: keepAlivePeriod}
	t := &Transport{}
	t.http = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, fmt.Errorf("address %q is not IP:port", address) // host names are never resolved
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := &trackedConn{Conn: conn}
			t.peers.add(address, tracked)
			return tracked, nil
		},
		MaxConnsPerHost: l.MaxConnsPerHost, MaxIdleConnsPerHost: l.MaxIdleConnsPerHost, IdleConnTimeout: l.IdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize: ioBufferBytes, WriteBufferSize: ioBufferBytes,
	}
	return t
}

// CloseIdle closes the connections that are not in use.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// closeIdleAfterTimeout closes the idle connections to the peer of a failed request if it has
// timed out.
func (t *Transport) closeIdleAfterTimeout(req *http.Request) {
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		t.peers.closeIdle(req.URL.Host)
	}
}

// attempt tracks one request over the connections that http.Transport assigns it.
type attempt struct {
	mu        sync.Mutex
	conn      *trackedConn
	use       int   // number of this use of conn
	start     int64 // bytes written to conn before the request
	maybeSent bool  // an earlier connection may have carried the request
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && !a.conn.sealIfWritten(a.start) {
		a.maybeSent = true
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		a.maybeSent = true
		return
	}
	a.conn = conn
	a.use, a.start = conn.beginUse()
}

// putIdleConn is called when the response has been read and the connection is kept.
func (a *attempt) putIdleConn(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && a.conn != nil {
		a.conn.endUse(a.use)
	}
}

// notSent reports whether it is certain that no byte of the request was or will be
// sent.
func (a *attempt) notSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maybeSent {
		return false
	}
	return a.conn == nil || a.conn.sealIfWritten(a.start)
}

// replayHeaders are the headers that, under their canonical names, make
// http.Transport resend a request after its connection broke.
var replayHeaders = [...]string{"Idempotency-Key", "X-Idempotency-Key"}

// preventReplay keeps http.Transport from resending a request that may have been
// executed. Header names are case-insensitive for the receiver, but http.Transport
// recognizes only the canonical ones.
func preventReplay(h http.Header) {
	for _, name := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// RoundTrip sends a request without following redirects. The outcome is
// OutcomeDone if there is a response. On an error it is OutcomeNotDone if no byte
// of the request was written to any connection, else OutcomeUnknown.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, structs.Outcome, error) {
	preventReplay(req.Header)
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, PutIdleConn: a.putIdleConn}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, structs.OutcomeDone, nil
	}
	t.closeIdleAfterTimeout(req)
	if a.notSent() {
		return nil, structs.OutcomeNotDone, err
	}
	return nil, structs.OutcomeUnknown, err
}

// RequestError is the error of a request sent through RoundTripper.
type RequestError struct {
	Outcome structs.Outcome // as RoundTrip returns it
	Err     error
}

// Error returns the text of the cause.
func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// RoundTripper returns the transport as a plain http.RoundTripper, whose errors are
// of type *RequestError.
func (t *Transport) RoundTripper() http.RoundTripper { return roundTripper{t} }

type roundTripper struct{ t *Transport }

// RoundTrip sends a request.
func (p roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, outcome, err := p.t.RoundTrip(req)
	if err != nil {
		return nil, &RequestError{Outcome: outcome, Err: err}
	}
	return resp, nil
}
