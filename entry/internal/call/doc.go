// Package call is the reverse proxy between callers and targets. It owns the
// connections, buffers and goroutines of calls and copies bytes. It makes no
// decisions: the reducer's effects choose the target of each attempt, whether a
// call is retried, and what the entry host answers itself.
//
// A call is served by the goroutine of its HTTP request: it posts CallArrived,
// executes the DispatchCall and AnswerCall effects for the call one at a time,
// and reports each attempt with AnswerStarted and AnswerFinished.
//
// When the event queue is too full for new work, or too many calls are in
// progress, a call is answered 503 "not run" with Retry-After.
package call

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Limits bounds the number of calls in progress and the size and duration of each.
type Limits struct {
	MaxCalls     int           // calls in progress; more are refused "not run"
	HeldBody     int64         // bytes; bodies up to this size are held in memory for retries
	MaxBody      int64         // bytes; larger bodies are refused
	RecordedBody int           // bytes; larger answers to calls with an idempotency key are recorded without their body
	BodyTimeout  time.Duration // to read a held body as a whole, or for each read of a streamed one
	WriteStall   time.Duration // a caller that accepts no byte for this long is disconnected
	AnswerStall  time.Duration // a target that stops sending for this long within an answer is disconnected
}

// DefaultLimits returns the limits used where the settings set none.
func DefaultLimits() Limits {
	return Limits{
		MaxCalls: 4096, HeldBody: 64 << 10, MaxBody: 256 << 20, RecordedBody: 16 << 10,
		BodyTimeout: 15 * time.Second, WriteStall: 30 * time.Second, AnswerStall: 60 * time.Second,
	}
}

// Poster queues events for the control loop.
type Poster interface {
	// Post blocks until the event queue has space.
	Post(control.EventBody)
	// TryPost returns an error when the event queue is too full for new work.
	TryPost(control.EventBody) error
}

// Result is how a call ended from its caller's point of view. It is a metric label.
type Result string

// The results of calls.
const (
	ResultAnswered Result = "answered" // the whole answer of a target was relayed
	ResultCut      Result = "cut"      // the connection was closed within an answer
	ResultNotRun   Result = "not_run"  // the entry host answered that no target ran the call
	ResultUnknown  Result = "unknown"  // the entry host answered that a target may have run the call
	ResultRecorded Result = "recorded" // the entry host repeated the recorded answer of an earlier call
	ResultInvalid  Result = "invalid"  // the request is malformed or too large
	ResultGone     Result = "gone"     // the caller disconnected before an answer
)

// Observer is called at the end of each call.
type Observer func(service string, result Result, took time.Duration)
