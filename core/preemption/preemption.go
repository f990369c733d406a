// Package preemption decides which running tasks give way to a more urgent task that no
// worker has room for. It answers a load pattern in which work of a low priority has taken
// the room before urgent work arrives: without preemption urgent work waits for as long as
// the longest tasks run.
//
// The decision throws away as little work as possible, never more than the waiting task
// needs itself, and does not displace the same job twice in a row.
//
// The package decides on plain values. It does no I/O and reads no clock.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// Delay is how long an urgent task waits for room before others give way. Most tasks
	// that find no room at first find some within it.
	Delay = 200 * time.Millisecond
	// Cooldown is how long a job that was displaced is not displaced again, and displaces
	// no other job.
	Cooldown = 10 * time.Second
)

// Run is a running task that may give way.
type Run struct {
	ID       int // index chosen by the caller
	Priority int // of its queue; lower numbers are more urgent
	Reserved structs.Resources
	LostWork float64 // what a stop throws away, in core-seconds
}

// Candidate is a worker that could run the waiting task if some runs gave way.
type Candidate struct {
	Worker   int // index chosen by the caller
	Reserved structs.Resources
	Capacity structs.Resources
	Runs     []Run
}

// Task is the waiting task.
type Task struct {
	Priority int
	Need     structs.Resources
	Work     float64 // that it needs, in core-seconds
}

// Plan names the runs that give way on one worker.
type Plan struct {
	Worker   int
	Runs     []int
	LostWork float64
}

// Choose returns the plan that throws away the least work, or false if none throws away
// less than the waiting task needs.
func Choose(t Task, candidates []Candidate) (Plan, bool) {
	var best Plan
	found := false
	for i := range candidates {
		plan, ok := planFor(t, &candidates[i])
		if ok && plan.LostWork < t.Work && (!found || plan.LostWork < best.LostWork) {
			best, found = plan, true
		}
	}
	return best, found
}

// planFor returns the runs of one worker that give way: those that lose least until the task
// fits, without those that turn out not to be needed.
func planFor(t Task, c *Candidate) (Plan, bool) {
	stoppable := slices.DeleteFunc(slices.Clone(c.Runs), func(r Run) bool { return r.Priority <= t.Priority })
	slices.SortStableFunc(stoppable, func(a, b Run) int { return cmp.Compare(a.LostWork, b.LostWork) })
	reserved := c.Reserved
	fits := func() bool { return reserved.Add(t.Need).Fits(c.Capacity) }
	var chosen []Run
	for _, r := range stoppable {
		if fits() {
			break
		}
		reserved = reserved.Sub(r.Reserved)
		chosen = append(chosen, r)
	}
	if !fits() || len(chosen) == 0 {
		return Plan{}, false
	}
	plan := Plan{Worker: c.Worker}
	for _, r := range slices.Backward(chosen) {
		reserved = reserved.Add(r.Reserved)
		if fits() {
			continue
		}
		reserved = reserved.Sub(r.Reserved)
		plan.Runs = append(plan.Runs, r.ID)
		plan.LostWork += r.LostWork
	}
	return plan, true
}
