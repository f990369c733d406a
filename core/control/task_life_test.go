package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestTaskFinishes guards against a finished task that keeps its commitment or
// runs again.
func TestTaskFinishes(t *testing.T) {
	w := taskWorld(20, 2, 8)
	w.apply(t, batchRow("study", 6, 1000, 5*time.Second))
	w.expect(t, 10*time.Second, "6 finished", func() bool { return w.inPhase("study", structs.TaskFinished) == 6 })
	w.expect(t, time.Second, "no resources are committed", func() bool { return w.committed() == structs.Resources{} })
	w.run(5 * time.Second)
	if n := len(w.started); n != 6 {
		t.Errorf("%d runs were started for 6 tasks, want 6", n)
	}
	w.check(t)
}

// TestRemovedRow guards against tasks that outlive their sheet row, and against
// ignoring a row that is added again.
func TestRemovedRow(t *testing.T) {
	w := taskWorld(21, 2, 8)
	w.apply(t, portalRow(4), batchRow("study", 3, 1000, time.Hour))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("portal")) == 4 && len(w.runs("study")) == 3 })
	w.apply(t, portalRow(4))
	w.expect(t, 10*time.Second, "study is gone", func() bool { return len(w.tasks("study")) == 0 && len(w.runs("study")) == 0 })
	w.apply(t, portalRow(4), batchRow("study", 3, 1000, time.Hour))
	w.expect(t, 5*time.Second, "study is back", func() bool { return len(w.runs("study")) == 3 })
	w.check(t)
}

// TestChangedCount guards against replicas that keep running after the count was
// lowered, or are not created after it was raised.
func TestChangedCount(t *testing.T) {
	w := taskWorld(22, 2, 8)
	w.apply(t, portalRow(6))
	w.expect(t, 5*time.Second, "6 run", func() bool { return len(w.runs("portal")) == 6 })
	w.apply(t, portalRow(2))
	w.expect(t, 10*time.Second, "2 left", func() bool { return len(w.runs("portal")) == 2 && len(w.tasks("portal")) == 2 })
	w.apply(t, portalRow(5))
	w.expect(t, 6*time.Second, "5 run", func() bool { return len(w.runs("portal")) == 5 })
	w.check(t)
}

// TestChangedRequest guards against running tasks that keep an old request: batch
// must resume from a checkpoint, replicas must be replaced one by one.
func TestChangedRequest(t *testing.T) {
	w := taskWorld(23, 2, 8)
	portal, study := portalRow(3), batchRow("study", 2, 1000, time.Hour)
	w.apply(t, portal, study)
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("portal")) == 3 && len(w.runs("study")) == 2 })
	w.run(2 * time.Second)
	portal.Request.MilliCores, study.Request.MilliCores = 1500, 2000
	w.apply(t, portal, study)
	w.expect(t, 15*time.Second, "new sizes", func() bool {
		for _, r := range w.runs("portal") {
			if r.spec.Request.MilliCores != 1500 {
				return false
			}
		}
		for _, r := range w.runs("study") {
			if r.spec.Request.MilliCores != 2000 || r.spec.ResumeFrom == "" {
				return false
			}
		}
		return len(w.runs("portal")) == 3 && len(w.runs("study")) == 2
	})
	w.check(t)
}

// TestStopAndResume guards against a stopped row whose tasks keep running, and a
// resumed row whose tasks do not run again.
func TestStopAndResume(t *testing.T) {
	w := taskWorld(24, 2, 8)
	w.apply(t, batchRow("study", 4, 1000, time.Hour), portalRow(2))
	w.expect(t, 5*time.Second, "all run", func() bool { return len(w.runs("study")) == 4 })
	w.nodes[0].apply(control.StopRequested{Request: 50, Author: "operator", Rows: []string{"study"}})
	w.expect(t, 6*time.Second, "stopped", func() bool { return w.inPhase("study", structs.TaskStopped) == 4 && len(w.runs("study")) == 0 })
	w.nodes[0].apply(control.StopRequested{Request: 51, Author: "operator", Rows: []string{"study"}, Resume: true})
	w.expect(t, 6*time.Second, "resumed", func() bool { return len(w.runs("study")) == 4 })
	w.check(t)
}

// TestLargeCount guards against one event that processes a whole large row and
// blocks the control loop: each event must make a bounded number of changes.
func TestLargeCount(t *testing.T) {
	w := taskWorld(25, 2, 8)
	most := 0
	for _, n := range w.nodes {
		n.observe = func(_ control.Event, effects []control.Effect) { most = max(most, len(effects)) }
	}
	tiny := batchRow("tiny", 3000, 1, time.Hour)
	tiny.Request.MemoryMB = 1
	w.apply(t, tiny)
	w.expect(t, 60*time.Second, "3000 tasks are placed", func() bool { return w.committed().MilliCores == 3000 })
	// 64 placements, or the starts that follow one transaction of 256 rows.
	if most > 140 {
		t.Errorf("%d effects in one event, want at most 140", most)
	}
	w.check(t)
}

// TestLostStart guards against a run that never starts, or starts twice, after
// its start command or the answer was lost.
func TestLostStart(t *testing.T) {
	w := taskWorld(26, 2, 8)
	for _, x := range w.workers {
		x.loseAnswers = 400
	}
	w.apply(t, portalRow(8))
	w.expect(t, 30*time.Second, "8 run", func() bool { return len(w.runs("portal")) == 8 })
	for _, x := range w.workers {
		x.loseAnswers = 0
	}
	// Replicas on workers that seemed unresponsive were replaced; the old ones
	// are removed.
	w.expect(t, 10*time.Second, "8 run, 8 rows", func() bool { return len(w.runs("portal")) == 8 && len(w.tasks("portal")) == 8 })
	w.check(t)
}

// TestBadJob guards against retrying a job forever that fails on every worker.
func TestBadJob(t *testing.T) {
	w := taskWorld(27, 2, 16)
	w.failingRows["broken"] = true
	w.apply(t, batchRow("broken", 1, 1000, time.Hour), batchRow("study", 6, 1000, time.Hour))
	w.expect(t, 60*time.Second, "given up", func() bool { return w.inPhase("broken", structs.TaskFailed) == 1 })
	for _, x := range w.tasks("broken") {
		if len(x.FailedOn) != 3 || x.Reason == "" {
			t.Errorf("task failed on %v with reason %q, want three workers and a reason", x.FailedOn, x.Reason)
		}
	}
	if n := len(w.runs("study")); n != 6 {
		t.Errorf("%d of 6 other tasks run", n)
	}
	w.check(t)
}

// TestNeverFits guards against a task too large for every worker that is never
// reported, or that is reported again and again.
func TestNeverFits(t *testing.T) {
	w := taskWorld(28, 2, 8)
	w.apply(t, batchRow("huge", 1, 9000, time.Hour))
	w.run(20 * time.Second)
	if n := w.countDecisions("cannot run", "huge"); n != 1 {
		t.Errorf("recorded %d times that huge cannot run, want 1", n)
	}
	w.check(t)
}

// keepsRunning fails the test when fewer than n runs of a row exist at any time
// within the given length.
func (w *world) keepsRunning(t *testing.T, row string, n int, length time.Duration) {
	t.Helper()
	for end := w.now + length; w.now < end; {
		w.run(10 * time.Millisecond)
		if got := len(w.runs(row)); got < n {
			t.Fatalf("%v: %d runs of %s, want %d: one was stopped while calls may be in progress", w.now, got, row, n)
		}
	}
}

// TestStopIsGraceful guards against a planned stop that interrupts calls in
// progress: a replica must leave the targets seconds before it is stopped.
func TestStopIsGraceful(t *testing.T) {
	w := taskWorld(29, 2, 8)
	w.apply(t, portalRow(4))
	w.expect(t, 5*time.Second, "4 run", func() bool { return len(w.runs("portal")) == 4 })
	w.run(time.Second)
	w.apply(t, portalRow(1))
	w.keepsRunning(t, "portal", 4, 4*time.Second)
	w.expect(t, 6*time.Second, "1 left", func() bool { return len(w.runs("portal")) == 1 })
	w.check(t)
}

// TestStopIsGracefulAcrossHandover guards against the same failure when another
// host takes over the partition between the new sheet and the stop.
func TestStopIsGracefulAcrossHandover(t *testing.T) {
	w := taskWorld(62, 1, 8)
	w.apply(t, portalRow(4))
	w.expect(t, 5*time.Second, "4 run", func() bool { return len(w.runs("portal")) == 4 })
	w.run(time.Second)
	w.apply(t, portalRow(1))
	w.anyOwner().apply(control.DrainRequested{})
	w.keepsRunning(t, "portal", 4, 4*time.Second)
	w.expect(t, 15*time.Second, "1 left", func() bool { return len(w.runs("portal")) == 1 })
	w.check(t)
}

// TestOwnerBehind guards against an owner that removes tasks of a newer sheet
// which it has not received before its takeover.
func TestOwnerBehind(t *testing.T) {
	w := taskWorld(30, 1, 8)
	w.apply(t, portalRow(2))
	w.expect(t, 5*time.Second, "2 run", func() bool { return len(w.runs("portal")) == 2 })
	w.run(time.Second)
	w.anyOwner().kill()
	for key, kr := range w.store.rows {
		if row, ok := kr.Row.(structs.TaskRow); ok {
			row.Generation = 9 // of a sheet that asks for two
			kr.Row = row
			w.store.rows[key] = kr
		}
	}
	w.apply(t, portalRow(1))
	w.run(20 * time.Second)
	if n := len(w.runs("portal")); n != 2 {
		t.Errorf("%d of 2 replicas of a later sheet run", n)
	}
	w.check(t)
}

// TestOwnerBehindReuse guards against reused run numbers: an owner that took over
// with an old sheet must not create a task again that the newer sheet had
// removed. TestTaskInvariants found this fault.
func TestOwnerBehindReuse(t *testing.T) {
	w := taskWorld(31, 1, 8)
	w.apply(t, batchRow("study", 4, 1000, time.Hour))
	w.expect(t, 5*time.Second, "4 run", func() bool { return len(w.runs("study")) == 4 })
	owner := w.anyOwner()
	for _, n := range w.nodes {
		// The others do not receive the next sheet.
		w.cut(n.address, "store", n != owner)
		w.cut(n.address, owner.address, n != owner)
	}
	w.sheet = []structs.SheetRow{batchRow("study", 1, 1000, time.Hour)}
	owner.applySheet(2, w.sheet...)
	w.expect(t, 10*time.Second, "1 left", func() bool { return len(w.tasks("study")) == 1 && len(w.runs("study")) == 1 })
	// They do not receive the newest sheet, and one of them takes over as soon as
	// the store is reachable again.
	w.store.down = true
	owner.kill()
	w.cuts = make(map[[2]string]bool)
	w.addNode(string(owner.host), 2)
	w.run(10 * time.Second)
	w.store.down = false
	w.run(20 * time.Second)
	if n := w.countDecisions("assigned", "study"); n != 4 {
		t.Errorf("%d assignments, want 4: the old sheet was applied again", n)
	}
	w.check(t)
}

// TestGoneBeforeStartArrives guards against treating the status "gone" as proof
// that a run has ended while its start is in transit. The first starts arrive 3 s
// late, after answers that do not contain the runs; no task may be started
// elsewhere in the meantime.
func TestGoneBeforeStartArrives(t *testing.T) {
	w := taskWorld(75, 1, 4)
	late := make(map[control.RunRef]bool)
	for _, n := range w.nodes {
		n.intercept = func(e control.Effect) bool {
			f, ok := e.(control.StartTask)
			if !ok || late[f.Ref] {
				return false
			}
			late[f.Ref] = true
			n.post(f.Timeout, control.CommandDone{Effect: f.ID, Outcome: control.OutcomeUnknown})
			w.after(3*time.Second, func() { w.workerAt(f.Address).start(f) })
			return true
		}
	}
	w.apply(t, batchRow("study", 8, 2000, time.Hour))
	w.run(20 * time.Second)
	if n := len(w.runs("study")); n != 8 || len(w.started) != 8 {
		t.Errorf("%d run after %d different runs were started, want 8 and 8", n, len(w.started))
	}
	w.check(t)
}
