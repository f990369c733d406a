package render

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Drain is the report of a drain that an entry host has begun.
type Drain struct {
	Origin
	Reply control.DrainReply
}

type drainDocument struct {
	Origin
	control.DrainReply
	ExitStatus int `json:"exit_status"`
}

// Document implements Report.
func (d Drain) Document() any { return drainDocument{d.Origin, d.Reply, ExitDone} }

// ExitStatus implements Report.
func (d Drain) ExitStatus() int { return ExitDone }

// Table implements Report.
func (d Drain) Table() string {
	return fmt.Sprintf("Drain of %s has begun: %s to hand over, %s in progress.\n"+
		"The process ends by itself when nothing is left, or after 30 s.\n",
		d.AnsweredBy, countNoun(d.Reply.Partitions, "partition"), countNoun(d.Reply.Calls, "call"))
}

// ValidSheet is the report of a check that found no faults in the sheet.
type ValidSheet struct {
	Origin
	Rows []structs.SheetRow
}

type sheetCheckDocument struct {
	Origin
	Faults     []sheet.Fault      `json:"faults"`
	Rows       []structs.SheetRow `json:"rows"`
	ExitStatus int                `json:"exit_status"`
}

// Document implements Report.
func (c ValidSheet) Document() any {
	return sheetCheckDocument{c.Origin, []sheet.Fault{}, append([]structs.SheetRow{}, c.Rows...), ExitDone}
}

// ExitStatus implements Report.
func (c ValidSheet) ExitStatus() int { return ExitDone }

// Table implements Report.
func (c ValidSheet) Table() string {
	count := make(map[structs.RowKind]int)
	for _, r := range c.Rows {
		count[r.Kind]++
	}
	return fmt.Sprintf("%s has no faults: %s (%d service, %d batch, %d team).\n", c.File, countNoun(len(c.Rows), "row"),
		count[structs.KindService], count[structs.KindBatch], count[structs.KindTeam])
}

// FaultySheet is the report of a sheet with faults. It ends a plan, an apply or
// a check before anything is sent.
type FaultySheet struct {
	Origin
	Faults []sheet.Fault
}

// Document implements Report.
func (f FaultySheet) Document() any {
	return sheetCheckDocument{f.Origin, f.Faults, []structs.SheetRow{}, ExitRefused}
}

// ExitStatus implements Report.
func (f FaultySheet) ExitStatus() int { return ExitRefused }

// Table implements Report.
func (f FaultySheet) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s has %s; nothing was sent.\n", f.File, countNoun(len(f.Faults), "fault"))
	for _, fault := range f.Faults {
		fmt.Fprintf(&b, "  %s\n", oneLine(fault.String()))
	}
	if slices.ContainsFunc(f.Faults, func(fault sheet.Fault) bool { return fault.Reason == sheet.ReasonNoTimeZone }) {
		b.WriteString("Give the deployment's time zone with --time-zone, such as Europe/Sofia or Africa/Lagos.\n")
	}
	return b.String()
}

// Failure is the report of a command without a reply: a file could not be read,
// no entry host could be reached, or the host responded with an error.
type Failure struct {
	Origin
	Status  int // exit status
	Message string
}

type failureDocument struct {
	Origin
	Error      string `json:"error"`
	ExitStatus int    `json:"exit_status"`
}

// Document implements Report.
func (f Failure) Document() any { return failureDocument{f.Origin, f.Message, f.Status} }

// ExitStatus implements Report.
func (f Failure) ExitStatus() int { return f.Status }

// Table implements Report.
func (f Failure) Table() string {
	return fmt.Sprintf("tamarackctl %s: %s\n", f.Command, strings.TrimSuffix(oneLine(f.Message), "\n"))
}
