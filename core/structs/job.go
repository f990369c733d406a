package structs

import "time"

// JobID names a job. The caller chooses it; handing in the same ID again is the
// same job.
type JobID string

// TaskRef names one task of a job.
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

// Job is what a caller handed in, with the queue that accepted it.
type Job struct {
	ID     JobID   `json:"id"`
	Queue  string  `json:"queue"` // name of the accepting queue
	Policy Policy  `json:"policy"`
	Spec   string  `json:"spec,omitempty"` // passed to workers unread
	Steps  []Step  `json:"steps"`
	Repeat *Repeat `json:"repeat,omitempty"`
	Wall   int64   `json:"wall"` // Unix milliseconds at the accepting host when the job was handed in
}

// Repeat schedules occurrences of all steps of a job. Occurrence K is due at
// FirstMS + K x EveryMS.
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

// Policy is how a queue treats its jobs.
type Policy struct {
	Service  string        `json:"service"`          // names the workers that run the tasks
	Priority int           `json:"priority"`         // 0 comes first
	Attempts int           `json:"attempts"`         // failed runs of one task after which the job has failed; 0: no limit
	Stretch  float64       `json:"stretch"`          // objective: this many times the longest chain of work ...
	Slack    time.Duration `json:"slack"`            // ... and this much more
	Advice   *AdviceTerms  `json:"advice,omitempty"` // nil: any worker of the service may run the steps
}

// AdviceTerms are those of a queue whose steps only some workers may run, which
// the advice service tells.
type AdviceTerms struct {
	Decide    time.Duration `json:"decide"`     // time that an answer takes ...
	PerWorker time.Duration `json:"per_worker"` // ... and for each worker named
	Valid     time.Duration `json:"valid"`      // a ticket holds for so long
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count         int           `json:"count"`
	Request       Resources     `json:"request"`
	Estimate      time.Duration `json:"estimate,omitempty"`   // declared run time of a task; often far off
	After         []int         `json:"after,omitempty"`      // steps whose tasks must all be done first
	Gang          bool          `json:"gang,omitempty"`       // tasks work only together and end together
	SameRack      bool          `json:"same_rack,omitempty"`  // slower across racks
	Label         string        `json:"label,omitempty"`      // that the worker must have
	DataRack      string        `json:"data_rack,omitempty"`  // slower on any other rack
	PerWorker     int           `json:"per_worker,omitempty"` // most tasks of the step on one worker; 0: no limit
	Speculative   bool          `json:"speculative,omitempty"`
	SavesProgress bool          `json:"saves_progress,omitempty"`
	Persistent    bool          `json:"persistent,omitempty"` // restarted however they end, until the job is cancelled
	Fills         bool          `json:"fills,omitempty"`      // uses processors that others leave unused; reserves none
	Image         string        `json:"image,omitempty"`      // tasks of one image behave alike
	TailTarget    time.Duration `json:"tail_target,omitempty"`
	MayMiss       int           `json:"may_miss,omitempty"` // tasks that the scheduler may keep away from work at once
}

// JobState is what callers see of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }

// Progress is the durable part of a job that changes. Tasks are numbered over
// all occurrences and steps in order.
type Progress struct {
	State JobState `json:"state"`
	// Claimed is the epoch of the last leader that may have started tasks; 0: none has.
	Claimed     Epoch          `json:"claimed,omitempty"`
	Done        []byte         `json:"done,omitempty"`        // bit per task
	Failures    map[int][]Run  `json:"failures,omitempty"`    // failed runs by task, each once
	Checkpoints map[int]string `json:"checkpoints,omitempty"` // by task; of tasks that are not done
}

// IsDone reports whether the task with the number has ended with success.
func (p *Progress) IsDone(task int) bool {
	return task/8 < len(p.Done) && p.Done[task/8]&(1<<(task%8)) != 0
}

// SetDone records that the task with the number has ended with success.
func (p *Progress) SetDone(task int) {
	for len(p.Done) <= task/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[task/8] |= 1 << (task % 8)
	delete(p.Checkpoints, task)
}

// Queue is a queue of the configuration: the calls with this host and path
// prefix belong to it.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Policy     Policy
}

// QueueConfiguration is one accepted version of the queues and their services.
type QueueConfiguration struct {
	Number  uint64
	Queues  []Queue
	MaxBody int64 // bytes of a request's body; 0: the default
}

// WorkerEntry is what the platform's list says of a worker.
type WorkerEntry struct {
	Service  string
	Address  string // IP:port
	Draining bool
	Capacity Resources
	Labels   []string      // kind and rack
	Born     int64         // Unix milliseconds of its start; differs between lives under one id
	Leaves   time.Duration // of a draining worker: the least time that is left
}

// RunEnd tells how a run ended.
type RunEnd string

// The ends of a run.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	EndLapsed  RunEnd = "lapsed" // the worker's lease ran out
	EndBroken  RunEnd = "broken" // another member of the gang ended
	EndAlone   RunEnd = "alone"  // waited too long for the other members of the gang
)

// ActiveRun is a run in a worker's list.
type ActiveRun struct {
	Task       TaskRef
	Run        Run
	Checkpoint string
	Percent    int   // of its work; for a persistent task 100 means at work
	Gauge      int64 // over the last half second: tail latency in ms of a task that serves, else thousandths of a processor in use
}

// EndedRun is an end in a worker's list, until it is acknowledged.
type EndedRun struct {
	Number     uint64 // counts the ends of one life of the worker, from 1
	Task       TaskRef
	Run        Run
	End        RunEnd
	Checkpoint string
}
