package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Instant is a time on the entry host's monotonic clock, counted from the
// start of its process.
type Instant = time.Duration

// EffectID identifies an effect of one process. 0 is never used.
type EffectID uint64

// Outcome tells whether an effect was carried out.
type Outcome = structs.Outcome

// The outcomes of an effect.
const (
	OutcomeDone    = structs.OutcomeDone
	OutcomeNotDone = structs.OutcomeNotDone
	OutcomeUnknown = structs.OutcomeUnknown
)

// Event is one input of the reducer.
type Event struct {
	At   Instant // when the control loop took the event from its queue
	Wall int64   // wall clock at that moment, Unix milliseconds; used only for deadlines in the sheet
	Body EventBody
}

// EventBody is the content of an event. The set of types is closed.
type EventBody interface{ isEvent() }

// Started is the first event of a process.
type Started struct {
	Host       structs.HostID
	Instance   structs.InstanceID
	Address    string // IP:port of the peer listener
	Region     string
	Zone       string
	Seeds      []string // peer addresses from the settings
	Partitions int
	Seed       uint64 // for jitter
}

// TimerFired reports that the deadline from NextDeadline has passed.
type TimerFired struct{}

// Conflict is the current row of a condition that failed.
type Conflict = structs.KeyedRow

// Committed is the outcome of a Commit. Conflicts is set when the table
// service refused the transaction because of its conditions; Outcome is then
// OutcomeNotDone for this attempt. Rejected is set when the table service refuses the
// content of the transaction for good, for example because a row is too large; the same
// transaction must not be repeated. Outcome is then OutcomeNotDone too.
type Committed struct {
	Effect    EffectID
	Outcome   Outcome
	Rejected  bool
	Revision  structs.Version // version of all written rows, when done
	Conflicts []Conflict
}

// RowsRead is the outcome of a ReadRows.
type RowsRead struct {
	Effect  EffectID
	Outcome Outcome
	Rows    []structs.KeyedRow // in key order
	More    bool               // further rows follow the last one
}

// ObjectWritten is the outcome of a WriteObject. Rejected is set when the object store
// refuses the object for good, for example because it is too large.
type ObjectWritten struct {
	Effect   EffectID
	Outcome  Outcome
	Rejected bool
}

// ObjectRead is the outcome of a ReadObject.
type ObjectRead struct {
	Effect        EffectID
	Outcome       Outcome
	Configuration structs.Configuration
}

// ObjectDeleted is the outcome of a DeleteObject.
type ObjectDeleted struct {
	Effect  EffectID
	Outcome Outcome
}

// HostListRead is the outcome of a ReadHostList.
type HostListRead struct {
	Effect    EffectID
	Outcome   Outcome
	Version   uint64
	Unchanged bool // the list is at the known version; Workers is empty
	Workers   []structs.Worker
}

// WorkerSynced is the outcome of a SyncWorker.
type WorkerSynced struct {
	Effect  EffectID
	Outcome Outcome
	Fenced  structs.Epoch // the higher epoch that the worker has seen; 0 when not refused
	Boot    string        // changes when the worker restarts; its earlier runs are gone
	Clock   time.Duration // the worker's monotonic clock when it answered
	Leaving bool
	Runs    []structs.RunStatus
	Usage   []structs.UsageSample
}

// CommandDone is the outcome of a StartTask, StopTask, CheckpointTask or
// ThrottleTask.
type CommandDone struct {
	Effect  EffectID
	Outcome Outcome
	Fenced  structs.Epoch
	Detail  string // the worker's reason for a refusal
}

// PeerMessage is a message from another entry host.
type PeerMessage struct {
	From    structs.HostID
	Message Message
}

// PeerSent is the outcome of a SendPeer.
type PeerSent struct {
	Effect  EffectID
	Outcome Outcome
}

// CallID identifies a call within one process.
type CallID uint64

// CallArrived reports a caller's request whose headers, and body where it is
// small, have been read.
type CallArrived struct {
	Call       CallID
	RequestID  string // identifies the call in the logs of all processes
	Service    string
	Method     string
	Class      string        // PathClass of the path below the service; calls of one class take similar time
	Key        string        // idempotency key; empty: none
	Timeout    time.Duration // the caller's limit; 0: the default
	Replayable bool          // the whole body is buffered, so that it can be sent again
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ Call CallID }

// AnswerStarted reports the status line and headers of a target's answer.
type AnswerStarted struct {
	Call      CallID
	Attempt   uint64
	Status    int
	SlotsUsed int  // reported by the worker; includes the answered call unless refused; -1: not reported
	Refused   bool // the worker's guard, its admission check, refused the call before running it
	Leaving   bool
}

// AnswerFinished reports the end of an attempt.
type AnswerFinished struct {
	Call        CallID
	Attempt     uint64
	Outcome     Outcome // done: the answer is complete; not done: no byte reached the target
	Status      int
	ContentType string
	Body        []byte // set when DispatchCall.Record was set and the body is small enough to store
	BodyOmitted bool
	Peer        string // address of the target
	Detail      string // transport error
}

// OperatorRequestID identifies an operator's request within one process.
type OperatorRequestID uint64

// ApplyRequested asks to accept a sheet, or only to plan the change.
type ApplyRequested struct {
	Request         OperatorRequestID
	Author          string
	Rows            []structs.SheetRow // checked, sorted by name
	Base            structs.Generation // generation that the change was planned against; 0: the newest
	PlanOnly        bool
	ConfirmRemovals int // number of removed running rows that the operator confirmed
}

// StopRequested asks to stop or resume rows of the sheet.
type StopRequested struct {
	Request OperatorRequestID
	Author  string
	Rows    []string
	Resume  bool
}

// StatusRequested asks for a summary.
type StatusRequested struct{ Request OperatorRequestID }

// ExplainRequested asks for the recent decisions about a row, task, call or
// worker.
type ExplainRequested struct {
	Request OperatorRequestID
	Subject string
}

// DrainRequested asks this entry host to drain: to stop gracefully.
type DrainRequested struct {
	Request OperatorRequestID // 0: from a signal
}

func (Started) isEvent()          {}
func (TimerFired) isEvent()       {}
func (Committed) isEvent()        {}
func (RowsRead) isEvent()         {}
func (ObjectWritten) isEvent()    {}
func (ObjectRead) isEvent()       {}
func (ObjectDeleted) isEvent()    {}
func (HostListRead) isEvent()     {}
func (WorkerSynced) isEvent()     {}
func (CommandDone) isEvent()      {}
func (PeerMessage) isEvent()      {}
func (PeerSent) isEvent()         {}
func (CallArrived) isEvent()      {}
func (CallerGone) isEvent()       {}
func (AnswerStarted) isEvent()    {}
func (AnswerFinished) isEvent()   {}
func (ApplyRequested) isEvent()   {}
func (StopRequested) isEvent()    {}
func (StatusRequested) isEvent()  {}
func (ExplainRequested) isEvent() {}
func (DrainRequested) isEvent()   {}
