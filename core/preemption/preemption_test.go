package preemption

import (
	"slices"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

func cores(n int64) structs.Resources { return structs.Resources{MilliCores: 1000 * n} }

// TestLeastWorkGivesWay guards against a plan that stops runs which lose more work than
// others that would make as much room.
func TestLeastWorkGivesWay(t *testing.T) {
	task := Task{Need: cores(4), Work: 100}
	candidates := []Candidate{
		{Worker: 0, Capacity: cores(8), Reserved: cores(8), Runs: []Run{
			{ID: 1, Priority: 2, Reserved: cores(4), LostWork: 50}, {ID: 2, Priority: 2, Reserved: cores(4), LostWork: 20},
		}},
		{Worker: 1, Capacity: cores(8), Reserved: cores(8), Runs: []Run{
			{ID: 3, Priority: 2, Reserved: cores(1), LostWork: 1}, {ID: 4, Priority: 2, Reserved: cores(4), LostWork: 5}, {ID: 5, Priority: 2, Reserved: cores(3), LostWork: 40},
		}},
	}
	plan, ok := Choose(task, candidates)
	if !ok || plan.Worker != 1 || !slices.Equal(plan.Runs, []int{4}) {
		t.Errorf("plan %+v, %v; want run 4 of worker 1 alone", plan, ok)
	}
}

// TestUrgentRunsStay guards against a task that displaces work as urgent as itself, and
// against one that throws away more work than it needs.
func TestUrgentRunsStay(t *testing.T) {
	full := func(r Run) []Candidate {
		r.Reserved = cores(8)
		return []Candidate{{Capacity: cores(8), Reserved: cores(8), Runs: []Run{r}}}
	}
	task := Task{Priority: 1, Need: cores(2), Work: 10}
	for name, candidates := range map[string][]Candidate{
		"equal priority":    full(Run{Priority: 1, LostWork: 1}),
		"urgent":            full(Run{Priority: 0, LostWork: 1}),
		"more work is lost": full(Run{Priority: 2, LostWork: 11}),
		"nothing to stop":   {{Capacity: cores(8), Reserved: cores(8)}},
		"it fits already":   {{Capacity: cores(8), Runs: []Run{{Priority: 2, Reserved: cores(1)}}}},
	} {
		if plan, ok := Choose(task, candidates); ok {
			t.Errorf("%s: plan %+v, want none", name, plan)
		}
	}
}
