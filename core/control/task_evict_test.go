package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestUrgentEvicts guards against urgent work that waits for batch that fills
// every worker, and against evicted work that loses its checkpoint or resumes
// twice.
func TestUrgentEvicts(t *testing.T) {
	w := taskWorld(60, 1, 8)
	study := batchRow("study", 16, 4000, time.Hour)
	w.apply(t, study)
	w.expect(t, 10*time.Second, "16 run", func() bool { return len(w.runs("study")) == 16 })
	w.run(10 * time.Second)
	settle := batchRow("settle", 2, 4000, 20*time.Second)
	settle.Importance = structs.ImportanceUrgent
	w.apply(t, study, settle)
	w.expect(t, 3300*time.Millisecond, "2 urgent tasks run", func() bool { return len(w.runs("settle")) == 2 })
	if n := w.countDecisions("evicted", "study"); n != 2 {
		t.Errorf("%d tasks were evicted for 2 urgent ones", n)
	}
	w.expect(t, 40*time.Second, "16 run again", func() bool { return len(w.runs("study")) == 16 })
	resumed := 0
	for _, r := range w.runs("study") {
		if r.spec.ResumeFrom != "" {
			resumed++
		}
	}
	if resumed != 2 || len(w.started) != 20 {
		t.Errorf("%d resumed from a checkpoint, want 2; %d starts, want 20", resumed, len(w.started))
	}
	w.check(t)
}

// TestEvictionSurvivesOwner guards against evicted work that is lost when its
// owner dies between the eviction and the end of the checkpoint.
func TestEvictionSurvivesOwner(t *testing.T) {
	w := taskWorld(61, 1, 8)
	study := batchRow("study", 16, 4000, time.Hour)
	w.apply(t, study)
	w.expect(t, 10*time.Second, "16 run", func() bool { return len(w.runs("study")) == 16 })
	w.run(10 * time.Second)
	settle := batchRow("settle", 2, 4000, time.Minute)
	settle.Importance = structs.ImportanceUrgent
	w.apply(t, study, settle)
	w.expect(t, 5*time.Second, "evicting", func() bool { return w.inPhase("study", structs.TaskEvicting) > 0 })
	w.anyOwner().kill()
	w.expect(t, 15*time.Second, "2 urgent tasks run", func() bool { return len(w.runs("settle")) == 2 })
	w.expect(t, 90*time.Second, "16 run again", func() bool { return len(w.runs("study")) == 16 })
	w.check(t)
}

// TestForeignCheckpoint guards against accepting a checkpoint of another run than
// the one in the task's row, from another worker, or under another name.
func TestForeignCheckpoint(t *testing.T) {
	w := taskWorld(64, 1, 8)
	w.apply(t, batchRow("study", 2, 4000, time.Hour))
	w.expect(t, 10*time.Second, "2 run", func() bool { return len(w.runs("study")) == 2 })
	for _, row := range w.tasks("study") {
		for _, x := range w.workers {
			st := structs.RunStatus{Task: row.Task, Run: row.Run, State: structs.RunCheckpointed, Checkpoint: "checkpoints/forged"}
			if x.spec.ID == row.Worker {
				st.Run-- // an older run, on the right worker
			}
			x.extraStatuses = append(x.extraStatuses, st)
		}
	}
	w.run(5 * time.Second)
	for _, row := range w.tasks("study") {
		if row.Phase != structs.TaskAssigned || row.Checkpoint != "" {
			t.Errorf("a checkpoint of another run or worker was accepted: %+v", row)
		}
	}
	row := w.tasks("study")[0]
	x := w.workerAt(string(row.Worker))
	x.extraStatuses = []structs.RunStatus{{Task: row.Task, Run: row.Run, State: structs.RunCheckpointed, Checkpoint: "checkpoints/forged"}}
	w.run(2 * time.Second)
	if row := w.tasks("study")[0]; row.Checkpoint != "" {
		t.Errorf("a checkpoint under another name was accepted: %+v", row)
	}
}

// TestTaskReplay guards against nondeterminism: the recorded events of all entry
// hosts, including learning, evictions, failures and a takeover, must give the
// same effects, byte for byte, in new reducers.
func TestTaskReplay(t *testing.T) {
	w := newWorld(65, 2)
	w.recording = true
	w.addHosts(8)
	portal, settle := portalRow(4), batchRow("settle", 3, 7000, 10*time.Second)
	portal.LatencyTargetMS, settle.Importance = 50, structs.ImportanceUrgent
	study, broken := batchRow("study", 20, 2500, time.Hour), batchRow("broken", 2, 500, time.Hour)
	w.failingRows["broken"] = true
	for _, x := range w.workers {
		x.usage = func(r *fakeRun) structs.UsageSample {
			return structs.UsageSample{Used: r.spec.Request, LatencyMS: float64(20 * len(x.runs)), AgeMS: 400}
		}
	}
	w.apply(t, portal, study, broken)
	w.run(20 * time.Second)
	w.apply(t, portal, study, broken, settle)
	w.run(5 * time.Second)
	w.workers[1].dead = true
	w.anyOwner().kill()
	w.run(40 * time.Second)
	if w.countDecisions("evicted", "") == 0 || w.countDecisions("batch gets", "") == 0 || w.countDecisions("replaced", "") == 0 {
		t.Error("nothing was evicted, throttled or replaced, so the test covers too little")
	}
	for _, n := range w.nodes {
		fresh := control.NewState()
		for i, ev := range n.events {
			if got := render(control.Reduce(fresh, ev)); got != n.rendered[i] {
				t.Fatalf("%s, event %d %T: effects differ\n got %s\nwant %s", n.host, i, ev.Body, got, n.rendered[i])
			}
		}
	}
	w.check(t)
}

// TestStuckCheckpoint guards against a run that never finishes its checkpoint and
// keeps its commitment: it must be stopped after checkpointTimeout.
func TestStuckCheckpoint(t *testing.T) {
	w := taskWorld(62, 1, 8)
	w.apply(t, batchRow("study", 8, 4000, time.Hour))
	w.expect(t, 10*time.Second, "8 run", func() bool { return len(w.runs("study")) == 8 })
	x := w.busiest()
	x.noCheckpoints = true
	x.spec.State = structs.HostLeaving
	w.run(5 * time.Second)
	if len(x.runs) == 0 {
		t.Error("the runs were stopped before checkpointTimeout")
	}
	w.expect(t, 15*time.Second, "8 run elsewhere", func() bool { return len(x.runs) == 0 && len(w.runs("study")) == 8 })
	w.check(t)
}

// TestBatchThrottling guards against a service that misses its latency target because of
// batch on the same worker: batch must be throttled first, checkpointed only when
// that is not enough, and restored after the demand peak.
func TestBatchThrottling(t *testing.T) {
	w := taskWorld(63, 1, 4)
	portal := portalRow(4)
	portal.LatencyTargetMS = 50
	w.apply(t, portal, batchRow("study", 8, 2000, time.Hour))
	w.expect(t, 10*time.Second, "all run", func() bool { return len(w.runs("portal")) == 4 && len(w.runs("study")) == 8 })
	latency := func(x *fakeWorker, r *fakeRun) float64 {
		busy := 0.0
		for _, other := range x.runs {
			if other.spec.Kind == structs.KindBatch {
				busy += other.share
			}
		}
		return 20 + 40*busy
	}
	for _, x := range w.workers {
		x.usage = func(r *fakeRun) structs.UsageSample {
			if r.spec.Kind != structs.KindService {
				return structs.UsageSample{Used: r.spec.Request}
			}
			return structs.UsageSample{Used: r.spec.Request, LatencyMS: latency(x, r), AgeMS: 500}
		}
	}
	evictionsFirst := false
	w.expect(t, 60*time.Second, "latency within the target everywhere", func() bool {
		evictionsFirst = evictionsFirst || w.countDecisions("evicted", "study") > 0 && w.countDecisions("batch gets 50%", "") == 0
		for _, x := range w.workers {
			for _, r := range x.runs {
				if r.spec.Kind == structs.KindService && latency(x, r) > 50 {
					return false
				}
			}
		}
		return true
	})
	if evictionsFirst {
		t.Error("batch was checkpointed before it was throttled")
	}
	for _, x := range w.workers {
		x.usage = func(r *fakeRun) structs.UsageSample {
			return structs.UsageSample{Used: r.spec.Request, LatencyMS: 20, AgeMS: 500}
		}
	}
	w.expect(t, 2*time.Minute, "batch runs unthrottled again", func() bool {
		for _, r := range w.runs("study") {
			if r.share != 1 {
				return false
			}
		}
		return len(w.runs("study")) == 8
	})
	w.check(t)
}

// Guards against checkpoints that fill the object store because nothing deletes those
// that no row names any more, and against the loss of one that a row still names.
func TestUnusedCheckpointsAreDeleted(t *testing.T) {
	w := taskWorld(64, 2, 8)
	study, gone := batchRow("study", 8, 2000, 2*time.Minute), batchRow("gone", 4, 1000, time.Hour)
	w.apply(t, study, gone)
	w.expect(t, 10*time.Second, "all run", func() bool { return len(w.runs("study"))+len(w.runs("gone")) == 12 })
	written := make(map[string]bool)
	for round := range 8 {
		for i, x := range w.workers {
			x.spec.State = structs.HostLive
			if i%2 == round%2 {
				x.spec.State = structs.HostLeaving
			}
		}
		w.run(15 * time.Second)
		for name := range w.checkpoints {
			written[name] = true
		}
		if len(w.checkpoints) > 12 {
			t.Errorf("%d checkpoints of 12 tasks in round %d", len(w.checkpoints), round)
		}
	}
	w.apply(t, study)
	w.expect(t, 5*time.Minute, "all are finished", func() bool { return w.inPhase("study", structs.TaskFinished) == 8 })
	w.expect(t, 30*time.Second, "the removed tasks are gone", func() bool { return len(w.tasks("gone")) == 0 })
	w.run(5 * time.Second)
	if len(written) < 24 || len(w.checkpoints) > 0 {
		t.Errorf("%d checkpoints were written, want 24 or more; %d are left", len(written), len(w.checkpoints))
	}
	w.check(t)
}
