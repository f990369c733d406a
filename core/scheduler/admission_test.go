package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// admissionQueues is a configuration in which two queues of different priorities share a
// service.
func admissionQueues() ConfigurationRow {
	queue := func(name, prefix string, priority int) structs.Queue {
		return structs.Queue{Name: name, Host: "h", PathPrefix: prefix, Policy: structs.Policy{
			Service: serviceName, Priority: priority, Attempts: 3, Stretch: 1, Slack: 15 * time.Second,
		}}
	}
	return ConfigurationRow{structs.QueueConfiguration{Number: 2, Queues: []structs.Queue{queue(queueName, "/q/", 2), queue("urgent", "/urgent/", 0)}}}
}

// newOverloadedSimulation returns a simulation in which 100 s of small jobs wait for one worker that
// holds eight of their tasks, and whose leader has measured its rate of work.
func newOverloadedSimulation(t *testing.T, hosts int) *simulation {
	sim := newSimulation(t, hosts, 1)
	sim.store.set(TableOperator, KeyConfiguration, admissionQueues())
	sim.waitForLeader()
	for i := range 8 {
		sim.submitAndWait(sim.hosts[0], fmt.Sprintf("%016x", i), singleStepJob(8, time.Second, 1000))
		sim.advance(time.Second)
	}
	sim.submitSmallJobs(0x1000, 100)
	sim.advance(time.Second)
	return sim
}

// submitSmallJobs submits jobs of eight core-seconds at host 0.
func (sim *simulation) submitSmallJobs(first, jobs int) {
	for i := range jobs {
		sim.submit(sim.hosts[0], fmt.Sprintf("%016x", first+i), singleStepJob(8, time.Second, 1000))
	}
}

// wideJob is worth nothing once the small ones before it are done.
func wideJob() structs.Job { return singleStepJob(32, time.Second, 1000) }

// submitForAnswer submits a job and returns the answer.
func (sim *simulation) submitForAnswer(h *fakeHost, id string, job structs.Job) Answer {
	req := sim.submit(h, id, job)
	sim.advance(200 * time.Millisecond)
	return sim.answers[req]
}

// TestWorthlessJobIsRefused guards against jobs that wait until they are worthless, against a
// refused job that runs, and against the refusal of urgent, persistent, repeated or small jobs.
func TestWorthlessJobIsRefused(t *testing.T) {
	sim := newOverloadedSimulation(t, 2)
	got := sim.submitForAnswer(sim.hosts[1], jobA, wideJob())
	if got.Status != AnswerNotRun || got.RetryAfter < minRefusalRetry || got.RetryAfter > 2*maxRefusalRetry {
		t.Fatalf("answer %+v, want not run with a delay", got)
	}
	if !slices.ContainsFunc(sim.decisions, func(line string) bool {
		return strings.Contains(line, "not admitted "+jobA) && strings.Contains(line, "core-seconds ahead")
	}) {
		t.Error("no decision line with the inputs")
	}
	persistent, repeated := wideJob(), wideJob()
	persistent.Steps[0].Persistent = true
	repeated.Repeat = &structs.Repeat{Count: 1, FirstMS: sim.wall() + 60_000}
	for id, job := range map[string]structs.Job{jobB: persistent, "00000000000000cc": repeated, "00000000000000dd": singleStepJob(1, time.Second, 1000)} {
		if got := sim.submitForAnswer(sim.hosts[1], id, job); got.Status != AnswerOK {
			t.Errorf("job %s: %+v, want ok", id, got)
		}
	}
	sim.lastRequest++
	sim.hosts[1].deliver(RequestArrived{Request: sim.lastRequest, Kind: RequestSubmit, Host: "h", Path: "/urgent/00000000000000ee", Job: wideJob(), Timeout: time.Second})
	sim.submittedJobs["00000000000000ee"], sim.submissions["00000000000000ee"] = wideJob(), []RequestID{sim.lastRequest}
	sim.advance(200 * time.Millisecond)
	if got := sim.answers[sim.lastRequest]; got.Status != AnswerOK {
		t.Errorf("urgent job: %+v, want ok", got)
	}
	sim.advance(2 * time.Minute)
	if sim.store.get(TableJobs, jobA) != nil {
		t.Error("the refused job is stored")
	}
}

// TestAcceptedJobIsConfirmedAgain guards against "not run" for a job that is stored: its
// caller submits it again, at another host, when the backlog has grown.
func TestAcceptedJobIsConfirmedAgain(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.store.set(TableOperator, KeyConfiguration, admissionQueues())
	sim.waitForLeader()
	sim.submitSmallJobs(0, 1)
	sim.advance(rateWarmUp + time.Second)
	sim.submitAndWait(sim.hosts[0], jobA, wideJob())
	sim.submitSmallJobs(0x1000, 100)
	sim.advance(time.Second)
	// Both are decided by the same loads.
	newJob, again := sim.submit(sim.hosts[1], jobB, wideJob()), sim.submit(sim.hosts[1], jobA, wideJob())
	sim.advance(200 * time.Millisecond)
	if got := sim.answers[newJob]; got.Status != AnswerNotRun {
		t.Fatalf("answer %+v to a new job, want not run", got)
	}
	if got := sim.answers[again]; got.Status != AnswerOK {
		t.Errorf("answer %+v to the accepted job, want ok", got)
	}
}

// TestUnknownLoadAccepts guards against refusals by a load that says nothing about now.
func TestUnknownLoadAccepts(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation, leader *fakeHost){
		"leader frozen": func(sim *simulation, leader *fakeHost) {
			sim.hosts[1].state.stopping, sim.hosts[1].state.answerBy = true, time.Hour // does not take over
			leader.frozen = true
			sim.advance(maxLoadAge + time.Second)
		},
		"leader new": func(sim *simulation, leader *fakeHost) {
			leader.kill()
			sim.waitFor(10*time.Second, "a new leader", func() bool { return sim.leader() != nil && sim.leader().state.leaderOf(0).isLoaded() })
			sim.advance(time.Second)
		},
		"load unreadable": func(sim *simulation, leader *fakeHost) {
			sim.hosts[1].state.stopping, sim.hosts[1].state.answerBy = true, time.Hour
			leader.kill()
			sim.store.version++
			sim.store.put(fakeRowID{TableShards, loadPartition, ShardID(0).loadKey()}, WorkerRow{})
			sim.advance(maxLoadAge + time.Second)
		},
		"load missing": func(sim *simulation, _ *fakeHost) { sim.hosts[1].state.shards.loads = map[ShardID]ShardLoadRow{} },
		"host just started": func(sim *simulation, _ *fakeHost) {
			sim.hosts[1].kill()
			sim.hosts[1].start()
			sim.advance(time.Second)
		},
		"store failed a moment ago": func(sim *simulation, _ *fakeHost) {
			sim.hosts[1].storeCut = true
			sim.advance(3 * time.Second)
			sim.hosts[1].storeCut = false
			sim.advance(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newOverloadedSimulation(t, 2)
			leader := sim.leader()
			if leader == sim.hosts[1] {
				sim.hosts[0], sim.hosts[1] = sim.hosts[1], sim.hosts[0]
			}
			disturb(sim, leader)
			if got := sim.submitForAnswer(sim.hosts[1], jobA, wideJob()); got.Status != AnswerOK {
				t.Errorf("answer %+v, want ok", got)
			}
		})
	}
}

// TestRefusalWithoutStoreAccepts guards against "not run" without having read whether the
// job is stored.
func TestRefusalWithoutStoreAccepts(t *testing.T) {
	sim := newOverloadedSimulation(t, 2)
	sim.hosts[1].storeCut = true // the read of the job row gets no answer
	req := sim.submit(sim.hosts[1], jobA, wideJob())
	sim.advance(100 * time.Millisecond)
	sim.hosts[1].storeCut = false
	sim.advance(3 * time.Second)
	if got := sim.answers[req]; got.Status == AnswerNotRun {
		t.Errorf("answer %+v, and the job row was not read", got)
	}
}

// TestSubmissionInFlightIsNotRefused guards against "not run" for a job whose earlier
// submission at the same host has no answer from the store yet, which performs it late.
func TestSubmissionInFlightIsNotRefused(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.store.set(TableOperator, KeyConfiguration, admissionQueues())
	sim.waitForLeader()
	sim.submitSmallJobs(0, 1)
	sim.advance(rateWarmUp + time.Second)
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		if row, ok := e.Writes[0].Value.(JobRow); ok && row.ID == jobA {
			return commitLate
		}
		return commitAnswered
	}
	sim.submit(sim.hosts[1], jobA, wideJob())
	sim.submitSmallJobs(0x1000, 100)
	sim.advance(commitTimeout - 250*time.Millisecond)
	again := sim.submit(sim.hosts[1], jobA, wideJob())
	if got := sim.submitForAnswer(sim.hosts[1], jobB, wideJob()); got.Status != AnswerNotRun {
		t.Fatalf("answer %+v to a new job, want not run", got)
	}
	sim.advance(5 * time.Second)
	if got := sim.answers[again].Status; got == AnswerNotRun || sim.store.get(TableJobs, jobA) == nil {
		t.Errorf("answer %v to a job that is stored later", got)
	}
}
