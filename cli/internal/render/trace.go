package render

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
	"github.com/tamarackstep/tamarackstep/cli/internal/trace"
)

// Trace is the report of what logs tell about a subject.
type Trace struct {
	Origin
	Findings trace.Findings
	Files    []logread.FileReport
	MaxLines int // of the timeline in the table; 0: all
}

// ExitStatus implements Report.
func (t Trace) ExitStatus() int { return logsExitStatus(t.Files) }

func (t Trace) clock() clock {
	if len(t.Findings.Timeline) == 0 {
		return clock{}
	}
	return clockOf(t.Findings.Timeline[0].Event)
}

// Table implements Report.
func (t Trace) Table() string {
	var b strings.Builder
	c := t.clock()
	from, to := t.Findings.Span()
	fmt.Fprintf(&b, "%s %s, from %s to %s\n", t.Findings.Subject.Kind, t.Findings.Subject.Name, c.format(from), c.format(to))
	t.writeTimeline(&b, c)
	t.writeRuns(&b, c)
	t.writeOverlaps(&b, c)
	t.writeCauses(&b, c)
	t.writeUnseen(&b, c)
	return b.String()
}

// section writes a headline and a text, if there is one.
func section(b *strings.Builder, headline, text string) {
	if text != "" {
		fmt.Fprintf(b, "\n%s\n%s", headline, text)
	}
}

func (t Trace) writeTimeline(b *strings.Builder, c clock) {
	var rows [][]string
	for _, e := range t.Findings.Timeline {
		rows = append(rows, timelineRow(e, c))
	}
	skipped := 0
	if t.MaxLines > 0 && len(rows) > t.MaxLines {
		skipped = len(rows) - t.MaxLines
		half := t.MaxLines / 2
		rows = append(rows[:half:half], rows[half+skipped:]...)
	}
	if len(rows) == 0 {
		return
	}
	section(b, "WHAT HAPPENED (+ marks lines of workers, leaders and hosts involved)",
		table("\tAT\tHOST\tPART\tACTION\tSUBJECT\tWHERE\tREASON\tVERSION\tAGE", rows))
	if skipped > 0 {
		fmt.Fprintf(b, "%s in the middle not shown; --lines 0 shows all.\n", countNoun(skipped, "line"))
	}
}

func timelineRow(e trace.Entry, c clock) []string {
	mark, version, age := "", "", ""
	if e.Context {
		mark = "+"
	}
	if e.Version > 0 {
		version = strconv.FormatUint(e.Version, 10)
	}
	if e.Age != 0 {
		age = formatSeconds(e.Age)
	}
	return []string{
		mark, c.format(e.At), oneLine(e.Writer), oneLine(e.Part), oneLine(e.Action), oneLine(e.Subject),
		oneLine(e.Where), oneLine(e.Reason), version, age,
	}
}

// writeRuns writes the runs. Of a job with many tasks, those that ran once and were
// done are only counted.
func (t Trace) writeRuns(b *strings.Builder, c clock) {
	perTask := make(map[string]int)
	for _, r := range t.Findings.Runs {
		perTask[r.Task]++
	}
	var rows [][]string
	plain := 0
	for _, r := range t.Findings.Runs {
		if t.Findings.Subject.Kind != trace.KindTask && perTask[r.Task] == 1 && r.Outcome == "done" {
			plain++
			continue
		}
		rows = append(rows, runRow(r, c))
	}
	if len(rows) > 0 {
		section(b, "RUNS", table("TASK\tRUN\tWORKER\tLEADER\tEPOCH\tORDERED\tCONFIRMED\tSTOP ORDERED\tENDED\tOUTCOME\tREASON", rows))
	}
	if plain > 0 {
		fmt.Fprintf(b, "\n%s ran once and ended done.\n", countNoun(plain, "further task"))
	}
}

func runRow(r trace.Run, c clock) []string {
	epoch := "-"
	if r.Epoch > 0 {
		epoch = strconv.FormatUint(r.Epoch, 10)
	}
	return []string{
		oneLine(r.Task), strconv.FormatUint(r.Number, 10), oneLine(r.Worker), oneLine(cmp.Or(r.Leader, "-")), epoch,
		c.format(r.Ordered), c.format(r.Confirmed), c.format(r.StopOrdered), c.format(r.Ended), oneLine(cmp.Or(r.Outcome, "-")), oneLine(runNote(r, c)),
	}
}

// runNote returns the reason of a run's end and what else is known of it.
func runNote(r trace.Run, c clock) string {
	var notes []string
	if r.Reason != "" {
		notes = append(notes, r.Reason)
	}
	if r.Unanswered {
		notes = append(notes, "start without an answer")
	}
	if r.Kept {
		notes = append(notes, "kept when the worker started again")
	}
	if r.ListedAfter {
		notes = append(notes, "taken for lost at "+c.format(r.GivenUp)+", listed afterwards")
	}
	return strings.Join(notes, "; ")
}

func (t Trace) writeOverlaps(b *strings.Builder, c clock) {
	var text strings.Builder
	for _, o := range t.Findings.Overlaps {
		fmt.Fprintf(&text, "%s: runs %d (%s) and %d (%s) from %s to %s: %s\n", oneLine(o.Task), o.First.Number, oneLine(o.First.Worker),
			o.Second.Number, oneLine(o.Second.Worker), c.format(o.From), c.format(o.To), overlapNote(o))
	}
	section(b, "OVERLAPS", text.String())
}

func overlapNote(o trace.Overlap) string {
	switch {
	case o.Shown:
		return "shown by the lists of the first run's worker"
	case o.First.Ended.IsZero():
		return "possible, as no line shows the end of the first"
	}
	return "possible, as the first ended at some time before its end was listed"
}

func (t Trace) writeCauses(b *strings.Builder, c clock) {
	var text strings.Builder
	for _, cause := range t.Findings.Causes {
		fmt.Fprintf(&text, "%s\n  docs/OPERATIONS.md, %q%s\n", cause.Text, cause.Section, stepText(cause.Step))
		if evidence := evidenceText(cause, c); evidence != "" {
			fmt.Fprintf(&text, "  %s\n", evidence)
		}
	}
	if text.Len() == 0 && len(t.Findings.Timeline) > 0 {
		text.WriteString("None of the patterns of docs/OPERATIONS.md is in these lines.\n")
	}
	section(b, "CAUSES", text.String())
}

func stepText(step string) string {
	if step == "" {
		return ""
	}
	return ", step " + step
}

func evidenceText(cause trace.Cause, c clock) string {
	if len(cause.Lines) == 0 {
		return spanText(cause.Span, c)
	}
	first := cause.Lines[0]
	text := fmt.Sprintf("%s %s: %s", c.format(first.At), first.Writer, messageOf(first))
	if n := len(cause.Lines) - 1; n > 0 {
		text += fmt.Sprintf(" (and %s, the last at %s)", countNoun(n, "more line"), c.format(cause.Lines[n].At))
	}
	return oneLine(text)
}

// spanText returns the task and the times of a cause that no single line shows.
func spanText(s trace.Span, c clock) string {
	if s.From.IsZero() {
		return oneLine(s.Task)
	}
	return oneLine(fmt.Sprintf("%s, from %s to %s", s.Task, c.format(s.From), c.format(s.To)))
}

// messageOf returns what a line says, without its time and numbers.
func messageOf(e logline.Event) string {
	text := strings.TrimSpace(e.Part + ": " + e.Action + " " + e.Subject)
	if e.Where != "" {
		text += " (" + e.Where + ")"
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

func (t Trace) writeUnseen(b *strings.Builder, c clock) {
	var text strings.Builder
	for _, u := range t.Findings.Unseen {
		fmt.Fprintln(&text, oneLine(unseenText(u, c)))
	}
	for _, note := range fileNotes(t.Files) {
		fmt.Fprintln(&text, note)
	}
	section(b, "NOT SEEN", text.String())
}

func unseenText(u trace.Unseen, c clock) string {
	text := u.Text
	if u.Host != "" {
		text = u.Host + ": " + text
	}
	switch {
	case u.From.IsZero():
		return text
	case u.From.Equal(u.To):
		return text + " at " + c.format(u.From)
	}
	return fmt.Sprintf("%s, from %s to %s", text, c.format(u.From), c.format(u.To))
}
