package trace

import (
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// Cause is what docs/OPERATIONS.md says about lines or findings of a trace.
type Cause struct {
	Section string // of docs/OPERATIONS.md
	Step    string // of the section; empty: the section has no numbered steps
	Text    string
	Lines   []logline.Event // the lines that speak for it, oldest first
	Span    Span            // of the worst case, where no single line shows the cause
}

// Span is a time of a task; Task is empty and the times are zero where they are not known.
type Span struct {
	Task     string
	From, To time.Time
}

// finding is a pattern over several lines.
type finding string

const (
	noLine          finding = "no line"
	overlapShown    finding = "overlap shown"
	overlapPossible finding = "overlap possible"
	startedLate     finding = "started late"
	nextRunLate     finding = "next run late"
	neverStarted    finding = "never started"
)

// lateStart is the wait from acceptance to the first start of a job, or from the end
// of a run to the next of its task, from which the start counts as late.
const lateStart = 2 * time.Second

// rule maps a pattern to a cause and to its place in docs/OPERATIONS.md. A pattern is
// either a line, by the start of its part, action and reason, or a finding.
type rule struct {
	section, step        string
	part, action, reason string
	minVersion           uint64
	context              bool // the line is one of a worker, leader or host that was involved
	finding              finding
	cause                string
}

// Sections of docs/OPERATIONS.md.
const (
	sectionRejected = "1. A job was not accepted"
	sectionLate     = "2. A job was accepted but late, or failed"
	sectionAway     = "3. A persistent task was away, or served slowly"
	sectionLead     = "Who leads, and store outages"
	sectionTrace    = "From an id to its cause with one command"
)

// rules are the patterns of docs/OPERATIONS.md, in the order in which their causes
// are shown.
var rules = []rule{
	{section: sectionTrace, step: "1", finding: overlapShown, cause: "two runs of one task overlapped: the leader took the first for lost, and its worker listed it afterwards"},
	{section: sectionTrace, step: "1", finding: overlapPossible, cause: "two runs of one task may have overlapped: the logs show no end of the first before the second was ordered"},

	{section: sectionRejected, part: "request", action: "refused: not run", reason: "the store refused the job", cause: "the store answered 429, 503 or refused the connection"},
	{section: sectionRejected, part: "request", action: "refused: not run", reason: "the store cannot be reached", cause: "at least two calls to the store in a row had failed; nothing was tried"},
	{section: sectionRejected, part: "request", action: "refused: not run", reason: "the store does not answer", cause: "the read before the job is stored failed; the job was not sent"},
	{section: sectionRejected, part: "request", action: "refused: not run", reason: "no answer from the store", cause: "calls to the store failed, and none of them can have changed anything"},
	{section: sectionRejected, part: "request", action: "refused: not run", reason: "too little time is left", cause: "the store was too slow for the time that the caller had left; the job was not sent"},
	{section: sectionRejected, part: "request", action: "refused: not run", reason: "no configuration yet", cause: "the host had just started"},
	{section: sectionRejected, part: "request", action: "refused: unknown outcome", cause: "the store did not answer in time; the job may have been accepted"},
	{section: sectionRejected, part: "request", action: "refused: no such queue", cause: "host or path fit no queue of the configuration in force"},
	{section: sectionRejected, part: "request", action: "refused: invalid", cause: "the body, or a number in it, is invalid"},
	{section: sectionRejected, finding: noLine, cause: "the request did not reach the reducer, or the log of its host was not given"},

	{section: sectionLate, step: "2", finding: neverStarted, cause: "no start was ordered after the job was accepted"},
	{section: sectionLate, step: "2", part: "leader", action: "took the lead", minVersion: 2, context: true, cause: "the leader changed: between the former leader's last line and 'state read from the store' nothing is started"},
	{section: sectionLate, step: "2", part: "job", action: "moves to another shard", cause: "the first shard had no room"},
	{section: sectionLate, step: "2", part: "job", action: "does not move", cause: "the row of the job has no room for its progress, so that it stays in its shard"},
	{section: sectionLate, step: "3", finding: startedLate, cause: "the first start came late: the shard had no leader, or no worker had enough free capacity"},
	{section: sectionLate, step: "3", finding: nextRunLate, cause: "the next run of a task came late: the shard had no leader, or no worker had enough free capacity"},
	{section: sectionLate, step: "3", part: "worker", action: "isolated", context: true, cause: "a worker was isolated, since runs of several jobs failed there"},
	{section: sectionLate, step: "3", part: "worker", action: "drains", context: true, cause: "a worker was taken out of service"},
	{section: sectionLate, step: "3", part: "leader", action: "starts pause", context: true, cause: "starts paused, since the leader's view of a table was old"},
	{section: sectionLate, step: "4", part: "task", action: "start refused", cause: "a worker refused a start"},
	{section: sectionLate, step: "4", part: "task", action: "start without an answer", cause: "a worker did not answer an order to start, which may have taken effect"},
	{section: sectionLate, step: "4", part: "task", action: "end listed: failed", cause: "a run failed on its worker"},
	{section: sectionLate, step: "5", part: "job", action: "job failed", cause: "the last allowed attempt of a task failed"},
	{section: sectionLate, step: "5", part: "job", action: "job cancelled", cause: "a caller cancelled the job"},

	{section: sectionAway, step: "2", part: "worker", action: "does not answer", cause: "the worker did not answer"},
	{section: sectionAway, step: "2", part: "worker", action: "does not answer", context: true, cause: "the worker of a run did not answer"},
	{section: sectionAway, step: "2", part: "worker", action: "started again", cause: "the worker started again"},
	{section: sectionAway, step: "2", part: "worker", action: "started again", context: true, cause: "the worker of a run started again"},
	{section: sectionAway, step: "2", part: "worker", action: "gone", cause: "the worker is gone, or another incarnation answers under its address"},
	{section: sectionAway, step: "2", part: "worker", action: "gone", context: true, cause: "the worker of a run is gone, or another incarnation answers under its address"},
	{section: sectionAway, step: "2", part: "task", action: "run kept", cause: "a run was kept when its worker started again, since the next incarnation may have started it"},
	{section: sectionAway, step: "2", part: "task", action: "run lost", reason: "the lease expired", cause: "a run was given up when its lease was over, as its worker did not answer; its task could not start elsewhere before"},
	{section: sectionAway, step: "2", part: "task", action: "run lost", reason: "the worker started again", cause: "a run ended with the former incarnation of its worker"},
	{section: sectionAway, step: "2", part: "task", action: "run lost", reason: "another incarnation", cause: "a run ended with the former incarnation of its worker, which needs no wait"},
	{section: sectionAway, step: "2", part: "task", action: "run lost", reason: "not on the worker's lists", cause: "a run that its worker had confirmed was no longer on its lists"},
	{section: sectionAway, step: "2", part: "task", action: "run lost", cause: "a run was given up; the reason is in its line"},
	{section: sectionAway, step: "3", part: "task", action: "stop ordered", reason: "the worker drains", cause: "the task was moved off a worker that is taken out of service"},
	{section: sectionAway, step: "3", part: "task", action: "stop ordered", reason: "the zone is evacuated", cause: "the task was moved out of a zone that the operator evacuates"},
	{section: sectionAway, step: "4", part: "task", action: "stop ordered", reason: "disturbs serving tasks", cause: "the task was stopped because it disturbed serving tasks"},
	{section: sectionAway, step: "4", part: "worker", action: "pace of filling tasks set", context: true, cause: "the speed of best-effort tasks beside a run was set anew; the reason has the tail that decided"},
	{section: sectionAway, step: "5", part: "job", action: "tasks given to another shard", cause: "tasks waited and were given to another shard"},
	{section: sectionAway, step: "5", part: "worker", action: "kept free", cause: "a worker was kept free for a task that waited for room"},
	{section: sectionAway, step: "6", part: "task", action: "stop ordered", reason: "no progress", cause: "the percentage of the task stood still for 2.5 s, or fell from 100"},

	{section: sectionLead, part: "leader", action: "took the lead", minVersion: 2, cause: "another host took the lead of the shard"},
	{section: sectionLead, part: "leader", action: "gave up the lead", cause: "the leader of the shard gave up the lead"},
	{section: sectionLead, part: "leader", action: "takeover did not succeed", cause: "a takeover did not succeed"},
	{section: sectionLead, part: "leader", action: "takeover did not succeed", context: true, cause: "a takeover did not succeed"},
	{section: sectionLead, part: "leader", action: "asked a weaker host", context: true, cause: "a host with more processors asked the leader for the lead"},
	{section: sectionLead, part: "store", action: "store call failed", context: true, cause: "a call to the store failed on a host that was involved"},
	{section: sectionLead, part: "store", action: "commit rejected", cause: "the store refused the content of a transaction"},
	{section: sectionLead, part: "job", action: "job cannot be stored", cause: "the store refuses the progress of the job"},
	{section: sectionLead, part: "store", action: "row rejected, dropped", cause: "the store refused a row, which was dropped"},
	{section: sectionLead, part: "task", action: "checkpoint not kept", cause: "a checkpoint was longer than a limit of the store"},
}

// matches reports whether a line fits the pattern of a rule.
func (r rule) matches(e Entry) bool {
	return r.finding == "" && r.context == e.Context && r.part == e.Part && strings.HasPrefix(e.Action, r.action) &&
		strings.HasPrefix(e.Reason, r.reason) && e.Version >= r.minVersion
}

// findCauses applies the rules. A line counts for the first rule that it matches.
func findCauses(f Findings, g *Gather) []Cause {
	lines := make([][]logline.Event, len(rules))
	for _, e := range f.Timeline {
		if !g.isNear(e.At) {
			continue
		}
		for i, r := range rules {
			if r.matches(e) {
				lines[i] = append(lines[i], e.Event)
				break
			}
		}
	}
	shown := findingsOf(f)
	var causes []Cause
	for i, r := range rules {
		span, found := shown[r.finding]
		if len(lines[i]) > 0 || found && r.finding != "" {
			causes = append(causes, Cause{Section: r.section, Step: r.step, Text: r.cause, Lines: lines[i], Span: span})
		}
	}
	return causes
}

// findingsOf returns the patterns over several lines that hold, each with its longest
// case.
func findingsOf(f Findings) map[finding]Span {
	found := make(map[finding]Span)
	add := func(kind finding, s Span) {
		if known, ok := found[kind]; !ok || s.To.Sub(s.From) > known.To.Sub(known.From) {
			found[kind] = s
		}
	}
	if f.Subject.job() != "" && len(f.Timeline) == 0 {
		add(noLine, Span{})
	}
	for _, o := range f.Overlaps {
		kind := overlapPossible
		if o.Shown {
			kind = overlapShown
		}
		add(kind, Span{o.Task, o.From, o.To})
	}
	for _, wait := range waitsBetween(f.Runs) {
		if wait.To.Sub(wait.From) >= lateStart {
			add(nextRunLate, wait)
		}
	}
	accepted, isAccepted := f.firstOf("request", "job accepted")
	started, isStarted := f.firstOf("task", "start ordered")
	switch {
	case !isAccepted:
	case isStarted && started.At.Sub(accepted.At) >= lateStart:
		add(startedLate, Span{started.Subject, accepted.At, started.At})
	case !isStarted:
		add(neverStarted, Span{})
	}
	return found
}

// waitsBetween returns the times from the end of each run to the next of its task.
func waitsBetween(runs []Run) []Span {
	var waits []Span
	for i, next := range runs {
		if i == 0 || runs[i-1].Task != next.Task || runs[i-1].Ended.IsZero() || next.Ordered.IsZero() {
			continue
		}
		waits = append(waits, Span{next.Task, runs[i-1].Ended, next.Ordered})
	}
	return waits
}
