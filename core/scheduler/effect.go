package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Effect is something to be done outside the reducer. The set of types is
// closed. Each effect with an ID is answered by one event that carries it.
type Effect interface{ isEffect() }

// Condition demands a version of a row; 0 demands that the row is absent.
type Condition struct {
	Table   Table
	Key     string
	Version structs.Version
}

// Write sets or removes a row.
type Write struct {
	Table Table
	Key   string
	Value RowValue // nil removes the row
}

// Commit writes rows in one transaction if all conditions hold.
type Commit struct {
	ID         EffectID
	Conditions []Condition
	Writes     []Write
	Timeout    time.Duration
}

// ReadRows reads the rows of one partition of a table from key From until
// before key To.
type ReadRows struct {
	ID       EffectID
	Table    Table
	Part     Partition
	From, To string // empty: no bound
	Limit    int    // 0: the store's own limit
	Timeout  time.Duration
}

// WatchRows waits until rows of a table change after a version.
type WatchRows struct {
	ID      EffectID
	Table   Table
	After   structs.Version
	Wait    time.Duration
	Timeout time.Duration
}

// Order is what all orders to workers have in common.
type Order struct {
	ID       EffectID
	Worker   structs.WorkerID
	Address  string
	Epoch    structs.Epoch
	NotAfter Instant // the order is not sent after this time
	Timeout  time.Duration
}

// HoldWorker renews a worker's lease, acknowledges ends and reads its lists.
type HoldWorker struct {
	Order
	LeaseEndMS int64  // on the worker's clock; 0: does not renew
	Seen       uint64 // ends up to this number are durable and can be forgotten
	Wait       time.Duration
}

// StartTask starts a run.
type StartTask struct {
	Order
	Task       structs.TaskRef
	Run        structs.Run
	Spec       string
	LeaseEndMS int64
	Checkpoint string
	Ticket     string // of the advice service; empty where the queue needs none
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

// StopTask stops a run, and keeps it from starting later.
type StopTask struct {
	Order
	Task structs.TaskRef
	Run  structs.Run
}

// PaceTask limits the share of its work that a run may do.
type PaceTask struct {
	Order
	Task    structs.TaskRef
	Run     structs.Run
	Percent int
}

// AnswerStatus is the kind of an answer to a caller.
type AnswerStatus uint8

// The kinds of answers.
const (
	AnswerOK         AnswerStatus = iota + 1
	AnswerNotFound                // no such queue
	AnswerGone                    // no such job
	AnswerInvalid                 // the request cannot be used
	AnswerTooLarge                // the body is over the limit
	AnswerNotRun                  // not accepted, and never runs; the caller may come back
	AnswerUnknown                 // it is not known whether it was accepted
	AnswerNotAllowed              // the method is not served here
)

// Answer answers a caller's request.
type Answer struct {
	Request    RequestID
	Status     AnswerStatus
	State      structs.JobState // of a job, where asked for
	Pending    int              // of a queue
	IsPending  bool
	Reason     string
	RetryAfter time.Duration // of AnswerNotRun and AnswerUnknown
}

// SetReady tells the balancer whether the host takes new connections.
type SetReady struct{ Ready bool }

// Decision is a log line about something that was decided.
type Decision struct {
	Part    string // fixed prefix: request, leader, job, task, worker, store, config
	Action  string // what was decided
	Subject string // the job, task, worker or table
	Where   string // the worker or host
	Reason  string
	Age     time.Duration // of the input that decided it; 0: current
	Number  uint64        // version, run or epoch of the input; 0: none
}

// StopProcess ends the process: the planned stop is complete.
type StopProcess struct{}

func (Commit) isEffect()      {}
func (ReadRows) isEffect()    {}
func (WatchRows) isEffect()   {}
func (HoldWorker) isEffect()  {}
func (StartTask) isEffect()   {}
func (StopTask) isEffect()    {}
func (PaceTask) isEffect()    {}
func (AskAdvice) isEffect()   {}
func (Answer) isEffect()      {}
func (SetReady) isEffect()    {}
func (Decision) isEffect()    {}
func (StopProcess) isEffect() {}
