package runner

import "sync"

// Outbox is the outbox of events to the control loop. B is the type of event
// bodies.
type Outbox[B any] struct {
	post func(B) // blocks while the event queue is full

	mu       sync.Mutex
	pending  []B // at most one for each effect that awaits its outcome
	draining bool
}

// NewOutbox returns an outbox that posts through the given function.
func NewOutbox[B any](post func(B)) *Outbox[B] { return &Outbox[B]{post: post} }

// Post passes an event to the loop and blocks while the loop's queue is full. The
// control loop itself must not call it, since it would deadlock; see PostAsync.
func (o *Outbox[B]) Post(body B) { o.post(body) }

// PostAsync passes an event to the loop from a goroutine of its own. It never blocks
// and keeps the order of events that are passed this way. The number of pending
// events is bounded by the number of effects in progress.
func (o *Outbox[B]) PostAsync(body B) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(o.pending, body)
	if !o.draining {
		o.draining = true
		go o.drain()
	}
}

func (o *Outbox[B]) drain() {
	for {
		o.mu.Lock()
		batch := o.pending
		o.pending = nil
		if len(batch) == 0 {
			o.draining = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		for _, body := range batch {
			o.post(body)
		}
	}
}
