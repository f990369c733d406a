package scheduler

import "github.com/tamarackstep/tamarackstep/core/structs"

// Table names a table of the platform's store.
type Table uint8

// The tables. TableOperator and TableWorkers are written by others.
const (
	TableOperator Table = iota + 1 // the operator's configuration
	TableWorkers                   // the platform's list of workers, by worker id
	TableControl                   // leadership
	TableJobs                      // submitted jobs, by job id; written once
	TableProgress                  // progress of each job, by job id
	TableCancels                   // cancellations, by job id
	TableQueues                    // lengths of the queues
)

// Partition numbers a partition of a table. The store performs the transactions
// of one partition in sequence, and all rows of a transaction are in one partition.
type Partition int

// jobPartitions is the number of partitions of TableJobs. With several, a slow
// store performs submissions concurrently with each other and with the leader's
// commits. All other tables have only partition 0, since the leader writes them
// together.
const jobPartitions = 16

// PartitionOf returns the partition of a row. Jobs are spread by the last digit
// of their ID, which callers choose at random.
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
	KeyUsedWorkers   = "workers"
	KeyQueueLengths  = "pending"
)

// RowValue is the content of a row. The set of types is closed.
type RowValue interface{ isRowValue() }

// JobRow is a job as it was accepted.
type JobRow struct{ structs.Job }

// ProgressRow is the progress of a job.
type ProgressRow struct{ structs.Progress }

// CancelRow is the cancellation of a job.
type CancelRow struct {
	Host string `json:"host"` // host that accepted the request
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

// ChallengeRow asks the leader of an epoch to release leadership to a stronger host.
type ChallengeRow struct {
	Host       string        `json:"host"`
	Epoch      structs.Epoch `json:"epoch"`
	Processors float64       `json:"processors"`
}

// LeaseRow is the leader's lease. Each commit of the leader replaces it and is
// conditional on its version, so that a delayed commit cannot overwrite a later one.
type LeaseRow struct {
	Instance  structs.InstanceID `json:"instance"`
	Sequence  uint64             `json:"sequence"`   // number of the leader's commit
	ExpiresMS int64              `json:"expires_ms"` // on the store's clock; 0: released
}

// UsedWorkersRow holds the addresses of the workers on which a leader may have started
// runs. A new leader reads their lists, or waits until their leases have expired,
// before it starts a task that a former leader may have started.
type UsedWorkersRow struct {
	Workers map[structs.WorkerID]string `json:"workers"`
}

// PressuresRow holds the interference estimates of leaders, so that a new leader
// does not learn them again at the cost of serving tasks.
type PressuresRow struct {
	Bases []BaseTailEntry `json:"bases"`
	Pairs []PressureEntry `json:"pairs"`
}

// BaseTailEntry is the tail latency of a serving image without any load.
type BaseTailEntry struct {
	Image  string  `json:"image"`
	TailMS float64 `json:"tail_ms"`
}

// PressureEntry is the estimate for one pair of a serving and a best-effort image.
type PressureEntry struct {
	Serving    string  `json:"serving"`
	BestEffort string  `json:"filling"`
	Value      float64 `json:"value"`
	Variance   float64 `json:"variance"`
}

// QueueLengthsRow holds the lengths of the queues: by queue, the number of accepted jobs
// that have not started.
type QueueLengthsRow struct {
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
func (UsedWorkersRow) isRowValue()   {}
func (PressuresRow) isRowValue()     {}
func (QueueLengthsRow) isRowValue()  {}
func (ConfigurationRow) isRowValue() {}
func (WorkerRow) isRowValue()        {}
