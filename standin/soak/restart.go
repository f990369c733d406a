package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// idleTime is how long workers are idle before they restart: leaders synchronize idle
	// workers every few seconds, so that they do not notice most restarts by a sync.
	idleTime = 1300 * time.Millisecond
	// burstJobs is the number of jobs submitted right after the restarts.
	burstJobs = 12
)

// RunIdleRestarts starts a cluster of the given size with the scheduler binary program.
// In each round all workers, which are idle, crash and start again at once under the same
// IDs, and jobs are submitted within the next moments.
func RunIdleRestarts(rounds int, seed uint64, size Size, program, folder string) (Result, error) {
	cluster, err := NewCluster(size, program, folder)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Close()
	time.Sleep(startupWait)
	callers := &callerPool{cluster: cluster, seed: seed, counts: make(map[string]int)}
	rng := rand.New(rand.NewPCG(seed, seed))
	load := Load{JobsPerSecond: burstJobs / 0.3, TasksPerJob: 1, TaskMilliCores: 500, Work: 1200 * time.Millisecond, Length: 300 * time.Millisecond}
	result := Result{Counts: callers.counts}
	for round := range rounds {
		time.Sleep(idleTime + time.Duration(rng.Int64N(int64(idleTime))))
		for _, w := range cluster.workers {
			w.Crash()
			w.proxy.Reset()
			w.Boot()
		}
		callers.seed = seed + uint64(round) // further job IDs
		result.Faults = append(result.Faults, fmt.Sprintf("round %d: all workers restart", round))
		callers.submitAtRate(load)
		if result.Unsettled = callers.awaitSettled(); len(result.Unsettled) > 0 {
			break
		}
	}
	result.Violations = cluster.violations()
	return result, nil
}
