package trace

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const (
	testTask = "00000000000000aa.0.0.0"
	second   = time.Second
)

// analyse returns the findings about testTask. The events get its name where they
// are about a task.
func analyse(events ...logline.Event) Findings {
	survey := NewSurvey(Subject{KindTask, testTask})
	for i := range events {
		if events[i].Part == "task" {
			events[i].Subject = testTask
		}
		survey.Add(events[i])
	}
	gather := NewGather(survey, 5*second)
	for _, e := range events {
		gather.Add(e)
	}
	return Analyse(gather)
}

func event(at time.Duration, writer, part, action, where string, version uint64) logline.Event {
	line := logline.Line{Part: part, Action: action, Where: where, Version: version}
	return logline.Event{Line: line, At: time.Unix(0, 0).Add(at), Writer: writer}
}

func listsRead(at time.Duration, writer, worker string) logline.Event {
	e := event(at, writer, "worker", "lists read", "", 2)
	e.Subject = worker
	return e
}

// TestRuns guards against a wrong end, epoch or overlap of the runs of a task.
func TestRuns(t *testing.T) {
	start := event(0, "a", "task", "start ordered", "i-1", 1)
	again := event(3*second, "b", "task", "start ordered", "i-2", 2001)
	for name, c := range map[string]struct {
		events   []logline.Event
		outcome  string // of the first run
		overlaps int
		shown    bool
	}{
		"open":       {[]logline.Event{start, again}, "", 1, false},
		"ended":      {[]logline.Event{start, event(second, "a", "task", "end listed: done", "i-1", 1), again}, "done", 0, false},
		"refused":    {[]logline.Event{start, event(5*second, "a", "task", "start refused", "i-1", 1), again}, OutcomeRefused, 0, false},
		"lost":       {[]logline.Event{start, event(second, "a", "task", "run lost", "i-1", 1), again}, OutcomeLost, 0, false},
		"not listed": {[]logline.Event{start, listsRead(2*second, "b", "i-1"), again}, OutcomeNotListed, 0, false},
		"adopted": {[]logline.Event{start, event(2*second, "b", "task", "run adopted", "i-1", 1), listsRead(2*second, "b", "i-1"), again},
			"", 1, false},
		"listed after loss": {[]logline.Event{start, event(second, "a", "task", "run lost", "i-1", 1), again,
			event(5*second, "b", "task", "end listed: stopped", "i-1", 1)}, "stopped", 1, true},
	} {
		f := analyse(c.events...)
		if len(f.Runs) != 2 || f.Runs[0].Outcome != c.outcome {
			t.Errorf("%s: runs %+v, want the outcome %q of the first of two", name, f.Runs, c.outcome)
		}
		if len(f.Overlaps) != c.overlaps || c.overlaps > 0 && f.Overlaps[0].Shown != c.shown {
			t.Errorf("%s: overlaps %+v, want %d, shown %t", name, f.Overlaps, c.overlaps, c.shown)
		}
	}
}

// TestEpoch guards against a run that is put under the epoch of a former lead.
func TestEpoch(t *testing.T) {
	took := func(at time.Duration, writer string, epoch uint64) logline.Event {
		return event(at, writer, "leader", "took the lead", "shard 0", epoch)
	}
	f := analyse(took(-1000*second, "a", 1), took(second, "b", 2), event(2*second, "b", "task", "start ordered", "i-1", 1),
		event(3*second, "a", "task", "start ordered", "i-2", 2))
	if f.Runs[0].Epoch != 2 || f.Runs[1].Epoch != 1 {
		t.Errorf("epochs of the runs are %d and %d, want 2 and 1", f.Runs[0].Epoch, f.Runs[1].Epoch)
	}
}
