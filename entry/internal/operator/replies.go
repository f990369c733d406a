// Package operator is the HTTP handler of the operator listener: plan and apply of
// sheets, status, explain, stop and resume of rows, drain, health and metrics. It
// owns the requests that wait for a reply. It changes no other state: each request
// becomes an event, and the reducer's OperatorReply becomes the answer.
package operator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Poster queues events for the control loop.
type Poster interface {
	// TryPost returns an error when the event queue is too full for new work.
	TryPost(control.EventBody) error
}

var errNoReply = errors.New("the control loop did not answer in time; whether a change was accepted is unknown")

// Replies passes the reducer's replies to the requests that wait for them.
type Replies struct {
	loop Poster

	mu      sync.Mutex
	next    control.OperatorRequestID
	waiting map[control.OperatorRequestID]chan control.Reply
}

// NewReplies returns a Replies without waiting requests.
func NewReplies(loop Poster) *Replies {
	return &Replies{loop: loop, waiting: make(map[control.OperatorRequestID]chan control.Reply)}
}

// Deliver passes a reply to its request. It never blocks. A reply to a request that
// no longer waits is dropped.
func (r *Replies) Deliver(e control.OperatorReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.waiting[e.Request]; ok {
		c <- e.Reply // never blocks: the channel's buffer holds the only reply
		delete(r.waiting, e.Request)
	}
}

// Ask posts the event of a request and waits for the reply, at most for the timeout.
func (r *Replies) Ask(ctx context.Context, timeout time.Duration, event func(control.OperatorRequestID) control.EventBody) (control.Reply, error) {
	id, reply := r.register()
	defer r.unregister(id)
	if err := r.loop.TryPost(event(id)); err != nil {
		return nil, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case body := <-reply:
		return body, nil
	case <-timer.C:
		return nil, errNoReply
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *Replies) register() (control.OperatorRequestID, chan control.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	c := make(chan control.Reply, 1)
	r.waiting[r.next] = c
	return r.next, c
}

func (r *Replies) unregister(id control.OperatorRequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}
