package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// steadyWorld runs 8 replicas and 8 batch runs until they are steady, and counts
// the synchronizations by worker address. lose, if set, selects the answers that
// are lost.
func steadyWorld(t *testing.T, seed uint64, lose func(control.SyncWorker) bool) (*world, map[string]int) {
	w := taskWorld(seed, 1, 8)
	syncs := make(map[string]int)
	for _, n := range w.nodes {
		n.intercept = func(e control.Effect) bool {
			f, ok := e.(control.SyncWorker)
			if !ok {
				return false
			}
			syncs[f.Address]++
			if lose == nil || !lose(f) {
				return false
			}
			n.post(f.Timeout, control.WorkerSynced{Effect: f.ID, Outcome: control.OutcomeUnknown})
			return true
		}
	}
	w.apply(t, portalRow(8), batchRow("study", 8, 2000, time.Hour))
	w.expect(t, 10*time.Second, "16 run", func() bool { return len(w.runs("portal")) == 8 && len(w.runs("study")) == 8 })
	w.run(20 * time.Second)
	clear(syncs)
	return w, syncs
}

// expectNoRestarts checks that the 16 runs are still the ones that were started
// first.
func (w *world) expectNoRestarts(t *testing.T) {
	t.Helper()
	if len(w.runs("portal")) != 8 || len(w.runs("study")) != 8 {
		t.Errorf("%d and %d run, want 8 and 8", len(w.runs("portal")), len(w.runs("study")))
	}
	for ref, n := range w.started {
		if n > 1 {
			t.Errorf("%v started %d times", ref, n)
		}
	}
	if n := len(w.started); n != 16 {
		t.Errorf("%d runs were started, want 16", n)
	}
	w.check(t)
}

// TestSteadyWorkers guards against synchronizing steady workers at every step, and
// against leases that expire because they are renewed less often.
func TestSteadyWorkers(t *testing.T) {
	w, syncs := steadyWorld(t, 70, nil)
	w.run(60 * time.Second)
	for address, n := range syncs {
		if n < 15 || n > 21 {
			t.Errorf("%s was synchronized %d times in 60 s, want about 20", address, n)
		}
	}
	w.expectNoRestarts(t)
}

// TestSteadyLostAnswers guards against leases that expire because a steady worker
// is synchronized too late after answers were lost.
func TestSteadyLostAnswers(t *testing.T) {
	lost := make(map[string]int)
	lossy := false
	w, _ := steadyWorld(t, 71, func(f control.SyncWorker) bool {
		if !lossy || lost[f.Address] >= 3 {
			return false
		}
		lost[f.Address]++
		return true
	})
	lossy = true
	w.run(3 * time.Second)
	w.run(7 * time.Second) // three timeouts with a step between them
	for _, x := range w.workers {
		if len(x.runs) > 0 && lost[x.spec.Address] != 3 {
			t.Errorf("%s lost %d answers in 10 s, want 3", x.spec.Address, lost[x.spec.Address])
		}
	}
	w.run(5 * time.Second)
	if n := len(w.runs("study")); n != 8 {
		t.Errorf("%d batch runs after three lost answers, want 8", n)
	}
	w.check(t)
}

// TestSteadyWorkerRestarts guards against a restart that goes unnoticed on a worker
// that is synchronized less often.
func TestSteadyWorkerRestarts(t *testing.T) {
	w, _ := steadyWorld(t, 72, nil)
	w.busiest().restart()
	w.expect(t, 10*time.Second, "16 run again", func() bool { return len(w.runs("portal")) == 8 && len(w.runs("study")) == 8 })
	w.check(t)
}

// TestSteadyOwnerChanges guards against a new owner that treats workers as steady
// before they have answered it.
func TestSteadyOwnerChanges(t *testing.T) {
	w, syncs := steadyWorld(t, 73, nil)
	w.anyOwner().kill()
	w.run(7 * time.Second) // for the takeover
	clear(syncs)
	w.run(4 * time.Second)
	for _, x := range w.workers {
		if n := syncs[x.spec.Address]; len(x.runs) > 0 && n < 3 {
			t.Errorf("the new owner synchronized %s %d times in 4 s, want at least 3", x.spec.Address, n)
		}
	}
	w.run(20 * time.Second)
	clear(syncs)
	w.run(12 * time.Second)
	for address, n := range syncs {
		if n > 5 {
			t.Errorf("the new owner still synchronizes %s every second: %d times in 12 s", address, n)
		}
	}
	w.expectNoRestarts(t)
}

// TestThrottlingOnSteadyWorker guards against throttling batch too late because its
// worker was synchronized less often before the demand peak.
func TestThrottlingOnSteadyWorker(t *testing.T) {
	w, _ := steadyWorld(t, 74, nil)
	portal := portalRow(8)
	portal.LatencyTargetMS = 100
	latency := 10.0
	for _, x := range w.workers {
		x.usage = func(r *fakeRun) structs.UsageSample {
			return structs.UsageSample{Used: r.spec.Request, LatencyMS: latency, AgeMS: 400}
		}
	}
	w.apply(t, portal, batchRow("study", 8, 2000, time.Hour))
	w.run(30 * time.Second)
	if w.countDecisions("batch gets", "") > 0 {
		t.Error("batch was throttled without a demand peak")
	}
	latency = 200
	w.expect(t, 5*time.Second, "batch is throttled", func() bool { return w.countDecisions("batch gets", "") > 0 })
}
