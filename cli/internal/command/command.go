// Package command parses the arguments of tamarackctl into values. It reads the
// documented environment variables but prints nothing and sends nothing: help
// and usage errors are returned as text.
package command

import (
	"net/netip"
	"time"
)

// Output is the format of the command's output.
type Output string

// The output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Options holds the values of the flags that all commands share, and the author
// of a change.
type Options struct {
	Hosts    []netip.AddrPort // operator listeners, in the order in which they are tried
	Token    string
	Timeout  time.Duration // of one request, including attempts at further hosts
	Output   Output
	TimeZone *time.Location // time zone of deadlines without a UTC offset; nil: not given
	Author   string         // empty: not given
}

// Invocation holds the options and the command of one run of tamarackctl.
type Invocation struct {
	Options
	Command Command
}

// Command is a command of tamarackctl with its arguments. Only the types of this
// package implement it.
type Command interface {
	isCommand()
	// Name returns the command's name on the command line.
	Name() string
}

// Plan shows what a sheet would change.
type Plan struct{ File string }

// Apply puts a sheet in force.
type Apply struct {
	File            string
	Base            uint64 // generation that the sheet was planned against; 0: the newest
	ConfirmRemovals int    // number of running rows that the operator agrees to remove
}

// Status shows the state of the deployment as one entry host sees it. With Tasks
// it lists every task of the partitions of that host.
type Status struct{ Tasks bool }

// Explain shows the decisions about a row, task, call, partition or worker.
type Explain struct{ Subject string }

// ExplainJob shows what would happen to a job that is not submitted.
type ExplainJob struct {
	File string // with the job as callers submit it; "-" is standard input
	Host string // host name of the queue
	Path string // path of the queue, with or without the job's ID
}

// Stop stops rows of the sheet until they are resumed or changed, or resumes
// stopped rows.
type Stop struct {
	Rows   []string
	Resume bool
}

// Drain asks one entry host to hand over its partitions, finish its calls and
// stop.
type Drain struct{}

// Check checks a sheet without asking an entry host.
type Check struct{ File string }

// Replay applies a recorded event log to the reducer and shows its decisions.
type Replay struct {
	File    string
	Subject string // show only decisions about it; empty: all decisions
}

// Trace explains what happened to a job, task, worker or shard from logs.
type Trace struct {
	ID     string
	Logs   []string      // files; "-" is standard input
	Window time.Duration // around lines of the subject, in which lines of those involved are shown
	Lines  int           // of the timeline in the table; 0: all
}

// Report computes the figures of a day from logs.
type Report struct {
	Logs []string // files; "-" is standard input
	SVG  string   // file for the plot; empty: none
}

func (Plan) isCommand()       {}
func (Apply) isCommand()      {}
func (Status) isCommand()     {}
func (Explain) isCommand()    {}
func (ExplainJob) isCommand() {}
func (Stop) isCommand()       {}
func (Drain) isCommand()      {}
func (Check) isCommand()      {}
func (Replay) isCommand()     {}
func (Trace) isCommand()      {}
func (Report) isCommand()     {}

// Name implements Command.
func (Plan) Name() string       { return "plan" }
func (Apply) Name() string      { return "apply" }
func (Status) Name() string     { return "status" }
func (Explain) Name() string    { return "explain" }
func (ExplainJob) Name() string { return "explain" }
func (Drain) Name() string      { return "drain" }
func (Check) Name() string      { return "check" }
func (Replay) Name() string     { return "replay" }
func (Trace) Name() string      { return "trace" }
func (Report) Name() string     { return "report" }

// Name implements Command; it returns "stop" or "resume".
func (s Stop) Name() string {
	if s.Resume {
		return "resume"
	}
	return "stop"
}
