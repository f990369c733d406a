// Package audit checks the guarantees of a deployment after a run, from the
// journals of the workers and the reports of the callers. It holds no state:
// all functions are pure and return one line per violation.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/caller"
)

// Span is a period of wall-clock time. A zero End means that it has not ended.
type Span struct{ Begin, End time.Time }

func (s Span) contains(ms int64) bool {
	return ms >= s.Begin.UnixMilli() && (s.End.IsZero() || ms <= s.End.UnixMilli())
}

// ProcessFaults are the faults injected into the process of a worker.
type ProcessFaults struct {
	KilledAt time.Time // zero: not killed
	Frozen   []Span    // periods between SIGSTOP and SIGCONT
}

// CheckOrders checks that each order ran as often as its caller may conclude from the
// outcome: once if done, never if not run, at most once if unknown. The result
// includes the violations that callers detected, such as answers to another
// request.
func CheckOrders(journal []wire.JournalEntry, reports []caller.Report) []string {
	executed := make(map[string][]wire.Execution)
	for _, e := range journal {
		if e.Execution != nil && e.Execution.Key != "" {
			executed[e.Execution.Key] = append(executed[e.Execution.Key], *e.Execution)
		}
	}
	var violations []string
	for _, r := range reports {
		violations = append(violations, r.Violations...)
		for _, o := range r.Orders {
			executions := executed[o.Key]
			ok := len(executions) <= 1
			switch o.State {
			case caller.OrderDone:
				ok = len(executions) == 1
			case caller.OrderNotRun:
				ok = len(executions) == 0
			}
			if !ok {
				violations = append(violations, fmt.Sprintf("order %s is %s according to its caller but ran %d times: %+v", o.Key, o.State, len(executions), executions))
			}
		}
	}
	return violations
}

// interval is a run of a task with the end that the audit assumes.
type interval struct {
	wire.RunInterval
	endMS int64 // Unix milliseconds
}

// CheckRuns checks that no task ran on two workers at once, that run numbers increase,
// and that no worker ran tasks beyond its capacity. A run without a recorded end
// lasts until now, or until its worker was killed.
//
// A frozen worker does nothing until it continues, and then handles expired
// leases first. A run whose lease expired while the worker was frozen therefore ended when
// the lease did.
func CheckRuns(journal []wire.JournalEntry, faults map[structs.WorkerID]ProcessFaults, now time.Time) []string {
	var violations []string
	byTask := make(map[structs.TaskID][]interval)
	for _, i := range intervals(journal, faults, now) {
		byTask[i.Task] = append(byTask[i.Task], i)
	}
	for _, e := range journal {
		if e.Overcommit != nil {
			violations = append(violations, fmt.Sprintf("worker %s was overcommitted by %s run %d", e.Overcommit.Worker, e.Overcommit.Task, e.Overcommit.Run))
		}
	}
	for _, list := range byTask {
		slices.SortFunc(list, func(a, b interval) int {
			return cmp.Or(cmp.Compare(a.StartMS, b.StartMS), cmp.Compare(a.Run, b.Run))
		})
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			if after.StartMS < before.endMS || after.Run <= before.Run {
				violations = append(violations, fmt.Sprintf("task %s: run %d on %s from %d to %d (%s) conflicts with run %d on %s from %d",
					after.Task, before.Run, before.Worker, before.StartMS, before.endMS, before.State, after.Run, after.Worker, after.StartMS))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// intervals returns all runs in the journal with their recorded or assumed ends.
func intervals(journal []wire.JournalEntry, faults map[structs.WorkerID]ProcessFaults, now time.Time) []interval {
	type runKey struct {
		worker structs.WorkerID
		task   structs.TaskID
		run    structs.Run
	}
	ended := make(map[runKey]wire.RunInterval)
	for _, e := range journal {
		if r := e.Ended; r != nil {
			ended[runKey{r.Worker, r.Task, r.Run}] = *r
		}
	}
	var list []interval
	for _, e := range journal {
		if e.Started == nil {
			continue
		}
		r := *e.Started
		fault := faults[r.Worker]
		i := interval{RunInterval: r, endMS: now.UnixMilli()}
		if end, ok := ended[runKey{r.Worker, r.Task, r.Run}]; ok {
			i.RunInterval, i.endMS = end, end.EndMS
		} else if !fault.KilledAt.IsZero() {
			i.endMS = fault.KilledAt.UnixMilli()
		}
		if i.State == structs.RunLeaseExpired {
			for _, span := range fault.Frozen {
				if span.contains(i.LeaseEndMS) {
					i.endMS = min(i.endMS, i.LeaseEndMS)
				}
			}
		}
		list = append(list, i)
	}
	return list
}

// CheckNoNewWork checks that a worker received no call and no run after the given
// time.
func CheckNoNewWork(journal []wire.JournalEntry, worker structs.WorkerID, after time.Time) []string {
	var violations []string
	for _, e := range journal {
		if call := e.Execution; call != nil && call.Worker == worker && call.AtMS > after.UnixMilli() {
			violations = append(violations, fmt.Sprintf("worker %s received call %s %d ms too late", worker, call.RequestID, call.AtMS-after.UnixMilli()))
		}
		if run := e.Started; run != nil && run.Worker == worker && run.StartMS > after.UnixMilli() {
			violations = append(violations, fmt.Sprintf("worker %s received task %s run %d %d ms too late", worker, run.Task, run.Run, run.StartMS-after.UnixMilli()))
		}
	}
	return violations
}
