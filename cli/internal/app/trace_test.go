package app

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/cli/internal/render"
)

// runWithStdin runs the command with a file as standard input.
func runWithStdin(t *testing.T, file string, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	stdin, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer stdin.Close()
	var out, errs bytes.Buffer
	status = Run(context.Background(), args, Environment{Stdin: stdin, Stdout: &out, Stderr: &errs})
	return status, out.String(), errs.String()
}

// TestTrace guards against unintended changes of what a trace finds: two runs of one
// task at a time after a restart, a job that waited for the next leader, one that the
// store refused, a shard, and a worker; from files of one host each, text and JSON,
// and from the lines of all hosts on standard input.
func TestTrace(t *testing.T) {
	const smolyan, mlyako, day = "testdata/logs/front-smolyan-1.log", "testdata/logs/front-mlyako-1.log", "testdata/logs/day.txt"
	for name, args := range map[string][]string{
		"trace-overlap.table": {"trace", "fa4b072ae9e77414.0.0.0", smolyan, mlyako},
		"trace-overlap.json":  {"trace", "fa4b072ae9e77414.0.0.0", smolyan, mlyako, "-o", "json"},
		"trace-late.table":    {"trace", "d3c3baa69b7ef916", "-", "--lines", "40"},
		"trace-store.table":   {"trace", "7a43eeae9f551a69", "-", "--window", "3s"},
		"trace-shard.table":   {"trace", "shard-0", "-"},
		"trace-worker.table":  {"trace", "i-e86dc888", smolyan},
		"trace-none.table":    {"trace", "0000000000000000", smolyan},
	} {
		status, stdout, stderr := runWithStdin(t, day, args...)
		if status != render.ExitDone || stderr != "" {
			t.Errorf("%s: exit status %d, stderr %s", name, status, stderr)
		}
		goldie.New(t).Assert(t, name, []byte(stdout))
	}
}

// TestTraceErrors guards against an error that hides what could be read, or that has
// the exit status of a complete trace.
func TestTraceErrors(t *testing.T) {
	status, _, stderr := run(t, nil, "trace", "portal.3", "testdata/logs/day.txt")
	if status != render.ExitUsage || !strings.Contains(stderr, "names no job") {
		t.Errorf("unknown kind of id: exit status %d, stderr %s", status, stderr)
	}
	status, stdout, _ := run(t, nil, "trace", "7a43eeae9f551a69", "testdata/logs/day.txt", "testdata/logs/missing.log")
	if status != render.ExitUsage || !strings.Contains(stdout, "missing.log: open") || !strings.Contains(stdout, "cancelled by a caller") {
		t.Errorf("missing file: exit status %d, stdout %s", status, stdout)
	}
}
