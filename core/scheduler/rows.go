package scheduler

import "github.com/tamarackstep/tamarackstep/core/structs"

// Table names a table of the platform's store.
type Table uint8

// The tables. TableOperator and TableWorkers are written by others.
const (
	TableOperator Table = iota + 1 // the operator's configuration
	TableWorkers                   // the platform's list of workers, by worker id
	TableControl                   // leadership
	TableJobs                      // jobs as handed in, by job id; written once
	TableProgress                  // what became of each job, by job id
	TableCancels                   // requests to cancel, by job id
	TableQueues                    // lengths of the queues
)

// Partition numbers a partition of a table. The store performs the transactions
// of one partition one after another, and all rows of a transaction share one.
type Partition int

// jobPartitions is the number of partitions of TableJobs: hand-ins run beside
// each other and beside the leader's commits when the store is slow. All other
// tables have partition 0 only, since the leader writes them together.
const jobPartitions = 16

// PartitionOf returns the partition of a row. Jobs are spread by the last digit
// of their ID, which callers draw at random.
func PartitionOf(t Table, key string) Partition {
	if t != TableJobs || key == "" {
		return 0
	}
	return Partition(key[len(key)-1]) % jobPartitions
}

// partitions returns how many partitions a table has.
func (t Table) partitions() Partition {
	if t == TableJobs {
		return jobPartitions
	}
	return 1
}

// Keys of single rows.
const (
	KeyConfiguration = "config"
	KeyLeader        = "leader"
	KeyLease         = "lease"
	KeyChallenge     = "challenge"
	KeyPressures     = "pressures"
	KeyWorkers       = "workers"
	KeyPending       = "pending"
)

// RowValue is the content of a row. The set of types is closed.
type RowValue interface{ isRowValue() }

// JobRow is a job as it was accepted.
type JobRow struct{ structs.Job }

// ProgressRow is what became of a job.
type ProgressRow struct{ structs.Progress }

// CancelRow asks for a job to be cancelled.
type CancelRow struct {
	Host string `json:"host"` // that accepted the request
}

// LeaderRow names the leader. It changes only when the leader changes, and each
// commit of a leader is conditional on it.
type LeaderRow struct {
	Host       string             `json:"host"`
	Instance   structs.InstanceID `json:"instance"`
	Epoch      structs.Epoch      `json:"epoch"`
	Processors float64            `json:"processors"` // of the leader
	Strongest  float64            `json:"strongest"`  // most processors of any leader so far
}

// ChallengeRow asks the leader of an epoch to release the lead to a stronger host.
type ChallengeRow struct {
	Host       string        `json:"host"`
	Epoch      structs.Epoch `json:"epoch"`
	Processors float64       `json:"processors"`
}

// LeaseRow is the leader's lease. Each commit of the leader replaces it and is
// conditional on its version, so that a delayed commit can't overwrite a later one.
type LeaseRow struct {
	Instance  structs.InstanceID `json:"instance"`
	Sequence  uint64             `json:"sequence"`   // of the leader's commits
	ExpiresMS int64              `json:"expires_ms"` // on the store's clock; 0: released
}

// UsedRow names the workers on which a leader may have started runs, with their
// addresses. A new leader reads their lists, or waits until their leases have
// run out, before it starts a task that its predecessor may have started.
type UsedRow struct {
	Workers map[structs.WorkerID]string `json:"workers"`
}

// PressuresRow holds what leaders learned about images, so that a new leader
// does not learn it again at the cost of the tasks that serve.
type PressuresRow struct {
	Bases []BaseEntry     `json:"bases"`
	Pairs []PressureEntry `json:"pairs"`
}

// BaseEntry is the tail of a serving image without any load.
type BaseEntry struct {
	Image  string  `json:"image"`
	TailMS float64 `json:"tail_ms"`
}

// PressureEntry is what was learned about one pair.
type PressureEntry struct {
	Serving  string  `json:"serving"`
	Filling  string  `json:"filling"`
	Value    float64 `json:"value"`
	Variance float64 `json:"variance"`
}

// PendingRow holds, by queue, the number of accepted jobs that have not begun.
type PendingRow struct {
	Jobs map[string]int `json:"jobs"`
	AtMS int64          `json:"at_ms"` // when they were counted, on the store's clock
}

// ConfigurationRow is the operator's configuration.
type ConfigurationRow struct{ structs.QueueConfiguration }

// WorkerRow is an entry of the platform's list of workers.
type WorkerRow struct{ structs.WorkerEntry }

func (JobRow) isRowValue()           {}
func (ProgressRow) isRowValue()      {}
func (CancelRow) isRowValue()        {}
func (LeaderRow) isRowValue()        {}
func (LeaseRow) isRowValue()         {}
func (ChallengeRow) isRowValue()     {}
func (UsedRow) isRowValue()          {}
func (PressuresRow) isRowValue()     {}
func (PendingRow) isRowValue()       {}
func (ConfigurationRow) isRowValue() {}
func (WorkerRow) isRowValue()        {}
