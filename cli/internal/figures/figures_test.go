package figures

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const (
	testJob  = "00000000000000aa"
	testTask = testJob + ".0.0.0"
)

// event returns an event at a number of milliseconds.
func event(atMS int64, writer, part, action, subject, where string) logline.Event {
	line := logline.Line{Part: part, Action: action, Subject: subject, Where: where, Version: 2, Reason: "shard 0"}
	return logline.Event{Line: line, At: time.UnixMilli(atMS), Writer: writer}
}

func collect(events ...logline.Event) Figures {
	c := NewCollector()
	for _, e := range events {
		c.Add(e)
	}
	return c.Figures()
}

// TestRecoveries guards against recoveries that are measured from or to a wrong line.
func TestRecoveries(t *testing.T) {
	accepted := event(0, "c", "request", "job accepted", testJob, "")
	firstStart := event(100, "a", "task", "start ordered", testTask, "i-1")
	secondStart := event(3000, "b", "task", "start ordered", testTask, "i-2")
	takesOver := []logline.Event{event(2500, "b", "leader", "took the lead", "b", "shard 0"),
		event(2600, "b", "leader", "state read from the store", "b", "shard 0"), secondStart}
	before := []logline.Event{event(-500, "a", "leader", "took the lead", "a", "shard 0"), accepted, firstStart}
	for name, c := range map[string]struct {
		events []logline.Event
		want   map[RecoveryKind]time.Duration
	}{
		"leader lost": {append(before[:3:3], takesOver...), map[RecoveryKind]time.Duration{LeaderLostToState: 2500, LeaderLostToStart: 2900}},
		"leader stopped": {append(append(before[:3:3], event(2000, "a", "leader", "gave up the lead", "a", "shard 0")), takesOver...),
			map[RecoveryKind]time.Duration{LeaderGaveUpToStart: 1000}},
		"worker lost": {append(before[:3:3], event(1000, "a", "worker", "does not answer", "i-1", ""), event(2000, "a", "task", "run lost", testTask, "i-1"),
			event(2100, "a", "task", "start ordered", testTask, "i-2")), map[RecoveryKind]time.Duration{WorkerLostToStart: 1100}},
		"worker restarted": {append(before[:3:3], event(1000, "a", "worker", "started again", "i-1", ""), event(1000, "a", "task", "run lost", testTask, "i-1"),
			event(1010, "a", "task", "start ordered", testTask, "i-2")), map[RecoveryKind]time.Duration{WorkerRestartToStart: 10}},
		"store back": {append(before[:3:3], event(200, "c", "store", "store call failed", "c", ""), event(900, "c", "store", "store reached", "c", ""),
			event(1000, "c", "request", "job accepted", "00000000000000bb", "")), map[RecoveryKind]time.Duration{StoreBackToService: 100}},
	} {
		got := collect(c.events...).Recoveries
		if len(got) != len(c.want) {
			t.Errorf("%s: got %+v, want %v", name, got, c.want)
		}
		for _, r := range got {
			if want := c.want[r.Kind] * time.Millisecond; r.Times.Cases != 1 || r.Times.Max != want {
				t.Errorf("%s: %s is %+v, want %s", name, r.Kind, r.Times, want)
			}
		}
	}
}

// TestQueue guards against a queue that keeps jobs which were started, cancelled or
// accepted twice, and against a wait that is lost where the clock of the leader is behind.
func TestQueue(t *testing.T) {
	f := collect(event(0, "a", "request", "job accepted", testJob, ""), event(10, "b", "request", "job accepted", testJob, ""),
		event(20, "a", "request", "job accepted", "00000000000000bb", ""), event(30, "a", "job", "job cancelled", "00000000000000bb", ""),
		event(40, "a", "task", "start ordered", testTask, "i-1"), event(50, "a", "task", "start ordered", "00000000000000cc.0.0.0", "i-1"),
		event(60, "b", "request", "job accepted", "00000000000000cc", ""), event(70, "b", "request", "job accepted", "00000000000000dd", ""))
	if f.Accepted != 4 || f.Started != 2 || f.WorstQueue != 2 || f.Wait.Max != 40*time.Millisecond {
		t.Errorf("got %+v, want 4 jobs accepted, 2 started, a queue of 2 and a wait of 40 ms", f)
	}
}

// TestBuckets guards against intervals that grow without limit over a long time.
func TestBuckets(t *testing.T) {
	c := NewCollector()
	for i := range int64(5 * maxBuckets) {
		c.Add(event(i*1000, "a", "task", "start ordered", testTask, "i-1"))
	}
	f, starts := c.Figures(), 0
	for _, b := range f.Buckets {
		starts += b.Starts
	}
	if len(f.Buckets) > maxBuckets || starts != 5*maxBuckets || f.BucketWidth != 8*time.Second {
		t.Errorf("%d intervals of %s with %d starts, want at most %d of 8 s with %d", len(f.Buckets), f.BucketWidth, starts, maxBuckets, 5*maxBuckets)
	}
}
