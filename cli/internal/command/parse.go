package command

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// defaultTimeout is longer than the 10 s after which an entry host reports the
// outcome of an apply as unknown, so that its reply arrives first.
const defaultTimeout = 15 * time.Second

// Exit statuses of the parser.
const (
	exitHelp  = 0
	exitUsage = 2
)

// EarlyExit holds the output of an invocation that runs no command: the
// arguments ask for help or a completion script, or are wrong.
type EarlyExit struct {
	Status int    // exit status
	Stdout string // help or a completion script
	Stderr string // usage error
}

// terminatePanic is the value of the panic that carries kingpin's exit status out
// of Application.Parse, which expects its terminate function not to return.
type terminatePanic struct{ status int }

// Parse parses the arguments that follow the program's name. Exactly one of the
// results is not nil.
func Parse(args []string) (invocation *Invocation, earlyExit *EarlyExit) {
	var usage bytes.Buffer
	app := kingpin.New(program, summary).UsageTemplate(usageTemplate).UsageWriter(&usage).ErrorWriter(&usage)
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) { panic(terminatePanic{status}) })
	globalFlags := defineFlags(app)
	builders := defineCommands(app, globalFlags)
	defer func() {
		if panicValue := recover(); panicValue != nil {
			t, ok := panicValue.(terminatePanic)
			if !ok {
				panic(panicValue)
			}
			invocation, earlyExit = nil, exitWithUsage(t.status, args, usage.String())
		}
	}()
	if text, ok := completionScript(app, args, &usage); ok {
		return nil, &EarlyExit{Status: exitHelp, Stdout: text}
	}
	selected, err := app.Parse(args)
	if err != nil {
		return nil, usageError(err)
	}
	options, err := globalFlags.options(selected)
	if err != nil {
		return nil, usageError(err)
	}
	return &Invocation{Options: options, Command: builders[selected]()}, nil
}

// completionScript returns the shell completion script when the only argument
// asks for one. kingpin itself would write it to the standard output of the
// process.
func completionScript(app *kingpin.Application, args []string, out *bytes.Buffer) (script string, ok bool) {
	templates := map[string]string{
		"--completion-script-bash": kingpin.BashCompletionTemplate,
		"--completion-script-zsh":  kingpin.ZshCompletionTemplate,
	}
	if len(args) != 1 || templates[args[0]] == "" {
		return "", false
	}
	parseContext, err := app.ParseContext(nil)
	if parseContext == nil {
		return err.Error(), true
	}
	if err := app.UsageForContextWithTemplate(parseContext, 0, templates[args[0]]); err != nil {
		return err.Error(), true
	}
	return out.String(), true
}

func usageError(err error) *EarlyExit {
	return &EarlyExit{Status: exitUsage, Stderr: fmt.Sprintf("%s: %s; see %s --help\n", program, err, program)}
}

// exitWithUsage returns the usage text as help when the arguments ask for it. With
// no arguments kingpin shows the same text, which is a usage error then.
func exitWithUsage(status int, args []string, text string) *EarlyExit {
	if status == exitHelp && len(args) > 0 {
		return &EarlyExit{Status: exitHelp, Stdout: text}
	}
	return &EarlyExit{Status: exitUsage, Stderr: text}
}

// flagValues holds the parsed values of the flags before options checks them.
type flagValues struct {
	hosts    []string
	token    string
	timeout  time.Duration
	output   string
	timeZone string
	author   string
}

func defineFlags(app *kingpin.Application) *flagValues {
	f := &flagValues{}
	app.Flag("host", "Operator listener of an entry host. Repeat it, or separate several with commas; the next one is tried when one cannot be reached.").
		Envar("TAMARACKCTL_HOST").PlaceHolder("IP:PORT").StringsVar(&f.hosts)
	app.Flag("token", "Operator token, where the entry hosts require one. The environment variable keeps it out of the process list.").
		Envar("TAMARACKCTL_TOKEN").PlaceHolder("TOKEN").StringVar(&f.token)
	app.Flag("timeout", "Time limit of one request, including attempts at further hosts.").Default(defaultTimeout.String()).DurationVar(&f.timeout)
	app.Flag("output", "Form of the output: table or json.").Short('o').Default(string(OutputTable)).EnumVar(&f.output, string(OutputTable), string(OutputJSON))
	app.Flag("time-zone", "Time zone of deadlines without offset, such as Europe/Sofia or Africa/Lagos.").
		Envar("TAMARACKCTL_TIME_ZONE").PlaceHolder("ZONE").StringVar(&f.timeZone)
	return f
}

// options checks the flags and returns them as Options. selected is the name of
// the command, on which the required hosts depend.
func (f *flagValues) options(selected string) (Options, error) {
	o := Options{Token: f.token, Timeout: f.timeout, Output: Output(f.output), Author: f.author}
	if f.timeout <= 0 {
		return o, fmt.Errorf("--timeout must be over 0, not %s", f.timeout)
	}
	if f.timeZone != "" {
		location, err := time.LoadLocation(f.timeZone)
		if err != nil {
			return o, fmt.Errorf("--time-zone: unknown time zone %q", f.timeZone)
		}
		o.TimeZone = location
	}
	for _, list := range f.hosts {
		for _, text := range strings.Split(list, ",") {
			host, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return o, fmt.Errorf("--host: %q is not IP:port", text)
			}
			o.Hosts = append(o.Hosts, host)
		}
	}
	switch {
	case isLocal(selected):
	case len(o.Hosts) == 0:
		return o, fmt.Errorf("%s needs --host or TAMARACKCTL_HOST", selected)
	case selected == Drain{}.Name() && len(o.Hosts) != 1:
		return o, errors.New("drain stops one entry host: give exactly one --host")
	}
	return o, nil
}

// logNames restores the name "-", which kingpin passes on as an empty argument.
func logNames(args []string) []string {
	names := slices.Clone(args)
	for i, name := range names {
		names[i] = cmp.Or(name, "-")
	}
	return names
}

// isLocal reports whether a command asks no entry host.
func isLocal(name string) bool {
	return slices.Contains([]string{Check{}.Name(), Replay{}.Name(), Trace{}.Name(), Report{}.Name()}, name)
}

// defineCommands declares the commands. It returns, by name, the functions that
// build a Command from the arguments after parsing.
func defineCommands(app *kingpin.Application, f *flagValues) map[string]func() Command {
	builders := make(map[string]func() Command)
	defineAuthorFlag := func(c *kingpin.CmdClause) {
		c.Flag("author", "Name that the change is recorded under; the default is the user's name.").
			Envar("TAMARACKCTL_AUTHOR").PlaceHolder("NAME").StringVar(&f.author)
	}
	defineCommand := func(name, help, example string) *kingpin.CmdClause {
		return app.Command(name, help).HelpLong(example)
	}

	plan := defineCommand("plan", "Show what a sheet would change. Changes nothing.", examplePlan)
	planFile := plan.Arg("file", "Exported sheet, CSV.").Required().String()
	builders["plan"] = func() Command { return Plan{File: *planFile} }

	apply := defineCommand("apply", "Put a sheet in force.", exampleApply)
	applyFile := apply.Arg("file", "Exported sheet, CSV.").Required().String()
	base := apply.Flag("base", "Generation that the sheet was planned against. Changes by others since then are kept. Without it the sheet replaces what is in force.").PlaceHolder("N").Uint64()
	confirmRemovals := apply.Flag("confirm-removals", "Number of running rows that the sheet removes, as the plan shows it.").PlaceHolder("N").Uint32()
	defineAuthorFlag(apply)
	builders["apply"] = func() Command {
		return Apply{File: *applyFile, Base: *base, ConfirmRemovals: int(*confirmRemovals)}
	}

	status := defineCommand("status", "Show the state of the deployment as one entry host sees it.", exampleStatus)
	tasks := status.Flag("tasks", "List every task of the partitions of that entry host.").Bool()
	builders["status"] = func() Command { return Status{Tasks: *tasks} }

	explain := defineCommand("explain", "Show why a row, task, call, partition or worker is as it is, or where a job would go if it were submitted now. Changes nothing.", exampleExplain)
	builders["explain"] = defineExplain(explain)

	for _, resume := range []bool{false, true} {
		name, help, example := "stop", "Stop rows of the sheet until they are resumed or changed.", exampleStop
		if resume {
			name, help, example = "resume", "Resume stopped rows.", exampleResume
		}
		c := defineCommand(name, help, example)
		rows := c.Arg("row", "Names of service or batch rows.").Required().Strings()
		defineAuthorFlag(c)
		builders[name] = func() Command { return Stop{Rows: *rows, Resume: resume} }
	}

	defineCommand("drain", "Stop one entry host gracefully: it hands over its partitions and finishes its calls.", exampleDrain)
	builders["drain"] = func() Command { return Drain{} }

	check := defineCommand("check", "Check a sheet without asking an entry host.", exampleCheck)
	checkFile := check.Arg("file", "Exported sheet, CSV.").Required().String()
	builders["check"] = func() Command { return Check{File: *checkFile} }

	replay := defineCommand("replay", "Show the decisions that a recorded event log leads to, without asking an entry host.", exampleReplay)
	replayFile := replay.Arg("file", "Event log, JSON lines.").Required().String()
	replaySubject := replay.Flag("subject", "Show only decisions about this row, task, call, partition or worker.").PlaceHolder("NAME").String()
	builders["replay"] = func() Command { return Replay{File: *replayFile, Subject: *replaySubject} }

	trace := defineCommand("trace", "Explain what happened to a job, task, worker or shard from the logs of all hosts.", exampleTrace)
	id := trace.Arg("id", "Job, task (JOB.OCCURRENCE.STEP.INDEX), worker (i-...) or shard (shard-N).").Required().String()
	traceLogs := trace.Arg("log", "Logs of the hosts, as text or JSON; - is standard input.").Required().Strings()
	window := trace.Flag("window", "Time around each line in which lines of the workers, leaders and hosts involved are shown.").Default("5s").Duration()
	lines := trace.Flag("lines", "Lines of the timeline in the table; 0 shows all.").Default("200").Uint16()
	builders["trace"] = func() Command {
		return Trace{ID: *id, Logs: logNames(*traceLogs), Window: *window, Lines: int(*lines)}
	}

	report := defineCommand("report", "Show the figures of a day from the logs of all hosts.", exampleReport)
	reportLogs := report.Arg("log", "Logs of the hosts, as text or JSON; - is standard input.").Required().Strings()
	svg := report.Flag("svg", "File for a plot of starts, waits, queue and leaders over time.").PlaceHolder("FILE").String()
	builders["report"] = func() Command { return Report{Logs: logNames(*reportLogs), SVG: *svg} }
	return builders
}

// defineExplain defines the arguments of explain, and returns the function that builds its
// Command.
func defineExplain(explain *kingpin.CmdClause) func() Command {
	jobGiven := false
	subject := explain.Arg("subject", "Name of a row, task, call, partition or worker.").String()
	job := explain.Flag("job", "File with a job as callers submit it; - is standard input. --host then names the metrics listener (port 9464) of a host of the users' platform.").PlaceHolder("FILE").IsSetByUser(&jobGiven).String()
	queueHost := explain.Flag("queue-host", "Host name of the queue.").PlaceHolder("NAME").String()
	queuePath := explain.Flag("queue-path", "Path of the queue, with or without a job's ID.").PlaceHolder("PATH").String()
	explain.Validate(func(*kingpin.CmdClause) error {
		switch {
		case jobGiven == (*subject != ""):
			return errors.New("explain needs either a subject or --job")
		case jobGiven && (*queueHost == "" || *queuePath == ""):
			return errors.New("explain --job needs --queue-host and --queue-path")
		case !jobGiven && (*queueHost != "" || *queuePath != ""):
			return errors.New("--queue-host and --queue-path belong to explain --job")
		}
		return nil
	})
	return func() Command {
		if jobGiven {
			return ExplainJob{File: cmp.Or(*job, "-"), Host: *queueHost, Path: *queuePath}
		}
		return Explain{Subject: *subject}
	}
}
