package structs

import "time"

// JobID identifies a job. The caller chooses it; a submission with the ID of an
// earlier one is the same job.
type JobID string

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence int // 0 for a job that does not repeat
	Step       int
	Index      int
}

// Less orders tasks by job, occurrence, step and index.
func (t TaskRef) Less(o TaskRef) bool {
	switch {
	case t.Job != o.Job:
		return t.Job < o.Job
	case t.Occurrence != o.Occurrence:
		return t.Occurrence < o.Occurrence
	case t.Step != o.Step:
		return t.Step < o.Step
	}
	return t.Index < o.Index
}

// Job is a submitted job, with the queue that accepted it.
type Job struct {
	ID          JobID   `json:"id"`
	Queue       string  `json:"queue"` // name of the accepting queue
	Policy      Policy  `json:"policy"`
	Spec        string  `json:"spec,omitempty"` // passed to workers uninterpreted
	Steps       []Step  `json:"steps"`
	Repeat      *Repeat `json:"repeat,omitempty"`
	SubmittedMS int64   `json:"wall"`                 // submission time at the accepting host, Unix milliseconds
	Shard       int     `json:"shard,omitempty"`      // shard that schedules it
	Moves       int     `json:"moves,omitempty"`      // how often it has moved between shards
	MovedFrom   []int   `json:"moved_from,omitempty"` // shards that had no room for it since its last progress
	// Moved is the progress of the job when it moved last; nil: none of its tasks had run.
	Moved *MovedProgress `json:"moved,omitempty"`
	// Part is set in a row that gives tasks of the job to the shard; nil: the row is
	// the job itself.
	Part *JobPart `json:"part,omitempty"`
}

// MovedProgress is the progress of a job that moves to another shard. No run of the job
// exists then.
type MovedProgress struct {
	Progress
	FirstRun Run `json:"first_run,omitempty"` // above the numbers of all runs so far
}

// JobPart is a set of tasks of a persistent job that one shard has given to another.
type JobPart struct {
	Key      string `json:"key"`                 // of its row
	Shard    int    `json:"shard"`               // that schedules the tasks
	Tasks    []int  `json:"tasks"`               // their numbers
	From     []int  `json:"from"`                // shards that have scheduled them before
	FirstRun Run    `json:"first_run,omitempty"` // above the numbers of all runs so far
}

// Repeat schedules occurrences of all steps of a job. Occurrence K, counted from
// 0, is due at FirstMS + K x EveryMS.
type Repeat struct {
	Count   int   `json:"count"`
	FirstMS int64 `json:"first_ms"` // Unix milliseconds
	EveryMS int64 `json:"every_ms"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	if j.Repeat == nil {
		return 1
	}
	return j.Repeat.Count
}

// Persistent reports whether the job runs until it is cancelled.
func (j *Job) Persistent() bool {
	for _, s := range j.Steps {
		if s.Persistent {
			return true
		}
	}
	return false
}

// Policy holds the settings of a queue for its jobs. A job should complete within
// Stretch times its longest chain of dependent work plus Slack.
type Policy struct {
	Service  string        `json:"service"`          // names the workers that run the tasks
	Priority int           `json:"priority"`         // jobs of lower numbers are placed first
	Attempts int           `json:"attempts"`         // failed runs of one task after which the job has failed; 0: no limit
	Stretch  float64       `json:"stretch"`          // factor of the completion objective
	Slack    time.Duration `json:"slack"`            // constant part of the completion objective
	Advice   *AdviceTerms  `json:"advice,omitempty"` // nil: any worker of the service may run the steps
}

// AdviceTerms are the terms of the advice service, which decides what workers
// may run the steps of a queue. An answer takes BaseTime, plus TimePerWorker for each
// worker named in the request.
type AdviceTerms struct {
	BaseTime       time.Duration `json:"decide"`
	TimePerWorker  time.Duration `json:"per_worker"`
	TicketLifetime time.Duration `json:"valid"` // how long a ticket of the service is valid
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count          int           `json:"count"`
	Request        Resources     `json:"request"`
	Estimate       time.Duration `json:"estimate,omitempty"`   // declared run time of a task; often inaccurate
	After          []int         `json:"after,omitempty"`      // indexes of the steps whose tasks must all be done first
	Gang           bool          `json:"gang,omitempty"`       // tasks make progress only while all of them run, and end together
	SameRack       bool          `json:"same_rack,omitempty"`  // tasks are slower when they run in different racks
	Label          string        `json:"label,omitempty"`      // label that the worker must have
	DataRack       string        `json:"data_rack,omitempty"`  // rack of the input data; tasks are slower in any other rack
	PerWorker      int           `json:"per_worker,omitempty"` // maximum number of tasks of the step on one worker; 0: no limit
	Speculative    bool          `json:"speculative,omitempty"`
	SavesProgress  bool          `json:"saves_progress,omitempty"`
	Persistent     bool          `json:"persistent,omitempty"`  // tasks are restarted whenever they end, until the job is cancelled
	BestEffort     bool          `json:"fills,omitempty"`       // tasks use processors that other tasks leave idle, and reserve none
	Image          string        `json:"image,omitempty"`       // program that the tasks run; tasks of the same image behave alike
	TailTarget     time.Duration `json:"tail_target,omitempty"` // target for the tail latency of tasks that serve requests
	MaxUnavailable int           `json:"may_miss,omitempty"`    // maximum number of tasks that the scheduler may keep from working at the same time
}

// JobState is the state of a job as shown to callers.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Valid reports whether the state is one of those above.
func (s JobState) Valid() bool { return s == JobQueued || s == JobRunning || s.Final() }

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }

// Progress is the part of a job's stored state that changes. Tasks are numbered
// consecutively over all occurrences and steps, in order.
type Progress struct {
	State JobState `json:"state"`
	// ClaimEpoch is the epoch of the last leader that may have started tasks; 0: none has.
	ClaimEpoch  Epoch          `json:"claimed,omitempty"`
	Done        []byte         `json:"done,omitempty"`        // bitmap of the tasks that ended with success
	Failures    map[int][]Run  `json:"failures,omitempty"`    // distinct failed runs by task
	Checkpoints map[int]string `json:"checkpoints,omitempty"` // object names by task, for tasks that are not done
	// Move is the number of the move that brought the job to the shard. Rows of an earlier
	// stay of the job in the shard are obsolete.
	Move int `json:"move,omitempty"`
	// Moving is set when the shard gives the job to the shard MovingTo. It never
	// starts tasks of the job from then on.
	Moving   bool `json:"moving,omitempty"`
	MovingTo int  `json:"moving_to,omitempty"`
	// Given lists the tasks of a persistent job that the shard has given to others. It
	// never starts them from then on.
	Given []JobPart `json:"given,omitempty"`
}

// IsDone reports whether the task with this number has ended with success.
func (p *Progress) IsDone(task int) bool {
	return task/8 < len(p.Done) && p.Done[task/8]&(1<<(task%8)) != 0
}

// SetDone records that the task with this number has ended with success.
func (p *Progress) SetDone(task int) {
	for len(p.Done) <= task/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[task/8] |= 1 << (task % 8)
	delete(p.Checkpoints, task)
}

// Queue is a queue of the configuration. It receives the calls with its host and
// path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Policy     Policy
}

// QueueConfiguration is one accepted version of the queues and their services.
type QueueConfiguration struct {
	Number   uint64
	Queues   []Queue
	Services []string // names of the services
	MaxBody  int64    // limit on a request body, bytes; 0: the default
}

// WorkerEntry describes a worker in the platform's list.
type WorkerEntry struct {
	Service     string
	Address     string // IP:port
	Zone        string // availability zone; empty: not known
	Draining    bool
	Capacity    Resources
	Labels      []string      // kind and rack of the worker
	Rack        string        // empty: not known
	Incarnation int64         // start time, Unix milliseconds; distinguishes successive workers with the same id
	LeavesIn    time.Duration // of a draining worker: minimum time until it leaves
	ColdFor     time.Duration // how much longer the worker is slow after its start
}

// RunEnd is how a run ended.
type RunEnd string

// The ends of a run.
const (
	EndDone         RunEnd = "done"
	EndFailed       RunEnd = "failed"
	EndStopped      RunEnd = "stopped"
	EndLeaseExpired RunEnd = "lapsed" // the worker's lease ran out
	EndGangBroken   RunEnd = "broken" // another task of the gang ended
	EndGangTimeout  RunEnd = "alone"  // the other tasks of the gang did not start in time
)

// ActiveRun is a running task in a worker's report.
type ActiveRun struct {
	Task       TaskRef
	Run        Run
	Checkpoint string
	Percent    int   // share of its work that is done; of a persistent task, 100 means that it is working
	Gauge      int64 // over the last half second: tail latency in ms of a task that serves requests, otherwise thousandths of a processor in use
}

// EndedRun is an ended run in a worker's report. The worker repeats it until it
// is acknowledged.
type EndedRun struct {
	Number     uint64 // counts the ended runs since the worker started, from 1
	Task       TaskRef
	Run        Run
	End        RunEnd
	Checkpoint string
}
