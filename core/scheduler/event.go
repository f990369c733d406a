package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Instant is a time on the host's boot clock, counted from the start of the
// process. It includes time during which the host was suspended.
type Instant = time.Duration

// EffectID identifies an effect of one process. 0 is never used.
type EffectID uint64

// RequestID identifies a caller's request within one process.
type RequestID uint64

// Event is one input of the reducer.
type Event struct {
	At   Instant
	Wall int64 // time of day, Unix milliseconds
	Body EventBody
}

// EventBody is the content of an event. The set of types is closed.
type EventBody interface{ isEvent() }

// Started is the first event of a process.
type Started struct {
	Host       string
	Instance   structs.InstanceID // of this process; never used twice
	Seed       uint64             // for jitter
	Processors float64            // share of a core that the host has
	Bounds     Bounds
}

// Bounds are the figures of the deployment that the reducer keeps to.
type Bounds struct {
	MaxLease    time.Duration // longest lease that a worker grants
	StopTimeout time.Duration // a worker ends a stopped run within this time
	KeepState   time.Duration // final states of jobs are kept at least this long
	Grace       time.Duration // from the signal to stop until the process is killed
}

// TimerFired reports that the deadline from NextDeadline has passed.
type TimerFired struct{}

// StopRequested begins a planned stop.
type StopRequested struct{}

// RequestKind is what a caller asks for.
type RequestKind uint8

// The kinds of requests.
const (
	RequestSubmit  RequestKind = iota + 1 // hand a job in
	RequestState                          // the state of a job, or the length of a queue
	RequestCancel                         // cancel a job
	RequestInvalid                        // a request whose body cannot be used
)

// RequestArrived is a caller's request whose body has been read.
type RequestArrived struct {
	Request RequestID
	Kind    RequestKind
	Host    string // as the caller named it
	Path    string
	Body    int64         // bytes
	Job     structs.Job   // of RequestSubmit; ID, Queue, Policy and Wall are not set
	Fault   string        // of RequestInvalid: what is wrong with the body
	Within  time.Duration // how long the caller waits for the answer
}

// RequestGone reports that the caller left before the answer.
type RequestGone struct{ Request RequestID }

// Row is a row of the platform's store.
type Row struct {
	Key     string
	Version structs.Version
	Removed bool
	Value   RowValue // nil when removed or when the value cannot be read
}

// RowsRead is the outcome of a ReadRows or a WatchRows.
type RowsRead struct {
	Effect  EffectID
	Outcome structs.Outcome
	Rows    []Row
	More    bool            // further rows follow the last one
	Version structs.Version // of the store at this read
	StoreMS int64           // the store's steady clock
	Expired bool            // the history after the version asked for is gone
}

// Committed is the outcome of a Commit.
type Committed struct {
	Effect    EffectID
	Outcome   structs.Outcome
	Version   structs.Version
	StoreMS   int64
	Conflicts []TableRow // rows of the conditions as they are, when a condition failed
}

// TableRow is a row with its table.
type TableRow struct {
	Table Table
	Row   Row
}

// Refusal is a worker's reason for refusing an order.
type Refusal uint8

// The refusals.
const (
	RefusedNone        Refusal = iota
	RefusedEpoch               // it has seen a higher epoch
	RefusedRun                 // it has seen this or a higher run of the task end
	RefusedLate                // the lease that the order carries has already run out
	RefusedRoom                // it has no room
	RefusedTicket              // the advice service's permission is missing or has run out
	RefusedIncarnation         // another life of the worker answered
	RefusedUnhealthy           // it is unhealthy and has done nothing
	RefusedInvalid             // it does not understand the order
)

// WorkerHeld is the outcome of a HoldWorker.
type WorkerHeld struct {
	Effect  EffectID
	Outcome structs.Outcome
	Refused Refusal
	ClockMS int64 // the worker's clock when it answered
	Born    int64
	Active  []structs.ActiveRun
	Ended   []structs.EndedRun
}

// Ordered is the outcome of a StartTask, StopTask or PaceTask.
type Ordered struct {
	Effect  EffectID
	Outcome structs.Outcome
	Refused Refusal
	ClockMS int64 // 0 when not told
	Born    int64
}

// Advised is the outcome of an AskAdvice.
type Advised struct {
	Effect  EffectID
	Outcome structs.Outcome
	Tickets map[structs.WorkerID]string // of the workers that may run the step
}

func (Started) isEvent()        {}
func (TimerFired) isEvent()     {}
func (StopRequested) isEvent()  {}
func (RequestArrived) isEvent() {}
func (RequestGone) isEvent()    {}
func (RowsRead) isEvent()       {}
func (Committed) isEvent()      {}
func (WorkerHeld) isEvent()     {}
func (Ordered) isEvent()        {}
func (Advised) isEvent()        {}
