package scheduler

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestJobThatIsNotDueDoesNotStarve guards against a job with a due time far ahead that takes the
// place of the one job that is promoted, so that jobs which starve are never promoted.
func TestJobThatIsNotDueDoesNotStarve(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	waits := singleStepJob(1, time.Second, 1000)
	waits.ID, waits.Queue = jobB, queueName
	timed := waits
	timed.ID, timed.Repeat = jobA, &structs.Repeat{Count: 1, FirstMS: l.state.wall + time.Hour.Milliseconds()}
	now := l.state.now + 10*time.Minute
	var ranked []rankedJob
	for i, job := range []structs.Job{timed, waits} {
		j := newJob(job, l.state.now+time.Duration(i)*time.Second)
		described := l.describeForOrder(j, now)
		ranked = append(ranked, rankedJob{j, described, ordering.RankOf(described, time.Second)})
	}
	before := ranked[1].rank
	l.promoteStarving(ranked, now)
	if ranked[1].rank.Compare(before) >= 0 {
		t.Error("the job that starves is not promoted")
	}
}

// TestJobWithoutWorkerDoesNotHoldPromotion guards against a job that fits no worker and takes the
// place of the one job that is promoted for good.
func TestJobWithoutWorkerDoesNotHoldPromotion(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	now := l.state.now + 10*time.Minute
	var ranked []rankedJob
	for i, milliCores := range []int64{99_000, 1000} {
		row := singleStepJob(1, time.Second, milliCores)
		row.ID, row.Queue = structs.JobID([]string{jobA, jobB}[i]), queueName
		j := newJob(row, l.state.now+time.Duration(i)*time.Second)
		described := l.describeForOrder(j, now)
		ranked = append(ranked, rankedJob{j, described, ordering.RankOf(described, time.Second)})
	}
	before := ranked[1].rank
	l.promoteStarving(ranked, now)
	if ranked[1].rank.Compare(before) >= 0 {
		t.Error("the job that starves is not promoted")
	}
}

// TestDrainTimeIsDeterministic guards against an order of jobs that depends on that of a map.
func TestDrainTimeIsDeterministic(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	l.workDone = make(map[classKey]*admission.Meter)
	for priority := range 20 {
		meter := &admission.Meter{}
		meter.Add(admission.Work(float64(priority+1)*1234.567), l.state.now)
		l.workDone[classKey{serviceName, priority}] = meter
	}
	const work = 4e7 // long enough to show the last bit of the rate
	first := l.timeForWork(work)
	for range 200 {
		if got := l.timeForWork(work); got != first {
			t.Fatalf("%d ns and %d ns for the same work", first, got)
		}
	}
}
