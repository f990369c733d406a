// Package loop runs a reducer: one goroutine owns the state, applies events from
// a bounded queue, and passes the effects to a function that starts them. Nothing
// else may touch the state while the loop runs.
package loop

import (
	"context"
	"errors"
	"time"
)

// ErrQueueFull is returned by TryPost when the queue accepts no more events that
// bring new work.
var ErrQueueFull = errors.New("event queue is full")

// Machine is a reducer with its state. B is the type of event bodies, F that of
// effects.
type Machine[B, F any] interface {
	// Step applies an event and returns its effects. at is the time of the
	// loop's clock, wallMS the Unix time in milliseconds. The returned slice is
	// valid until the next call.
	Step(at time.Duration, wallMS int64, body B) []F
	// NextDeadline returns when the TimerEvent should be applied next, or
	// false when no timer is set.
	NextDeadline() (time.Duration, bool)
	// TimerEvent returns the event that reports that a deadline has passed.
	TimerEvent() B
}

// maxBatch is the number of queued events that are applied with one reading of the
// clock, which is a system call on hosts of the platform.
const maxBatch = 32

// Loop applies events to one machine. Create it with New or NewWithClock.
type Loop[B, F any] struct {
	machine      Machine[B, F]
	execute      func(F) // starts an effect; must not block
	queue        chan B
	batch        []B           // events that are applied next
	now          time.Duration // time of the last events
	tryPostLimit int           // queue length from which TryPost refuses events
	clock        func() time.Duration
	done         chan struct{}
}

// New returns a loop with a queue of the given size. TryPost refuses events once
// the queue is three quarters full, so that new work does not keep the outcomes
// of effects out of the queue.
func New[B, F any](m Machine[B, F], size int, execute func(F)) *Loop[B, F] {
	start := time.Now()
	return NewWithClock(m, size, execute, func() time.Duration { return time.Since(start) })
}

// NewWithClock returns a loop like New that takes the time of events from clock,
// which must be monotonic.
func NewWithClock[B, F any](m Machine[B, F], size int, execute func(F), clock func() time.Duration) *Loop[B, F] {
	return &Loop[B, F]{
		machine: m, execute: execute, queue: make(chan B, size), tryPostLimit: size * 3 / 4,
		clock: clock, done: make(chan struct{}),
	}
}

// Post queues an event and blocks while the queue is full. Once the loop has
// ended, it returns without queueing the event.
func (l *Loop[B, F]) Post(body B) {
	select {
	case l.queue <- body:
	case <-l.done:
	}
}

// TryPost queues an event that brings new work, or returns ErrQueueFull. It does
// not block.
func (l *Loop[B, F]) TryPost(body B) error {
	if len(l.queue) >= l.tryPostLimit {
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

// Run applies events until the context ends. It must be called once; the calling
// goroutine is the only one that touches the machine.
func (l *Loop[B, F]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case <-ctx.Done():
			return
		case body := <-l.queue:
			l.fillBatch(body)
		case <-timer.C:
			l.batch = append(l.batch[:0], l.machine.TimerEvent())
		}
		l.applyBatch()
	}
}

// fillBatch collects the events that have arrived, beginning with first.
func (l *Loop[B, F]) fillBatch(first B) {
	l.batch = append(l.batch[:0], first)
	for len(l.batch) < maxBatch {
		select {
		case body := <-l.queue:
			l.batch = append(l.batch, body)
		default:
			return
		}
	}
}

// resetTimer sets the timer to the next deadline of the machine. Without one it
// fires after an hour, which is harmless.
func (l *Loop[B, F]) resetTimer(timer *time.Timer) {
	at, ok := l.machine.NextDeadline()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(0, at-l.now))
}

// applyBatch applies the events of a batch. The clock is read after the last of them
// has arrived: the machine must not take the time of an event for earlier than it is.
func (l *Loop[B, F]) applyBatch() {
	l.now = l.clock()
	wallMS := time.Now().UnixMilli()
	for i, body := range l.batch {
		for _, f := range l.machine.Step(l.now, wallMS, body) {
			l.execute(f)
		}
		var zero B
		l.batch[i] = zero // the event can be collected
	}
}
