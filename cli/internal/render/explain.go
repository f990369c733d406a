package render

import (
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Explain is the report of the decisions about a subject.
type Explain struct {
	Origin
	Reply control.ExplainReply
}

type decisionRecordDocument struct {
	Part    string `json:"part"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
	Where   string `json:"where,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Request string `json:"request,omitempty"`
}

func newDecisionRecordDocument(r control.DecisionRecord) decisionRecordDocument {
	return decisionRecordDocument{r.Part, r.Action, r.Subject, r.Where, r.Reason, r.Request}
}

type explainDocument struct {
	Origin
	Subject    string                   `json:"subject"`
	Summary    string                   `json:"summary"`
	Records    []decisionRecordDocument `json:"records"` // oldest first
	ExitStatus int                      `json:"exit_status"`
}

// Document implements Report.
func (e Explain) Document() any {
	d := explainDocument{
		Origin: e.Origin, Subject: e.Reply.Subject, Summary: e.Reply.Summary, Records: []decisionRecordDocument{}, ExitStatus: ExitDone,
	}
	for _, r := range e.Reply.Records {
		d.Records = append(d.Records, newDecisionRecordDocument(r))
	}
	return d
}

// ExitStatus implements Report.
func (e Explain) ExitStatus() int { return ExitDone }

// Table implements Report.
func (e Explain) Table() string {
	text := fmt.Sprintf("%s: %s\n", oneLine(e.Reply.Subject), oneLine(e.Reply.Summary))
	if len(e.Reply.Records) == 0 {
		return text + fmt.Sprintf("Each entry host keeps only its own decisions, in memory. To search all of them, give every entry host with --host. This answer is from %s.\n", e.AnsweredBy)
	}
	var rows [][]string
	for _, r := range e.Reply.Records {
		rows = append(rows, []string{r.Part, oneLine(r.Subject), oneLine(r.Action), oneLine(r.Where), oneLine(r.Reason), oneLine(r.Request)})
	}
	return text + fmt.Sprintf("\nDecisions of %s, oldest first:\n", e.AnsweredBy) + table("PART\tSUBJECT\tDECISION\tWHERE\tREASON\tREQUEST", rows)
}
