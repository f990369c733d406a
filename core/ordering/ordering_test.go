package ordering

import (
	"testing"
	"time"
)

// TestClassesOfJobs guards against room for work that comes too late while other jobs can
// still be done in time.
func TestClassesOfJobs(t *testing.T) {
	usual := Job{Objective: 10 * time.Second, CriticalPath: 4 * time.Second, Work: 100, Value: 1}
	with := func(change func(*Job)) Rank {
		j := usual
		change(&j)
		return RankOf(j, 5*time.Second)
	}
	inOrder := []struct {
		name string
		rank Rank
	}{
		{"urgent priority, late", with(func(j *Job) { j.Priority, j.Age = -1, 20*time.Second })},
		{"persistent", with(func(j *Job) { j.Persistent = true })},
		{"starving", with(func(j *Job) { j.Age = time.Hour }).Promote()},
		{"nearly done", with(func(j *Job) { j.Work = 1 })},
		{"little slack", with(func(j *Job) { j.Age = 6 * time.Second })},
		{"usual", with(func(*Job) {})},
		{"cannot be done in time", with(func(j *Job) { j.Age, j.Work = 7*time.Second, 1 })},
		{"worthless", with(func(j *Job) { j.Age, j.Work = 27*time.Second, 1 })},
	}
	for i := 1; i < len(inOrder); i++ {
		if first, second := inOrder[i-1], inOrder[i]; first.rank.Compare(second.rank) >= 0 {
			t.Errorf("%q does not come before %q", first.name, second.name)
		}
	}
}

// TestStarvingJob guards against a job that an endless overload keeps out, and against the
// promotion of jobs that have only just become worthless.
func TestStarvingJob(t *testing.T) {
	j := Job{Objective: 10 * time.Second}
	if Starves(j, WorthlessFactor*j.Objective) {
		t.Error("a job starves as soon as it is worthless")
	}
	if !Starves(j, 10*time.Minute) {
		t.Error("a job never starves")
	}
}

// TestJobsWithoutEstimates guards against an urgency that is not a number.
func TestJobsWithoutEstimates(t *testing.T) {
	a, b := RankOf(Job{Value: Value(0, 0)}, 0), RankOf(Job{Value: Value(0, 0)}, 0)
	if a.Compare(b) != 0 {
		t.Errorf("equal jobs without estimates have the ranks %+v and %+v", a, b)
	}
}
