package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestOverloadDegrades guards against a leader that orders more starts than it can
// send. The load is a burst of 50 jobs of 20 tasks at a host that sends 200 starts a
// second, five times as many tasks as it can send before a start times out, and an
// urgent job half a second later. No start may time out unsent, and the urgent job
// passes the tasks that wait.
func TestOverloadDegrades(t *testing.T) {
	const (
		startTime   = 5 * time.Millisecond
		urgentLimit = 3300 * time.Millisecond / 4 // a quarter of the target for urgent work
	)
	sim := newSimulation(t, 1, 40)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 2, Queues: []structs.Queue{
			{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second, Priority: 2}},
			{Name: "urgent", Host: "h", PathPrefix: "/u/", Policy: structs.Policy{Service: serviceName, Attempts: 3, Stretch: 2, Slack: time.Second}},
		},
	}})
	sim.waitForLeader()
	h := sim.hosts[0]
	h.startTime = startTime
	for i := range 50 {
		sim.submit(h, fmt.Sprintf("%016x", i+1), singleStepJob(20, 100*time.Millisecond, 200))
	}
	sim.advance(500 * time.Millisecond)
	const urgent = "00000000000000ff"
	job := singleStepJob(4, 100*time.Millisecond, 200)
	sim.submittedJobs[urgent] = job
	sim.lastRequest++
	h.deliver(RequestArrived{Request: sim.lastRequest, Kind: RequestSubmit, Host: "h", Path: "/u/" + urgent, Job: job, Timeout: 3 * time.Second})
	sim.waitFor(urgentLimit, "the end of the urgent job", func() bool { return sim.jobState(urgent) == structs.JobCompleted })
	sim.waitFor(15*time.Second, "the end of all jobs", func() bool {
		for i := range 50 {
			if sim.jobState(fmt.Sprintf("%016x", i+1)) != structs.JobCompleted {
				return false
			}
		}
		return true
	})
	if sim.startsNotSent > 0 {
		t.Errorf("%d starts timed out before they were sent", sim.startsNotSent)
	}
}

// TestStartWindowSettles guards against a limit that oscillates, falls to its
// minimum for good, or is lowered by workers that do not answer.
func TestStartWindowSettles(t *testing.T) {
	var w startWindow
	w.init()
	const perSecond = 800.0
	now, sentAt := Instant(0), []*run{}
	var lowest, highest float64
	for step := range 20_000 {
		now += time.Millisecond
		for !w.full() {
			r := &run{startSentAt: now}
			w.sent(r, now)
			sentAt = append(sentAt, r)
		}
		// The sender answers four starts in 5 ms, in the order in which they were sent.
		if len(sentAt) > 0 && step%5 != 0 {
			w.answered(sentAt[0], CommandDone{Outcome: structs.OutcomeDone}, now)
			sentAt = sentAt[1:]
		}
		if step == 10_000 {
			lowest, highest = w.limit, w.limit
		}
		if step > 10_000 {
			lowest, highest = min(lowest, w.limit), max(highest, w.limit)
		}
	}
	if want := perSecond * startDelayTarget.Seconds(); lowest < want/2 || highest > 2*want {
		t.Errorf("limit between %.0f and %.0f, want about %.0f", lowest, highest, want)
	}
	before := w.limit
	for range 50 {
		r := &run{startSentAt: now}
		w.sent(r, now)
		w.answered(r, CommandDone{Outcome: structs.OutcomeUnknown}, now+commandTimeout)
	}
	if w.limit != before {
		t.Errorf("limit %.0f after workers that did not answer, want %.0f", w.limit, before)
	}
}
