package render

import (
	"fmt"
	"sort"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// ReplayedDecision is a decision that the reducer made during a replay.
type ReplayedDecision struct {
	At     control.Instant // time since the start of the recorded process
	Record control.DecisionRecord
}

// Replay is the report of a replayed event log.
type Replay struct {
	Origin
	Events           int
	Effects          map[string]int // number of effects by type
	Decisions        []ReplayedDecision
	DroppedDecisions int // decisions before the first in Decisions, dropped to bound memory
}

type decisionDocument struct {
	AtMS int64 `json:"at_ms"`
	decisionRecordDocument
}

type replayDocument struct {
	Origin
	Events     int                `json:"events"`
	Effects    map[string]int     `json:"effects"`
	Decisions  []decisionDocument `json:"decisions"` // oldest first
	Dropped    int                `json:"dropped"`
	ExitStatus int                `json:"exit_status"`
}

// Document implements Report.
func (r Replay) Document() any {
	d := replayDocument{Origin: r.Origin, Events: r.Events, Effects: r.Effects, Decisions: []decisionDocument{}, Dropped: r.DroppedDecisions}
	for _, x := range r.Decisions {
		d.Decisions = append(d.Decisions, decisionDocument{x.At.Milliseconds(), newDecisionRecordDocument(x.Record)})
	}
	return d
}

// ExitStatus implements Report.
func (r Replay) ExitStatus() int { return ExitDone }

// Table implements Report.
func (r Replay) Table() string {
	var b strings.Builder
	var rows [][]string
	for _, d := range r.Decisions {
		x := d.Record
		at := fmt.Sprintf("%.3f s", d.At.Seconds())
		rows = append(rows, []string{at, x.Part, oneLine(x.Subject), oneLine(x.Action), oneLine(x.Where), oneLine(x.Reason), oneLine(x.Request)})
	}
	if r.DroppedDecisions > 0 {
		fmt.Fprintf(&b, "%d earlier decisions are not shown.\n", r.DroppedDecisions)
	}
	if len(rows) > 0 {
		b.WriteString(table("AT\tPART\tSUBJECT\tDECISION\tWHERE\tREASON\tREQUEST", rows) + "\n")
	}
	var names, counts []string
	for name := range r.Effects {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		counts = append(counts, fmt.Sprintf("%d %s", r.Effects[name], name))
	}
	fmt.Fprintf(&b, "%s replayed; effects: %s.\n", countNoun(r.Events, "event"), orNone(strings.Join(counts, ", ")))
	return b.String()
}
