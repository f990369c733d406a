package failtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/caller"
	"github.com/tamarackstep/tamarackstep/standin/internal/audit"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

// The timeouts are multiples of the targets on the design page, because the tests
// share their machine with other work.
const (
	recoveryTimeout          = 15 * time.Second // takeover of a dead owner's partitions; target 5 s
	inForceTimeout           = 10 * time.Second // generation of a new sheet on all hosts; target 3 s
	placementTimeout         = 30 * time.Second // until the tasks of a new sheet run
	reschedulingTimeout      = 60 * time.Second // until the tasks of a lost worker run: lease of 15 s, clock drift, watchdog, placement
	drainTimeout             = 40 * time.Second // planned stop; its own timeout is 30 s
	reportTimeout            = 30 * time.Second // until a stopped caller has finished its jobs and reported
	leavingTargetGracePeriod = 3 * time.Second  // after this a leaving target gets no new call or task
	partitions               = 3
	loadName                 = "load"
	callsBeforeFailure       = 100
	callsAfterRecovery       = 100
	loadTimeout              = 30 * time.Second // until the targets have executed these calls
	maxDeployments           = 2                // that run at once; each has up to 9 processes
)

var (
	programFolder   string                                // holds the built programs
	deploymentSlots = make(chan struct{}, maxDeployments) // one token per deployment
	calledService   = "member-portal"                     // service that the load calls
	sheetRows       = []structs.SheetRow{
		{
			Name: calledService, Kind: structs.KindService, Team: "portal", Command: "hold_ms=20 chunks=4",
			Importance: structs.ImportanceUrgent, Count: 4, Request: structs.Resources{MilliCores: 4000, MemoryMB: 2000},
		},
		{
			Name: "study", Kind: structs.KindBatch, Team: "portal", Command: "use=0.8", Importance: structs.ImportanceNormal,
			Count: 4, Request: structs.Resources{MilliCores: 8000, MemoryMB: 8000}, RunTimeMS: 600_000,
		},
	}
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "tamarackstep-failtest-")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// buildPrograms compiles the programs once per test run.
var buildPrograms = sync.OnceValue(func() error {
	text, err := exec.Command("go", "build", "-o", programFolder+"/", "../../entry/cmd/tamarackstep", "../cmd/standin").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build the programs: %w: %s", err, text)
	}
	return nil
})

// cluster is a deployment under load.
type cluster struct {
	*deployment.Deployment
	t       *testing.T
	ctx     context.Context
	load    *deployment.Process
	monitor *generationMonitor
}

// loadFlags returns the flags of a load: calls and orders per second, and the
// service time that they ask for in milliseconds, 0 for the targets' own.
func loadFlags(calls, orders, holdMS int) []string {
	return []string{"--calls", fmt.Sprint(calls), "--orders", fmt.Sprint(orders), "--hold-ms", fmt.Sprint(holdMS)}
}

// startCluster starts a deployment with 3 entry hosts and 8 workers in 4
// processes, applies a sheet, waits until its tasks run, and starts a caller.
func startCluster(t *testing.T, store func(int, string) string, load []string) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	t.Parallel()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx}
	folder := testFolder(t)
	d, err := deployment.New(ctx, deployment.Options{
		ProgramFolder: programFolder, Folder: folder, Workers: deployment.WorkerGroupsByRack(4, partitions), EntryHosts: 3, Partitions: partitions, StoreAddress: store,
	})
	t.Cleanup(func() { printLogs(t, folder) })
	c.must(err)
	t.Cleanup(d.Close)
	c.Deployment = d
	c.apply(0, "planner", 0, sheetRows)
	c.must(d.AwaitGeneration(ctx, 1, inForceTimeout))
	c.must(d.AwaitRunning(ctx, sheetRows, placementTimeout))
	c.monitor = monitorGenerations(ctx, d)
	c.load, err = d.StartCaller(loadName, calledService, append([]string{"--repeat", "--in-progress", "200"}, load...)...)
	c.must(err)
	c.awaitExecutedCalls(callsBeforeFailure)
	return c
}

// awaitExecutedCalls waits until the targets have executed the given number of
// further calls of the load, so that the load covers the time before the failure
// and after the recovery.
func (c *cluster) awaitExecutedCalls(more int) {
	c.t.Helper()
	first := c.executedCalls()
	c.must(deployment.Await(c.ctx, "executed calls of the load", loadTimeout, func() error {
		if n := c.executedCalls() - first; n < more {
			return fmt.Errorf("targets executed %d of %d calls", n, more)
		}
		return nil
	}))
}

func (c *cluster) executedCalls() int {
	c.t.Helper()
	journal, err := c.Journal()
	c.must(err)
	n := 0
	for _, e := range journal {
		if e.Execution != nil && strings.HasPrefix(e.Execution.CallerID, loadName) {
			n++
		}
	}
	return n
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// apply applies a sheet through an entry host, which must accept it, and returns
// its generation.
func (c *cluster) apply(host int, author string, base structs.Generation, rows []structs.SheetRow) structs.Generation {
	c.t.Helper()
	reply, err := c.EntryHosts[host].Apply(wire.ApplyRequest{Author: author, Base: uint64(base), Rows: rows})
	c.must(err)
	if !reply.Accepted {
		c.t.Fatalf("sheet of %s refused: %+v", author, reply)
	}
	return reply.Generation
}

// stopAndAudit stops the load, reports each violation that the audit of orders,
// runs and generations finds, and returns the caller's report and the journal.
func (c *cluster) stopAndAudit() (caller.Report, []wire.JournalEntry) {
	c.t.Helper()
	c.awaitExecutedCalls(callsAfterRecovery)
	report, err := deployment.StopCaller(c.load, reportTimeout)
	c.must(err)
	journal, err := c.Journal()
	c.must(err)
	found := audit.CheckOrders(journal, []caller.Report{report})
	found = append(found, audit.CheckRuns(journal, c.ProcessFaults(), time.Now())...)
	found = append(found, c.monitor.violations()...)
	rejected, err := c.RejectedTransactions()
	c.must(err)
	for _, reason := range rejected {
		found = append(found, "the store rejected a transaction: "+reason)
	}
	for _, line := range found {
		c.t.Error(line)
	}
	if report.CallsDone == 0 {
		c.t.Error("no idempotent call got a complete answer")
	}
	c.t.Logf("calls %d, complete answers %d, failed %d, retries %d, orders %d, statuses %v, incomplete attempts %d, p50 %.1f ms, p99 %.1f ms, longest gap %.0f ms",
		report.Calls, report.CallsDone, report.CallsFailed, report.Retries, len(report.Orders), report.Statuses, len(report.IncompleteAttempts),
		report.P50MS, report.P99MS, report.LongestGapMS)
	return report, journal
}

// busiestOwner returns the active entry host that owns the most partitions.
func (c *cluster) busiestOwner() *deployment.EntryHost {
	c.t.Helper()
	var rows []structs.PartitionRow
	c.must(deployment.Await(c.ctx, "the partition rows", recoveryTimeout, func() (err error) {
		rows, err = c.PartitionRows()
		return err
	}))
	var best *deployment.EntryHost
	owned := make(map[structs.HostID]int)
	for _, r := range rows {
		owned[r.Owner]++
		if h := c.EntryHost(r.Owner); h != nil && (best == nil || owned[r.Owner] > owned[structs.HostID(best.ID)]) {
			best = h
		}
	}
	if best == nil {
		c.t.Fatal("no partition has an owner")
	}
	return best
}

// awaitOwnersOtherThan waits until every partition has an owner other than the
// excluded host.
func (c *cluster) awaitOwnersOtherThan(excluded string) {
	c.t.Helper()
	began := time.Now()
	c.must(deployment.Await(c.ctx, "an owner other than "+excluded+" for each partition", recoveryTimeout, func() error {
		rows, err := c.PartitionRows()
		if err != nil {
			return err
		}
		for _, r := range rows {
			if r.Owner == "" || string(r.Owner) == excluded {
				return fmt.Errorf("a partition is owned by %q", r.Owner)
			}
		}
		return nil
	}))
	c.t.Logf("all partitions had other owners after %.1f s", time.Since(began).Seconds())
}

// callThroughEachHost sends a call through each active entry host.
func (c *cluster) callThroughEachHost(name string) {
	c.t.Helper()
	for _, h := range c.ActiveEntryHosts() {
		c.must(deployment.Await(c.ctx, "a call through "+h.ID, recoveryTimeout, func() error {
			return h.Call(calledService, name+"-"+h.ID, "", 0)
		}))
	}
}

// generationMonitor polls the entry hosts and records each generation that is
// lower than an earlier one of the same host.
type generationMonitor struct {
	stop  chan struct{}
	found chan []string
}

func monitorGenerations(ctx context.Context, d *deployment.Deployment) *generationMonitor {
	w := &generationMonitor{stop: make(chan struct{}), found: make(chan []string, 1)}
	go func() {
		var found []string
		last := make(map[string]structs.Generation)
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			for _, h := range d.ActiveEntryHosts() {
				if status, err := h.Status(); err == nil {
					if status.Generation < last[h.ID] {
						found = append(found, fmt.Sprintf("generation of %s went back from %d to %d", h.ID, last[h.ID], status.Generation))
					}
					last[h.ID] = status.Generation
				}
			}
			select {
			case <-w.stop:
				w.found <- found
				return
			case <-ctx.Done():
				w.found <- found
				return
			case <-ticker.C:
			}
		}
	}()
	return w
}

// violations stops the monitor and returns what it found.
func (w *generationMonitor) violations() []string {
	close(w.stop)
	return <-w.found
}

// testFolder returns the folder for settings, logs and journals of a test. If
// FAILTEST_FOLDER names an existing folder, they are kept there.
func testFolder(t *testing.T) string {
	keep := os.Getenv("FAILTEST_FOLDER")
	if keep == "" {
		return t.TempDir()
	}
	folder, err := os.MkdirTemp(keep, t.Name()+"-")
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// printLogs prints the last lines of each log of a failed test.
func printLogs(t *testing.T, folder string) {
	if !t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		lines := strings.SplitAfter(string(text), "\n")
		t.Logf("%s:\n%s", filepath.Base(path), strings.Join(lines[max(0, len(lines)-25):], ""))
	}
}
