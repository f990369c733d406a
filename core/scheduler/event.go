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
	Processors float64            // CPU cores available to the host; may be a fraction
	// LinkBytesPerSecond is the capacity of the host's network link; 0: not known.
	LinkBytesPerSecond float64
	// ShardWorkers is the number of workers for which a further shard is added; 0:
	// there is one shard.
	ShardWorkers int
	Bounds       Bounds
}

// Bounds are the deployment's limits that the reducer observes.
type Bounds struct {
	MaxLease            time.Duration // longest lease that a worker grants
	StopTimeout         time.Duration // a worker ends a stopped run within this time
	FinalStateRetention time.Duration // final states of jobs are kept at least this long
	StopGracePeriod     time.Duration // from the signal to stop until the process is killed
	MaxRowBytes         int           // limit of the store for the value of a row; 0: the default
	DrainTime           time.Duration // no task starts on a worker this long after it announced that it drains; 0: no limit
	EvacuationTime      time.Duration // no task starts in a zone this long after its evacuation was requested; 0: no limit
}

// TimerFired reports that the deadline from NextDeadline has passed.
type TimerFired struct{}

// StopRequested begins a planned stop.
type StopRequested struct{}

// RequestKind is the operation that a caller requests.
type RequestKind uint8

// The kinds of requests.
const (
	RequestSubmit  RequestKind = iota + 1 // submit a job
	RequestState                          // the state of a job, or the length of a queue
	RequestCancel                         // cancel a job
	RequestInvalid                        // a request whose body cannot be used
)

// RequestArrived is a caller's request whose body has been read.
type RequestArrived struct {
	Request       RequestID
	Kind          RequestKind
	Host          string // as the caller named it
	Path          string
	Body          int64         // bytes
	Job           structs.Job   // of RequestSubmit; ID, Queue, Policy and SubmittedMS are not set
	InvalidReason string        // of RequestInvalid: why the body is invalid
	Timeout       time.Duration // how long the caller waits for the answer
}

// ExplainRequested asks what would happen to a job if it were submitted now. It has the fields
// of the submission, whose path may lack the job's ID, and changes nothing.
type ExplainRequested struct{ Submission RequestArrived }

// CallerGone reports that the caller disconnected before the answer.
type CallerGone struct{ Request RequestID }

// Row is a row of the platform's store.
type Row struct {
	Partition Partition
	Key       string
	Version   structs.Version
	Removed   bool
	Value     RowValue // nil when removed or when the value cannot be read
}

// RowsRead is the outcome of a ReadRows or a WatchRows.
type RowsRead struct {
	Effect           EffectID
	Outcome          structs.Outcome
	Rows             []Row
	Bytes            int             // size of the rows on the link
	More             bool            // further rows follow the last one
	Version          structs.Version // of the store at this read
	StoreMS          int64           // the store's monotonic clock
	HistoryDiscarded bool            // the store has discarded the history after the requested version
}

// Committed is the outcome of a Commit.
type Committed struct {
	Effect    EffectID
	Outcome   structs.Outcome
	Version   structs.Version
	StoreMS   int64
	Conflicts []TableRow // current rows of the conditions, when a condition failed
	// Rejected is set when the store refuses the commit for what it contains, so that it
	// can never succeed unchanged. RejectedWrites are the indexes of the writes at fault;
	// empty: not known.
	Rejected       bool
	RejectedWrites []int
}

// TableRow is a row with its table.
type TableRow struct {
	Table Table
	Row   Row
}

// Refusal is a worker's reason for refusing a command.
type Refusal uint8

// The refusals.
const (
	RefusedNone         Refusal = iota
	RefusedEpoch                // the worker has seen a higher epoch
	RefusedRun                  // this or a higher run of the task has already ended on the worker
	RefusedLeaseExpired         // the lease in the command has already expired
	RefusedCapacity             // the worker lacks free resources
	RefusedTicket               // the ticket of the advice service is missing or has expired
	RefusedIncarnation          // another incarnation of the worker answered
	RefusedUnhealthy            // the worker is unhealthy and did not carry out the command
	RefusedInvalid              // the worker cannot parse the command
)

// WorkerSynced is the outcome of a SyncWorker.
type WorkerSynced struct {
	Effect      EffectID
	Outcome     structs.Outcome
	Refused     Refusal
	ClockMS     int64 // the worker's clock when it answered
	Incarnation int64 // start time of the worker, which identifies its incarnation
	Active      []structs.ActiveRun
	Ended       []structs.EndedRun
	// MoreEnded is set when further ends may follow the last one of Ended. The worker
	// lists them once those before them are acknowledged.
	MoreEnded bool
}

// CommandDone is the outcome of a StartTask, StopTask or ThrottleTask.
type CommandDone struct {
	Effect      EffectID
	Outcome     structs.Outcome
	Refused     Refusal
	ClockMS     int64 // 0: not reported
	Incarnation int64
}

// AdviceReceived is the outcome of an AskAdvice.
type AdviceReceived struct {
	Effect  EffectID
	Outcome structs.Outcome
	Tickets map[structs.WorkerID]string // by worker that may run the step
}

func (Started) isEvent()          {}
func (TimerFired) isEvent()       {}
func (StopRequested) isEvent()    {}
func (RequestArrived) isEvent()   {}
func (ExplainRequested) isEvent() {}
func (CallerGone) isEvent()       {}
func (RowsRead) isEvent()         {}
func (Committed) isEvent()        {}
func (WorkerSynced) isEvent()     {}
func (CommandDone) isEvent()      {}
func (AdviceReceived) isEvent()   {}
