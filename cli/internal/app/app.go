// Package app runs one invocation of tamarackctl: it turns the arguments into an
// HTTP request and the reply into a report. The functions that decide what a
// reply means are pure. Of the packages under cli/internal, only this one reads
// files and calls the client; it keeps no state between invocations.
package app

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/operator"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Environment holds the process's streams and its user.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	User   string // author of a change when --author is not given
}

// Run parses the arguments, which exclude the program's name, runs the command
// that they name, and returns the exit status of the process.
func Run(ctx context.Context, args []string, env Environment) int {
	invocation, earlyExit := command.Parse(args)
	if earlyExit != nil {
		io.WriteString(env.Stdout, earlyExit.Stdout)
		io.WriteString(env.Stderr, earlyExit.Stderr)
		return earlyExit.Status
	}
	if invocation.Author == "" {
		invocation.Author = env.User
	}
	report := execute(ctx, *invocation, env.Stdin)
	if invocation.Output == command.OutputJSON {
		io.WriteString(env.Stdout, render.JSON(report))
		return report.ExitStatus()
	}
	out := env.Stdout
	if _, failed := report.(render.Failure); failed {
		out = env.Stderr
	}
	io.WriteString(out, report.Table())
	return report.ExitStatus()
}

// execute runs the command of an invocation: locally for check, replay, trace and
// report, otherwise with a request to an entry host.
func execute(ctx context.Context, inv command.Invocation, stdin io.Reader) render.Report {
	origin := render.Origin{Command: inv.Command.Name()}
	switch c := inv.Command.(type) {
	case command.Replay:
		return replayFile(c, origin)
	case command.Trace:
		return traceLogs(c, stdin, origin)
	case command.Report:
		return reportFigures(c, stdin, origin)
	}
	var rows []structs.SheetRow
	if file, ok := sheetFile(inv.Command); ok {
		origin.File = file
		data, err := readSheet(file)
		if err != nil {
			return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
		}
		var faults []sheet.Fault
		if rows, faults = sheet.Parse(file, data, inv.TimeZone); len(faults) > 0 {
			return render.FaultySheet{Origin: origin, Faults: faults}
		}
	}
	if _, ok := inv.Command.(command.Check); ok {
		return render.ValidSheet{Origin: origin, Rows: rows}
	}
	if c, ok := inv.Command.(command.ExplainJob); ok {
		origin.File = c.File
		return explainJob(ctx, inv, c, stdin, origin)
	}
	report := send(ctx, inv, rows, origin)
	if first, ok := report.(render.Explain); ok && len(first.Reply.Records) == 0 {
		return explainFromOtherHosts(ctx, inv, first, origin)
	}
	return report
}

// explainFromOtherHosts asks the hosts that have not answered yet until one has
// decisions about the subject, since each host stores only its own. Without one
// it returns the first report.
func explainFromOtherHosts(ctx context.Context, inv command.Invocation, first render.Explain, origin render.Origin) render.Report {
	hosts := inv.Hosts
	inv.Timeout /= time.Duration(len(hosts)) // a host that does not respond leaves time for the others
	for _, host := range hosts {
		if host.String() == first.AnsweredBy {
			continue
		}
		inv.Hosts = []netip.AddrPort{host}
		if other, ok := send(ctx, inv, nil, origin).(render.Explain); ok && len(other.Reply.Records) > 0 {
			return other
		}
	}
	return first
}

// send sends the request of a command and turns the response or error into a
// report.
func send(ctx context.Context, inv command.Invocation, rows []structs.SheetRow, origin render.Origin) render.Report {
	client := operator.NewClient(inv.Hosts, inv.Token)
	requestCtx, cancel := context.WithTimeout(ctx, inv.Timeout)
	defer cancel()
	response, err := client.Do(requestCtx, newRequest(inv, rows))
	origin.AnsweredBy = response.Host
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return render.Failure{Origin: origin, Status: render.ExitUnreachable, Message: err.Error() + "; nothing was changed"}
	}
	if err != nil {
		return resolveUnknownOutcome(ctx, client, inv, rows, render.UnknownOutcome{Origin: origin, Reason: err.Error()})
	}
	report := interpret(inv, rows, response, origin)
	if u, ok := report.(render.UnknownOutcome); ok {
		return resolveUnknownOutcome(ctx, client, inv, rows, u)
	}
	return report
}

// resolveUnknownOutcome adds the current status to the report of a change whose
// outcome is unknown. The change itself is never sent again. The status is read
// even when the operator interrupted the change.
func resolveUnknownOutcome(ctx context.Context, client *operator.Client, inv command.Invocation, rows []structs.SheetRow, report render.UnknownOutcome) render.Report {
	if stop, ok := inv.Command.(command.Stop); ok {
		report.RowNames = stop.Rows
	}
	statusCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inv.Timeout)
	defer cancel()
	status, err := client.Do(statusCtx, statusRequest())
	report.Finding = statusFinding(status, err)
	apply, ok := inv.Command.(command.Apply)
	if !ok || report.Finding.Error != "" {
		return report
	}
	// A plan of the same sheet shows which of its changes are not in force.
	planned, err := client.Do(statusCtx, planRequest(inv.Author, rows, apply.Base))
	report.Finding = addComparison(report.Finding, planned, err)
	return report
}

// sheetFile returns the path of the sheet; ok is false for commands that read
// none.
func sheetFile(c command.Command) (file string, ok bool) {
	switch c := c.(type) {
	case command.Plan:
		return c.File, true
	case command.Apply:
		return c.File, true
	case command.Check:
		return c.File, true
	}
	return "", false
}

// readSheet reads at most one byte more than the size limit of a sheet;
// sheet.Parse reports a file that exceeds it.
func readSheet(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, sheet.MaxBytes+1))
}
