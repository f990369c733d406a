package structs

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Worker is a host of the platform that runs tasks and answers calls.
type Worker struct {
	ID          WorkerID  `json:"id"`
	Region      string    `json:"region"`
	Zone        string    `json:"availability_zone"`
	Rack        string    `json:"rack"`
	Address     string    `json:"address"` // IP:port
	State       HostState `json:"state"`
	Capacity    Resources `json:"capacity"`
	Slots       int       `json:"slots"`       // calls that it runs at the same time
	Connections int       `json:"connections"` // connections that it accepts
}

// RunState is the state of a run as its worker reports it.
type RunState string

// The states of a run on its worker.
const (
	RunRunning      RunState = "running"
	RunSucceeded    RunState = "succeeded"
	RunFailed       RunState = "failed"
	RunCheckpointed RunState = "checkpointed" // stopped after writing its checkpoint
	RunStopped      RunState = "stopped"
	RunLeaseExpired RunState = "lapsed" // stopped by the worker when its lease ran out
	RunGone         RunState = "gone"   // the worker does not know the run that it was asked about
)

// RunStatus is a worker's report about one run.
type RunStatus struct {
	Task       TaskID   `json:"task"`
	Run        Run      `json:"run"`
	State      RunState `json:"state"`
	Checkpoint string   `json:"checkpoint,omitempty"` // object name, if checkpointed
	Progress   float64  `json:"progress,omitempty"`   // 0 to 1, of a batch task
	Detail     string   `json:"detail,omitempty"`     // why it failed
}

// UsageSample is a past measurement of the resources that one run used.
type UsageSample struct {
	Task       TaskID    `json:"task"`
	Run        Run       `json:"run"`
	AgeMS      int64     `json:"age_ms"` // age of the measurement when the worker sent it
	Used       Resources `json:"used"`
	LatencyMS  float64   `json:"latency_ms,omitempty"`  // median service time of calls, of a service
	SlowFactor float64   `json:"slow_factor,omitempty"` // slowdown that the worker measured, 1 or more; 0: not measured
}

// TaskSpec is what a worker needs to start a task.
type TaskSpec struct {
	Row        string    `json:"row"`
	Kind       RowKind   `json:"kind"`
	Command    string    `json:"command"`
	Request    Resources `json:"request"`
	RunTimeMS  int64     `json:"run_time_ms,omitempty"`
	ResumeFrom string    `json:"resume_from,omitempty"`
}

// Target is a running replica that calls can be sent to.
type Target struct {
	Service string   `json:"service"`
	Task    TaskID   `json:"task"`
	Run     Run      `json:"run"`
	Worker  WorkerID `json:"worker"`
	Zone    string   `json:"availability_zone"`
	Address string   `json:"address"`
	Slots   int      `json:"slots"`
	Leaving bool     `json:"leaving,omitempty"`
}
