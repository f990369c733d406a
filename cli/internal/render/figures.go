package render

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tamarackstep/tamarackstep/cli/internal/figures"
	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
)

// Figures is the report of the figures of a day.
type Figures struct {
	Origin
	Figures figures.Figures
	First   logline.Event // tells whether times are simulated
	Files   []logread.FileReport
	SVG     string // file that the plot was written to; empty: none
}

// ExitStatus implements Report.
func (r Figures) ExitStatus() int { return logsExitStatus(r.Files) }

// Table implements Report.
func (r Figures) Table() string {
	var b strings.Builder
	c, f := clockOf(r.First), r.Figures
	fmt.Fprintf(&b, "%s, from %s to %s\n\n", countNoun(f.Hosts, "host"), c.format(f.From), c.format(f.To))
	b.WriteString(table("FIGURE\tVALUE", figureRows(f)))
	section(&b, "ENDS OF RUNS", countTable("END", f.Ends))
	section(&b, "REFUSED REQUESTS", countTable("REASON", f.Refusals))
	section(&b, "RECOVERY", recoveryTable(f.Recoveries))
	section(&b, "LEADERS", leadTable(f.Leads, c))
	section(&b, "NOT READ", joinLines(fileNotes(r.Files)))
	if r.SVG != "" {
		fmt.Fprintf(&b, "\nThe plot is in %s.\n", oneLine(r.SVG))
	}
	return b.String()
}

func figureRows(f figures.Figures) [][]string {
	row := func(name string, n int) []string { return []string{name, strconv.Itoa(n)} }
	waits := f.Wait
	return [][]string{
		row("jobs accepted", f.Accepted),
		row("of them started", f.Started),
		{"wait from acceptance to first start", fmt.Sprintf("median %s, p95 %s, p99 %s, worst %s",
			formatSeconds(waits.Median), formatSeconds(waits.P95), formatSeconds(waits.P99), formatSeconds(waits.Max))},
		row("most jobs that waited at a time", f.WorstQueue),
		row("starts ordered", f.Starts),
		row("starts refused", f.StartsRefused),
		row("starts without an answer", f.StartsUnanswered),
		row("runs lost", f.RunsLost),
		row("runs adopted", f.RunsAdopted),
		row("takeovers", f.Takeovers),
		row("restarts of hosts", f.HostRestarts),
		row("restarts of workers", f.WorkerRestarts),
		row("times that a worker did not answer", f.WorkersLost),
	}
}

func countTable(name string, counts []figures.Count) string {
	if len(counts) == 0 {
		return ""
	}
	var rows [][]string
	for _, c := range counts {
		rows = append(rows, []string{oneLine(c.Name), strconv.Itoa(c.Number)})
	}
	return table(name+"\tNUMBER", rows)
}

func recoveryTable(recoveries []figures.Recovery) string {
	if len(recoveries) == 0 {
		return ""
	}
	var rows [][]string
	for _, r := range recoveries {
		rows = append(rows, []string{string(r.Kind), strconv.Itoa(r.Times.Cases), formatSeconds(r.Times.Median), formatSeconds(r.Times.Max)})
	}
	return table("FROM AND TO\tCASES\tMEDIAN\tWORST", rows)
}

func leadTable(leads []figures.Lead, c clock) string {
	if len(leads) == 0 {
		return ""
	}
	var rows [][]string
	for _, l := range leads {
		note := ""
		if l.GaveUp {
			note = "gave up"
		}
		rows = append(rows, []string{oneLine(l.Shard), oneLine(l.Host), strconv.FormatUint(l.Epoch, 10), c.format(l.From), c.format(l.To), note})
	}
	return table("SHARD\tHOST\tEPOCH\tFROM\tTO\tEND", rows)
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
