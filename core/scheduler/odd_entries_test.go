package scheduler

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Guards against rows of another writer that end the leader's process, keep it from
// following a table, or are logged at each read. A CancelRow in another table stands
// for a value that cannot be decoded.
func TestOddRowsAreSkipped(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.store.set(TableWorkers, "odd", CancelRow{})
	sim.store.set(TableProgress, "00000000000000aa", CancelRow{})
	for key, steps := range map[string][]structs.Step{
		"00000000000000a0": {{Count: -1}},
		"00000000000000a1": {{Count: math.MaxInt}},
		"00000000000000a2": {{Count: 1, After: []int{7}}},
		"00000000000000a3": {{Count: 1, Request: structs.Resources{MilliCores: math.MaxInt64}}},
		"00000000000000a4": nil,
	} {
		sim.store.set(TableJobs, key, JobRow{structs.Job{ID: structs.JobID(key), Queue: queueName, Steps: steps}})
	}
	sim.waitForLeader()
	const id = "0000000000000001"
	sim.submitAndWait(sim.hosts[0], id, singleStepJob(2, 100*time.Millisecond, 1000))
	for range 20 {
		sim.store.set(TableWorkers, "odd", CancelRow{})
		sim.advance(500 * time.Millisecond)
	}
	if got := sim.jobState(id); got != structs.JobCompleted {
		t.Errorf("job is %s, want completed", got)
	}
	for action, want := range map[string]int{"entry cannot be read odd": 1, "progress cannot be read": 1, "job row is invalid": 5} {
		got := 0
		for _, line := range sim.decisions {
			if strings.Contains(line, action) {
				got++
			}
		}
		if got != want {
			t.Errorf("%q logged %d times, want %d", action, got, want)
		}
	}
}

// Guards against jobs whose numbers overflow sums of capacities or due times.
func TestJobsOutOfRangeAreInvalid(t *testing.T) {
	step := structs.Step{Count: 1, Request: structs.Resources{MilliCores: 1000}, Estimate: time.Second}
	for name, change := range map[string]func(*structs.Job){
		"processors":       func(j *structs.Job) { j.Steps[0].Request.MilliCores = math.MaxInt64 },
		"memory":           func(j *structs.Job) { j.Steps[0].Request.MemoryMB = math.MaxInt64 },
		"estimate":         func(j *structs.Job) { j.Steps[0].Estimate = math.MaxInt64 },
		"tasks":            func(j *structs.Job) { j.Steps[0].Count = math.MaxInt },
		"limit":            func(j *structs.Job) { j.Steps[0].PerWorker = -1 },
		"first occurrence": func(j *structs.Job) { j.Repeat = &structs.Repeat{Count: 2, FirstMS: math.MaxInt64, EveryMS: 1} },
		"interval":         func(j *structs.Job) { j.Repeat = &structs.Repeat{Count: 2, FirstMS: 1, EveryMS: math.MaxInt64} },
		"repetitions":      func(j *structs.Job) { j.Repeat = &structs.Repeat{Count: math.MaxInt, FirstMS: 1, EveryMS: 1} },
	} {
		job := structs.Job{Steps: []structs.Step{step}}
		if reason := invalidReason(&job); reason != "" {
			t.Fatalf("a plain job is invalid: %s", reason)
		}
		change(&job)
		if invalidReason(&job) == "" {
			t.Errorf("%s: accepted", name)
		}
	}
}
