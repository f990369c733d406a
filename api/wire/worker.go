package wire

import "github.com/tamarackstep/tamarackstep/core/structs"

// Paths of a worker. Each command carries the partition that sends it and the
// partition's epoch; a worker that has seen a higher epoch answers 409 with Fenced.
const (
	PathSync       = "/v1/sync"       // POST SyncRequest: 200 SyncResponse
	PathStart      = "/v1/start"      // POST StartRequest: 200, or 412 with Refusal after NotAfterUS or if Incarnation differs
	PathStop       = "/v1/stop"       // POST RunRequest: 200; a later start of the run is refused
	PathCheckpoint = "/v1/checkpoint" // POST CheckpointRequest: 202; 404 when the run is not there
	PathThrottle   = "/v1/throttle"   // POST ThrottleRequest: 200
	PathService    = "/svc/"          // calls: /svc/<service>/<rest>
)

// Headers of calls and their answers.
const (
	HeaderRequestID      = "Tamarackstep-Request-Id"
	HeaderOutcome        = "Tamarackstep-Outcome" // to callers: not-run, unknown or recorded
	HeaderSlotsUsed      = "Tamarackstep-Slots-Used"
	HeaderRefused        = "Tamarackstep-Refused" // from a worker: the call was refused and certainly not run
	HeaderLeaving        = "Tamarackstep-Leaving"
	HeaderTask           = "Tamarackstep-Task" // to a worker: the replica that should handle the call
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Tamarackstep-Timeout-Ms" // from callers: timeout of the call, milliseconds
)

// Owner identifies the sender of a command: a partition in an epoch of its
// ownership.
type Owner struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// Fenced is the body of a 409 answer.
type Fenced struct {
	Epoch uint64 `json:"epoch"` // the highest that the worker has seen
}

// Refusal is the body of a refusal with a status other than 409.
type Refusal struct {
	Reason string `json:"reason"`
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
}

// SyncRequest renews the leases of the runs if Incarnation matches, and requests
// the status of all runs of the partition.
type SyncRequest struct {
	Owner
	Incarnation  string   `json:"boot"`
	LeaseUntilUS int64    `json:"lease_until_us"` // on the worker's clock, microseconds
	Runs         []RunRef `json:"runs"`
}

// SyncResponse lists the runs of the request and all others of the partition.
type SyncResponse struct {
	Incarnation string                `json:"boot"`
	ClockUS     int64                 `json:"clock_us"` // monotonic, microseconds
	Leaving     bool                  `json:"leaving"`
	Runs        []structs.RunStatus   `json:"runs"`
	Usage       []structs.UsageSample `json:"usage"`
}

// StartRequest starts a run.
type StartRequest struct {
	Owner
	RunRef
	Incarnation  string           `json:"boot"`
	NotAfterUS   int64            `json:"not_after_us"`   // on the worker's clock
	LeaseUntilUS int64            `json:"lease_until_us"` // on the worker's clock
	Spec         structs.TaskSpec `json:"spec"`
}

// RunRequest stops a run.
type RunRequest struct {
	Owner
	RunRef
}

// CheckpointRequest writes a checkpoint of a run to an object, then stops the run.
type CheckpointRequest struct {
	Owner
	RunRef
	Object string `json:"object"`
}

// ThrottleRequest limits a run to a share of its processors.
type ThrottleRequest struct {
	Owner
	RunRef
	Share float64 `json:"share"` // 0 to 1
}
