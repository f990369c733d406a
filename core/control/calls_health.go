package control

import "time"

const (
	failuresToEject    = 3 // consecutive failures; a refused connection counts as this many
	ejectPause         = 1 * time.Second
	maxEjectPause      = 30 * time.Second
	targetsPerEjection = 2 // at most one in this many targets of a service is ejected

	avoidPause    = 20 * time.Millisecond // after a guard refused a call although it had free slots
	maxAvoidPause = 1 * time.Second
)

// targetHealth tracks a target's failures. After failuresToEject consecutive
// failures the target gets no calls for a pause, then a single probe. The pause
// doubles each time the probe fails.
type targetHealth struct {
	failures int
	pause    time.Duration // 0: not ejected
	until    Instant
	probing  bool
}

func (h *targetHealth) ejected() bool { return h.pause > 0 }

// mayProbe reports whether a call may test an ejected target. A call that
// cannot be retried may do so only when no retryable call arrived during a
// second pause.
func (s *State) mayProbe(c *call, t *target) bool {
	h := &t.health
	if h.probing || s.now < h.until {
		return false
	}
	return c.idempotent && c.request.Replayable || s.now >= h.until+h.pause
}

// recordSuccess resets a target's consecutive failures and ends its ejection.
func (s *State) recordSuccess(t *target) {
	t.health.failures, t.refusals, t.avoidUntil = 0, 0, 0
	if !t.health.ejected() {
		return
	}
	t.health.pause = 0
	if !t.removed {
		t.service.ejected--
	}
	s.recordTargetDecision(t, "restored", "its probe succeeded")
}

// recordFailure counts a failed attempt and ejects the target if need be.
// connectionRefused tells that no byte reached the target.
func (s *State) recordFailure(t *target, connectionRefused bool) {
	h := &t.health
	h.failures++
	if connectionRefused {
		h.failures = max(h.failures, failuresToEject)
	}
	switch {
	case h.ejected() && s.now < h.until:
		return // sent before the ejection
	case h.ejected():
		h.pause = min(2*h.pause, maxEjectPause)
	case h.failures < failuresToEject, t.removed, (t.service.ejected+1)*targetsPerEjection > len(t.service.targets):
		return
	default:
		h.pause = ejectPause
		t.service.ejected++
		s.recordTargetDecision(t, "ejected", "consecutive failures")
	}
	h.until = s.now + h.pause
}

// recordRefusal updates a worker's load after its guard refused a call. A
// target whose guard refuses although slots are free is avoided for a while.
func (s *State) recordRefusal(t *target, slotsUsed int) {
	l := t.load
	if slotsUsed < 0 || slotsUsed >= l.slots {
		l.othersInUse, l.reportedAt = max(0, l.slots-l.ownInFlight), s.now
		return
	}
	l.report(slotsUsed, s.now)
	t.refusals++
	t.avoidUntil = s.now + min(avoidPause<<min(t.refusals-1, 10), maxAvoidPause)
}

func (s *State) recordTargetDecision(t *target, action, reason string) {
	s.recordDecision(DecisionRecord{
		Part: "routing", Action: action, Subject: string(t.spec.Task), Where: string(t.spec.Worker), Reason: reason,
	})
}
