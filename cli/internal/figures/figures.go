// Package figures computes the figures of a day from the log lines of all hosts:
// starts, waits, the queue, refusals, leaders and recoveries. It is a reducer:
// Collector takes one event after another and returns the figures as data.
package figures

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Figures are the figures of a day.
type Figures struct {
	From, To         time.Time
	Hosts            int
	Accepted         int // jobs, each counted once
	Started          int // accepted jobs of which a start was ordered
	Starts           int // orders to start a task
	StartsRefused    int
	StartsUnanswered int
	Ends             []Count // ends of runs that workers listed, by kind
	RunsLost         int
	RunsAdopted      int
	Refusals         []Count // refused requests, by kind and reason
	Wait             Distribution
	WorstQueue       int // accepted jobs that waited for their first start at a time
	Takeovers        int
	HostRestarts     int
	WorkerRestarts   int
	WorkersLost      int // times that a worker did not answer
	Leads            []Lead
	Recoveries       []Recovery
	BucketWidth      time.Duration
	Buckets          []Bucket // oldest first
}

// Count is how often something happened.
type Count struct {
	Name   string
	Number int
}

// Lead is the time for which a host led a shard.
type Lead struct {
	Shard    string
	Host     string
	Epoch    uint64
	From, To time.Time // To: when the next host took the lead, or this one gave it up
	GaveUp   bool
}

// Recovery is how long it took from a loss to normal service.
type Recovery struct {
	Kind  RecoveryKind
	Times Distribution
}

// RecoveryKind is a loss, and what shows that it was overcome.
type RecoveryKind string

// The kinds of recoveries. The loss of a leader is the last line by which it decided
// something; that of a worker the first line that shows it.
const (
	LeaderLostToState    RecoveryKind = "leader lost to state read by the next"
	LeaderLostToStart    RecoveryKind = "leader lost to first start by the next"
	LeaderGaveUpToStart  RecoveryKind = "lead given up to first start by the next"
	StoreBackToService   RecoveryKind = "store back to first job accepted or started by the host"
	WorkerLostToStart    RecoveryKind = "worker lost to its tasks started elsewhere"
	WorkerRestartToStart RecoveryKind = "worker restarted to its tasks started again"
)

// recoveryKinds is the order in which recoveries are shown.
var recoveryKinds = []RecoveryKind{
	LeaderLostToState, LeaderLostToStart, LeaderGaveUpToStart, StoreBackToService, WorkerLostToStart, WorkerRestartToStart,
}

// Distribution sums up durations. All are 0 without cases.
type Distribution struct {
	Cases                 int
	Median, P95, P99, Max time.Duration
}

// newDistribution sums up durations; it sorts them.
func newDistribution(times []time.Duration) Distribution {
	if len(times) == 0 {
		return Distribution{}
	}
	slices.Sort(times)
	// The smallest time that this share of the cases does not exceed.
	quantile := func(percent int) time.Duration { return times[(len(times)*percent+99)/100-1] }
	return Distribution{Cases: len(times), Median: quantile(50), P95: quantile(95), P99: quantile(99), Max: times[len(times)-1]}
}

// Bucket holds what happened in one interval of the day.
type Bucket struct {
	At        time.Time // start of the interval
	Starts    int
	Refusals  int
	Queue     int           // largest queue of the interval
	WorstWait time.Duration // of the jobs first started in the interval
}

// counts returns counts by number, the largest first, then by name.
func counts(byName map[string]int) []Count {
	var list []Count
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, Count{name, byName[name]})
	}
	slices.SortStableFunc(list, func(a, b Count) int { return b.Number - a.Number })
	return list
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
