package scheduler

import (
	"testing"
	"time"
)

// awaitAnswer waits for the answer to a request and fails the test after the limit.
func (sim *simulation) awaitAnswer(req RequestID, limit time.Duration) Answer {
	sim.t.Helper()
	sim.waitFor(limit, "the answer", func() bool { return sim.answers[req].Status != 0 })
	return sim.answers[req]
}

// setJobCommitOutcome makes commits of job rows end in an outcome.
func (sim *simulation) setJobCommitOutcome(outcome int) {
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		if e.Writes[0].Table == TableJobs {
			return outcome
		}
		return commitAnswered
	}
}

// TestSubmissionIsNotSentToSilentStore guards against an unknown outcome of a job that was
// sent to a store that had stopped answering: the caller could not submit it elsewhere.
func TestSubmissionIsNotSentToSilentStore(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.store.down = true
	sim.advance(recentSuccess)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	if a := sim.awaitAnswer(req, probeTimeout+100*time.Millisecond); a.Status != AnswerNotRun {
		t.Errorf("answer %+v, want status %v", a, AnswerNotRun)
	}
}

// TestLostAnswerIsConfirmedByRow guards against callers who wait for a repeated commit
// while the row of their job is in the store.
func TestLostAnswerIsConfirmedByRow(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.setJobCommitOutcome(commitUnanswered)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	if a := sim.awaitAnswer(req, 2*confirmInterval); a.Status != AnswerOK {
		t.Errorf("answer %+v, want status %v", a, AnswerOK)
	}
}

// TestLateCommitIsNotRefused guards against "not run" for a job whose row is absent but
// whose commit the store performs later.
func TestLateCommitIsNotRefused(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.setJobCommitOutcome(commitLate)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	if a := sim.awaitAnswer(req, 3*time.Second); a.Status != AnswerUnknown {
		t.Errorf("answer %+v, want status %v", a, AnswerUnknown)
	}
	sim.waitFor(4*time.Second, "the late commit", func() bool { return sim.store.get(TableJobs, jobA) != nil })
}

// TestRequestsEndDuringStoreOutage guards against requests that are held to their deadline
// although the host knows that it cannot reach the store.
func TestRequestsEndDuringStoreOutage(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	sim.hosts[0].storeCut = true
	req := sim.request(sim.hosts[0], RequestState, "/q/"+jobA)
	sim.awaitAnswer(req, readTimeout+storeOutageTime/2)
}

// TestCancelOfAnsweredRequestIsNotWritten guards against a cancellation that is stored
// after its request has been answered as not run.
func TestCancelOfAnsweredRequestIsNotWritten(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Minute, 1000))
	s := sim.hosts[0].state
	sim.request(sim.hosts[0], RequestCancel, "/q/"+jobA)
	s.giveUpAll("test")
	sim.advance(time.Second)
	if sim.store.get(TableCancels, jobA) != nil {
		t.Error("the cancellation is stored, want none")
	}
}

// TestRequestsAreAnsweredBeforeStop guards against connections that a planned stop closes
// while their requests wait for the store.
func TestRequestsAreAnsweredBeforeStop(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.setJobCommitOutcome(commitLate)
	req := sim.submit(sim.hosts[0], jobA, singleStepJob(1, time.Second, 1000))
	state := sim.hosts[0].state
	state.requests.open[req].deadline += time.Minute // a caller with much time
	sim.hosts[0].deliver(StopRequested{})
	if r := state.requests.open[req]; r.deadline >= testBounds.StopGracePeriod*6/8+state.now {
		t.Errorf("the request may be open for another %v, want less than until the listeners are closed", r.deadline-state.now)
	}
}

// TestHostRefusedByStoreLeavesRotation guards against callers who are sent to a host that the
// store does not answer, and against one that stays out of rotation afterwards.
func TestHostRefusedByStoreLeavesRotation(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.waitForLeader()
	h := sim.hosts[0]
	h.storeCut = true
	sim.waitFor(storeFailureGrace+vacancyPollInterval, "report of a host that is not ready", func() bool { return !h.state.ready })
	h.storeCut = false
	sim.waitFor(readTimeout+2*leasePollInterval, "report of a host that is ready", func() bool { return h.state.ready })
}

// TestSubmissionWithoutTimeIsNotSent guards against an unknown outcome of a job whose
// caller leaves before a slow store can answer.
func TestSubmissionWithoutTimeIsNotSent(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	h := sim.hosts[0]
	h.state.shards.readTime = probeTimeout
	sim.lastRequest++
	h.deliver(RequestArrived{Request: sim.lastRequest, Kind: RequestSubmit, Host: "h", Path: "/q/" + jobA, Job: singleStepJob(1, time.Second, 1000), Timeout: probeTimeout})
	if a := sim.answers[sim.lastRequest]; a.Status != AnswerNotRun {
		t.Errorf("answer %+v, want status %v at once", a, AnswerNotRun)
	}
}
