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

type figuresDocument struct {
	Origin
	From             string                          `json:"from"`
	To               string                          `json:"to"`
	Hosts            int                             `json:"hosts"`
	Accepted         int                             `json:"accepted"`
	Started          int                             `json:"started"`
	Wait             distributionDocument            `json:"wait"`
	WorstQueue       int                             `json:"worst_queue"`
	Starts           int                             `json:"starts"`
	StartsRefused    int                             `json:"starts_refused"`
	StartsUnanswered int                             `json:"starts_unanswered"`
	Ends             map[string]int                  `json:"ends"`
	RunsLost         int                             `json:"runs_lost"`
	RunsAdopted      int                             `json:"runs_adopted"`
	Refusals         map[string]int                  `json:"refusals"`
	Takeovers        int                             `json:"takeovers"`
	HostRestarts     int                             `json:"host_restarts"`
	WorkerRestarts   int                             `json:"worker_restarts"`
	WorkersLost      int                             `json:"workers_lost"`
	Leads            []leadDocument                  `json:"leads"`
	Recoveries       map[string]distributionDocument `json:"recoveries"`
	SVG              string                          `json:"svg,omitempty"`
	Files            []logread.FileReport            `json:"files"`
	ExitStatus       int                             `json:"exit_status"`
}

type distributionDocument struct {
	Cases    int   `json:"cases"`
	MedianMS int64 `json:"median_ms"`
	P95MS    int64 `json:"p95_ms"`
	P99MS    int64 `json:"p99_ms"`
	WorstMS  int64 `json:"worst_ms"`
}

func newDistributionDocument(d figures.Distribution) distributionDocument {
	return distributionDocument{d.Cases, d.Median.Milliseconds(), d.P95.Milliseconds(), d.P99.Milliseconds(), d.Max.Milliseconds()}
}

type leadDocument struct {
	Shard  string `json:"shard"`
	Host   string `json:"host"`
	Epoch  uint64 `json:"epoch"`
	From   string `json:"from"`
	To     string `json:"to"`
	GaveUp bool   `json:"gave_up"`
}

// Document implements Report.
func (r Figures) Document() any {
	c, f := clockOf(r.First), r.Figures
	d := figuresDocument{
		Origin: r.Origin, From: c.document(f.From), To: c.document(f.To), Hosts: f.Hosts, Accepted: f.Accepted, Started: f.Started,
		Wait: newDistributionDocument(f.Wait), WorstQueue: f.WorstQueue, Starts: f.Starts, StartsRefused: f.StartsRefused,
		StartsUnanswered: f.StartsUnanswered, Ends: countsByName(f.Ends), RunsLost: f.RunsLost, RunsAdopted: f.RunsAdopted,
		Refusals: countsByName(f.Refusals), Takeovers: f.Takeovers, HostRestarts: f.HostRestarts, WorkerRestarts: f.WorkerRestarts,
		WorkersLost: f.WorkersLost, Leads: []leadDocument{}, Recoveries: make(map[string]distributionDocument),
		SVG: r.SVG, Files: r.Files, ExitStatus: r.ExitStatus(),
	}
	for _, l := range f.Leads {
		d.Leads = append(d.Leads, leadDocument{l.Shard, l.Host, l.Epoch, c.document(l.From), c.document(l.To), l.GaveUp})
	}
	for _, recovery := range f.Recoveries {
		d.Recoveries[string(recovery.Kind)] = newDistributionDocument(recovery.Times)
	}
	return d
}

func countsByName(counts []figures.Count) map[string]int {
	byName := make(map[string]int)
	for _, c := range counts {
		byName[c.Name] = c.Number
	}
	return byName
}
