package render

import (
	"github.com/tamarackstep/tamarackstep/cli/internal/figures"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
)

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
