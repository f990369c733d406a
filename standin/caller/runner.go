package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
	"github.com/tamarackstep/tamarackstep/standin/worker"
)

const (
	eventQueueSize = 4096 // senders block while the queue is full
	probeTimeout   = 1 * time.Second
	dialTimeout    = 2 * time.Second
	maxAnswerBytes = 16 << 20
	idleTimeout    = 10 * time.Second
)

// Caller runs the reducer and executes its effects.
type Caller struct {
	options     Options
	service     string
	loop        *loop.Loop[Event, Effect]
	callClient  *http.Client // idempotent calls and probes, on kept-alive connections
	orderClient *http.Client // a new connection per order, so that the transport never resends one
	done        chan Report
}

// NewCaller returns a caller that sends its load to the service.
func NewCaller(o Options, service string) *Caller {
	c := &Caller{options: o, service: service, done: make(chan Report, 1)}
	c.loop = loop.New(NewState(o), eventQueueSize, c.execute)
	c.callClient, c.orderClient = newClient(o.MaxInProgress, false), newClient(o.MaxInProgress, true)
	return c
}

func newClient(connections int, newConnectionEach bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: idleTimeout, DisableCompression: true, DisableKeepAlives: newConnectionEach,
	}}
}

// Run runs the load and returns its report. When the context ends, no new job
// starts, and jobs in progress run to their end.
func (c *Caller) Run(ctx context.Context) Report {
	running, end := context.WithCancel(context.Background())
	defer end()
	go c.loop.Run(running)
	stop := context.AfterFunc(ctx, func() { c.loop.Post(StopRequested{}) })
	defer stop()
	return <-c.done
}

func (c *Caller) execute(f Effect) {
	switch f := f.(type) {
	case SendAttempt:
		go func() { c.loop.Post(AttemptEnded{Job: f.Job, Attempt: f.Attempt, Result: c.send(f)}) }()
	case ProbeHost:
		go func() { c.loop.Post(ProbeEnded{Host: f.Host, Ready: c.probe(f.Host)}) }()
	case LogViolation:
		slog.Error("caller: violation", "what", f.Message)
	case Finish:
		c.done <- f.Report
	}
}

func (c *Caller) probe(host int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Hosts[host].OperatorAddress+wire.PathReady, nil)
	if err != nil {
		return false
	}
	answer, err := c.callClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// send sends one attempt and reads its answer to the end.
func (c *Caller) send(f SendAttempt) Result {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	method, body, client := http.MethodGet, "", c.callClient
	if f.Key != "" {
		method, client = http.MethodPost, c.orderClient
		if f.Job%2 == 0 { // alternates, because HTTP transports treat requests with and without a body differently
			body = "order " + f.Key
		}
	}
	url := fmt.Sprintf("http://%s/%s/work?%s=%d", c.options.Hosts[f.Host].CallerAddress, c.service, worker.ParamHold, f.HoldMS)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Result{Detail: err.Error()}
	}
	request.Header.Set(worker.HeaderCallerID, f.ID)
	if f.Key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, f.Key)
	}
	began := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		return Result{Sent: sent.Load(), Detail: transportError(err)}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	r := Result{
		Sent: true, Status: answer.StatusCode, Outcome: answer.Header.Get(wire.HeaderOutcome), Complete: err == nil,
		Elapsed: time.Since(began),
	}
	if err != nil {
		r.Detail = fmt.Sprintf("after %d bytes: %s", len(text), transportError(err))
	}
	if r.Complete && r.Status == http.StatusOK {
		if err := stream.Verify(string(text), f.ID, stream.Digest([]byte(body))); err != nil {
			r.Mismatch = err.Error()
		}
	}
	return r
}

// transportError returns the text of the innermost cause of a net/http error.
func transportError(err error) string {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}
