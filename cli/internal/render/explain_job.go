package render

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
)

// ExplainJob is the report of what would happen to a job that is not submitted.
type ExplainJob struct {
	Origin
	Explanation scheduler.Explanation
}

type explainJobDocument struct {
	Origin
	scheduler.Explanation
	ExitStatus int `json:"exit_status"`
}

// Document implements Report.
func (e ExplainJob) Document() any { return explainJobDocument{e.Origin, e.Explanation, ExitDone} }

// ExitStatus implements Report.
func (e ExplainJob) ExitStatus() int { return ExitDone }

// Table implements Report.
func (e ExplainJob) Table() string {
	var b strings.Builder
	x := e.Explanation
	fmt.Fprintf(&b, "The job would %s: %s\n", cmp.Or(verdictTexts[x.Verdict], oneLine(string(x.Verdict))), oneLine(x.Reason))
	if x.Verdict == scheduler.VerdictAccepted {
		b.WriteString("Only the leader of a shard knows its workers: give the metrics listeners of all hosts with --host.\n")
	}
	if x.RetryAfterMS > 0 {
		fmt.Fprintf(&b, "Callers are told to retry after %s, and up to half as long again.\n", formatMS(x.RetryAfterMS))
	}
	admissionAge := ""
	if x.Admission.AgeMS > 0 {
		admissionAge = formatAge(x.Admission.AgeMS)
	}
	b.WriteString("\n" + table("INPUT\tVALUE\tAGE", [][]string{
		{"host", oneLine(x.Host), ""},
		{"configuration", strconv.FormatUint(x.Configuration, 10), ""},
		{"queue", oneLine(x.Queue), ""},
		{"service", oneLine(x.Service), ""},
		{"priority", strconv.Itoa(x.Priority), ""},
		{"refusal for lack of room", admissionText(x.Admission), admissionAge},
		{"loads of the shards", "", formatAge(x.LoadsAgeMS)},
	}))
	if len(x.Shards) > 0 {
		var rows [][]string
		for _, s := range x.Shards {
			rows = append(rows, []string{strconv.Itoa(int(s.Shard)), cmp.Or(oneLine(s.Leader), "none"), yesNo(s.HasRoom), strconv.FormatInt(s.RoomLeft, 10), formatAge(s.LoadAgeMS), placementText(s)})
		}
		section(&b, "SHARDS", table("SHARD\tLEADER\tROOM\tLEFT\tLOAD AGE\tTASKS", rows))
	}
	for _, s := range x.Shards {
		if s.Placement != nil && len(s.Placement.Steps) > 0 {
			section(&b, fmt.Sprintf("SHARD %d", s.Shard), placementTable(s.Placement))
		}
	}
	return b.String()
}

var verdictTexts = map[scheduler.Verdict]string{
	scheduler.VerdictStarts:   "start now",
	scheduler.VerdictWaits:    "wait",
	scheduler.VerdictDepends:  "start now or wait",
	scheduler.VerdictAccepted: "be accepted",
	scheduler.VerdictRefused:  "be refused",
}

func admissionText(a scheduler.AdmissionExplanation) string {
	if !a.Applies {
		return "does not apply"
	}
	text := oneLine(a.Reason)
	if a.CompletionMS > 0 {
		text += fmt.Sprintf(": %d core-seconds ahead, done after %s, without value after %s", a.AheadSeconds, formatMS(a.CompletionMS), formatMS(a.LimitMS))
	}
	return text
}

// placementText sums up what the leader of a shard tells, if it is the host that answers.
func placementText(s scheduler.ShardExplanation) string {
	p := s.Placement
	switch {
	case p == nil && s.Leader == "":
		return "wait for a leader"
	case p == nil:
		return "its leader knows"
	case p.Blocked != "":
		return oneLine(p.Blocked)
	}
	return fmt.Sprintf("%d of %s first", p.JobsBefore, countNoun(p.JobsWaiting, "waiting job"))
}

func placementTable(p *scheduler.PlacementExplanation) string {
	var rows [][]string
	for _, s := range p.Steps {
		what := fmt.Sprintf("takes a task (best: %s, score %.2f, lists %s old)", oneLine(string(s.Best)), s.Score, formatAge(s.ListsAgeMS))
		if s.Accepting == 0 {
			what = "takes a task"
		}
		rows = append(rows, []string{strconv.Itoa(s.Step), strconv.Itoa(s.Tasks), strconv.Itoa(s.Accepting), what})
		for _, x := range s.Excluded {
			rows = append(rows, []string{"", "", strconv.Itoa(x.Workers), oneLine(x.Reason)})
		}
		if s.Gang && !s.GangFits {
			rows = append(rows, []string{"", "", "", "the gang does not fit at once"})
		}
	}
	text := table("STEP\tTASKS\tWORKERS\tEACH", rows)
	if p.StepsLeftOut > 0 {
		text += countNoun(p.StepsLeftOut, "further step") + " not shown\n"
	}
	return text + fmt.Sprintf("The list of workers is %s old, the operator's table %s.\n", formatAge(p.WorkersAgeMS), formatAge(p.OperatorAgeMS))
}

// formatAge formats an age in milliseconds; a negative one is not known.
func formatAge(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return formatMS(ms)
}

func formatMS(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
