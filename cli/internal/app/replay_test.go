package app

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/record"
)

// writeLog writes an event log to a file: the start of a process, a drain
// request, and the given events.
func writeLog(t *testing.T, more ...control.EventBody) (file string) {
	var log bytes.Buffer
	w := record.NewWriter(&log)
	events := append([]control.EventBody{
		control.Started{Host: "e1", Instance: "i", Address: "10.0.0.1:1", Partitions: 2}, control.DrainRequested{},
	}, more...)
	for i, body := range events {
		w.Write(control.Event{At: time.Duration(i) * 1500 * time.Millisecond, Body: body})
	}
	if err := w.Err(); err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(t.TempDir(), "events.jsonl")
	if err := os.WriteFile(file, log.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestReplay guards against a replay that shows other decisions than the log
// leads to, and against a damaged or incompatible log whose error does not say
// where the replay stopped.
func TestReplay(t *testing.T) {
	file := writeLog(t)
	status, stdout, stderr := run(t, nil, "replay", file, "--subject", "e1")
	if status != 0 || !strings.Contains(stdout, "1.500 s  partition  e1       planned stop begins") || !strings.Contains(stdout, "2 events replayed") {
		t.Errorf("exit status %d, stdout %s, stderr %s", status, stdout, stderr)
	}
	var document struct {
		Decisions []struct {
			AtMS   int64 `json:"at_ms"`
			Action string
		}
	}
	_, stdout, _ = run(t, nil, "replay", file, "--subject", "other", "-o", "json")
	if err := json.Unmarshal([]byte(stdout), &document); err != nil || document.Decisions == nil || len(document.Decisions) > 0 {
		t.Errorf("subject without decisions: got %s (error %v), want an empty list of decisions", stdout, err)
	}
	damaged := filepath.Join(t.TempDir(), "damaged")
	if err := os.WriteFile(damaged, []byte("{\"type\":\"TimerFired\",\"body\":{}}\n{\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	// The first effect of a process reads a row, which a Committed event cannot
	// complete.
	incompatible := writeLog(t, control.Committed{Effect: 1})
	for path, want := range map[string]string{damaged: "line 2", incompatible: "after 2 events: the log does not fit this version", "missing": "no such file"} {
		if status, _, stderr := run(t, nil, "replay", path); status != render.ExitUsage || !strings.Contains(stderr, want) {
			t.Errorf("%s: exit status %d, want %d; stderr %s, want %q in it", path, status, render.ExitUsage, stderr, want)
		}
	}
}

// TestReplayOutput guards against unintended changes of the table and the JSON
// of a replay.
func TestReplayOutput(t *testing.T) {
	report := render.Replay{
		Origin: render.Origin{Command: "replay", File: "events.jsonl"}, Events: 12345, DroppedDecisions: 50000,
		Effects: map[string]int{"StartTask": 4, "DecisionRecord": 1},
		Decisions: []render.ReplayedDecision{{At: 61500 * time.Millisecond, Record: control.DecisionRecord{
			Part: "placement", Action: "assigned", Subject: "portal.0", Where: "w7", Reason: "least interference", Request: "portal.0",
		}}},
	}
	goldie.New(t).Assert(t, "replay.table", []byte(report.Table()))
	goldie.New(t).Assert(t, "replay.json", []byte(render.JSON(report)))
}
