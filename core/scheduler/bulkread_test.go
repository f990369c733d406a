package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// storeEndedJobs stores jobs that have ended and whose rows are kept for callers.
func (sim *simulation) storeEndedJobs(count, specBytes int) {
	for i := range count {
		id := structs.JobID(fmt.Sprintf("e%014x%x", i, i%JobPartitions))
		job := singleStepJob(4, time.Second, 500)
		job.ID, job.Queue, job.Spec = id, queueName, strings.Repeat("s", specBytes)
		job.SubmittedMS = sim.wall()
		sim.store.set(TableJobs, string(id), JobRow{job})
		sim.store.set(TableProgress, string(id), ProgressRow{structs.Progress{State: structs.JobCompleted, ClaimEpoch: 1}})
	}
}

// TestTakeoverOverSlowLink guards against a leader that never finishes reading its state
// since its link cannot carry all tables within the time limit of one read, so that no
// task is started any more.
func TestTakeoverOverSlowLink(t *testing.T) {
	for _, linkBytesPerSecond := range []float64{1_250_000, 250_000} { // 10 and 2 Mbit/s
		sim := newSimulation(t, 0, 4)
		for i := range 3 {
			sim.addHostWithLink(fmt.Sprintf("slow%d", i), 0.1, linkBytesPerSecond)
		}
		const jobs, specBytes = 1300, 1200
		sim.storeEndedJobs(jobs, specBytes)
		const wholeState = jobs * (specBytes + 400) * 4 / 3 // bytes
		sim.advance(time.Second)
		limit := 5*time.Second + time.Duration(2*wholeState/linkBytesPerSecond*float64(time.Second))
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(4, time.Second, 500))
		sim.waitFor(limit, "completion of a job", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
		sim.leader().kill()
		alive := sim.hosts[slices.IndexFunc(sim.hosts, func(h *fakeHost) bool { return h.alive })]
		sim.submitAndWait(alive, jobB, singleStepJob(4, time.Second, 500))
		sim.waitFor(limit+leaderLease, "completion of a job after a takeover", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	}
}

// TestLeaderThatReadsIsChallenged guards against a host with a slow link that keeps the
// lead for as long as it reads its state, although a stronger host could serve.
func TestLeaderThatReadsIsChallenged(t *testing.T) {
	sim := newSimulation(t, 0, 4)
	sim.storeEndedJobs(1300, 1200)
	strong := sim.addHost("strong")
	sim.waitForLeader()
	sim.addHostWithLink("slow", 0.1, 20_000)
	sim.advance(2 * time.Second)
	strong.kill()
	sim.waitFor(leaderLease+weakTakeoverDelay+3*time.Second, "takeover by the slow host", func() bool { return sim.leader() != nil })
	strong.start()
	sim.advance(100 * time.Millisecond)
	sim.submitAndWait(strong, jobA, singleStepJob(4, time.Second, 500))
	sim.waitFor(challengeDelay+5*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestWatchCatchesUpOverSlowLink guards against a host that never sees the changes of a
// table again once more of them wait than its link carries within the time limit of one
// watch.
func TestWatchCatchesUpOverSlowLink(t *testing.T) {
	sim := newSimulation(t, 0, 4)
	h := sim.addHostWithLink("slow", 1, 100_000)
	sim.waitForLeader()
	h.storeCut = true
	for i := range 200 {
		// Rows of another shard are read and passed over.
		job := singleStepJob(4, time.Second, 500)
		job.ID, job.Queue, job.Spec, job.Shard = structs.JobID(fmt.Sprintf("e%015x", i)), queueName, strings.Repeat("s", 2000), 1
		sim.store.set(TableJobs, string(job.ID), JobRow{job})
	}
	sim.advance(time.Second)
	h.storeCut = false
	sim.submitAndWait(h, jobA, singleStepJob(4, time.Second, 500))

	sim.waitFor(20*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
}

// TestWatchTimeLimitAfterOutage guards against a configuration, or jobs, that are seen
// seconds late because an outage of the store has made the time limits of watches longer.
func TestWatchTimeLimitAfterOutage(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.down = true
	sim.advance(20 * time.Second)
	for key, w := range sim.hosts[0].state.watches {
		if got := w.timeoutFactor(); got != 1 {
			t.Errorf("table %v: the slack is %d times as long after an outage", key.table, got)
		}
	}
}

// TestPagesGrowWhileStoreIsSlow guards against tiny pages while the store is slow after an
// outage: the time of a page then says nothing about the link.
func TestPagesGrowWhileStoreIsSlow(t *testing.T) {
	var b bulkReads
	b.init(0)
	now := time.Second
	for range 10 {
		b.observe(TableJobs, RowsRead{Outcome: structs.OutcomeUnknown}, now, now+readTimeout)
		now += readTimeout
	}
	if b.budget != minReadBudget {
		t.Fatalf("budget of %d bytes after an outage", b.budget)
	}
	const pageTime, most = 400 * time.Millisecond, 12
	rounds := 0
	for ; b.budget < defaultReadBudget && rounds <= most; rounds++ {
		b.observe(TableJobs, RowsRead{Outcome: structs.OutcomeDone, Bytes: b.budget}, now, now+pageTime)
		now += pageTime
	}
	if rounds > most {
		t.Errorf("budget of %d bytes after %d pages", b.budget, rounds)
	}
}
