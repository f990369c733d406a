package soak

import (
	"math/rand/v2"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

const (
	manyEndsWorkers  = 2
	manyEndsTaskWork = 500 * time.Millisecond
	manyEndsLength   = 800 * time.Millisecond // during which jobs arrive
	manyEndsStarts   = manyEndsWorkers * (jobplatform.MaxListedEnds + 50)
	manyEndsStartBy  = 30 * time.Second
)

// RunManyEnds starts a cluster with few workers and has more tasks end on each, while
// the leaders are lost, than one answer of a worker lists. The count "most ends" of the result
// is the highest number of ends that a worker had to list.
func RunManyEnds(seed uint64, program, folder string) (Result, error) {
	cluster, err := NewCluster(Size{Hosts: 3, Workers: manyEndsWorkers}, program, folder)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Close()
	time.Sleep(startupWait)
	callers := &callerPool{cluster: cluster, seed: seed, counts: make(map[string]int)}
	r := restartRound{cluster: cluster, callers: callers, rng: rand.New(rand.NewPCG(seed, seed))}
	cluster.setWorkerFaults(jobplatform.WorkerFaults{StallRuns: true})
	callers.submitAtRate(Load{JobsPerSecond: 10, TasksPerJob: 160, TaskMilliCores: 10, Work: manyEndsTaskWork, Length: manyEndsLength}, seed)
	for began := time.Now(); cluster.Checker.Starts() < manyEndsStarts; time.Sleep(settlePollInterval) {
		if time.Since(began) > manyEndsStartBy {
			return Result{}, oops.Errorf("%d tasks have started, want %d", cluster.Checker.Starts(), manyEndsStarts)
		}
	}
	r.killLeaders()
	cluster.setWorkerFaults(jobplatform.WorkerFaults{})
	r.group.Wait()
	result := Result{Counts: callers.counts, Faults: []string{"kill the leaders"}}
	result.Unsettled = callers.awaitSettled()
	result.Violations = cluster.violations()
	for _, w := range cluster.workers {
		result.Counts["most ends"] = max(result.Counts["most ends"], w.MostEnds())
	}
	return result, nil
}

// setWorkerFaults sets the faults of all workers.
func (c *Cluster) setWorkerFaults(faults jobplatform.WorkerFaults) {
	for _, w := range c.workers {
		w.SetFaults(faults)
	}
}
