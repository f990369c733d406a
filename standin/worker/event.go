package worker

import (
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

// Event is an input of the reducer. The set of types is closed. Each event
// that carries an exchange is answered by exactly one Reply or Admit, except
// CallEnded.
type Event interface{ isEvent() }

// Command is a request of the worker's protocol. Body is one of
// wire.SyncRequest, StartRequest, RunRequest, CheckpointRequest and
// ThrottleRequest.
type Command struct {
	Exchange exchange.ID
	Body     any
}

// CallArrived is a call whose request body has been read.
type CallArrived struct {
	Exchange  exchange.ID
	Service   string
	Task      string // the replica that should answer; empty: any replica of the service
	RequestID string
	Key       string
	CallerID  string
	Digest    string        // stream.Digest of the body
	Hold      time.Duration // service time that the caller asks for; 0: that of the task
}

// CallEnded reports that the goroutine of an admitted call has finished.
type CallEnded struct{ Exchange exchange.ID }

// ConnectionChanged reports a connection that was opened (+1) or closed (-1).
type ConnectionChanged struct{ By int }

// ObjectWritten is the outcome of a WriteObject.
type ObjectWritten struct {
	Name string
	OK   bool
}

// ObjectRead is the outcome of a ReadObject. Body is nil if it failed.
type ObjectRead struct {
	Name string
	Body []byte
}

// Registered is the outcome of a Register.
type Registered struct{ OK bool }

// FaultsChanged replaces the injected faults.
type FaultsChanged struct {
	Exchange exchange.ID
	Faults   wire.Faults
}

// LeaveChanged marks the worker as leaving, or as live again.
type LeaveChanged struct {
	Exchange exchange.ID
	Leaving  bool
}

// ExecutionsRequested asks for the executed calls.
type ExecutionsRequested struct{ Exchange exchange.ID }

// RunIntervalsRequested asks for the intervals of all runs.
type RunIntervalsRequested struct{ Exchange exchange.ID }

// TimerFired reports that the deadline from NextDeadline has passed.
type TimerFired struct{}

func (Command) isEvent()               {}
func (CallArrived) isEvent()           {}
func (CallEnded) isEvent()             {}
func (ConnectionChanged) isEvent()     {}
func (ObjectWritten) isEvent()         {}
func (ObjectRead) isEvent()            {}
func (Registered) isEvent()            {}
func (FaultsChanged) isEvent()         {}
func (LeaveChanged) isEvent()          {}
func (ExecutionsRequested) isEvent()   {}
func (RunIntervalsRequested) isEvent() {}
func (TimerFired) isEvent()            {}
