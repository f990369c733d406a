package app

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/cli/internal/render"
)

// TestReport guards against unintended changes of the figures of a day: waits,
// refusals, leaders and recoveries.
func TestReport(t *testing.T) {
	for name, args := range map[string][]string{
		"report.table": {"report", "testdata/logs/day.txt"}, "report.json": {"report", "testdata/logs/day.txt", "-o", "json"},
	} {
		status, stdout, stderr := run(t, nil, args...)
		if status != render.ExitDone || stderr != "" {
			t.Errorf("%s: exit status %d, stderr %s", name, status, stderr)
		}
		goldie.New(t).Assert(t, name, []byte(stdout))
	}
}

// TestReportPlot guards against a plot that is no valid XML or lacks a panel, and
// against a failure to write it that is not reported.
func TestReportPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.svg")
	for _, log := range []string{"testdata/logs/day.txt", "testdata/sheet.csv"} { // the second has no log line
		if status, stdout, stderr := run(t, nil, "report", log, "--svg", file); status != render.ExitDone {
			t.Errorf("%s: exit status %d, stdout %s, stderr %s", log, status, stdout, stderr)
		}
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		decoder := xml.NewDecoder(strings.NewReader(string(data)))
		for err == nil {
			_, err = decoder.Token()
		}
		if !errors.Is(err, io.EOF) || !strings.Contains(string(data), "leader of each shard") {
			t.Errorf("%s: the plot of %d bytes is not complete: %v", log, len(data), err)
		}
	}
	if status, _, stderr := run(t, nil, "report", "testdata/logs/day.txt", "--svg", filepath.Join(t.TempDir(), "none", "x")); status != render.ExitUsage || stderr == "" {
		t.Errorf("folder that does not exist: exit status %d, stderr %s", status, stderr)
	}
}
