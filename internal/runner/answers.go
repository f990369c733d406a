package runner

import "sync"

// Answers passes events to the control loop. B is the type of event contents.
type Answers[B any] struct {
	post func(B) // waits for room in the event queue

	mu       sync.Mutex
	later    []B // at most one for each effect that awaits its outcome
	draining bool
}

// NewAnswers returns an outbox that posts through the given function.
func NewAnswers[B any](post func(B)) *Answers[B] { return &Answers[B]{post: post} }

// Post hands an event to the loop and waits for room in its queue. The control
// loop itself must not call it; see Later.
func (a *Answers[B]) Post(body B) { a.post(body) }

// Later hands an event to the loop from a goroutine of its own. It never blocks
// and keeps the order of events handed over this way. The events that wait are
// bounded by the effects that the reducer has outstanding.
func (a *Answers[B]) Later(body B) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.later = append(a.later, body)
	if !a.draining {
		a.draining = true
		go a.drain()
	}
}

func (a *Answers[B]) drain() {
	for {
		a.mu.Lock()
		batch := a.later
		a.later = nil
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
