package runner

import "sync"

// Answers is the outbox of events to the control loop. B is the type of event
// bodies.
type Answers[B any] struct {
	post func(B) // blocks while the event queue is full

	mu       sync.Mutex
	pending  []B // at most one for each effect that awaits its outcome
	draining bool
}

// NewAnswers returns an outbox that posts through the given function.
func NewAnswers[B any](post func(B)) *Answers[B] { return &Answers[B]{post: post} }

// Post passes an event to the loop and blocks while the loop's queue is full. The
// control loop itself must not call it, since it would deadlock; see Later.
func (a *Answers[B]) Post(body B) { a.post(body) }

// Later passes an event to the loop from a goroutine of its own. It never blocks
// and keeps the order of events that are passed this way. The number of pending
// events is bounded by the number of effects in progress.
func (a *Answers[B]) Later(body B) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, body)
	if !a.draining {
		a.draining = true
		go a.drain()
	}
}

func (a *Answers[B]) drain() {
	for {
		a.mu.Lock()
		batch := a.pending
		a.pending = nil
		if len(batch) == 0 {
			a.draining = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		for _, body := range batch {
			a.post(body)
		}
	}
}
