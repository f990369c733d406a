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

// HeaderToken carries the shared token of the entry hosts, where the settings
// name one.
const HeaderToken = "Tamarackstep-Peer-Token"

// maxMessageBytes bounds one message. The largest is a configuration of some
// ten thousand rows.
const maxMessageBytes = 16 << 20

// compression is the name of the one method that connect offers unless it is
// turned off. Its buffers held 11 MB of heap for messages of some hundred bytes.
const compression = "gzip"

// Client executes SendPeer. Messages that find its pool's queue full are
// answered "not done".
type Client struct {
	from    structs.HostID
	token   string
	http    *http.Client
	pool    *runner.Pool[control.EventBody]
	observe runner.Observer

	mu       sync.Mutex
	services map[string]tamarackstepv1connect.PeerClient // by address
}

// maxServices bounds the addresses whose clients are kept; replaced hosts leave
// theirs behind. When it is reached, all are built anew.
const maxServices = 256

// service returns the client of an address. Each has buffers of its own, which
// a client built for every message could never use again.
func (c *Client) service(address string) tamarackstepv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[address]; ok {
		return s
	}
	if c.services == nil || len(c.services) >= maxServices {
		c.services = make(map[string]tamarackstepv1connect.PeerClient)
	}
	s := tamarackstepv1connect.NewPeerClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression(compression, nil, nil))
	c.services[address] = s
	return s
}

// NewClient returns a client that sends as the given host. An empty token is
// not sent.
func NewClient(t *transport.Transport, from structs.HostID, token string, pool *runner.Pool[control.EventBody], observe runner.Observer) *Client {
	return &Client{from: from, token: token, http: &http.Client{Transport: t.Handle()}, pool: pool, observe: observe}
}

// Send sends a message.
func (c *Client) Send(f control.SendPeer) {
	c.pool.Submit(runner.Job[control.EventBody]{
		Timeout: f.Timeout,
		Run: func(ctx context.Context) control.EventBody {
			began := time.Now()
			outcome, err := c.send(ctx, f)
			c.observe(stepOf(f.Message), f.Address, outcome, time.Since(began), err)
			return control.PeerSent{Effect: f.ID, Outcome: outcome}
		},
		NotRun: func() control.EventBody {
			return control.PeerSent{Effect: f.ID, Outcome: control.OutcomeNotDone}
		},
	})
}

func (c *Client) send(ctx context.Context, f control.SendPeer) (control.Outcome, error) {
	failed := oops.In("peer").With("step", stepOf(f.Message)).With("peer", f.Address)
	envelope, err := Encode(c.from, f.Message)
	if err != nil {
		return control.OutcomeNotDone, failed.Wrap(err)
	}
	request := connect.NewRequest(envelope)
	if c.token != "" {
		request.Header().Set(HeaderToken, c.token)
	}
	if _, err := c.service(f.Address).Deliver(ctx, request); err != nil {
		return outcomeOf(err), failed.Wrap(err)
	}
	return control.OutcomeDone, nil
}

// outcomeOf returns what an error proves. The transport knows whether the message
// was sent; a refusal by the receiver's handler
// comes before the message is queued.
func outcomeOf(err error) control.Outcome {
	var failure *transport.Failure
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
	post  func(control.EventBody) // waits for room: a slow receiver slows its senders down
}

var errToken = errors.New("peer token is missing or wrong")

// NewHandler returns the HTTP path and handler of the peer listener. With a
// token, messages without it are refused.
func NewHandler(token string, post func(control.EventBody)) (string, http.Handler) {
	return tamarackstepv1connect.NewPeerHandler(
		&Handler{token: token, post: post}, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression(compression, nil, nil))
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
