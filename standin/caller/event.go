package caller

import "time"

// Event is an input of the reducer. The set of types is closed.
type Event interface{ isEvent() }

// AttemptEnded carries the result of a SendAttempt.
type AttemptEnded struct {
	Job     uint64
	Attempt int
	Result  Result
}

// Result describes the answer to one attempt, or its failure.
type Result struct {
	Sent     bool          // false: no connection, so no byte of the request was sent
	Status   int           // 0: no status line arrived
	Outcome  string        // wire.HeaderOutcome
	Complete bool          // the complete answer arrived
	Mismatch string        // how a complete body differs from an answer to this request
	Detail   string        // transport error
	Elapsed  time.Duration // from the start of the attempt to the last byte of the answer
}

// ProbeEnded carries the result of a ProbeHost.
type ProbeEnded struct {
	Host  int
	Ready bool
}

// StopRequested ends the load; jobs in progress run to their end.
type StopRequested struct{}

// TimerFired reports that the deadline from NextDeadline has passed.
type TimerFired struct{}

func (AttemptEnded) isEvent()  {}
func (ProbeEnded) isEvent()    {}
func (StopRequested) isEvent() {}
func (TimerFired) isEvent()    {}

// Effect is something to be done outside the reducer. The set of types is
// closed.
type Effect interface{ isEffect() }

// SendAttempt sends one attempt of a job. AttemptEnded carries its result.
type SendAttempt struct {
	Job     uint64
	Attempt int
	Host    int    // index in Options.Hosts
	ID      string // caller ID, which the answer repeats
	Key     string // idempotency key; empty for idempotent calls
	HoldMS  int    // service time requested of the target; 0: the target's own
	Timeout time.Duration
}

// ProbeHost asks an entry host whether it is ready for calls. ProbeEnded carries
// the answer.
type ProbeHost struct{ Host int }

// LogViolation logs an answer that breaks a guarantee of the system.
type LogViolation struct{ Message string }

// Finish delivers the report and ends the run.
type Finish struct{ Report Report }

func (SendAttempt) isEffect()  {}
func (ProbeHost) isEffect()    {}
func (LogViolation) isEffect() {}
func (Finish) isEffect()       {}
