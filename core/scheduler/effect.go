package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Effect is an action to be carried out outside the reducer. The set of types is
// closed. Each effect with an ID is answered by one event with the same ID.
type Effect interface{ isEffect() }

// Condition requires a version of a row; 0 requires that the row is absent.
type Condition struct {
	Table     Table
	Partition Partition
	Key       string
	Version   structs.Version
}

// Write sets or removes a row.
type Write struct {
	Table     Table
	Partition Partition
	Key       string
	Value     RowValue // nil removes the row
}

// Commit writes rows in one transaction if all conditions hold.
type Commit struct {
	ID         EffectID
	Conditions []Condition
	Writes     []Write
	Timeout    time.Duration
}

// ReadRows reads the rows of one partition of a table with keys from From up to,
// but not including, To.
type ReadRows struct {
	ID        EffectID
	Table     Table
	Partition Partition
	From, To  string // empty: no bound
	Limit     int    // 0: the store's own limit
	Timeout   time.Duration
}

// WatchRows waits until rows of a table change after a version.
type WatchRows struct {
	ID      EffectID
	Table   Table
	After   structs.Version
	Wait    time.Duration
	Timeout time.Duration
}

// WorkerCommand holds the fields that all commands to workers have in common.
type WorkerCommand struct {
	ID       EffectID
	Worker   structs.WorkerID
	Address  string
	Epoch    structs.Epoch
	NotAfter Instant // the command is not sent after this time
	Timeout  time.Duration
}

// SyncWorker synchronizes a worker: it renews its lease, acknowledges ends of runs and
// reads its lists of active and ended runs.
type SyncWorker struct {
	WorkerCommand
	LeaseEndMS   int64         // on the worker's clock; 0: does not renew the lease
	AckedThrough uint64        // ends up to this number are stored, and the worker can discard them
	Wait         time.Duration // how long the worker waits for an end before it answers
}

// StartTask starts a run.
type StartTask struct {
	WorkerCommand
	Task       structs.TaskRef
	Run        structs.Run
	Spec       string
	LeaseEndMS int64
	Checkpoint string
	Ticket     string // from the advice service; empty if the queue needs none
}

// AskAdvice asks the advice service which workers may run a step.
type AskAdvice struct {
	ID         EffectID
	Job        structs.JobID
	Occurrence int
	Step       int
	Workers    []structs.WorkerID
	Timeout    time.Duration
}

// StopTask stops a run, and prevents a start of it that arrives later.
type StopTask struct {
	WorkerCommand
	Task structs.TaskRef
	Run  structs.Run
}

// ThrottleTask throttles a run to a share of its full speed.
type ThrottleTask struct {
	WorkerCommand
	Task    structs.TaskRef
	Run     structs.Run
	Percent int // of full speed; 0 pauses the run
}

// AnswerStatus is the result of a caller's request.
type AnswerStatus uint8

// The statuses of answers.
const (
	AnswerOK          AnswerStatus = iota + 1
	AnswerNoSuchQueue              // no such queue
	AnswerNoSuchJob                // no such job
	AnswerInvalid                  // the request is invalid
	AnswerTooLarge                 // the body is over the limit
	AnswerNotRun                   // not accepted, and never runs; the caller may retry
	AnswerUnknown                  // it is not known whether it was accepted
	AnswerNotAllowed               // the method is not supported for this path
)

// Answer answers a caller's request.
type Answer struct {
	Request        RequestID
	Status         AnswerStatus
	State          structs.JobState // of a job, if requested
	QueueLength    int              // length of a queue, if HasQueueLength
	HasQueueLength bool
	Reason         string
	RetryAfter     time.Duration // of AnswerNotRun and AnswerUnknown
}

// Explained answers an ExplainRequested. The explanation is empty unless Status is AnswerOK or
// AnswerNotRun; Reason then tells what is wrong with the submission.
type Explained struct {
	Request     RequestID
	Status      AnswerStatus
	Reason      string
	Explanation Explanation
}

// SetReady tells the balancer whether the host takes new connections.
type SetReady struct{ Ready bool }

// EvacuationReport tells the metrics how far evacuations are. It is sent when a number changes.
type EvacuationReport struct {
	Zones    int // evacuated zones
	RunsLeft int // runs there on the workers of the shards that the host leads
}

// Decision is a log line about one decision of the reducer.
type Decision struct {
	Part    string // one of: request, leader, job, task, worker, store, config, host
	Action  string // what was decided
	Subject string // the job, task, worker or table
	Where   string // the worker or host
	Reason  string
	Age     time.Duration // of the input behind the decision; 0: current
	Number  uint64        // version, run or epoch of the input; 0: none
}

// ShardReport tells what the host knows of the load of one shard, for the metrics.
type ShardReport struct {
	Shard     ShardID
	WrittenAt Instant // when its leader wrote the load
	Backlog   map[string][]BacklogClass
}

// StopProcess ends the process: the planned stop is complete.
type StopProcess struct{}

func (Commit) isEffect()           {}
func (ReadRows) isEffect()         {}
func (WatchRows) isEffect()        {}
func (SyncWorker) isEffect()       {}
func (StartTask) isEffect()        {}
func (StopTask) isEffect()         {}
func (ThrottleTask) isEffect()     {}
func (AskAdvice) isEffect()        {}
func (Answer) isEffect()           {}
func (Explained) isEffect()        {}
func (SetReady) isEffect()         {}
func (Decision) isEffect()         {}
func (ShardReport) isEffect()      {}
func (StopProcess) isEffect()      {}
func (EvacuationReport) isEffect() {}
