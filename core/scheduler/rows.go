package scheduler

import (
	"strconv"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Table names a table of the platform's store.
type Table uint8

// The tables. TableOperator and TableWorkers are written by others.
const (
	TableOperator Table = iota + 1 // the operator's configuration, and evacuations by zone
	TableWorkers                   // the platform's list of workers, by worker id
	TableControl                   // leadership of each shard, in its partition
	TableJobs                      // submitted jobs, by job id; written once
	TableProgress                  // progress of each job, by job id, in the partition of its shard
	TableCancels                   // cancellations, by job id
	TableShards                    // the plan of the shards, and the load of each in loadPartition
)

// Partition numbers a partition of a table. The store performs the transactions
// of one partition in sequence, and all rows of a transaction are in one partition.
type Partition int

// JobPartitions is the number of partitions of TableJobs. With several, a slow
// store performs submissions concurrently with each other and with the leaders'
// commits. TableControl and TableProgress have one partition for each shard, since
// its leader writes them together. All other tables have only partition 0.
const JobPartitions = 16

// jobPartition returns the partition of a job row. Jobs are spread by the last digit
// of their ID, which callers choose at random.
func jobPartition(id structs.JobID) Partition {
	if id == "" {
		return 0
	}
	return Partition(id[len(id)-1]) % JobPartitions
}

// ShardID numbers a shard, from 0.
type ShardID int

// partition returns the partition of the rows of a shard. Shard 0 shares partition 0
// with the rows of other programs.
func (id ShardID) partition() Partition {
	if id == 0 {
		return 0
	}
	return JobPartitions + Partition(id)
}

// String returns the shard's name in logs.
func (id ShardID) String() string { return "shard " + strconv.Itoa(int(id)) }

// loadKey returns the key of a shard's load in TableShards.
func (id ShardID) loadKey() string { return loadKeyPrefix + strconv.Itoa(int(id)) }

// shardOfLoadKey returns the shard with a key in TableShards, or false for other keys.
func shardOfLoadKey(key string) (ShardID, bool) {
	digits, ok := strings.CutPrefix(key, loadKeyPrefix)
	n, err := strconv.Atoi(digits)
	return ShardID(n), ok && err == nil && n >= 0 && n < maxShards
}

// loadPartition is the partition of the loads of all shards. Leaders write them often;
// while the store is slow, their writes must not hold up the commits of a leader, which
// renew its lease.
const loadPartition = JobPartitions + maxShards

// loadedPartitions returns the partitions of a watched table.
func (t Table) loadedPartitions() []Partition {
	switch t {
	case TableJobs:
		all := make([]Partition, JobPartitions)
		for p := range all {
			all[p] = Partition(p)
		}
		return all
	case TableShards:
		return []Partition{0, loadPartition}
	}
	return []Partition{0}
}

// Keys of single rows.
const (
	KeyConfiguration = "config"
	KeyLeader        = "leader"
	KeyLease         = "lease"
	KeyChallenge     = "challenge"
	KeyPressures     = "pressures"
	KeyUsedWorkers   = "workers"
	KeyPlan          = "plan"
	loadKeyPrefix    = "load"

	evacuationKeyPrefix = "evacuate/" // before the name of a zone
)

// RowValue is the content of a row. The set of types is closed.
type RowValue interface{ isRowValue() }

// JobRow is a job as it was accepted.
type JobRow struct{ structs.Job }

// ProgressRow is the progress of a job.
type ProgressRow struct{ structs.Progress }

// ProgressGroupRow is a further row of the progress of a job with many tasks.
type ProgressGroupRow struct {
	Move        int                   `json:"move,omitempty"`        // as in structs.Progress
	Failures    map[int][]structs.Run `json:"failures,omitempty"`    // as in structs.Progress
	Checkpoints map[int]string        `json:"checkpoints,omitempty"` // as in structs.Progress
}

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

// ChallengeRow asks the leader of an epoch to release leadership to a host that is
// stronger or leads fewer shards.
type ChallengeRow struct {
	Host       string        `json:"host"`
	Epoch      structs.Epoch `json:"epoch"`
	Processors float64       `json:"processors"`
	Leads      int           `json:"leads,omitempty"` // shards that the challenger leads
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
	// RunsEndMS holds, for workers that do not answer, when all their runs have certainly
	// ended, on the store's clock, unless a leader renews their leases. No leader does
	// before it has removed the time here.
	RunsEndMS map[structs.WorkerID]int64 `json:"runs_end_ms,omitempty"`
	// LeasesEndMS holds, for workers that have restarted, by when the leases have ended
	// that were granted by the clock of another incarnation, on the store's clock.
	LeasesEndMS map[structs.WorkerID]int64 `json:"leases_end_ms,omitempty"`
	Epoch       structs.Epoch              `json:"epoch,omitempty"` // of the leader that wrote the row
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

// ShardPlanRow divides the workers into shards by their racks. Shards are added and
// never removed, and a rack never changes its shard: a worker refuses commands with
// a lower epoch than it has seen, and epochs of different shards are not comparable.
type ShardPlanRow struct {
	Shards int                `json:"shards"`
	Racks  map[string]ShardID `json:"racks"`
}

// ShardLoadRow is the load of one shard, which its leader writes every loadInterval.
type ShardLoadRow struct {
	Host         string                 `json:"host"`
	Epoch        structs.Epoch          `json:"epoch"`
	Processors   float64                `json:"processors"` // of the leader
	Strongest    float64                `json:"strongest"`  // most processors of any leader so far
	Leads        int                    `json:"leads"`      // shards that the host leads
	Shards       int                    `json:"shards"`     // number of shards in the plan
	AtMS         int64                  `json:"at_ms"`      // when it was written, on the store's clock; 0: the leader has released the shard
	QueueLengths map[string]int         `json:"queues"`     // accepted jobs that have not started, by queue
	Services     map[string]ServiceLoad `json:"services"`   // by service
	Labels       []string               `json:"labels"`     // of its workers
	// MeasuredMS is how long the leader has measured the rates of the backlogs.
	MeasuredMS int64 `json:"measured_ms,omitempty"`
	// Evacuating holds how many runs are left on its workers in evacuated zones, by zone.
	Evacuating map[string]int `json:"evacuating,omitempty"`
}

// ServiceLoad is the capacity of a shard for the tasks of one service. All amounts
// become negative when more tasks wait than there is room for.
type ServiceLoad struct {
	// Slots holds, for each of slotSizes, how many tasks that reserve this much find
	// room on single workers, less what waiting tasks would take.
	Slots          [len(slotSizes)]int64 `json:"slots"`
	IdleMilliCores int64                 `json:"idle"` // expected to be idle, less what waiting best-effort tasks request
	// Free and FreeMilliCores hold the same before waiting tasks take any. What stays free
	// although tasks wait is of no use to those, but may be to others.
	Free           [len(slotSizes)]int64 `json:"free"`
	FreeMilliCores int64                 `json:"free_idle,omitempty"`
	// LargestMilliCores is the most that is free on a single worker. It tells of room for a
	// task that lies between two of slotSizes.
	LargestMilliCores int64 `json:"largest,omitempty"`
	// Backlog is the work for the workers of the service by priority, most urgent first;
	// empty while little work waits.
	Backlog []BacklogClass `json:"backlog,omitempty"`
}

// BacklogClass is the work of one priority of a service in a shard, in core-seconds by
// declared run times. Persistent tasks do not count.
type BacklogClass struct {
	Priority int     `json:"prio,omitempty"`
	Waiting  int64   `json:"wait,omitempty"`   // of the tasks without a run
	OnTime   []int64 `json:"timely,omitempty"` // the part of it in jobs that have not missed their objectives, by their sizes
	Tasks    int     `json:"tasks,omitempty"`  // number of the tasks without a run
	Running  int64   `json:"run,omitempty"`    // requested by tasks with a run, in millicores; 0 if Rate is known
	Rate     int64   `json:"rate,omitempty"`   // work done per second, in millicores
}

// slotSizes are the reservations, in thousandths of a processor, for which the load of
// a shard tells the room: what is free in small pieces is no room for large tasks.
var slotSizes = [...]int64{1000, 2000, 4000, 8000, 12000, 16000, 20000, 24000, 32000, 48000, 64000}

// ConfigurationRow is the operator's configuration.
type ConfigurationRow struct{ structs.QueueConfiguration }

// EvacuationRow is the operator's request that no task starts in a zone until the row is
// removed. Its key names the zone.
type EvacuationRow struct{}

// WorkerRow is an entry of the platform's list of workers.
type WorkerRow struct{ structs.WorkerEntry }

func (JobRow) isRowValue()           {}
func (ProgressRow) isRowValue()      {}
func (ProgressGroupRow) isRowValue() {}
func (CancelRow) isRowValue()        {}
func (LeaderRow) isRowValue()        {}
func (LeaseRow) isRowValue()         {}
func (ChallengeRow) isRowValue()     {}
func (UsedWorkersRow) isRowValue()   {}
func (PressuresRow) isRowValue()     {}
func (ShardPlanRow) isRowValue()     {}
func (ShardLoadRow) isRowValue()     {}
func (ConfigurationRow) isRowValue() {}
func (EvacuationRow) isRowValue()    {}
func (WorkerRow) isRowValue()        {}
