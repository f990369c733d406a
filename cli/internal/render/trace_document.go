package render

import (
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
	"github.com/tamarackstep/tamarackstep/cli/internal/trace"
)

type traceDocument struct {
	Origin
	Subject    trace.Subject        `json:"subject"`
	Timeline   []entryDocument      `json:"timeline"`
	Runs       []runDocument        `json:"runs"`
	Overlaps   []overlapDocument    `json:"overlaps"`
	Causes     []causeDocument      `json:"causes"`
	Unseen     []unseenDocument     `json:"unseen"`
	Files      []logread.FileReport `json:"files"`
	ExitStatus int                  `json:"exit_status"`
}

type entryDocument struct {
	At       string `json:"at"`
	Host     string `json:"host"`
	Part     string `json:"part"`
	Action   string `json:"action"`
	Subject  string `json:"subject,omitempty"`
	Where    string `json:"where,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	AgeMS    int64  `json:"age_ms,omitempty"`
	Involved bool   `json:"involved"`
}

type runDocument struct {
	Task        string `json:"task"`
	Run         uint64 `json:"run"`
	Worker      string `json:"worker"`
	Leader      string `json:"leader,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	Ordered     string `json:"ordered,omitempty"`
	Confirmed   string `json:"confirmed,omitempty"`
	StopOrdered string `json:"stop_ordered,omitempty"`
	Ended       string `json:"ended,omitempty"`
	Outcome     string `json:"outcome,omitempty"`
	Note        string `json:"note,omitempty"`
}

type overlapDocument struct {
	Task  string    `json:"task"`
	Runs  [2]uint64 `json:"runs"`
	From  string    `json:"from"`
	To    string    `json:"to,omitempty"`
	Shown bool      `json:"shown"`
}

type causeDocument struct {
	Cause   string `json:"cause"`
	Section string `json:"section"`
	Step    string `json:"step,omitempty"`
	Task    string `json:"task,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Lines   int    `json:"lines"`
	First   string `json:"first,omitempty"`
}

type unseenDocument struct {
	Host string `json:"host,omitempty"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	Text string `json:"text"`
}

// Document implements Report.
func (t Trace) Document() any {
	c, f := t.clock(), t.Findings
	d := traceDocument{
		Origin: t.Origin, Subject: f.Subject, Timeline: []entryDocument{}, Runs: []runDocument{}, Overlaps: []overlapDocument{},
		Causes: []causeDocument{}, Unseen: []unseenDocument{}, Files: t.Files, ExitStatus: t.ExitStatus(),
	}
	for _, e := range f.Timeline {
		d.Timeline = append(d.Timeline, entryDocument{
			c.document(e.At), e.Writer, e.Part, e.Action, e.Subject, e.Where, e.Reason, e.Version, e.Age.Milliseconds(), e.Context,
		})
	}
	for _, r := range f.Runs {
		d.Runs = append(d.Runs, newRunDocument(r, c))
	}
	for _, o := range f.Overlaps {
		d.Overlaps = append(d.Overlaps, overlapDocument{o.Task, [2]uint64{o.First.Number, o.Second.Number}, c.document(o.From), c.document(o.To), o.Shown})
	}
	for _, cause := range f.Causes {
		d.Causes = append(d.Causes, newCauseDocument(cause, c))
	}
	for _, u := range f.Unseen {
		d.Unseen = append(d.Unseen, unseenDocument{u.Host, c.document(u.From), c.document(u.To), u.Text})
	}
	return d
}

func newRunDocument(r trace.Run, c clock) runDocument {
	return runDocument{
		Task: r.Task, Run: r.Number, Worker: r.Worker, Leader: r.Leader, Epoch: r.Epoch, Ordered: c.document(r.Ordered), Confirmed: c.document(r.Confirmed),
		StopOrdered: c.document(r.StopOrdered), Ended: c.document(r.Ended), Outcome: r.Outcome, Note: runNote(r, c),
	}
}

func newCauseDocument(cause trace.Cause, c clock) causeDocument {
	d := causeDocument{Cause: cause.Text, Section: cause.Section, Step: cause.Step, Task: cause.Span.Task, From: c.document(cause.Span.From), To: c.document(cause.Span.To), Lines: len(cause.Lines)}
	if d.Lines > 0 {
		d.First = c.document(cause.Lines[0].At) + " " + cause.Lines[0].Writer + ": " + messageOf(cause.Lines[0])
	}
	return d
}
