package audit

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/caller"
)

// run returns the journal entries of a run. An end of 0 means that none was
// recorded.
func run(worker string, n structs.Run, start, end, lease int64, state structs.RunState) []wire.JournalEntry {
	r := wire.RunInterval{Worker: structs.WorkerID(worker), Task: "t", Run: n, StartMS: start, LeaseEndMS: lease, State: structs.RunRunning}
	entries := []wire.JournalEntry{{Started: &r}}
	if end > 0 {
		e := r
		e.EndMS, e.State = end, state
		entries = append(entries, wire.JournalEntry{Ended: &e})
	}
	return entries
}

// Guards against an audit of runs that misses an overlap, or that reports one
// although the former worker had been killed or was frozen.
func TestRuns(t *testing.T) {
	at := time.UnixMilli
	for _, c := range []struct {
		name          string
		first         []wire.JournalEntry
		faults        ProcessFaults
		wantViolation bool
	}{
		{"ended before", run("a", 1, 100, 200, 900, structs.RunStopped), ProcessFaults{}, false},
		{"ended after", run("a", 1, 100, 600, 900, structs.RunStopped), ProcessFaults{}, true},
		{"never ended", run("a", 1, 100, 0, 300, ""), ProcessFaults{}, true},
		{"killed before", run("a", 1, 100, 0, 300, ""), ProcessFaults{KilledAt: at(400)}, false},
		{"killed after", run("a", 1, 100, 0, 300, ""), ProcessFaults{KilledAt: at(600)}, true},
		{"ended long after lease expiry", run("a", 1, 100, 800, 300, structs.RunLeaseExpired), ProcessFaults{}, true},
		{"lease expired while frozen", run("a", 1, 100, 800, 300, structs.RunLeaseExpired), ProcessFaults{Frozen: []Span{{at(200), at(790)}}}, false},
		{"lease expired after the next start", run("a", 1, 100, 800, 700, structs.RunLeaseExpired), ProcessFaults{Frozen: []Span{{at(200), at(790)}}}, true},
		{"same run twice", run("a", 2, 100, 200, 900, structs.RunStopped), ProcessFaults{}, true},
	} {
		journal := append(c.first, run("b", 2, 500, 0, 900, "")...)
		found := CheckRuns(journal, map[structs.WorkerID]ProcessFaults{"a": c.faults}, at(1000))
		if (len(found) > 0) != c.wantViolation {
			t.Errorf("%s: got violations %v", c.name, found)
		}
	}
}

// Guards against an audit of orders that misses a duplicate or lost order, or one
// that ran although it was reported as not run.
func TestOrders(t *testing.T) {
	x := wire.JournalEntry{Execution: &wire.Execution{Key: "k"}}
	for _, c := range []struct {
		state         caller.OrderState
		ran           int
		wantViolation bool
	}{
		{caller.OrderDone, 1, false}, {caller.OrderDone, 0, true}, {caller.OrderDone, 2, true},
		{caller.OrderNotRun, 0, false}, {caller.OrderNotRun, 1, true},
		{caller.OrderUnknown, 0, false}, {caller.OrderUnknown, 1, false}, {caller.OrderUnknown, 2, true},
	} {
		var journal []wire.JournalEntry
		for range c.ran {
			journal = append(journal, x)
		}
		found := CheckOrders(journal, []caller.Report{{Orders: []caller.Order{{Key: "k", State: c.state}}}})
		if (len(found) > 0) != c.wantViolation {
			t.Errorf("order %s, ran %d times: got violations %v", c.state, c.ran, found)
		}
	}
}
