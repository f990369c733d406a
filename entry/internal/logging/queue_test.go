package logging

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"regexp"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/core/control"
)

const testTimeout = 20 * time.Second

var timestamp = regexp.MustCompile(`time=\S+ `)

// Guards against unintended changes of decision lines, which operators search for.
func TestDecisionLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(16)
	log := q.Logger(&out, slog.LevelInfo, FormatText)
	for _, d := range []control.DecisionRecord{
		{Part: "routing", Action: "dispatched", Subject: "q-1", Where: "w07", Reason: "least loaded", Request: "q-1"},
		{Part: "placement", Action: "placed", Subject: "night.3", Where: "w02", Reason: "fits, \"coolest\" rack", Request: "night.3"},
		{Part: "partition", Action: "planned stop begins", Subject: "entry-1"},
	} {
		LogControlDecision(log, d)
	}
	log.Debug("not at this level")
	q.Close(testTimeout)
	goldie.New(t).Assert(t, "decisions", timestamp.ReplaceAll(out.Bytes(), nil))
}

// Guards against lines that tools cannot decode: values keep their types and texts their
// quotes.
func TestJSONLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(16)
	q.Logger(&out, slog.LevelInfo, FormatJSON).Info("task: start ordered", "subject", `a "quoted" text`, "age_ms", 12)
	q.Close(testTimeout)
	var line struct {
		Message string `json:"msg"`
		Subject string `json:"subject"`
		AgeMS   int    `json:"age_ms"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Message != "task: start ordered" || line.Subject != `a "quoted" text` || line.AgeMS != 12 {
		t.Errorf("decoded %+v", line)
	}
}

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	writing chan struct{}
	release chan struct{}
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	select {
	case s.writing <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(b)
}

// Guards against a slow log file that blocks the control loop, and against lines
// that are dropped without being counted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	out := &blockedWriter{writing: make(chan struct{}, 1), release: make(chan struct{})}
	q := NewQueue(2)
	log := q.Logger(out, slog.LevelInfo, FormatText)
	log.Info("first")
	<-out.writing
	for range 5 {
		log.Info("more")
	}
	if q.Dropped() != 3 {
		t.Errorf("dropped %d lines, want 3", q.Dropped())
	}
	close(out.release)
	q.Close(testTimeout)
	goldie.New(t).Assert(t, "dropped", timestamp.ReplaceAll(out.Bytes(), nil))
}
