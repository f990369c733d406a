// Package operator sends requests to the operator listeners of entry hosts. It
// chooses the host and decides whether a request may be retried at another one;
// it does not interpret the bodies of requests and responses.
package operator

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
)

const (
	dialTimeout      = 2 * time.Second // a host that takes longer to accept a connection counts as unreachable
	maxResponseBytes = 64 << 20
)

// Request is an HTTP request that any of the entry hosts can serve.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte // JSON; nil: none
	// Retryable allows sending the request to the next host after any failure
	// at the previous one. A request that is not retryable goes to the next
	// host only when it is certain that no byte of it was sent.
	Retryable bool
}

// Response is the HTTP response of an entry host.
type Response struct {
	Host   string // IP:port
	Status int    // HTTP status
	Body   []byte
}

// Attempt is a failed attempt to send a request to one host.
type Attempt struct {
	Host string
	Err  error
}

// Client sends requests to the first host that can be reached. It does not reuse
// connections, since the HTTP transport may send a request again when a reused
// connection turns out to be closed.
type Client struct {
	hosts []netip.AddrPort
	token string
	http  *http.Client
}

// NewClient returns a client for the hosts, which are tried in order.
func NewClient(hosts []netip.AddrPort, token string) *Client {
	return &Client{
		hosts: hosts, token: token,
		http: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			},
			// A redirect could send a change to a host that the operator did not name.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do sends the request and returns the first response. For a retryable request
// it returns a response with a server error only when every other host fails as
// well. Errors are *UnreachableError or *UnknownOutcomeError.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var attempts []Attempt
	var serverError *Response
	for i, host := range c.hosts {
		attemptCtx, cancel := withAttemptTimeout(ctx, len(c.hosts)-i, r.Retryable)
		response, sent, err := c.sendTo(attemptCtx, host.String(), r)
		cancel()
		switch {
		case err == nil && (response.Status < http.StatusInternalServerError || !r.Retryable):
			return response, nil
		case err == nil:
			if serverError == nil {
				serverError = &response
			}
			continue
		case sent && !r.Retryable:
			return Response{}, &UnknownOutcomeError{Host: host.String(), Err: err}
		}
		attempts = append(attempts, Attempt{Host: host.String(), Err: err})
	}
	if serverError != nil {
		return *serverError, nil
	}
	return Response{}, &UnreachableError{Attempts: attempts}
}

// withAttemptTimeout limits an attempt at a retryable request to an equal share
// of the remaining time, so that a host that accepts connections but never
// responds leaves time for the hosts after it.
func withAttemptTimeout(ctx context.Context, hostsLeft int, retryable bool) (context.Context, context.CancelFunc) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline || !retryable {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(hostsLeft))
}

// sendTo sends the request to one host. sent is false when no connection was
// established, so that no byte of the request can have been sent.
func (c *Client) sendTo(ctx context.Context, host string, r Request) (response Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	requestURL := url.URL{Scheme: "http", Host: host, Path: r.Path, RawQuery: r.Query.Encode()}
	errorBuilder := oops.In("operator").With("step", r.Method+" "+r.Path, "peer", host)
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, requestURL.String(), bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, false, errorBuilder.Wrap(err)
	}
	// Without GetBody the transport cannot send the body again.
	request.GetBody = nil
	if r.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set(wire.HeaderOperatorToken, c.token)
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return Response{}, connected.Load(), errorBuilder.Wrap(stripURLError(err))
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return Response{}, true, errorBuilder.Wrapf(err, "the response body is incomplete")
	}
	return Response{Host: host, Status: httpResponse.StatusCode, Body: body}, true, nil
}
