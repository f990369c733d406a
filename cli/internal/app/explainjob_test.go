package app

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
)

// exampleExplanations returns explanations of a job that may start in one shard, and of one that
// is refused.
func exampleExplanations() map[string]scheduler.Explanation {
	waits := scheduler.Explanation{
		Verdict: scheduler.VerdictDepends, Reason: "it starts in 1 of 2 shards; elsewhere: shard 1 has no leader", Host: "front-a-1",
		Queue: "glaze", Service: "kiln", Priority: 2, Configuration: 12, LoadsAgeMS: 240,
		Admission: scheduler.AdmissionExplanation{Applies: true, Reason: "there is free room"},
		Shards: []scheduler.ShardExplanation{
			{Shard: 0, Leader: "front-a-1", HasRoom: true, RoomLeft: 3, LoadAgeMS: 310, Placement: &scheduler.PlacementExplanation{
				JobsBefore: 1, JobsWaiting: 4, WorkersAgeMS: 120, OperatorAgeMS: 800, StepsLeftOut: 1,
				Steps: []scheduler.StepExplanation{
					{Step: 0, Tasks: 2, Workers: 5, Accepting: 2, Best: "i-7f3a91c2", Score: 0.625, ListsAgeMS: 400, Excluded: []scheduler.ExclusionCount{{Reason: "has no room", Workers: 2}, {Reason: "is isolated", Workers: 1}}},
					{Step: 1, Tasks: 3, Gang: true, Workers: 5, Excluded: []scheduler.ExclusionCount{{Reason: "has no room", Workers: 5}}},
				},
			}},
			{Shard: 1, LoadAgeMS: -1},
		},
	}
	refused := scheduler.Explanation{
		Verdict: scheduler.VerdictRefused, Reason: "it would be done too late", RetryAfterMS: 12_500, Host: "front-a-1", Queue: "glaze", Service: "kiln",
		Configuration: 12, LoadsAgeMS: 240,
		Admission: scheduler.AdmissionExplanation{Applies: true, Reason: "it would be done too late", AheadSeconds: 5300, CompletionMS: 64_200, LimitMS: 39_000, AgeMS: 410},
	}
	return map[string]scheduler.Explanation{"depends": waits, "refused": refused}
}

// TestExplainJob guards against unintended changes of the table and the JSON, and against a
// body, host name or path that does not arrive as given, from a file and from standard input.
func TestExplainJob(t *testing.T) {
	const job = "testdata/job.json"
	body, err := os.ReadFile(job)
	if err != nil {
		t.Fatal(err)
	}
	for name, e := range exampleExplanations() {
		h := newHost(t, handlers{wire.PathExplainJob: respondJSON(http.StatusOK, e)})
		for _, output := range []string{"table", "json"} {
			file := map[string]string{"table": job, "json": "-"}[output]
			status, stdout, stderr := runWithStdin(t, job, "--host", h.address(), "explain", "--job", file, "--queue-host", "kiln.example", "--queue-path", "/glaze/", "-o", output)
			if status != render.ExitDone || stderr != "" {
				t.Errorf("%s: exit status %d, stderr %s", name, status, stderr)
			}
			goldie.New(t).Assert(t, "explain-job-"+name+"."+output, []byte(strings.ReplaceAll(stdout, h.address(), "HOST1")))
		}
		for _, got := range h.requests {
			if want := "POST /explain?host=kiln.example&path=%2Fglaze%2F " + string(body); got != want {
				t.Errorf("request %s, want %s", got, want)
			}
		}
	}
}

// TestExplainJobAsksLeaders guards against a verdict without the shards that other hosts lead, and
// against a host that does not answer or knows less and takes away what another one told.
func TestExplainJobAsksLeaders(t *testing.T) {
	placement := func(accepting int) *scheduler.PlacementExplanation {
		return &scheduler.PlacementExplanation{Steps: []scheduler.StepExplanation{{Workers: 4, Accepting: accepting, Excluded: []scheduler.ExclusionCount{{Reason: "has no room", Workers: 4 - accepting}}}}}
	}
	explanation := func(accepting ...int) scheduler.Explanation {
		e := scheduler.Explanation{}
		for i, n := range accepting {
			x := scheduler.ShardExplanation{Shard: scheduler.ShardID(i), Leader: "front-a-1"}
			if n >= 0 {
				x.Placement = placement(n)
			}
			e.Shards = append(e.Shards, x)
		}
		e.SumUp()
		return e
	}
	const unknown = -1
	first := newHost(t, handlers{wire.PathExplainJob: respondJSON(http.StatusOK, explanation(unknown, 2))})
	second := newHost(t, handlers{wire.PathExplainJob: respondJSON(http.StatusOK, explanation(0, unknown))})
	down := newHost(t, nil)
	down.Close()
	for hosts, want := range map[string]string{
		first.address(): "The job would be accepted: other hosts lead shards",
		first.address() + "," + down.address() + "," + second.address(): "The job would start now or wait: it starts in 1 of 2 shards; elsewhere: no worker takes a task of step 0",
	} {
		status, stdout, stderr := run(t, []string{hosts}, "explain", "--job", "testdata/job.json", "--queue-host", "kiln.example", "--queue-path", "/glaze/")
		if status != render.ExitDone || !strings.HasPrefix(stdout, want) {
			t.Errorf("%s: exit status %d, stderr %s, stdout %s, want %s", hosts, status, stderr, stdout, want)
		}
	}
}

// TestExplainJobErrors guards against bad input that gives more than one line, exit status 0 or
// a table on standard output.
func TestExplainJobErrors(t *testing.T) {
	h := newHost(t, handlers{wire.PathExplainJob: respondJSON(http.StatusBadRequest, wire.ErrorResponse{Error: "the body cannot be read: not JSON"})})
	older := newHost(t, handlers{})
	large := filepath.Join(t.TempDir(), "large.json")
	if err := os.WriteFile(large, make([]byte, maxJobBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	const queue = " --queue-host kiln.example --queue-path /glaze/"
	for args, want := range map[string]struct {
		host   string
		status int
		text   string
	}{
		"explain --job testdata/sheet.csv" + queue:                  {h.address(), render.ExitRefused, "not JSON"},
		"explain --job testdata/job.json" + queue:                   {older.address(), render.ExitRefused, "404"},
		"explain --job testdata/missing.json" + queue:               {h.address(), render.ExitUsage, "missing.json"},
		"explain --job -" + queue:                                   {h.address(), render.ExitUsage, "standard input is empty"},
		"explain --job " + large + queue:                            {h.address(), render.ExitUsage, "larger than 1048576 bytes"},
		"explain --job testdata/job.json --queue-host kiln.example": {h.address(), render.ExitUsage, "needs --queue-host and --queue-path"},
		"explain": {h.address(), render.ExitUsage, "either a subject or --job"},
		"explain portal --job testdata/job.json" + queue:          {h.address(), render.ExitUsage, "either a subject or --job"},
		"explain portal --queue-path /glaze/":                     {h.address(), render.ExitUsage, "belong to explain --job"},
		"--timeout 300ms explain --job testdata/job.json" + queue: {"127.0.0.1:1", render.ExitUnreachable, "no entry host could be reached"},
		"--host here explain --job testdata/job.json" + queue:     {h.address(), render.ExitUsage, "is not IP:port"},
	} {
		var out, errs bytes.Buffer
		status := Run(context.Background(), append([]string{"--host", want.host}, strings.Fields(args)...), Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs})
		if status != want.status || strings.Count(errs.String(), "\n") != 1 || !strings.Contains(errs.String(), want.text) || out.Len() > 0 {
			t.Errorf("%s: exit status %d, want %d; stdout %q, stderr %q", args, status, want.status, out.String(), errs.String())
		}
	}
}
