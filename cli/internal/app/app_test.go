package app

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	_ "time/tzdata" // Europe/Sofia on machines without a time zone database

	"github.com/sebdah/goldie/v2"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeHost is an entry host with a fixed handler for each path. It records the
// requests that it gets.
type fakeHost struct {
	*httptest.Server
	requests []string // method, path and body; needs no lock, as the client sends one at a time
}

type handlers map[string]http.HandlerFunc

func newHost(t *testing.T, byPath handlers) *fakeHost {
	h := &fakeHost{}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		body.ReadFrom(r.Body)
		h.requests = append(h.requests, r.Method+" "+r.URL.RequestURI()+" "+body.String())
		if handle, ok := byPath[r.URL.Path]; ok {
			handle(w, r)
			return
		}
		http.NotFound(w, r)
	}))
	t.Cleanup(h.Close)
	return h
}

func (h *fakeHost) address() string { return h.Listener.Addr().String() }

// count returns the number of requests to a path.
func (h *fakeHost) count(path string) (n int) {
	for _, r := range h.requests {
		if strings.Contains(r, " "+path+" ") || strings.Contains(r, " "+path+"?") {
			n++
		}
	}
	return n
}

// respondJSON returns a handler that responds with a status and a JSON body.
func respondJSON(status int, v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(v)
	}
}

// closeConnection closes the connection without sending a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.Close()
	}
}

// run runs the command and returns its exit status and outputs, in which HOST1,
// HOST2 and so on replace the addresses of the hosts.
func run(t *testing.T, hosts []string, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	if len(hosts) > 0 {
		args = append([]string{"--host", strings.Join(hosts, ","), "--time-zone", "Europe/Sofia"}, args...)
	}
	status = Run(context.Background(), args, Environment{Stdout: &out, Stderr: &errs, User: "ivan"})
	replace := func(s string) string {
		for i, h := range hosts {
			s = strings.ReplaceAll(s, h, "HOST"+string(rune('1'+i)))
		}
		return s
	}
	return status, replace(out.String()), replace(errs.String())
}

func sheetRows(t *testing.T) []structs.SheetRow {
	data, err := os.ReadFile("testdata/sheet.csv")
	if err != nil {
		t.Fatal(err)
	}
	rows, _ := sheet.Parse("", bytes.ReplaceAll(data, []byte("2026-12-05 04:30"), []byte("2026-12-05T04:30:00+02:00")), nil)
	return rows
}

// exampleChanges returns one removed, one changed and one added row, made from
// testdata/sheet.csv.
func exampleChanges(t *testing.T) []control.RowChange {
	rows := sheetRows(t)
	before, removed := rows[0], rows[1]
	before.Count, before.Request.MemoryMB = 6, 512
	removed.Name = "old quotes"
	return []control.RowChange{
		{Name: "old quotes", Kind: sheet.Removed, Before: &removed},
		{Name: "portal", Kind: sheet.Changed, Before: &before, After: &rows[0]},
		{Name: "сметки", Kind: sheet.Added, After: &rows[2]},
	}
}

// exampleConflicts returns changes by another operator to two rows of
// testdata/sheet.csv.
func exampleConflicts(t *testing.T) []control.RowChange {
	rows := sheetRows(t)
	before, after, removed := rows[0], rows[0], rows[1]
	before.Count, after.Count = 4, 6
	return []control.RowChange{
		{Name: "portal", Kind: sheet.Changed, Before: &before, After: &after},
		{Name: "quotes", Kind: sheet.Removed, Before: &removed},
	}
}

func exampleStatus() control.StatusReply {
	return control.StatusReply{
		Host: "e1", Generation: 42, Ready: true, StoreReachable: true,
		Peers:      []control.PeerStatus{{Host: "e2", Zone: "devin", Live: true, Generation: 42}, {Host: "e3", Zone: "zlatograd", Draining: true, Generation: 41}},
		Partitions: []control.PartitionStatus{{Partition: 0, Owner: "e1", Epoch: 3, Pending: 1, Running: 9}, {Partition: 1, Owner: "e2", Epoch: 1}, {Partition: 2}},
		Services:   []control.ServiceStatus{{Service: "portal", Targets: 7, DesiredTargets: 8, InFlight: 12, Queued: 3}},
		Tasks: []control.TaskStatus{
			{Task: "portal.0", Row: "portal", Phase: structs.TaskAssigned, Worker: "w7", Run: 1},
			{Task: "portal.1", Row: "portal", Phase: structs.TaskPending},
			{Task: "сметки.0", Row: "сметки", Phase: structs.TaskFailed, Worker: "w3", Run: 3, Reason: "failed on 3 workers: exit status 1"},
		},
	}
}

// TestOutput guards against unintended changes of what operators and their
// scripts read: the table, the JSON and the exit status for each kind of reply.
// go test -update rewrites the golden files.
func TestOutput(t *testing.T) {
	g := goldie.New(t)
	planned := control.ApplyReply{Generation: 41, Base: 41, Changes: exampleChanges(t), RunningRowsRemoved: 1, RunningRows: 3, ConfirmRemovals: 1}
	accepted := control.ApplyReply{Accepted: true, Generation: 42, Base: 41, Changes: exampleChanges(t), Outcome: control.OutcomeDone, RunningRows: 3}
	conflict := control.ApplyReply{Generation: 42, Base: 41, Conflicts: exampleConflicts(t), OtherAuthor: "maria", Reason: "2 rows were changed by maria since generation 41"}
	refused := planned
	refused.Reason = "the sheet removes 1 of 3 running rows; confirm the number to go on"
	stopped := control.ApplyReply{Accepted: true, Generation: 43, Base: 42, Outcome: control.OutcomeDone}
	unknownOutcome := control.ApplyReply{Generation: 41, Base: 41, Outcome: control.OutcomeUnknown, Reason: "the table service did not say whether the change was accepted; check the status"}
	explanation := control.ExplainReply{Subject: "portal", Summary: "placement: assigned least interference", Records: []control.DecisionRecord{
		{Part: "placement", Action: "waits", Subject: "portal.0", Reason: "no worker has 1.5 cores free"},
		{Part: "placement", Action: "assigned", Subject: "portal.0", Where: "w7", Reason: "least interference", Request: "portal.0"},
	}}
	ok := http.StatusOK
	for name, c := range map[string]struct {
		args       string
		handlers   handlers
		wantStatus int
	}{
		"plan":          {"plan testdata/sheet.csv", handlers{wire.PathPlan: respondJSON(ok, planned)}, 0},
		"plan-same":     {"plan testdata/sheet.csv", handlers{wire.PathPlan: respondJSON(ok, control.ApplyReply{Generation: 41, Base: 41})}, 0},
		"apply":         {"apply testdata/sheet.csv --base 41 --confirm-removals 1", handlers{wire.PathApply: respondJSON(ok, accepted)}, 0},
		"conflict":      {"apply testdata/sheet.csv --base 41", handlers{wire.PathApply: respondJSON(409, conflict)}, 1},
		"removals":      {"apply testdata/sheet.csv --base 41", handlers{wire.PathApply: respondJSON(409, refused)}, 1},
		"refusal":       {"apply testdata/sheet.csv --base 7", handlers{wire.PathApply: respondJSON(409, control.ApplyReply{Generation: 99, Base: 7, Reason: "generation 7 is too old to merge with; plan again"})}, 1},
		"token":         {"status --token wrong", handlers{wire.PathStatus: respondJSON(403, nil)}, 1},
		"host-error":    {"status", handlers{wire.PathStatus: respondJSON(500, wire.ErrorResponse{Error: "no answer from the control loop"})}, 5},
		"stop":          {"stop quotes сметки", handlers{wire.PathStopRows: respondJSON(ok, stopped)}, 0},
		"resume":        {"resume quotes", handlers{wire.PathStopRows: respondJSON(ok, stopped)}, 0},
		"stop-refusal":  {"stop qoutes", handlers{wire.PathStopRows: respondJSON(409, control.ApplyReply{Generation: 42, Reason: `no service or batch row named "qoutes" is in force`})}, 1},
		"status":        {"status", handlers{wire.PathStatus: respondJSON(ok, exampleStatus())}, 0},
		"status-tasks":  {"status --tasks", handlers{wire.PathStatus: respondJSON(ok, exampleStatus())}, 0},
		"explain":       {"explain portal", handlers{wire.PathExplain: respondJSON(ok, explanation)}, 0},
		"explain-none":  {"explain x", handlers{wire.PathExplain: respondJSON(ok, control.ExplainReply{Subject: "x", Summary: "this entry host made no decision about x lately"})}, 0},
		"drain":         {"drain", handlers{wire.PathDrain: respondJSON(ok, control.DrainReply{Partitions: 2, Calls: 1})}, 0},
		"check":         {"check testdata/sheet.csv", nil, 0},
		"faults":        {"apply testdata/faulty.csv", nil, 1},
		"in-force":      {"apply testdata/sheet.csv --base 41", handlers{wire.PathApply: respondJSON(502, unknownOutcome), wire.PathStatus: respondJSON(ok, exampleStatus()), wire.PathPlan: respondJSON(ok, control.ApplyReply{Generation: 42, Base: 41})}, 0},
		"not-in-force":  {"apply testdata/sheet.csv --base 41", handlers{wire.PathApply: respondJSON(502, unknownOutcome), wire.PathStatus: respondJSON(ok, exampleStatus()), wire.PathPlan: respondJSON(ok, planned)}, 4},
		"stop-unknown":  {"stop quotes", handlers{wire.PathStopRows: closeConnection, wire.PathStatus: respondJSON(ok, exampleStatus())}, 4},
		"drain-unknown": {"drain", handlers{wire.PathDrain: closeConnection, wire.PathStatus: closeConnection}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			for _, output := range []string{"table", "json"} {
				entryHost := newHost(t, c.handlers)
				status, stdout, stderr := run(t, []string{entryHost.address()}, append([]string{"-o", output}, strings.Fields(c.args)...)...)
				if status != c.wantStatus {
					t.Errorf("%s: exit status %d, want %d", output, status, c.wantStatus)
				}
				if output == "json" && (!json.Valid([]byte(stdout)) || stderr != "") {
					t.Errorf("the output is not a single JSON document: stdout %s, stderr %s", stdout, stderr)
				}
				g.Assert(t, name+"."+output, []byte(stdout+stderr))
			}
		})
	}
}

// TestHelp guards against unintended changes of the help texts, and against
// wrong arguments that are accepted or whose error does not name them.
func TestHelp(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	g := goldie.New(t)
	for _, name := range []string{"", "plan", "apply", "status", "explain", "stop", "resume", "drain", "check", "replay", "trace", "report"} {
		status, stdout, stderr := run(t, nil, strings.Fields(name+" --help")...)
		if status != 0 || stderr != "" {
			t.Errorf("%s --help: exit status %d, stderr %s", name, status, stderr)
		}
		g.Assert(t, "help-"+name, []byte(stdout))
	}
	for args, want := range map[string]string{
		"":                               "usage: ",
		"aply x":                         "aply",
		"plan":                           "required argument 'file'",
		"plan x":                         "plan needs --host",
		"status --host localhost:1":      `"localhost:1" is not IP:port`,
		"check x --time-zone Sofia":      `unknown time zone "Sofia"`,
		"check x --timeout 0s":           "--timeout must be over 0",
		"trace shard-0":                  "required argument 'log'",
		"check no-such-file":             "no such file",
		"drain --host 1.2.3.4:5,[::]:6":  "exactly one --host",
		"status -o xml --host 1.2.3.4:5": "xml",
	} {
		if status, stdout, stderr := run(t, nil, strings.Fields(args)...); status != render.ExitUsage || stdout != "" || !strings.Contains(stderr, want) {
			t.Errorf("%q: exit status %d, stdout %s, stderr %s; want a usage error with %q", args, status, stdout, stderr, want)
		}
	}
	for _, shell := range []string{"bash", "zsh"} {
		if status, stdout, _ := run(t, nil, "--completion-script-"+shell); status != 0 || !strings.Contains(stdout, "--completion-bash") {
			t.Errorf("completion script for %s: exit status %d, stdout %s", shell, status, stdout)
		}
	}
}

// TestHosts guards against commands that fail although a further host can be
// reached, and against an apply that is sent again after a host may have received
// it.
func TestHosts(t *testing.T) {
	healthy := handlers{
		wire.PathStatus: respondJSON(200, exampleStatus()), wire.PathApply: respondJSON(200, control.ApplyReply{Accepted: true, Generation: 42, Outcome: control.OutcomeDone}),
		wire.PathPlan:    respondJSON(200, control.ApplyReply{Generation: 41, Base: 41, Changes: exampleChanges(t)}),
		wire.PathExplain: respondJSON(200, control.ExplainReply{Subject: "x", Records: []control.DecisionRecord{{Subject: "x"}}}),
	}
	neverResponds := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for scenario, c := range map[string]struct {
		firstHost    handlers // nil: the host is down
		args         string
		wantStatus   int
		wantAtSecond map[string]int // requests that the second host gets
	}{
		"status, first host is down":                {nil, "status", 0, map[string]int{wire.PathStatus: 1}},
		"status, first host closes the connection":  {handlers{wire.PathStatus: closeConnection}, "status", 0, map[string]int{wire.PathStatus: 1}},
		"status, first host reports a server error": {handlers{wire.PathStatus: respondJSON(503, nil)}, "status", 0, map[string]int{wire.PathStatus: 1}},
		"status, first host does not respond":       {handlers{wire.PathStatus: neverResponds}, "status --timeout 2s", 0, map[string]int{wire.PathStatus: 1}},
		"status, first host refuses":                {handlers{wire.PathStatus: respondJSON(403, nil)}, "status", 1, nil},
		"explain, first host has no decision":       {handlers{wire.PathExplain: respondJSON(200, control.ExplainReply{Subject: "x"})}, "explain x", 0, map[string]int{wire.PathExplain: 1}},
		"apply, first host is down":                 {nil, "apply testdata/sheet.csv", 0, map[string]int{wire.PathApply: 1}},
		"apply, first host closes the connection":   {handlers{wire.PathApply: closeConnection, wire.PathStatus: closeConnection, wire.PathPlan: closeConnection}, "apply testdata/sheet.csv", 4, map[string]int{wire.PathStatus: 1, wire.PathPlan: 1}},
		"apply, first host does not respond":        {handlers{wire.PathApply: neverResponds}, "apply testdata/sheet.csv --timeout 300ms", 4, nil},
		"apply, first host reports a server error":  {handlers{wire.PathApply: respondJSON(500, nil), wire.PathStatus: closeConnection, wire.PathPlan: closeConnection}, "apply testdata/sheet.csv", 4, map[string]int{wire.PathStatus: 1, wire.PathPlan: 1}},
		"apply, first host is overloaded":           {handlers{wire.PathApply: respondJSON(503, wire.ErrorResponse{Error: "too busy; the request was not taken"})}, "apply testdata/sheet.csv", 1, nil},
		"apply, first host refuses":                 {handlers{wire.PathApply: respondJSON(400, wire.ErrorResponse{Error: "bad rows"})}, "apply testdata/sheet.csv", 1, nil},
	} {
		t.Run(scenario, func(t *testing.T) {
			first, second := newHost(t, c.firstHost), newHost(t, healthy)
			if c.firstHost == nil {
				first.Close()
			}
			status, stdout, stderr := run(t, []string{first.address(), second.address()}, strings.Fields(c.args)...)
			if status != c.wantStatus {
				t.Errorf("exit status %d, want %d; stdout %s, stderr %s", status, c.wantStatus, stdout, stderr)
			}
			for _, path := range []string{wire.PathApply, wire.PathStatus, wire.PathPlan, wire.PathExplain} {
				if n := second.count(path); n != c.wantAtSecond[path] {
					t.Errorf("the second host got %d requests to %s, want %d", n, path, c.wantAtSecond[path])
				}
			}
			if n := first.count(wire.PathApply); n > 1 {
				t.Errorf("the first host got %d apply requests, want at most 1", n)
			}
		})
	}
	// A redirect must not send a change to another host, nor turn it into a GET.
	for _, code := range []int{http.StatusTemporaryRedirect, http.StatusSeeOther} {
		target := newHost(t, healthy)
		from := newHost(t, handlers{wire.PathApply: func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, target.URL+wire.PathApply, code)
		}})
		if status, _, _ := run(t, []string{from.address()}, "apply", "testdata/sheet.csv"); status != render.ExitUnknown || len(target.requests) > 0 {
			t.Errorf("redirect with status %d: exit status %d, want %d; followed %d times, want 0", code, status, render.ExitUnknown, len(target.requests))
		}
	}
	down := newHost(t, nil)
	down.Close()
	if status, _, stderr := run(t, []string{down.address()}, "apply", "testdata/sheet.csv"); status != render.ExitUnreachable || !strings.Contains(stderr, "nothing was changed") {
		t.Errorf("no host can be reached: exit status %d, want %d; stderr %s", status, render.ExitUnreachable, stderr)
	}
}

// TestRequests guards against requests whose arguments are missing or wrongly
// encoded.
func TestRequests(t *testing.T) {
	entryHost := newHost(t, handlers{})
	hosts := []string{entryHost.address()}
	run(t, hosts, "apply", "testdata/sheet.csv", "--base", "41", "--confirm-removals", "5", "--author", "ngozi")
	run(t, hosts, "resume", "a", "b c")
	run(t, hosts, "explain", "a b/ю")
	rows, _ := json.Marshal(sheetRows(t))
	want := []string{
		`POST /v1/apply {"author":"ngozi","rows":` + string(rows) + `,"base":41,"confirm_removals":5}`,
		`POST /v1/stop-work {"author":"ivan","rows":["a","b c"],"resume":true}`,
		`GET /v1/explain?subject=a+b%2F%D1%8E `,
	}
	if got := strings.Join(entryHost.requests, "\n"); got != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}
