package transport

import (
	"context"
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

// Limits of the connections to one kind of peer.
type Limits struct {
	PerHost  int           // connections to one address; further requests wait
	Idle     int           // idle connections kept to one address
	IdleTime time.Duration // after which an idle connection is closed
	Dial     time.Duration // limit for connecting
}

const (
	maxAnswerHeaderBytes = 64 << 10
	keepAlivePeriod      = 15 * time.Second
	ioBufferBytes        = 4 << 10
)

// Transport is a shared http.Transport that tracks what was sent.
type Transport struct{ http *http.Transport }

// New returns a transport. It uses no proxy, HTTP/1.1 only, and does not ask
// for compression on its own.
func New(l Limits) *Transport {
	dialer := &net.Dialer{Timeout: l.Dial, KeepAlive: keepAlivePeriod}
	return &Transport{http: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, fmt.Errorf("address %q is not IP:port", address) // names are never looked up
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost: l.PerHost, MaxIdleConnsPerHost: l.Idle, IdleConnTimeout: l.IdleTime,
		DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize: ioBufferBytes, WriteBufferSize: ioBufferBytes,
	}}
}

// CloseIdle closes the connections that are not in use.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// attempt follows one request over the connections it is given.
type attempt struct {
	mu    sync.Mutex
	conn  *trackedConn
	start int64 // bytes written to conn before the request
	lost  bool  // an earlier connection may have carried the request
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && !a.conn.sealIfAt(a.start) {
		a.lost = true
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		a.lost = true
		return
	}
	a.conn, a.start = conn, conn.count()
}

// notSent reports whether certainly nothing of the request was or will be sent.
func (a *attempt) notSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		return false
	}
	return a.conn == nil || a.conn.sealIfAt(a.start)
}

// replayHeaders make http.Transport repeat a request by itself after its
// connection broke, when they are present under their canonical names.
var replayHeaders = [...]string{"Idempotency-Key", "X-Idempotency-Key"}

// preventReplay keeps http.Transport from repeating a request that may have
// run. A field name in lower case means the same to the receiver.
func preventReplay(h http.Header) {
	for _, name := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// RoundTrip sends a request, without following redirects. On an error the
// outcome is OutcomeNotDone when no byte of the request was written to any
// connection, else OutcomeUnknown. The outcome of an answer is OutcomeDone.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, structs.Outcome, error) {
	preventReplay(req.Header)
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, structs.OutcomeDone, nil
	}
	if a.notSent() {
		return nil, structs.OutcomeNotDone, err
	}
	return nil, structs.OutcomeUnknown, err
}

// Failure is the error of a request sent through Handle.
type Failure struct {
	Outcome structs.Outcome // as RoundTrip returns it
	Err     error
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Handle returns the transport as a plain http.RoundTripper, whose errors are
// of type *Failure.
func (t *Transport) Handle() http.RoundTripper { return plain{t} }

type plain struct{ t *Transport }

// RoundTrip sends a request.
func (p plain) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, outcome, err := p.t.RoundTrip(req)
	if err != nil {
		return nil, &Failure{Outcome: outcome, Err: err}
	}
	return resp, nil
}
