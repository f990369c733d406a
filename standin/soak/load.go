package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

// Load is a constant load without faults: jobs of one step arrive at a fixed rate.
type Load struct {
	JobsPerSecond  float64
	TasksPerJob    int
	TaskMilliCores int64
	Work           time.Duration // of each task
	Length         time.Duration // during which jobs arrive
	Label          string        // that workers must have; empty: any worker
}

// LoadReport is what a load cost the hosts and how its jobs fared. The processor
// time is that of the load without the start of the processes.
type LoadReport struct {
	Accepted, Completed int
	TasksStarted        int
	StartWaits          []time.Duration // from the submission of a job to its first start, sorted
	HostCPU             []time.Duration // processor time of each host, highest first
}

// CPUPerStart returns the processor time of all hosts for each started task.
func (r LoadReport) CPUPerStart() time.Duration {
	var total time.Duration
	for _, c := range r.HostCPU {
		total += c
	}
	return total / time.Duration(max(r.TasksStarted, 1))
}

// StartWait returns a quantile of StartWaits.
func (r LoadReport) StartWait(quantile float64) time.Duration {
	if len(r.StartWaits) == 0 {
		return 0
	}
	return r.StartWaits[min(int(quantile*float64(len(r.StartWaits))), len(r.StartWaits)-1)]
}

// RunLoad starts a cluster of the given size with the scheduler binary program,
// runs a load on it, and waits until its jobs have settled.
func RunLoad(load Load, size Size, program, folder string) (LoadReport, error) {
	cluster, err := NewCluster(size, program, folder)
	if err != nil {
		return LoadReport{}, err
	}
	defer cluster.Close()
	time.Sleep(startupWait)
	before, err := cluster.hostCPU()
	if err != nil {
		return LoadReport{}, err
	}
	callers := &callerPool{cluster: cluster, counts: make(map[string]int)}
	callers.submitAtRate(load, callers.seed)
	unsettled := callers.awaitSettled()
	after, err := cluster.hostCPU()
	if err != nil {
		return LoadReport{}, err
	}
	report := LoadReport{Accepted: len(callers.acceptedJobs), Completed: len(callers.acceptedJobs) - len(unsettled), TasksStarted: cluster.Checker.Starts(), StartWaits: cluster.Checker.StartWaits()}
	for i := range after {
		report.HostCPU = append(report.HostCPU, after[i]-before[i])
	}
	slices.SortFunc(report.HostCPU, func(a, b time.Duration) int { return int(b - a) })
	return report, nil
}

// hostCPU returns the processor time that each host has used so far.
func (c *Cluster) hostCPU() ([]time.Duration, error) {
	var all []time.Duration
	for _, h := range c.hosts {
		used, err := h.process.CPUTime()
		if err != nil {
			return nil, err
		}
		all = append(all, used)
	}
	return all, nil
}

// submitAtRate submits the jobs of a load and returns once all have an answer. The seed
// determines their IDs.
func (c *callerPool) submitAtRate(load Load, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	interval := time.Duration(float64(time.Second) / load.JobsPerSecond)
	ctx, cancel := context.WithTimeout(context.Background(), load.Length)
	defer cancel()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	client := newClient()
	var group sync.WaitGroup
	for ctx.Err() == nil {
		id := fmt.Sprintf("%0*x", jobIDDigits, rng.Uint64())
		seed := rng.Uint64()
		group.Go(func() {
			body, record := load.newJob()
			c.submit(rand.New(rand.NewPCG(seed, 0)), client, id, body, record)
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
}

// newJob returns a job of the load.
func (l Load) newJob() ([]byte, jobplatform.JobRecord) {
	spec, err := json.Marshal(jobplatform.TaskSpec{WorkMS: l.Work.Milliseconds()})
	if err != nil {
		panic(err) // a struct of integers always encodes
	}
	record := jobplatform.JobRecord{
		Spec: string(spec), TaskCounts: []int{l.TasksPerJob}, Dependencies: [][]int{nil}, MilliCores: []int64{l.TaskMilliCores}, MaxAttempts: 3, Labels: []string{l.Label},
	}
	body, err := json.Marshal(map[string]any{"Spec": record.Spec, "Steps": []jobStep{{
		Count: l.TasksPerJob, Cpu: l.TaskMilliCores, MemMb: 100, EstimatedMs: l.Work.Milliseconds(), Requirements: l.Label,
	}}})
	if err != nil {
		panic(err)
	}
	return body, record
}
