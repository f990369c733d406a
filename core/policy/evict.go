package policy

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// nearlyDone is the progress from which a task is evicted last, because it
	// frees its resources soon anyway.
	nearlyDone = 0.8
	// minRunBeforeEviction protects newly started tasks, so that evictions do
	// not cascade.
	minRunBeforeEviction = 5 * time.Second
	// A partition starts up to evictionBurst evictions at once, then one per
	// evictionInterval.
	evictionBurst    = 8
	evictionInterval = 250 * time.Millisecond

	resumeLossRate    = 0.5  // weight of a new measurement in the expected loss of a row
	resumeMinProgress = 0.05 // less progress says nothing about what a checkpoint saves
	redoneWorkWeight  = 12.0 // cost of work that is done twice, relative to work that only waits
)

// Victim is a running batch task that could be evicted.
type Victim struct {
	Task         structs.TaskID
	Importance   structs.Importance
	Request      structs.Resources
	Progress     float64 // 0 to 1
	Evictions    int
	RunningFor   time.Duration
	ExpectedLoss float64 // expected share of the progress that is lost when it resumes
}

// ResumeLoss learns the share of their progress that the tasks of a row lose when
// they are checkpointed and resumed; some programs start from the beginning. The
// zero value expects no loss.
type ResumeLoss struct{ lost float64 }

// Learn takes the progress before a checkpoint and the first progress reported
// after it.
func (r *ResumeLoss) Learn(before, after float64) {
	if before < resumeMinProgress {
		return
	}
	r.lost += resumeLossRate * (min(max(1-after/before, 0), 1) - r.lost)
}

// Expected returns the share of the progress that is expected to be lost.
func (r ResumeLoss) Expected() float64 { return r.lost }

// ChooseVictims chooses the tasks to evict from one worker so that need fits into
// free, or returns nil when that is impossible. The least important tasks are
// evicted first, those that are nearly done or were evicted before last. No task
// is chosen that the request does not need. cost compares workers: lower is
// better.
func ChooseVictims(need, free structs.Resources, running []Victim) (chosen []Victim, cost float64) {
	var candidates []Victim
	for _, v := range running {
		if v.RunningFor >= minRunBeforeEviction {
			candidates = append(candidates, v)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if a, b := EvictionCost(candidates[i]), EvictionCost(candidates[j]); a != b {
			return a < b
		}
		return candidates[i].Task < candidates[j].Task
	})
	for _, v := range candidates {
		if need.Fits(free) {
			break
		}
		chosen = append(chosen, v)
		free = free.Add(v.Request)
	}
	if !need.Fits(free) {
		return nil, 0
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Sub(chosen[i].Request); need.Fits(without) {
			free = without
			chosen = append(chosen[:i], chosen[i+1:]...)
		}
	}
	for _, v := range chosen {
		cost += 1 + EvictionCost(v)
	}
	return chosen, cost
}

// EvictionCost returns the cost of evicting a task. Its unit has no meaning: it only
// compares tasks and workers.
func EvictionCost(v Victim) float64 {
	cost := v.Progress*(1+redoneWorkWeight*v.ExpectedLoss) + 2*float64(v.Evictions) + 10*float64(v.Importance)
	if v.Progress >= nearlyDone {
		cost += 5
	}
	return cost
}

// EvictionBudget limits the rate at which a partition starts evictions. The zero value
// allows a whole burst.
type EvictionBudget struct {
	used       int           // evictions not yet restored to the budget
	restoredAt time.Duration // when the budget was last restored
}

// Take reports whether n more evictions may start now, and counts them. A set
// larger than the burst is allowed only on a full budget.
func (b *EvictionBudget) Take(now time.Duration, n int) bool {
	restored := int((now - b.restoredAt) / evictionInterval)
	if restored > 0 {
		b.used = max(0, b.used-restored)
		b.restoredAt = now
	}
	if b.used > 0 && b.used+n > evictionBurst {
		return false
	}
	b.used += n
	return true
}
