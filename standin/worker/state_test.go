package worker

import (
	"net/http"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

const incarnation = "b1"

func newWorker() *State {
	return New(Options{
		Host:        wire.Host{ID: "w", Slots: 2, Connections: 4, MilliCores: 4000, MemoryMB: 4000},
		Incarnation: incarnation, CheckpointTime: 100 * time.Millisecond, UsageLag: 2 * time.Second,
	})
}

func step(s *State, at time.Duration, e Event) []Effect { return s.Step(at, at.Milliseconds(), e) }

// send applies a command and returns its answer.
func send(t *testing.T, s *State, at time.Duration, body any) exchange.Answer {
	t.Helper()
	for _, f := range step(s, at, Command{Body: body}) {
		if r, ok := f.(Reply); ok {
			return r.Answer
		}
	}
	t.Fatalf("%T was not answered", body)
	return exchange.Answer{}
}

func startRequest(epoch, run uint64, notAfter, lease time.Duration, kind structs.RowKind) wire.StartRequest {
	return wire.StartRequest{
		Owner: wire.Owner{Partition: 1, Epoch: epoch}, RunRef: wire.RunRef{Task: "t", Run: run}, Incarnation: incarnation,
		NotAfterUS: notAfter.Microseconds(), LeaseUntilUS: lease.Microseconds(),
		Spec: structs.TaskSpec{Row: "svc", Kind: kind, RunTimeMS: 4000, Command: "chunks=2"},
	}
}

func running(s *State) bool { return s.runs["t"] != nil }

// Guards against a run that outlives its lease when no one calls, and against
// a renewal that arrives after the lease ran out.
func TestLeaseExpiresWithoutCalls(t *testing.T) {
	s := newWorker()
	send(t, s, 0, startRequest(1, 1, time.Second, 3*time.Second, structs.KindService))
	if at, ok := s.NextDeadline(); !ok || at > 3*time.Second {
		t.Fatalf("next deadline %v %v, want the lease's end", at, ok)
	}
	sync := wire.SyncRequest{
		Owner: wire.Owner{Partition: 1, Epoch: 1}, Incarnation: incarnation, LeaseUntilUS: (9 * time.Second).Microseconds(),
		Runs: []wire.RunRef{{Task: "t", Run: 1}},
	}
	answer := send(t, s, 3*time.Second, sync).Body.(wire.SyncResponse)
	if running(s) || answer.Runs[0].State != structs.RunLeaseExpired {
		t.Errorf("a late renewal kept the run: %+v", answer.Runs)
	}
	if a := send(t, s, 4*time.Second, startRequest(1, 1, 9*time.Second, 9*time.Second, structs.KindService)); a.Status != http.StatusOK || running(s) {
		t.Error("an ended run started again")
	}
}

// Guards against commands of a former owner, starts that waited too long or
// were meant for an earlier incarnation, and starts that arrive after a stop.
func TestStartIsFenced(t *testing.T) {
	s := newWorker()
	send(t, s, 0, wire.SyncRequest{Owner: wire.Owner{Partition: 1, Epoch: 5}})
	if a := send(t, s, 0, startRequest(4, 1, time.Second, time.Second, structs.KindBatch)); a.Status != http.StatusConflict {
		t.Errorf("start with an old epoch: status %d", a.Status)
	}
	if a := send(t, s, 2*time.Second, startRequest(5, 1, time.Second, 9*time.Second, structs.KindBatch)); a.Status != http.StatusPreconditionFailed {
		t.Errorf("late start: status %d", a.Status)
	}
	other := startRequest(5, 1, 9*time.Second, 9*time.Second, structs.KindBatch)
	other.Incarnation = "b0"
	if a := send(t, s, 2*time.Second, other); a.Status != http.StatusPreconditionFailed {
		t.Errorf("start for another incarnation: status %d", a.Status)
	}
	send(t, s, 2*time.Second, wire.RunRequest{Owner: wire.Owner{Partition: 1, Epoch: 5}, RunRef: wire.RunRef{Task: "t", Run: 1}})
	send(t, s, 2*time.Second, startRequest(5, 1, 9*time.Second, 9*time.Second, structs.KindBatch))
	if running(s) {
		t.Error("a start after the stop of its run took effect")
	}
}

// Guards against a checkpoint that loses progress and a resumed run that
// begins from zero.
func TestCheckpointAndResume(t *testing.T) {
	s := newWorker()
	send(t, s, 0, startRequest(1, 1, time.Second, 20*time.Second, structs.KindBatch))
	ref := wire.RunRef{Task: "t", Run: 1}
	owner := wire.Owner{Partition: 1, Epoch: 1}
	send(t, s, 2*time.Second, wire.CheckpointRequest{Owner: owner, RunRef: ref, Object: "checkpoints/t/1"})
	var object string
	var body []byte
	for _, f := range step(s, 2200*time.Millisecond, TimerFired{}) {
		if w, ok := f.(WriteObject); ok {
			object, body = w.Name, w.Body
		}
	}
	step(s, 2300*time.Millisecond, ObjectWritten{Name: object, OK: true})
	if st := s.ended["t"]; st.State != structs.RunCheckpointed || st.Checkpoint != "checkpoints/t/1" || st.Progress != 0.5 {
		t.Fatalf("status after the checkpoint: %+v, want it checkpointed at progress 0.5", st)
	}
	resume := startRequest(1, 2, 9*time.Second, 20*time.Second, structs.KindBatch)
	resume.Spec.ResumeFrom = object
	send(t, s, 3*time.Second, resume)
	step(s, 3*time.Second, ObjectRead{Name: object, Body: body})
	step(s, 5100*time.Millisecond, TimerFired{})
	if st := s.ended["t"]; st.State != structs.RunSucceeded || st.Run != 2 {
		t.Errorf("resumed run: %+v, running %v; want run 2 succeeded", st, running(s))
	}
}

// Guards against calls beyond the slots, calls to a replica that does not run
// on the worker, and calls that outlive their replica.
func TestAdmissionAndAbortedCalls(t *testing.T) {
	s := newWorker()
	send(t, s, 0, startRequest(1, 1, time.Second, 20*time.Second, structs.KindService))
	admitted := func(id exchange.ID, task string) bool {
		for _, f := range step(s, time.Second, CallArrived{Exchange: id, Service: "svc", Task: task, Key: "k"}) {
			if r, ok := f.(Reply); ok && !r.Refused {
				t.Errorf("a refusal that is not marked as refused: %+v", r)
			}
			if _, ok := f.(Admit); ok {
				return true
			}
		}
		return false
	}
	if !admitted(1, "t") || !admitted(2, "") || admitted(3, "t") || len(s.executions) != 2 || s.executionsByKey["k"] != 2 {
		t.Fatalf("with 2 slots: %d calls and %d executions, want 2 of each", len(s.calls), len(s.executions))
	}
	step(s, time.Second, CallEnded{Exchange: 1})
	if admitted(4, "another") || !admitted(5, "t") {
		t.Error("the replica or the free slot was not found")
	}
	aborted := 0
	for _, f := range step(s, 2*time.Second, Command{Body: wire.RunRequest{Owner: wire.Owner{Partition: 1, Epoch: 1}, RunRef: wire.RunRef{Task: "t", Run: 1}}}) {
		if _, ok := f.(AbortCall); ok {
			aborted++
		}
	}
	if aborted != 2 || len(s.calls) != 0 {
		t.Errorf("the stop aborted %d calls, %d are left; want 2 and 0", aborted, len(s.calls))
	}
}

// Guards against usage samples that are newer than the lag allows.
func TestUsageLags(t *testing.T) {
	s := newWorker()
	send(t, s, 0, startRequest(1, 1, time.Second, 20*time.Second, structs.KindService))
	sync := wire.SyncRequest{Owner: wire.Owner{Partition: 1, Epoch: 1}}
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		usage := send(t, s, at, sync).Body.(wire.SyncResponse).Usage
		for _, u := range usage {
			if u.AgeMS < 2000 {
				t.Errorf("at %v: a sample is only %d ms old, want at least 2000", at, u.AgeMS)
			}
		}
		if at >= 3*time.Second && len(usage) == 0 {
			t.Errorf("at %v: no sample, want one that is at least 2000 ms old", at)
		}
	}
}
