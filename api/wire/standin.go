package wire

import "github.com/tamarackstep/tamarackstep/core/structs"

// Administrative paths of the stand-ins. They are not part of the platform's
// or a worker's protocol; only tests and the demo use them.
const (
	PathFaults       = "/admin/faults"     // POST Faults: 200. A stand-in starts without faults
	PathStats        = "/admin/stats"      // platform, GET: 200 StoreStats
	PathRegister     = "/admin/hosts"      // platform, POST Host: 200; adds or replaces an entry of the host list
	PathLeave        = "/admin/leave"      // worker, POST LeaveRequest: 200
	PathExecutions   = "/admin/executions" // worker, GET: 200 ExecutionsResponse
	PathRunIntervals = "/admin/runs"       // worker, GET: 200 RunIntervalsResponse
)

// Faults replaces the set of faults that a stand-in injects.
type Faults struct {
	Down                 bool  `json:"down"`                  // refuse every request before any effect
	Hang                 bool  `json:"hang"`                  // have no effect and never answer
	DelayMS              int64 `json:"delay_ms"`              // between the effect of a request and its response
	LoseResponsesPerMill int   `json:"lose_answers_per_mill"` // per 1000 requests: have the effect, then close the connection without a response
	ListLagMS            int64 `json:"list_lag_ms"`           // age of the host list
	FailAll              bool  `json:"fail_all"`              // a worker fails every run it starts
}

// StoreStats counts the requests that a platform stand-in has handled.
type StoreStats struct {
	Revision  uint64 `json:"revision"`
	Commits   int    `json:"commits"`
	Conflicts int    `json:"conflicts"`
	Reads     int    `json:"reads"`
	Lost      int    `json:"lost"` // responses withheld after the effect
	Refused   int    `json:"refused"`

	Rejected []string `json:"rejected,omitempty"` // why transactions were over a limit, up to MaxListedRejections
}

// MaxListedRejections bounds the list of rejected transactions in StoreStats.
const MaxListedRejections = 100

// LeaveRequest marks a worker as leaving, or as live again.
type LeaveRequest struct {
	Leaving bool `json:"leaving"`
}

// Execution is one call that a worker has started or completed.
type Execution struct {
	Worker    structs.WorkerID `json:"worker"`
	Service   string           `json:"service"`
	Task      structs.TaskID   `json:"task"`
	Run       structs.Run      `json:"run"`
	RequestID string           `json:"request_id"`
	Key       string           `json:"key,omitempty"`
	CallerID  string           `json:"caller_id,omitempty"` // the caller's own ID of the call
	AtMS      int64            `json:"at_ms"`               // wall-clock time of admission, Unix milliseconds
}

// ExecutionsResponse lists the executions in order of admission and counts them
// per idempotency key.
type ExecutionsResponse struct {
	Executions []Execution    `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
}

// RunInterval is the time during which a worker ran one run of a task.
type RunInterval struct {
	Worker       structs.WorkerID `json:"worker"`
	Task         structs.TaskID   `json:"task"`
	Run          structs.Run      `json:"run"`
	Row          string           `json:"row"`
	StartMS      int64            `json:"start_ms"`         // wall clock, Unix milliseconds
	EndMS        int64            `json:"end_ms,omitempty"` // 0: still running
	LeaseEndMS   int64            `json:"lease_end_ms"`     // end of the last lease, on the wall clock
	State        structs.RunState `json:"state"`
	ResumeFrom   string           `json:"resume_from,omitempty"`
	FromProgress float64          `json:"from_progress,omitempty"` // read from the checkpoint, 0 to 1
}

// RunIntervalsResponse lists the intervals in order of their start.
type RunIntervalsResponse struct {
	Runs []RunInterval `json:"runs"`
}

// JournalEntry is a line of the journal file of a worker stand-in. The journal
// survives when the process is killed. Exactly one of the fields is set.
type JournalEntry struct {
	Execution  *Execution   `json:"execution,omitempty"`
	Started    *RunInterval `json:"started,omitempty"`
	Ended      *RunInterval `json:"ended,omitempty"`
	Overcommit *RunInterval `json:"overcommit,omitempty"` // a start beyond the worker's capacity
}
