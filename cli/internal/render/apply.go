package render

import (
	"fmt"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Change is the report of a plan, apply, stop or resume to which an entry host
// replied.
type Change struct {
	Origin
	Author   string
	Reply    control.ApplyReply
	Rows     []structs.SheetRow // the operator's sheet; nil for a stop or resume
	RowNames []string           // rows to stop or resume
	TimeZone *time.Location     // for deadlines; nil: UTC
}

// changeDocument is the JSON of a Change and of an UnknownOutcome.
type changeDocument struct {
	Origin
	control.ApplyReply
	Changes    []control.RowChange `json:"changes"`
	Outcome    string              `json:"outcome"` // planned, done, not done, unknown
	Finding    *Finding            `json:"finding,omitempty"`
	Error      string              `json:"error,omitempty"`
	ExitStatus int                 `json:"exit_status"`
}

// Document implements Report.
func (c Change) Document() any {
	d := changeDocument{
		Origin: c.Origin, ApplyReply: c.Reply, Changes: c.Reply.Changes, ExitStatus: c.ExitStatus(), Outcome: "not done",
	}
	switch {
	case c.isPlan() && c.Reply.Reason == "":
		d.Outcome = "planned"
	case c.Reply.Accepted:
		d.Outcome = "done"
	}
	if d.Changes == nil {
		d.Changes = []control.RowChange{}
	}
	return d
}

// ExitStatus implements Report.
func (c Change) ExitStatus() int {
	if c.Reply.Accepted || c.isPlan() && c.Reply.Reason == "" {
		return ExitDone
	}
	return ExitRefused
}

func (c Change) isPlan() bool { return c.Command == "plan" }

// Table implements Report.
func (c Change) Table() string {
	switch {
	case len(c.Reply.Conflicts) > 0:
		return c.conflictText()
	case c.Reply.Reason != "" || !c.Reply.Accepted && !c.isPlan():
		return c.refusalText()
	case c.isPlan():
		return c.planText()
	case c.Rows == nil:
		return fmt.Sprintf("Done: %s %s. Generation %d is in force.\n", c.Command, strings.Join(c.RowNames, ", "), c.Reply.Generation)
	case len(c.Reply.Changes) == 0:
		return fmt.Sprintf("Done: the sheet changes nothing. Generation %d stays in force.\n", c.Reply.Generation)
	}
	return fmt.Sprintf("Done: %s is in force as generation %d.\n\n%s\n%s.\n",
		c.File, c.Reply.Generation, changeTable(c.Reply.Changes, c.TimeZone), countChanges(c.Reply.Changes))
}

func (c Change) planText() string {
	r := c.Reply
	if len(r.Changes) == 0 {
		return fmt.Sprintf("%s changes nothing: generation %d is the same.\n", c.File, r.Generation)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Plan of %s against generation %d:\n\n", c.File, r.Base)
	b.WriteString(changeTable(r.Changes, c.TimeZone))
	fmt.Fprintf(&b, "\n%s.\n", countChanges(r.Changes))
	if r.RunningRowsRemoved > 0 {
		fmt.Fprintf(&b, "The sheet removes %d of %s.\n", r.RunningRowsRemoved, countNoun(r.RunningRows, "running row"))
	}
	fmt.Fprintf(&b, "Nothing was changed. To put it in force: %s\n", c.applyCommand(uint64(r.Base)))
	return b.String()
}

// applyCommand returns the command line that puts the sheet in force.
func (c Change) applyCommand(base uint64) string {
	text := "tamarackctl apply " + shellWord(c.File)
	if base > 0 {
		text += fmt.Sprintf(" --base %d", base)
	}
	if c.Reply.ConfirmRemovals > 0 {
		text += fmt.Sprintf(" --confirm-removals %d", c.Reply.ConfirmRemovals)
	}
	return text
}

func (c Change) refusalText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Refused: %s.\nNothing was changed. Generation %d is in force.\n", reasonOrDefault(c.Reply.Reason), c.Reply.Generation)
	if n := c.Reply.ConfirmRemovals; n > 0 {
		b.WriteString("\n" + changeTable(removedRows(c.Reply.Changes), c.TimeZone))
		fmt.Fprintf(&b, "\nTo remove these rows: %s\n", c.applyCommand(uint64(c.Reply.Base)))
	}
	return b.String()
}

func reasonOrDefault(reason string) string {
	if reason == "" {
		return "the entry host gave no reason"
	}
	return strings.TrimSuffix(reason, ".")
}

func removedRows(changes []control.RowChange) []control.RowChange {
	var removed []control.RowChange
	for _, c := range changes {
		if c.Kind == sheet.Removed {
			removed = append(removed, c)
		}
	}
	return removed
}

// conflictText shows, for each row in conflict, the other operator's change
// beside that of the sheet.
func (c Change) conflictText() string {
	r := c.Reply
	other := r.OtherAuthor
	if other == "" {
		other = "another operator"
	}
	var rows [][]string
	for _, conflict := range r.Conflicts {
		rows = append(rows, []string{oneLine(conflict.Name), conflict.Kind + ": " + describeChange(conflict, c.TimeZone), c.describeOwnRow(conflict)})
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Conflict: %s.\nNothing was changed. Generation %d by %s is in force.\n\n", reasonOrDefault(r.Reason), r.Generation, other)
	b.WriteString(table("ROW\tOTHER CHANGE SINCE GENERATION "+fmt.Sprint(r.Base)+"\tYOUR SHEET", rows))
	fmt.Fprintf(&b, "\nCopy the other change into your sheet, or agree on the row with the other operator. Then: tamarackctl plan %s\n", shellWord(c.File))
	return b.String()
}

// describeOwnRow describes how the operator's sheet changes a row in conflict.
func (c Change) describeOwnRow(conflict control.RowChange) string {
	own, ok := sheet.Find(c.Rows, conflict.Name)
	switch {
	case !ok:
		return "no such row"
	case conflict.Before == nil:
		return describeRow(own, c.TimeZone)
	}
	if text := describeDifferences(*conflict.Before, own, c.TimeZone); text != "" {
		return text
	}
	return "unchanged"
}
