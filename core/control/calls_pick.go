package control

import (
	"math"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	scanLimit  = 64 // all targets of a service are compared up to this number
	sampleSize = 8  // targets of a larger service that are compared
)

// route dispatches a call to a target, or queues it.
func (s *State) route(c *call) {
	svc := c.service
	switch {
	case s.now >= c.deadline:
		s.answerNotRun(c, "deadline passed before dispatch", defaultRetryAfter)
		return
	case len(svc.targets) == 0:
		s.answerNotRun(c, "no target runs the service", defaultRetryAfter)
		return
	}
	if svc.queues.hasEarlier(c) {
		// Queued calls come first. A slot may have become free since they were
		// queued.
		if s.enqueueCall(c) {
			s.serveService(svc)
		}
		return
	}
	if t, reason := s.selectTarget(c); t != nil {
		s.dispatch(c, t, reason)
		return
	}
	s.enqueueCall(c)
}

// selectTarget returns the least loaded target with a free slot for the call
// and the reason of the choice, or nil.
func (s *State) selectTarget(c *call) (*target, string) {
	targets := c.service.targets
	var best *target
	bestScore, bestNear := math.MaxInt, false
	n := len(targets)
	if n == 0 {
		return nil, ""
	}
	start, step := int(s.jitter(int64(n))), 1
	if n > scanLimit {
		n = sampleSize
	}
	for i := range n {
		if i > 0 && len(targets) > scanLimit {
			step = 1 + int(s.jitter(int64(len(targets)-1)))
		}
		if i > 0 {
			start = (start + step) % len(targets)
		}
		t := targets[start]
		score, near := t.score(s.now), t.spec.Zone == s.self.Zone
		if score > bestScore || score == bestScore && (bestNear || !near) {
			continue
		}
		if s.usable(c, t) && s.hasFreeSlot(c, t) {
			best, bestScore, bestNear = t, score, near
		}
	}
	switch {
	case best == nil:
		return nil, ""
	case best.health.ejected():
		return best, "probe of an ejected target"
	case bestNear:
		return best, "least loaded, same zone"
	}
	return best, "least loaded"
}

// score is the share of the worker's slots in use with this call included, in
// thousandths, weighted with the target's slowness.
func (t *target) score(now Instant) int {
	used := (t.load.ownInFlight+1)*1000 + t.load.othersMilli(now)
	return used / t.load.slots * t.slowness.factor(now)
}

// usable reports whether a call may be sent to the target, load aside.
func (s *State) usable(c *call, t *target) bool {
	if s.now < t.avoidUntil || s.leaving(t) || c.failedOn(t) {
		return false
	}
	return !t.health.ejected() || s.mayProbe(c, t)
}

// hasFreeSlot reports whether the target's worker is estimated to have a free
// slot for the call. Long calls leave the reserved slots free until they have
// aged.
func (s *State) hasFreeSlot(c *call, t *target) bool {
	return t.load.free(s.now) > s.reserveFor(c, t.load.slots)
}

func (s *State) reserveFor(c *call, slots int) int {
	if !c.class.long || s.aged(c) {
		return 0
	}
	return c.service.classes.reserve(slots, s.now)
}

func (c *call) failedOn(t *target) bool {
	for _, x := range c.failed[:min(c.failures, maxAttempts)] {
		if x == t {
			return true
		}
	}
	return false
}

// dispatch sends a call to a target.
func (s *State) dispatch(c *call, t *target, reason string) {
	if c.phase == callQueued {
		c.service.queues.remove(c)
	}
	c.phase = callDispatched
	c.attempt++
	c.sentAt = s.now
	c.relaying = false
	s.beginAttempt(c, t)
	if t.health.ejected() {
		c.probe, t.health.probing = true, true
	}
	c.final = !s.canRetry(c)
	s.recordCallDecision(c, "dispatched", t.spec.Worker, reason)
	s.emit(DispatchCall{
		Call: c.id, Attempt: c.attempt, Address: t.spec.Address, Target: t.spec, Timeout: c.deadline - s.now,
		Record: c.claim != nil, Final: c.final,
	})
}

const (
	slownessWeight   = 0.1             // weight of the newest answer in a target's slowness
	minSlownessRatio = 1.5             // smaller ratios are noise
	maxSlownessRatio = 8               // keeps one outlier from excluding a target
	slownessTTL      = 5 * time.Second // without an answer for this long a slow target counts as normal again
)

// slowness is the ratio of a target's service times to the estimates of the
// same classes. It rises when other tasks on the worker interfere, before the
// worker's slots fill up.
type slowness struct {
	ratio  float64
	seenAt Instant
}

func (x *slowness) observe(took time.Duration, c *callClass, now Instant) {
	if c.samples < classSamples || c.estimate <= 0 {
		return
	}
	if x.ratio == 0 || now-x.seenAt > slownessTTL {
		x.ratio = 1
	}
	x.ratio += slownessWeight * (math.Min(float64(took)/c.estimate, maxSlownessRatio) - x.ratio)
	x.seenAt = now
}

// factor returns the weight of the target's load. It is a whole number, so that
// equally fast targets compare as equal.
func (x *slowness) factor(now Instant) int {
	if x.ratio < minSlownessRatio || now-x.seenAt > slownessTTL {
		return 1
	}
	return int(math.Round(x.ratio))
}

// recordLeaving stores a worker's report that it is about to leave.
func (s *State) recordLeaving(l *workerLoad, where structs.WorkerID) {
	if s.now >= l.leavingUntil {
		s.recordDecision(DecisionRecord{
			Part: "routing", Action: "no new calls", Subject: string(where), Reason: "reported in an answer's header",
		})
	}
	l.leavingUntil = s.now + leavingReportTTL
}
