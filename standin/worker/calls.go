package worker

import (
	"net/http"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
)

const maxHold = 60 * time.Second // longest service time that a caller may ask for

// call is an admitted call. It occupies one slot.
type call struct{ task structs.TaskID }

// callArrived admits a call, or refuses it before it takes any effect.
func (s *State) callArrived(e CallArrived) {
	switch {
	case s.faults.Hang:
		s.emit(Reply{Exchange: e.Exchange, Answer: exchange.Answer{Hang: true}})
		return
	case s.faults.Down:
		s.emit(Reply{Exchange: e.Exchange, Answer: exchange.Answer{Lose: true}})
		return
	}
	run := s.findReplica(e.Service, e.Task)
	switch {
	case run == nil:
		s.refuse(e.Exchange, "no such replica runs here")
	case len(s.calls) >= s.options.Host.Slots:
		s.refuse(e.Exchange, "all slots are in use")
	case s.connections > s.options.Host.Connections:
		s.refuse(e.Exchange, "too many connections")
	default:
		s.admit(e, run)
	}
}

// findReplica returns the run that answers a call to the service: that of the
// given task, or the first by task ID if none is given.
func (s *State) findReplica(service, task string) *taskRun {
	for _, run := range s.sortedRuns() {
		if run.spec.Kind == structs.KindService && run.spec.Row == service && (task == "" || task == run.ref.Task) {
			return run
		}
	}
	return nil
}

// refuse answers that the call was not admitted and has certainly not run.
func (s *State) refuse(id exchange.ID, reason string) {
	s.emit(Reply{
		Exchange: id, Refused: true, SlotsUsed: len(s.calls), Leaving: s.leaving,
		Answer: exchange.Answer{Status: http.StatusServiceUnavailable, Body: wire.Refusal{Reason: reason}, Delay: s.answerDelay()},
	})
}

func (s *State) admit(e CallArrived, run *taskRun) {
	hold := time.Duration(float64(run.behavior.hold) * s.slowdown())
	if e.Hold > 0 {
		hold = min(e.Hold, maxHold)
	}
	s.calls[e.Exchange] = call{task: structs.TaskID(run.ref.Task)}
	s.recordExecution(e, run)
	s.emit(Admit{
		Exchange: e.Exchange, Hold: hold, SlotsUsed: len(s.calls), Leaving: s.leaving, Lose: s.drawLostAnswer(), Delay: s.answerDelay(),
		Plan: stream.Plan{
			CallerID: e.CallerID, RequestID: e.RequestID, Service: e.Service, Task: run.ref.Task,
			Digest: e.Digest, Chunks: run.behavior.chunks,
		},
	})
}

// recordExecution records an admitted call, in the journal too, before it runs.
func (s *State) recordExecution(e CallArrived, run *taskRun) {
	execution := wire.Execution{
		Worker: structs.WorkerID(s.options.Host.ID), Service: e.Service, Task: structs.TaskID(run.ref.Task),
		Run: structs.Run(run.ref.Run), RequestID: e.RequestID, Key: e.Key, CallerID: e.CallerID, AtMS: s.wallMS,
	}
	if len(s.executions) == maxExecutions {
		s.executions = slices.Delete(s.executions, 0, maxExecutions/2)
	}
	s.executions = append(s.executions, execution)
	if e.Key != "" {
		s.executionsByKey[e.Key]++
	}
	s.emit(AppendJournal{Entry: wire.JournalEntry{Execution: &execution}})
}

// abortCalls ends the calls of a replica that has stopped, since a stopped
// process answers nothing.
func (s *State) abortCalls(task structs.TaskID) {
	var aborted []exchange.ID
	for id, c := range s.calls {
		if c.task == task {
			aborted = append(aborted, id)
		}
	}
	slices.Sort(aborted)
	for _, id := range aborted {
		delete(s.calls, id)
		s.emit(AbortCall{Exchange: id})
	}
}
