package platformhost

import (
	"sync"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
)

// pendingRequests holds the requests of one kind that wait for an answer of the reducer.
type pendingRequests[A any] struct {
	limit   int // more are refused at once
	mu      sync.Mutex
	lastID  scheduler.RequestID
	answers map[scheduler.RequestID]chan A
}

func newPendingRequests[A any](limit int) *pendingRequests[A] {
	return &pendingRequests[A]{limit: limit, answers: make(map[scheduler.RequestID]chan A)}
}

// register allots an ID and an answer channel to a request. It fails when too
// many requests are in progress.
func (p *pendingRequests[A]) register() (scheduler.RequestID, chan A, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answers) >= p.limit {
		return 0, nil, false
	}
	p.lastID++
	answer := make(chan A, 1)
	p.answers[p.lastID] = answer
	return p.lastID, answer, true
}

func (p *pendingRequests[A]) unregister(id scheduler.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, id)
}

// deliver passes an answer to the goroutine that waits for it.
func (p *pendingRequests[A]) deliver(id scheduler.RequestID, a A) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, ok := p.answers[id]; ok {
		answer <- a // never blocks: a request has one answer and the channel holds one
	}
}
