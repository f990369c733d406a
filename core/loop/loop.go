// Package loop runs a reducer: one goroutine owns the state, takes events from
// a bounded queue, and hands the effects to runners.
package loop

import (
	"context"
	"errors"
	"time"
)

// ErrQueueFull is returned by TryPost when the queue has no room for an event
// that may be refused.
var ErrQueueFull = errors.New("event queue is full")

// Machine is a reducer with its state. B is the type of event contents, F that
// of effects.
type Machine[B, F any] interface {
	// Step applies an event. The returned slice is valid until the next call.
	Step(at time.Duration, wallMS int64, body B) []F
	// NextDeadline returns when Timer should be applied next.
	NextDeadline() (time.Duration, bool)
	// Timer returns the event that reports a passed deadline.
	Timer() B
}

// Loop is a control loop. Its zero value is not usable; see New.
type Loop[B, F any] struct {
	machine Machine[B, F]
	execute func(F) // must not block; runners take the effect over
	queue   chan B
	limit   int // events at which TryPost refuses
	clock   func() time.Duration
	done    chan struct{}
}

// New returns a loop with a queue of the given size. TryPost refuses once the
// queue is three quarters full, so that outcomes always find room sooner than
// new work does.
func New[B, F any](m Machine[B, F], size int, execute func(F)) *Loop[B, F] {
	start := time.Now()
	return NewWithClock(m, size, execute, func() time.Duration { return time.Since(start) })
}

// NewWithClock returns a loop like New that takes the time of events from a
// clock that never runs backwards.
func NewWithClock[B, F any](m Machine[B, F], size int, execute func(F), clock func() time.Duration) *Loop[B, F] {
	return &Loop[B, F]{
		machine: m, execute: execute, queue: make(chan B, size), limit: size * 3 / 4,
		clock: clock, done: make(chan struct{}),
	}
}

// Post queues an event and waits for room. It returns without queueing it once
// the loop has ended.
func (l *Loop[B, F]) Post(body B) {
	select {
	case l.queue <- body:
	case <-l.done:
	}
}

// TryPost queues an event that brings new work, or returns ErrQueueFull.
func (l *Loop[B, F]) TryPost(body B) error {
	if len(l.queue) >= l.limit {
		return ErrQueueFull
	}
	select {
	case l.queue <- body:
		return nil
	default:
		return ErrQueueFull
	}
}

// Depth returns the number of queued events.
func (l *Loop[B, F]) Depth() int { return len(l.queue) }

// Run applies events until the context ends. It is the only goroutine that
// touches the machine.
func (l *Loop[B, F]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.arm(timer)
		select {
		case <-ctx.Done():
			return
		case body := <-l.queue:
			l.step(body)
		case <-timer.C:
			l.step(l.machine.Timer())
		}
	}
}

func (l *Loop[B, F]) arm(timer *time.Timer) {
	at, ok := l.machine.NextDeadline()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(0, at-l.clock()))
}

func (l *Loop[B, F]) step(body B) {
	for _, f := range l.machine.Step(l.clock(), time.Now().UnixMilli(), body) {
		l.execute(f)
	}
}
