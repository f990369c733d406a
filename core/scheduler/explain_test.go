package scheduler

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// explain asks a host about a job. The event goes past the simulation, which would set the
// host's timer again.
func (sim *simulation) explain(h *fakeHost, path string, job structs.Job) Explained {
	sim.t.Helper()
	submission := RequestArrived{Request: 7, Kind: RequestSubmit, Host: "h", Path: path, Job: job}
	effects := Reduce(h.state, Event{At: sim.now - h.started, Wall: sim.wall(), Body: ExplainRequested{submission}})
	if len(effects) != 1 {
		sim.t.Fatalf("%d effects of a request to explain, want 1: %v", len(effects), effects)
	}
	return effects[0].(Explained)
}

// TestExplanationMatchesSubmission guards against an explanation that says something else than
// happens when the job is submitted right after it.
func TestExplanationMatchesSubmission(t *testing.T) {
	small, large := singleStepJob(1, 3*time.Second, 1000), singleStepJob(1, 3*time.Second, 8000)
	labelled, gang, bestEffort := chainJob(time.Second, 1, "r1"), singleStepJob(3, time.Second, 8000), singleStepJob(1, time.Second, 1000)
	gang.Steps[0].Gang, bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image = true, true, "unknown"
	packed, overpacked, spread := singleStepJob(8, time.Second, 3000), singleStepJob(9, time.Second, 3000), singleStepJob(5, time.Second, 1000)
	packed.Steps[0].Gang, overpacked.Steps[0].Gang, spread.Steps[0].Gang, spread.Steps[0].PerWorker = true, true, true, 1
	later := small
	later.Repeat = &structs.Repeat{Count: 2, FirstMS: wallStart + 60_000, EveryMS: 1000}
	fill := func(sim *simulation) {
		sim.submitAndWait(sim.leader(), jobA, singleStepJob(len(sim.workers), 20*time.Second, 7000))
		sim.advance(time.Second)
	}
	for name, c := range map[string]struct {
		prepare func(*simulation)
		job     structs.Job
		want    Verdict
		reason  string // part of the reason
		out     string // an exclusion that some workers have
	}{
		"room":            {nil, small, VerdictStarts, "find room", ""},
		"label":           {nil, labelled, VerdictStarts, "find room", "lacks the label"},
		"no such label":   {nil, chainJob(time.Second, 1, "none"), VerdictWaits, "lacks the label", "lacks the label"},
		"best effort":     {nil, bestEffort, VerdictStarts, "find room", ""},
		"not due":         {nil, later, VerdictWaits, "it is due in", ""},
		"gang":            {nil, gang, VerdictStarts, "find room", ""},
		"packed gang":     {nil, packed, VerdictStarts, "find room", ""},
		"too many":        {nil, overpacked, VerdictWaits, "the gang finds no room at once", ""},
		"too few workers": {nil, spread, VerdictWaits, "the gang finds no room at once", ""},
		"full":            {fill, large, VerdictWaits, "has no room", "has no room"},
		"gang that waits": {fill, gang, VerdictWaits, "has no room", "has no room"},
		"evacuated": {func(sim *simulation) { sim.evacuate("z0"); sim.evacuate("z1"); sim.advance(time.Second) },
			small, VerdictWaits, "evacuated", "is in an evacuated zone"},
		"draining": {func(sim *simulation) {
			for _, f := range sim.workers {
				f.writeEntry(true)
			}
			sim.advance(time.Second)
		}, small, VerdictWaits, "drains", "drains"},
		"isolated": {func(sim *simulation) { l := sim.leader().state.leaderOf(0); l.workers["w00"].quarantine("test") },
			small, VerdictStarts, "find room", "is isolated"},
		"lost": {func(sim *simulation) { sim.workers["w01"].disconnected = true; sim.advance(6 * time.Second) },
			small, VerdictStarts, "find room", "does not answer, or its lists have not been read"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithBounds(t, 2, 4, 0, boundsWithReactionTimes())
			sim.waitForLeader()
			if c.prepare != nil {
				c.prepare(sim)
			}
			h := sim.leader()
			got := sim.explain(h, "/q/"+jobB, c.job)
			e := got.Explanation
			if got.Status != AnswerOK || e.Verdict != c.want || !strings.Contains(e.Reason, c.reason) {
				t.Fatalf("status %v, %s: %s", got.Status, e.Verdict, e.Reason)
			}
			step := e.Shards[0].Placement.Steps[0]
			if c.out != "" && !slices.ContainsFunc(step.Excluded, func(x ExclusionCount) bool { return x.Reason == c.out }) {
				t.Errorf("no worker %q: %+v", c.out, step.Excluded)
			}
			if step.Workers != len(sim.workers) {
				t.Errorf("%d workers, want %d", step.Workers, len(sim.workers))
			}
			sim.submitAndWait(h, jobB, c.job)
			sim.advance(300 * time.Millisecond)
			on := sim.workerRunning(structs.TaskRef{Job: jobB})
			switch {
			case (on != nil) != (c.want == VerdictStarts):
				t.Errorf("explained as %s, and started: %v", c.want, on != nil)
			case on != nil && !step.Gang && on.id != step.Best:
				t.Errorf("started on %s, explained as %s", on.id, step.Best)
			}
			if other := sim.hosts[1-slices.Index(sim.hosts, h)]; sim.explain(other, "/q/", c.job).Explanation.Verdict != VerdictAccepted {
				t.Error("a host that does not lead the shard tells where tasks start")
			}
		})
	}
}

// TestExplanationOfAdvice guards against an explanation by which workers that only lack advice
// have no room.
func TestExplanationOfAdvice(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.configureAdvisedQueue("w02")
	sim.waitForLeader()
	sim.advance(time.Second)
	e := sim.explain(sim.hosts[0], "/a/", singleStepJob(1, time.Second, 1000)).Explanation
	if want := "the advice service is asked first; 4 workers have room"; e.Verdict != VerdictWaits || e.Reason != want {
		t.Errorf("%s: %s, want waits: %s", e.Verdict, e.Reason, want)
	}
	if sim.advance(time.Second); sim.adviceRequests > 0 {
		t.Error("the explanation asked for advice")
	}
}

// TestExplanationOfShards guards against an explanation that leaves out the shard that a job is
// given to, or names one that does not come into question.
func TestExplanationOfShards(t *testing.T) {
	sim := newShardedSimulation(t, 2, 6, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	for i := range 12 {
		job := singleStepJob(1, 10*time.Second, 6000)
		if i%4 == 0 {
			job.Steps[0].Label = "r1"
		}
		var shards []int
		for _, x := range sim.explain(sim.hosts[0], "/q/", job).Explanation.Shards {
			shards = append(shards, int(x.Shard))
			if x.Leader == "" || (x.Placement != nil) != (x.Leader == sim.hosts[0].name) {
				t.Errorf("%v with the leader %q and placement %v", x.Shard, x.Leader, x.Placement)
			}
		}
		id := fmt.Sprintf("%016x", i+1)
		sim.submitAndWait(sim.hosts[0], id, job)
		row, _ := sim.store.get(TableJobs, id).(JobRow)
		if !slices.Contains(shards, row.Shard) || i%4 == 0 && len(shards) != 1 {
			t.Errorf("job %d is given to shard %d, explained as one of %v", i, row.Shard, shards)
		}
		sim.advance(100 * time.Millisecond)
	}
}

// TestExplanationOfRefusal guards against an explanation that accepts what a submission would
// be refused for, or tells another reason.
func TestExplanationOfRefusal(t *testing.T) {
	sim := newOverloadedSimulation(t, 1)
	h := sim.hosts[0]
	invalid := singleStepJob(0, time.Second, 1000)
	long := singleStepJob(1, time.Second, 1000)
	long.Steps[0].Image = strings.Repeat("x", 70_000)
	check := func(path string, job structs.Job) Explained {
		t.Helper()
		got := sim.explain(h, path, job)
		sim.lastRequest++
		sim.submittedJobs[structs.JobID(path[strings.LastIndex(path, "/")+1:])] = job
		h.deliver(RequestArrived{Request: sim.lastRequest, Kind: RequestSubmit, Host: "h", Path: path, Job: job, Timeout: 3 * time.Second})
		sim.advance(200 * time.Millisecond)
		if a := sim.answers[sim.lastRequest]; a.Status != got.Status || a.Reason != got.Reason {
			t.Errorf("%s: answer %v (%s), explained as %v (%s)", path, a.Status, a.Reason, got.Status, got.Reason)
		}
		return got
	}
	if got := check("/q/"+jobA, wideJob()); got.Explanation.Verdict != VerdictRefused || got.Explanation.Admission.AheadSeconds == 0 || got.Explanation.RetryAfterMS == 0 {
		t.Errorf("overload: %+v", got)
	}
	check("/urgent/"+jobA, wideJob())
	check("/q/"+jobB, singleStepJob(1, 100*time.Millisecond, 100))
	check("/q/"+jobC, invalid)
	check("/q/"+jobC, long)
	check("/q/not-an-id", wideJob())
	check("/nowhere/"+jobC, wideJob())
	sim.store.down = true
	sim.advance(3 * time.Second)
	check("/q/"+jobC, wideJob())
	h.start()
	check("/q/"+jobC, wideJob())
}

// TestExplanationChangesNothing guards against requests to explain that change what the host
// does afterwards: its random draws, the numbers of its effects, its timers or its decisions.
func TestExplanationChangesNothing(t *testing.T) {
	gang, bestEffort := singleStepJob(2, time.Second, 500), singleStepJob(1, time.Second, 500)
	gang.Steps[0].Gang, gang.Steps[0].Image = true, "g"
	bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image = true, "b"
	play := func(explains bool) *simulation {
		sim := newOverloadedSimulation(t, 2)
		for i := range 500 {
			sim.store.down = i > 50 // later the hosts tell that they are not ready
			for _, h := range sim.hosts {
				for _, job := range []structs.Job{wideJob(), gang, bestEffort} {
					if explains {
						sim.explain(h, "/q/", job)
						sim.explain(h, "/urgent/"+jobA, job)
					}
				}
			}
			if i%20 == 0 {
				sim.submit(sim.hosts[0], fmt.Sprintf("%016x", 0x5000+i), wideJob())
				sim.submit(sim.hosts[1], fmt.Sprintf("%016x", 0x6000+i), bestEffort)
			}
			sim.advance(7 * time.Millisecond)
		}
		return sim
	}
	with, without := play(true), play(false)
	if !slices.Equal(with.decisions, without.decisions) {
		t.Error("the decisions differ")
	}
	if !reflect.DeepEqual(with.answers, without.answers) {
		t.Error("the answers to callers differ")
	}
	for i, h := range with.hosts {
		a, b := h.state, without.hosts[i].state
		if a.randomDraws != b.randomDraws || a.lastEffect != b.lastEffect || len(a.handlers) != len(b.handlers) {
			t.Errorf("%s: %d and %d random draws, %d and %d effects", h.name, a.randomDraws, b.randomDraws, a.lastEffect, b.lastEffect)
		}
	}
}

// TestExplainedPlaceInOrder guards against a place in the order that the job would not get, since
// its slack counts on another scale than that of the jobs that wait.
func TestExplainedPlaceInOrder(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.submitAndWait(sim.leader(), jobA, persistentJob(1, 8000))
	sim.waitFor(time.Second, "the run", func() bool { return sim.runningTasks(jobA) == 1 })
	sim.submitAndWait(sim.leader(), jobB, singleStepJob(4, 3*time.Second, 1000))
	sim.advance(3 * time.Second)
	small := singleStepJob(1, 3*time.Second, 1000)
	p := sim.explain(sim.leader(), "/q/"+jobC, small).Explanation.Shards[0].Placement
	sim.submitAndWait(sim.leader(), jobC, small)
	sim.advance(100 * time.Millisecond)
	first := sim.leader().state.leaderOf(0).waitingJobs(sim.leader().state.now)[0]
	if p.JobsWaiting != 1 || p.JobsBefore != 0 || first.ID != jobC {
		t.Errorf("%d of %d jobs are explained to come first, and %s does", p.JobsBefore, p.JobsWaiting, first.ID)
	}
}

// TestExplanationRunsNoPass guards against an explanation that runs the pass which an event before
// it has requested.
func TestExplanationRunsNoPass(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	sim.advance(time.Second)
	waits := singleStepJob(1, time.Second, 1000)
	waits.ID, waits.Queue = jobA, queueName
	l := sim.leader().state.leaderOf(0)
	l.addJob(waits, 1) // it requests a pass
	sim.explain(sim.leader(), "/q/", waits)
	if l.jobs[jobA].ClaimEpoch != 0 {
		t.Error("the waiting job has been claimed")
	}
}
