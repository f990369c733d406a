package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// The retry budget of a service, in thousandths of a retry.
const (
	retryCost      = 1000
	retryDeposit   = 100   // per call; retries add at most a tenth to a service's load
	maxRetryBudget = 10000 // kept for a burst of failures, such as the loss of one worker
)

// retryBudget is a token bucket: calls add tokens and retries spend them.
type retryBudget struct{ tokens int }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget} }

func (b *retryBudget) deposit() { b.tokens = min(b.tokens+retryDeposit, maxRetryBudget) }

func (b *retryBudget) canWithdraw() bool { return b.tokens >= retryCost }

// canRetry reports whether the call may be retried if its current attempt
// fails.
func (s *State) canRetry(c *call) bool {
	return c.idempotent && c.request.Replayable && !c.callerLeft && c.failures+1 < maxAttempts &&
		len(c.service.targets) > 1 && c.service.budget.canWithdraw()
}

// answerStarted handles the headers of a target's answer.
func (s *State) answerStarted(r AnswerStarted) {
	c, ok := s.calls.byID[r.Call]
	if !ok || c.attempt != r.Attempt || c.phase != callDispatched {
		return
	}
	t := c.target
	if r.Leaving {
		s.recordLeaving(t.load, t.spec.Worker)
	}
	if r.Refused {
		s.attemptRefused(c, r.SlotsUsed)
		return
	}
	t.load.report(r.SlotsUsed, s.now)
	c.relaying = c.final || !RetryableStatus(r.Status)
}

// attemptRefused handles a guard's refusal. The call did not run, so it may be
// sent to another target under the same claim.
func (s *State) attemptRefused(c *call, slotsUsed int) {
	t := c.target
	s.endAttempt(c)
	s.recordRefusal(t, slotsUsed)
	c.phase = 0
	switch {
	case c.callerLeft:
		s.endNotRun(c)
	case !c.request.Replayable:
		s.answerNotRun(c, "the worker's guard refused it and its body is gone", defaultRetryAfter)
	default:
		s.recordCallDecision(c, "refused by the guard", t.spec.Worker, "looking for another target")
		s.route(c)
	}
}

// answerFinished handles the end of an attempt.
func (s *State) answerFinished(r AnswerFinished) {
	c, ok := s.calls.byID[r.Call]
	if !ok || c.attempt != r.Attempt || c.phase != callDispatched {
		return
	}
	t := c.target
	took := s.now - c.sentAt
	s.endAttempt(c)
	c.phase = 0
	switch r.Outcome {
	case OutcomeDone:
		s.attemptDone(c, t, r)
	case OutcomeNotDone:
		s.attemptNotDone(c, t, r)
	default:
		s.attemptUnknown(c, t, r)
	}
	if r.Outcome == OutcomeDone || r.Outcome == OutcomeUnknown && !c.callerLeft {
		c.service.classes.observe(c.class, took, r.Outcome == OutcomeUnknown, s.now)
	}
	s.serveWorker(t.load)
}

func (s *State) attemptDone(c *call, t *target, r AnswerFinished) {
	if RetryableStatus(r.Status) {
		s.recordFailure(t, false)
	} else {
		s.recordSuccess(t)
		t.slowness.observe(s.now-c.sentAt, c.class, s.now)
	}
	if !c.final && RetryableStatus(r.Status) && !c.callerLeft {
		s.retry(c, t, "the target answered with an error status")
		return
	}
	if c.claim != nil {
		s.finishClaim(c.claim, structs.ClaimFinished, r)
	}
	s.endCall(c)
}

// attemptNotDone handles an attempt of which no byte reached the target.
func (s *State) attemptNotDone(c *call, t *target, r AnswerFinished) {
	if c.callerLeft && c.claim == nil {
		s.endNotRun(c) // cancelled
		return
	}
	s.recordFailure(t, true)
	c.excludeTarget(t)
	switch {
	case c.callerLeft:
		s.endNotRun(c)
	case !c.request.Replayable || c.failures >= maxAttempts || c.failures >= len(c.service.targets):
		s.answerNotRun(c, "no target could be reached: "+r.Detail, defaultRetryAfter)
	default:
		s.recordCallDecision(c, "not sent", t.spec.Worker, "the target could not be reached; looking for another")
		s.route(c)
	}
}

// attemptUnknown handles an attempt that may have run but gave no complete
// answer.
func (s *State) attemptUnknown(c *call, t *target, r AnswerFinished) {
	if c.callerLeft && c.claim == nil {
		s.endCall(c)
		return
	}
	s.recordFailure(t, false)
	if c.relaying || !s.canRetry(c) {
		c.mayHaveRun = true
		s.answerUnknown(c, statusBadGateway, "the answer was lost: "+r.Detail)
		return
	}
	s.retry(c, t, "the answer was lost")
}

// retry sends a call whose attempt may have run to another target, if the call
// is still retryable.
func (s *State) retry(c *call, failed *target, reason string) {
	c.mayHaveRun = true
	if !s.canRetry(c) {
		s.answerUnknown(c, statusBadGateway, reason+" and the retry budget is spent")
		return
	}
	c.excludeTarget(failed)
	c.service.budget.tokens -= retryCost
	s.recordCallDecision(c, "retry", failed.spec.Worker, reason)
	s.route(c)
}

// excludeTarget counts a failed attempt and excludes its target for the call.
func (c *call) excludeTarget(t *target) {
	if c.failures < maxAttempts {
		c.failed[c.failures] = t
	}
	c.failures++
}
