package app

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/record"
)

// maxDecisions bounds the memory of a replay: the log of a busy day leads to
// millions of decisions. The newest are kept.
const maxDecisions = 100_000

// replayFile replays the event log that the command names.
func replayFile(c command.Replay, origin render.Origin) render.Report {
	origin.File = c.File
	f, err := os.Open(c.File)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	defer f.Close()
	report, err := replay(f, c.Subject)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: fmt.Sprintf("%s: after %d events: %s", c.File, report.Events, err)}
	}
	report.Origin = origin
	return report
}

// replay applies recorded events to an empty state and collects the reducer's
// decisions about a subject; an empty subject means all. A log that was recorded
// with an incompatible version of the reducer is an error.
func replay(log io.Reader, subject string) (report render.Replay, err error) {
	defer func() {
		// The reducer panics on an event whose type does not match the effect
		// that it completes.
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("the log does not fit this version: %v", panicValue)
		}
	}()
	report.Effects = make(map[string]int)
	reader, state := record.NewReader(log), control.NewState()
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return report, nil
		}
		if err != nil {
			return report, err
		}
		for _, effect := range control.Reduce(state, ev) {
			report.Effects[strings.TrimPrefix(fmt.Sprintf("%T", effect), "control.")]++
			if d, ok := effect.(control.DecisionRecord); ok && concerns(d, subject) {
				appendDecision(&report, render.ReplayedDecision{At: ev.At, Record: d})
			}
		}
		report.Events++
	}
}

// appendDecision adds a decision to the report. At maxDecisions it first drops
// the older half.
func appendDecision(report *render.Replay, d render.ReplayedDecision) {
	if len(report.Decisions) == maxDecisions {
		report.DroppedDecisions += maxDecisions / 2
		report.Decisions = append([]render.ReplayedDecision(nil), report.Decisions[maxDecisions/2:]...)
	}
	report.Decisions = append(report.Decisions, d)
}

// concerns reports whether a decision is about a subject: the subject is named
// in it as subject, worker, target, peer or request, or is the row of its task.
func concerns(d control.DecisionRecord, subject string) bool {
	return subject == "" || d.Subject == subject || d.Where == subject || d.Request == subject ||
		strings.HasPrefix(d.Subject, subject+".")
}
