package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	pb "github.com/tamarackstep/tamarackstep/api/tamarackstepv1"
	"github.com/tamarackstep/tamarackstep/api/tamarackstepv1/tamarackstepv1connect"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// HeaderToken is the header that carries the shared token of the entry hosts, if
// the settings have one.
const HeaderToken = "Tamarackstep-Peer-Token"

// maxMessageBytes bounds one message. The largest is a configuration of about
// ten thousand rows.
const maxMessageBytes = 16 << 20

// compressionName is the only method that connect enables by default. It is
// disabled here: its buffers took 11 MB of heap for messages of a few hundred bytes.
const compressionName = "gzip"

// Client executes SendPeer effects. When its pool's queue is full, a message is
// answered "not done".
type Client struct {
	from    structs.HostID
	token   string
	http    *http.Client
	pool    *runner.Pool[control.EventBody]
	observe runner.Observer

	mu      sync.Mutex
	clients map[string]tamarackstepv1connect.PeerClient // by address
}

// maxCachedClients bounds the cache of clients, in which the addresses of replaced
// hosts would accumulate. When the cache is full, it is emptied.
const maxCachedClients = 256

// peerClient returns the cached client of an address. A new client for every
// message could not reuse its buffers.
func (c *Client) peerClient(address string) tamarackstepv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if c.clients == nil || len(c.clients) >= maxCachedClients {
		c.clients = make(map[string]tamarackstepv1connect.PeerClient)
	}
	client := tamarackstepv1connect.NewPeerClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression(compressionName, nil, nil))
	c.clients[address] = client
	return client
}

// NewClient returns a client that sends messages as the host from. An empty token
// is not sent.
func NewClient(t *transport.Transport, from structs.HostID, token string, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{from: from, token: token, http: &http.Client{Transport: t.RoundTripper()}, pool: pool, observe: observe}
}

// Send queues a message for sending and returns. The outcome is posted as PeerSent.
func (c *Client) Send(e control.SendPeer) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: e.Timeout,
		Run: func(ctx context.Context) control.EventBody {
			start := time.Now()
			outcome, err := c.send(ctx, e)
			c.observe(stepOf(e.Message), e.Address, outcome, time.Since(start), err)
			return control.PeerSent{Effect: e.ID, Outcome: outcome}
		},
		NotRun: func() control.EventBody {
			return control.PeerSent{Effect: e.ID, Outcome: control.OutcomeNotDone}
		},
	})
}

func (c *Client) send(ctx context.Context, e control.SendPeer) (control.Outcome, error) {
	errorContext := oops.In("peer").With("step", stepOf(e.Message)).With("peer", e.Address)
	envelope, err := Encode(c.from, e.Message)
	if err != nil {
		return control.OutcomeNotDone, errorContext.Wrap(err)
	}
	request := connect.NewRequest(envelope)
	if c.token != "" {
		request.Header().Set(HeaderToken, c.token)
	}
	if _, err := c.peerClient(e.Address).Deliver(ctx, request); err != nil {
		return outcomeOf(err), errorContext.Wrap(err)
	}
	return control.OutcomeDone, nil
}

// outcomeOf returns whether a failed message may have been delivered. Errors of the
// transport carry the outcome. A receiver's handler refuses a message before it is
// queued.
func outcomeOf(err error) control.Outcome {
	var failure *transport.RequestError
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodeResourceExhausted:
		if connect.IsWireError(err) {
			return control.OutcomeNotDone
		}
	}
	return control.OutcomeUnknown
}

func stepOf(m control.Message) string {
	switch m.(type) {
	case control.Heartbeat:
		return "heartbeat"
	case control.Endpoints:
		return "endpoints"
	case control.EndpointsRequest:
		return "endpoints-request"
	case control.ConfigPush:
		return "config-push"
	case control.ConfigDelta:
		return "config-delta"
	case control.ConfigRequest:
		return "config-request"
	case control.Transferred:
		return "transferred"
	case control.Released:
		return "released"
	}
	return "message"
}

// Handler receives messages and posts them as events.
type Handler struct {
	token string
	post  func(control.EventBody) // blocks while the event queue is full, which slows the senders down
}

var errToken = errors.New("peer token is missing or wrong")

// NewHandler returns the HTTP path and handler of the peer listener. Unless token
// is empty, messages without it are refused. Post may block.
func NewHandler(token string, post func(control.EventBody)) (string, http.Handler) {
	return tamarackstepv1connect.NewPeerHandler(
		&Handler{token: token, post: post}, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression(compressionName, nil, nil))
}

// Deliver queues one message for the control loop.
func (h *Handler) Deliver(_ context.Context, r *connect.Request[pb.Envelope]) (*connect.Response[pb.Ack], error) {
	given := r.Header().Get(HeaderToken)
	if h.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(h.token)) != 1 {
		return nil, connect.NewError(connect.CodeUnauthenticated, errToken)
	}
	from, message, err := Decode(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	h.post(control.PeerMessage{From: from, Message: message})
	return connect.NewResponse(&pb.Ack{}), nil
}
