package render

import (
	"fmt"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Finding holds the state that the command read after a change whose outcome is
// unknown. The change itself is not sent again.
type Finding struct {
	AnsweredBy     string             `json:"answered_by,omitempty"`
	Generation     structs.Generation `json:"generation"`
	StoreReachable bool               `json:"store_reachable"`
	Compared       bool               `json:"compared"`        // a plan compared the sheet with the generation in force
	Differences    int                `json:"differences"`     // changes of the sheet that are not in force; valid when Compared
	Error          string             `json:"error,omitempty"` // why the status could not be read
}

// InForce reports whether the sheet's changes are known to be in force.
func (f Finding) InForce() bool { return f.Error == "" && f.Compared && f.Differences == 0 }

// UnknownOutcome is the report of an apply, stop, resume or drain that may or may
// not have taken effect.
type UnknownOutcome struct {
	Origin
	Reason   string
	Reply    control.ApplyReply // set when the entry host itself replied that the outcome is unknown
	RowNames []string           // rows to stop or resume
	Finding  Finding
}

// Document implements Report.
func (u UnknownOutcome) Document() any {
	outcome, reply, changes := "unknown", u.Reply, u.Reply.Changes
	if u.Finding.Error == "" {
		reply.Generation = u.Finding.Generation
	}
	if u.Finding.InForce() {
		outcome, reply.Accepted = "done", true
	}
	if changes == nil {
		changes = []control.RowChange{}
	}
	return changeDocument{
		Origin: u.Origin, ApplyReply: reply, Changes: changes, Outcome: outcome, Finding: &u.Finding, Error: u.Reason,
		ExitStatus: u.ExitStatus(),
	}
}

// ExitStatus implements Report.
func (u UnknownOutcome) ExitStatus() int {
	if u.Finding.InForce() {
		return ExitDone
	}
	return ExitUnknown
}

// Table implements Report.
func (u UnknownOutcome) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "The outcome of this %s is unknown: %s.\n", u.Command, strings.TrimSuffix(u.Reason, "."))
	b.WriteString("It was not sent again. The status was read instead:\n")
	f := u.Finding
	if f.Error != "" {
		fmt.Fprintf(&b, "  %s\n", f.Error)
	} else {
		fmt.Fprintf(&b, "  %s: generation %d is in force; table service reachable: %s\n", f.AnsweredBy, f.Generation, yesNo(f.StoreReachable))
	}
	b.WriteString(u.nextStep())
	return b.String()
}

// nextStep returns the lines that tell the operator the result of the comparison
// and what to do next.
func (u UnknownOutcome) nextStep() string {
	f := u.Finding
	switch {
	case f.InForce():
		return fmt.Sprintf("  compared with the sheet: no difference\nDone: %s is in force.\n", u.File)
	case u.Command == "apply" && f.Compared:
		return fmt.Sprintf("  compared with the sheet: %s not in force\n"+
			"The change may still be accepted. Wait a minute, then: tamarackctl plan %s\n", countNoun(f.Differences, "change"), shellWord(u.File))
	case u.Command == "apply":
		return fmt.Sprintf("The change may be in force, or may still be accepted. Before applying again: tamarackctl plan %s\n", shellWord(u.File))
	case u.Command == "drain":
		return "A repeated drain of the same entry host does no harm.\n"
	}
	return fmt.Sprintf("A repeated %s of the same rows does no harm: %s\n", u.Command, strings.Join(u.RowNames, ", "))
}
