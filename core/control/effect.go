package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Effect is an action for the runner to carry out. The set of types is closed.
// An effect with an ID is answered by exactly one event that carries the same
// ID.
type Effect interface{ isEffect() }

// Commit asks the table service for one atomic transaction. Answered by
// Committed.
type Commit struct {
	ID         EffectID
	Conditions []structs.Condition
	Writes     []structs.Write
	Timeout    time.Duration
}

// ReadRows reads rows in key order. Answered by RowsRead.
type ReadRows struct {
	ID      EffectID
	Prefix  string
	After   structs.RowKey // exclusive
	Limit   int
	Timeout time.Duration
}

// WriteObject stores a configuration in the object store. Answered by
// ObjectWritten.
type WriteObject struct {
	ID            EffectID
	Name          string
	Configuration structs.Configuration
	Timeout       time.Duration
}

// ReadObject reads a configuration. Answered by ObjectRead.
type ReadObject struct {
	ID      EffectID
	Name    string
	Timeout time.Duration
}

// DeleteObject deletes an object. One that does not exist counts as deleted. Answered by
// ObjectDeleted.
type DeleteObject struct {
	ID      EffectID
	Name    string
	Timeout time.Duration
}

// ReadHostList reads the platform's list of hosts unless it is still at the
// known version. Answered by HostListRead.
type ReadHostList struct {
	ID      EffectID
	Known   uint64 // 0: none
	Timeout time.Duration
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task structs.TaskID `json:"task"`
	Run  structs.Run    `json:"run"`
}

// WorkerCommand holds the fields that all commands to a worker share. The
// worker refuses an epoch lower than the highest it has seen of the partition.
type WorkerCommand struct {
	ID        EffectID
	Worker    structs.WorkerID
	Address   string // IP:port
	Partition structs.PartitionID
	Epoch     structs.Epoch
	Timeout   time.Duration
}

// SyncWorker renews the leases of the listed runs on one worker and asks for
// the status of all runs of the partition there. Answered by WorkerSynced.
//
// Lease ends are times on the worker's own clock, which the worker reports in
// each answer. A renewal that arrives late, for example after the worker was
// paused, therefore cannot extend a lease beyond LeaseUntil. A worker whose
// Boot differs renews nothing.
type SyncWorker struct {
	WorkerCommand
	Boot       string        // from the last answer; empty: first contact, renews nothing
	LeaseUntil time.Duration // on the worker's clock
	Runs       []RunRef
}

// StartTask starts a committed run. A worker that already has the run, or a
// later run of the task, changes nothing. The worker refuses a start whose Boot
// differs or that arrives after NotAfter on its clock. Answered by CommandDone.
type StartTask struct {
	WorkerCommand
	Boot       string
	NotAfter   time.Duration // on the worker's clock
	LeaseUntil time.Duration // on the worker's clock
	Ref        RunRef
	Spec       structs.TaskSpec
}

// StopTask stops a run. Answered by CommandDone; done means that the run has
// ended and that the worker will refuse a start of it that arrives later. A
// status of RunGone alone does not prove this.
type StopTask struct {
	WorkerCommand
	Ref RunRef
}

// CheckpointTask tells a worker to checkpoint a run to the named object and
// then to stop it. Answered by CommandDone when the worker has begun; the
// completed checkpoint is reported in WorkerSynced as RunCheckpointed.
type CheckpointTask struct {
	WorkerCommand
	Ref    RunRef
	Object string
}

// ThrottleTask limits a run to a share of its processors. Answered by
// CommandDone.
type ThrottleTask struct {
	WorkerCommand
	Ref   RunRef
	Share float64 // 0 to 1; 1 removes the limit
}

// SendPeer sends a message to another entry host. Answered by PeerSent.
type SendPeer struct {
	ID      EffectID
	Address string
	Message Message
	Timeout time.Duration
}

// DispatchCall sends a call to a target. Answered by AnswerStarted when headers
// arrive, and always by AnswerFinished. Once headers have been relayed to the
// caller no AnswerCall follows: if the answer is truncated, the runner closes
// the caller's connection.
type DispatchCall struct {
	Call    CallID
	Attempt uint64
	Address string
	Target  structs.Target
	Timeout time.Duration
	Record  bool // read the answer to its end even if the caller left, and return its body in AnswerFinished when small
	Final   bool // relay any answer except a guard's refusal; otherwise withhold an answer with a RetryableStatus
}

// CancelDispatch cancels an attempt whose answer is no longer needed.
type CancelDispatch struct {
	Call    CallID
	Attempt uint64
}

// AnswerKind tells the caller whether its call ran, in an answer that the entry
// host gives itself.
type AnswerKind uint8

// The kinds of answer given by the entry host itself.
const (
	AnswerNotRun   AnswerKind = iota + 1 // certainly did not and will not run
	AnswerUnknown                        // may have run; will not be retried
	AnswerRecorded                       // the stored answer of an earlier call with the same idempotency key
	AnswerInvalid                        // the request is invalid; not run
)

// AnswerCall sends the caller an answer from the entry host itself and ends the
// call.
type AnswerCall struct {
	Call        CallID
	Kind        AnswerKind
	Status      int
	Reason      string
	RetryAfter  time.Duration // 0: no hint
	ContentType string
	Body        []byte
}

// OperatorReply answers an operator's request.
type OperatorReply struct {
	Request OperatorRequestID
	Reply   Reply
}

// DecisionRecord is one line of the decision log. ExplainReply returns the same
// records.
type DecisionRecord struct {
	Part    string `json:"part"`            // fixed prefix: placement, routing, partition, config, store, worker, peer
	Action  string `json:"action"`          // what was decided, in a few words
	Subject string `json:"subject"`         // task, call, partition or worker
	Where   string `json:"where,omitempty"` // worker, target or peer
	Reason  string `json:"reason,omitempty"`
	Request string `json:"request,omitempty"` // request id or task id, for correlation across processes
}

// StopProcess ends the process: the drain is complete, or its time limit
// passed. Unfinished lists the request ids of calls still in progress.
type StopProcess struct{ Unfinished []string }

func (Commit) isEffect()         {}
func (ReadRows) isEffect()       {}
func (WriteObject) isEffect()    {}
func (ReadObject) isEffect()     {}
func (DeleteObject) isEffect()   {}
func (ReadHostList) isEffect()   {}
func (SyncWorker) isEffect()     {}
func (StartTask) isEffect()      {}
func (StopTask) isEffect()       {}
func (CheckpointTask) isEffect() {}
func (ThrottleTask) isEffect()   {}
func (SendPeer) isEffect()       {}
func (DispatchCall) isEffect()   {}
func (CancelDispatch) isEffect() {}
func (AnswerCall) isEffect()     {}
func (OperatorReply) isEffect()  {}
func (DecisionRecord) isEffect() {}
func (StopProcess) isEffect()    {}
