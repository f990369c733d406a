// Package exchange connects the HTTP goroutines of a stand-in to its control
// loop: a goroutine opens an exchange, posts an event that carries its ID, and
// waits for the effect with the same ID. The goroutines decide nothing.
package exchange

import "sync"

// ID identifies one HTTP request and its answer. 0 is never used.
type ID uint64

// Pending holds the exchanges that wait for the control loop and passes each
// answer to the goroutine that waits for it. The zero value is ready for use.
type Pending[A any] struct {
	mu      sync.Mutex
	lastID  ID
	waiting map[ID]chan A
}

// Open returns a new ID and the channel that receives its answer. The
// channel has room for one answer, so Deliver never blocks.
func (p *Pending[A]) Open() (ID, <-chan A) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[ID]chan A)
	}
	p.lastID++
	c := make(chan A, 1)
	p.waiting[p.lastID] = c
	return p.lastID, c
}

// Deliver passes the answer to the goroutine that opened the exchange. It drops
// the answer if the exchange is closed.
func (p *Pending[A]) Deliver(id ID, answer A) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		c <- answer
	}
}

// Close removes an exchange whose goroutine no longer waits.
func (p *Pending[A]) Close(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}
