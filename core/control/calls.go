package control

import (
	"slices"
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	defaultCallTimeout = 30 * time.Second
	maxAttempts        = 4               // failed dispatches of one call; guard refusals do not count
	cancelTimeout      = 5 * time.Second // a cancelled attempt occupies its worker's slot for at most this long
	defaultRetryAfter  = 1 * time.Second
)

// HTTP statuses of answers from the entry host itself.
const (
	statusInvalid     = 400
	statusConflict    = 409
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// RetryableStatus reports whether a call whose answer has the status may be
// retried. A dispatch that is not Final withholds such an answer from the
// caller until AnswerFinished has been handled.
func RetryableStatus(status int) bool {
	return status == statusBadGateway || status == statusUnavailable || status == statusTimeout
}

// callState holds the calls in progress on this entry host, and the services
// and worker loads that routing uses.
type callState struct {
	byID          map[CallID]*call
	services      map[string]*service
	loads         map[structs.WorkerID]*workerLoad
	waiting       []*service // services with queued calls, by importance, then name
	queueTimerSet bool       // timerCallQueue is set
	lastArrival   Instant    // when the last call arrived
}

type callPhase uint8

const (
	callClaiming   callPhase = iota + 1 // waits for its claim to become durable
	callQueued                          // waits for a target with a free slot
	callDispatched                      // an attempt is in progress
)

// call is one caller's request.
//
// Invariant: a call with mayHaveRun, or with a dispatched attempt that was not
// refused, is never answered AnswerNotRun.
type call struct {
	id           CallID
	request      CallArrived
	service      *service
	class        *callClass
	claim        *claim // nil: none
	phase        callPhase
	idempotent   bool
	callerLeft   bool
	relaying     bool // the answer is being relayed to the caller
	mayHaveRun   bool // an earlier attempt may have run
	final        bool // the current attempt's answer is relayed whatever its status
	probe        bool // the current attempt tests an ejected target
	deadline     Instant
	queuedAt     Instant
	sentAt       Instant
	callerLeftAt Instant
	attempt      uint64
	target       *target              // of the current attempt
	failed       [maxAttempts]*target // excluded for further attempts
	failures     int
	heapIndex    int // position in its callHeap
}

func newCallState() callState {
	return callState{
		byID: make(map[CallID]*call), services: make(map[string]*service),
		loads: make(map[structs.WorkerID]*workerLoad),
	}
}

func (c *callState) inProgress() int { return len(c.byID) }

// unfinished returns the request ids of the calls in progress, sorted.
func (c *callState) unfinished() []string {
	var names []string
	for _, x := range c.byID {
		names = append(names, x.request.RequestID)
	}
	sort.Strings(names)
	return names
}

// undispatched returns the calls that wait for a claim or a target, sorted.
func (c *callState) undispatched() []CallID {
	var ids []CallID
	for id, x := range c.byID {
		if x.phase != callDispatched {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *State) callArrived(r CallArrived) {
	s.calls.lastArrival = s.now
	c := &call{id: r.Call, request: r, deadline: s.now + defaultCallTimeout}
	if r.Timeout > 0 {
		c.deadline = s.now + r.Timeout
	}
	s.calls.byID[c.id] = c
	c.service = s.calls.services[r.Service]
	switch {
	case !s.ready():
		s.answerNotRun(c, "no configuration is in force yet", defaultRetryAfter)
		return
	case c.service == nil || len(c.service.targets) == 0:
		s.answerNotRun(c, "no target runs the service", defaultRetryAfter)
		return
	}
	s.refreshServiceRow(c.service)
	c.class = c.service.classOf(r.Method, r.Class, s.now)
	c.idempotent = c.service.row.Idempotent || idempotentMethod(r.Method)
	c.service.budget.deposit()
	if !c.idempotent && r.Key != "" {
		s.claimCall(c)
		return
	}
	s.route(c)
}

func idempotentMethod(m string) bool {
	switch m {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// callerGone handles a caller that left. A call that was not dispatched ends,
// and the attempt of a dispatched one is cancelled. A claimed call that was
// dispatched runs to its end, so that its result is stored for a repeat of the
// call.
func (s *State) callerGone(r CallerGone) {
	c, ok := s.calls.byID[r.Call]
	if !ok || c.callerLeft {
		return
	}
	c.callerLeft, c.callerLeftAt = true, s.now
	if c.phase != callDispatched {
		s.recordCallDecision(c, "dropped", "", "caller left before dispatch")
		s.endNotRun(c)
		return
	}
	if c.claim != nil {
		return
	}
	s.recordCallDecision(c, "cancelled", c.target.spec.Worker, "caller left")
	s.emit(CancelDispatch{Call: c.id, Attempt: c.attempt})
	s.setTimer(s.now+cancelTimeout, timerCallDeadline, uint64(c.id))
}

// callDeadline ends a call that is still queued at its deadline, and a call
// whose cancelled attempt has not reported its end within cancelTimeout.
func (s *State) callDeadline(id CallID) {
	c, ok := s.calls.byID[id]
	if !ok {
		return
	}
	switch {
	case c.phase == callQueued && s.now >= c.deadline:
		s.answerNotRun(c, "deadline passed while waiting for a target", defaultRetryAfter)
	case c.phase == callDispatched && c.callerLeft && c.claim == nil && s.now >= c.callerLeftAt+cancelTimeout:
		load := c.target.load
		s.endAttempt(c)
		s.endCall(c)
		s.serveWorker(load)
	}
}

// answerNotRun ends a call that was never dispatched, or none of whose attempts
// ran, and releases its claim.
func (s *State) answerNotRun(c *call, reason string, retryAfter time.Duration) {
	if c.mayHaveRun {
		s.answerUnknown(c, statusBadGateway, reason)
		return
	}
	s.recordCallDecision(c, "refused", "", reason)
	if !c.callerLeft {
		s.emit(AnswerCall{
			Call: c.id, Kind: AnswerNotRun, Status: statusUnavailable, Reason: reason, RetryAfter: retryAfter,
		})
	}
	s.endNotRun(c)
}

// answerUnknown ends a call that may have run.
func (s *State) answerUnknown(c *call, status int, reason string) {
	s.recordCallDecision(c, "outcome unknown", "", reason)
	if !c.callerLeft && !c.relaying {
		s.emit(AnswerCall{Call: c.id, Kind: AnswerUnknown, Status: status, Reason: reason})
	}
	if c.claim != nil {
		s.finishClaim(c.claim, structs.ClaimUnknown, AnswerFinished{})
	}
	s.endCall(c)
}

// endNotRun ends a call that certainly did not run, without an answer.
func (s *State) endNotRun(c *call) {
	if c.claim != nil {
		s.releaseClaim(c.claim)
	}
	s.endCall(c)
}

// endCall removes a call from its queue and from the calls in progress.
func (s *State) endCall(c *call) {
	if c.phase == callQueued {
		c.service.queues.remove(c)
	}
	c.phase = 0
	delete(s.calls.byID, c.id)
	s.endDrainIfIdle()
}

// recordCallDecision emits a decision record about a call.
func (s *State) recordCallDecision(c *call, action string, where structs.WorkerID, reason string) {
	s.recordDecision(DecisionRecord{
		Part: "routing", Action: action, Subject: c.request.RequestID, Where: string(where), Reason: reason,
		Request: c.request.RequestID,
	})
}

func (s *State) serviceStatuses() []ServiceStatus {
	var list []ServiceStatus
	for _, row := range s.config.current.Rows {
		if row.Kind != structs.KindService {
			continue
		}
		st := ServiceStatus{Service: row.Name, DesiredTargets: row.Count}
		if svc := s.calls.services[row.Name]; svc != nil {
			st.Targets, st.InFlight, st.Queued = len(svc.targets), svc.inFlight, svc.queues.len()
		}
		list = append(list, st)
	}
	return list
}
