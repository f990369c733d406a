package worker

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

const (
	registerRetryDelay = 500 * time.Millisecond
	objectRetryDelay   = 500 * time.Millisecond
	maxExecutions      = 500_000 // beyond it the older half is dropped from memory; the journal keeps all
)

// Options configures a worker.
type Options struct {
	Host           wire.Host     // host list entry; the worker sets its State
	Incarnation    string        // unique per process
	CheckpointTime time.Duration // from the command to the write of the checkpoint
	UsageLag       time.Duration // age of the usage samples in sync answers
	Seed           uint64        // of the draws that decide which answers are lost
}

// State is the reducer's state. It implements loop.Machine.
//
// Invariants: runs holds at most one run of a task; ended holds the latest run
// of a task that ended or was stopped on this worker, and neither that run nor
// an earlier one starts again.
type State struct {
	options         Options
	now             time.Duration // the worker's monotonic clock
	wallMS          int64         // wall clock, Unix milliseconds
	faults          wire.Faults
	leaving         bool
	registerAt      time.Duration  // when to register next; 0: registered, or the request is in flight
	epochs          map[int]uint64 // highest epoch seen, by partition
	runs            map[structs.TaskID]*taskRun
	ended           map[structs.TaskID]structs.RunStatus
	calls           map[exchange.ID]call // admitted, not ended
	connections     int                  // open connections to the listener
	executions      []wire.Execution     // admitted calls, oldest first
	executionsByKey map[string]int       // by idempotency key
	intervals       []wire.RunInterval
	rng             *rand.Rand
	effects         []Effect
}

// New returns the state of a worker without runs. It registers with the
// platform at the first timer event.
func New(options Options) *State {
	return &State{
		options: options, registerAt: 1, epochs: make(map[int]uint64), runs: make(map[structs.TaskID]*taskRun),
		ended: make(map[structs.TaskID]structs.RunStatus), calls: make(map[exchange.ID]call),
		executionsByKey: make(map[string]int), rng: rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// TimerEvent returns the event that reports a passed deadline.
func (s *State) TimerEvent() Event { return TimerFired{} }

// NextDeadline returns the earliest moment at which a lease, a task or a retry
// is due.
func (s *State) NextDeadline() (time.Duration, bool) {
	next, ok := s.registerAt, s.registerAt > 0
	for _, run := range s.runs {
		if at := run.nextDeadline(s.now); !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

// Step applies one event. Expired leases are handled first, so that a command
// that waited while the process was frozen cannot renew them.
func (s *State) Step(at time.Duration, wallMS int64, event Event) []Effect {
	s.now, s.wallMS, s.effects = at, wallMS, nil
	s.advance()
	switch e := event.(type) {
	case Command:
		s.handleCommand(e)
	case CallArrived:
		s.callArrived(e)
	case CallEnded:
		delete(s.calls, e.Exchange)
	case ConnectionChanged:
		s.connections += e.By
	case ObjectWritten:
		s.checkpointWritten(e)
	case ObjectRead:
		s.checkpointRead(e)
	case Registered:
		if !e.OK {
			s.registerAt = s.now + registerRetryDelay
		}
	case FaultsChanged:
		s.faults = e.Faults
		s.reply(e.Exchange, http.StatusOK, nil)
	case LeaveChanged:
		s.leaving, s.registerAt = e.Leaving, s.now
		s.reply(e.Exchange, http.StatusOK, nil)
	case ExecutionsRequested:
		s.reply(e.Exchange, http.StatusOK, s.executionsAnswer())
	case RunIntervalsRequested:
		s.reply(e.Exchange, http.StatusOK, wire.RunIntervalsResponse{Runs: append([]wire.RunInterval(nil), s.intervals...)})
	}
	s.register()
	return s.effects
}

func (s *State) emit(f Effect) { s.effects = append(s.effects, f) }

// reply answers without an injected delay or loss.
func (s *State) reply(id exchange.ID, status int, body any) {
	s.emit(Reply{Exchange: id, Answer: exchange.Answer{Status: status, Body: body}})
}

// register sends the host list entry if it has changed or the last attempt failed.
func (s *State) register() {
	if s.registerAt == 0 || s.now < s.registerAt {
		return
	}
	s.registerAt = 0
	h := s.options.Host
	h.State = string(structs.HostLive)
	if s.leaving {
		h.State = string(structs.HostLeaving)
	}
	s.emit(Register{Host: h})
}

func (s *State) executionsAnswer() wire.ExecutionsResponse {
	a := wire.ExecutionsResponse{Executions: append([]wire.Execution(nil), s.executions...), ByKey: make(map[string]int, len(s.executionsByKey))}
	for k, n := range s.executionsByKey {
		a.ByKey[k] = n
	}
	return a
}

// drawLostAnswer draws whether the next answer is lost.
func (s *State) drawLostAnswer() bool { return s.rng.IntN(1000) < s.faults.LoseResponsesPerMill }

func (s *State) answerDelay() time.Duration {
	return time.Duration(s.faults.DelayMS) * time.Millisecond
}
