package naive

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	queuePerSlot   = 4                     // maximum of waiting calls per slot, as in the control package
	retryInterval  = 20 * time.Millisecond // until queued calls are dispatched again after refusals
	defaultTimeout = 30 * time.Second      // of calls that set none
)

// Router sends each call to the target with the fewest calls of this entry host, up
// to the number of slots of the target. Further calls wait in one queue per
// service, in the order of arrival. A call that a worker refused, or an idempotent
// one that failed, is sent again once immediately; after a second refusal it
// returns to the front of the queue.
type Router struct {
	now       time.Duration
	services  map[string]*service
	calls     map[control.CallID]*call
	effects   []control.Effect
	retryAt   time.Duration // when queued calls are dispatched again; 0: not set
	waiting   []*service    // services that have queued a call, in the order of the first one
	perTarget int           // maximum of calls of this host on one target; 0: the target's slots
}

// service holds the targets and queued calls of one service.
type service struct {
	name        string
	targets     []*target
	slots       int // sum over the targets
	firstTarget int // where the next search begins, modulo the number of targets, so that equally loaded targets alternate
	queue       []*call
	inWaiting   bool // whether Router.waiting contains it
}

// target is a target and its load.
type target struct {
	spec     structs.Target
	inFlight int // calls of this host
}

// call is a call that is not answered yet.
type call struct {
	request    control.CallArrived
	service    *service
	target     *target // of the current attempt; nil while the call waits
	excluded   *target // target of the last attempt, which the next immediate attempt avoids
	attempt    uint64
	retried    bool // sent again immediately
	callerGone bool
	started    bool // the answer of the current attempt has started
	deadline   time.Duration
}

// NewRouter returns a router without targets. perTarget limits the calls of this
// host on one target, as when the slots are divided among the entry hosts; 0 means
// the number of slots of the target.
func NewRouter(perTarget int) *Router {
	return &Router{perTarget: perTarget, services: make(map[string]*service), calls: make(map[control.CallID]*call)}
}

// Step applies one event. Events that do not concern routing are ignored. The
// returned slice is valid until the next call.
func (r *Router) Step(ev control.Event) []control.Effect {
	r.effects = r.effects[:0]
	r.now = max(r.now, ev.At)
	switch b := ev.Body.(type) {
	case control.PeerMessage:
		if m, ok := b.Message.(control.Endpoints); ok {
			r.replaceTargets(m.Targets)
		}
	case control.CallArrived:
		r.callArrived(b)
	case control.CallerGone:
		r.callerGone(b)
	case control.AnswerStarted:
		r.answerStarted(b)
	case control.AnswerFinished:
		r.answerFinished(b)
	}
	if r.retryAt > 0 && r.now >= r.retryAt {
		r.retryAt = 0
		for _, s := range r.waiting {
			r.dispatchQueued(s)
		}
	}
	return r.effects
}

// NextDeadline returns when the event TimerFired should be applied next, or false
// when no timer is set.
func (r *Router) NextDeadline() (time.Duration, bool) { return r.retryAt, r.retryAt > 0 }

// replaceTargets replaces the targets of the services that specs contains.
func (r *Router) replaceTargets(specs []structs.Target) {
	known := make(map[structs.TaskID]*target)
	for _, spec := range specs {
		if s := r.services[spec.Service]; s != nil {
			for _, t := range s.targets {
				known[t.spec.Task] = t
			}
			s.targets, s.slots = nil, 0
		}
	}
	for _, spec := range specs {
		s := r.services[spec.Service]
		if s == nil {
			s = &service{name: spec.Service}
			r.services[spec.Service] = s
		}
		t := known[spec.Task]
		if t == nil {
			t = &target{}
		}
		t.spec = spec
		s.targets = append(s.targets, t)
		s.slots += spec.Slots
	}
}

func (r *Router) callArrived(q control.CallArrived) {
	c := &call{request: q, service: r.services[q.Service], deadline: r.now + defaultTimeout}
	if q.Timeout > 0 {
		c.deadline = r.now + q.Timeout
	}
	if c.service == nil || len(c.service.targets) == 0 {
		r.refuse(c, "no target")
		return
	}
	r.calls[q.Call] = c
	if len(c.service.queue) > 0 || !r.dispatch(c) {
		r.enqueue(c, false)
	}
}

// dispatch sends a call to the least loaded target. It reports whether one had a
// free slot.
func (r *Router) dispatch(c *call) bool {
	s := c.service
	var best *target
	for i := range s.targets {
		t := s.targets[(s.firstTarget+i)%len(s.targets)]
		if t == c.excluded || t.spec.Leaving || t.inFlight >= r.limit(t) {
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	if best == nil {
		return false
	}
	s.firstTarget++
	best.inFlight++
	c.target, c.started = best, false
	c.attempt++
	r.effects = append(r.effects, control.DispatchCall{
		Call: c.request.Call, Attempt: c.attempt, Address: best.spec.Address, Target: best.spec,
		Timeout: c.deadline - r.now, Final: true,
	})
	return true
}

// limit returns the maximum of calls of this host on a target.
func (r *Router) limit(t *target) int {
	if r.perTarget > 0 {
		return min(r.perTarget, t.spec.Slots)
	}
	return t.spec.Slots
}

// enqueue adds a call to the front or the end of its queue. At the end, it refuses
// the call if the queue is full.
func (r *Router) enqueue(c *call, front bool) {
	s := c.service
	if front {
		s.queue = append([]*call{c}, s.queue...)
	} else if len(s.queue) >= queuePerSlot*s.slots {
		r.refuse(c, "queue full")
		return
	} else {
		s.queue = append(s.queue, c)
	}
	if !s.inWaiting {
		s.inWaiting = true
		r.waiting = append(r.waiting, s)
	}
	if r.retryAt == 0 {
		r.retryAt = r.now + retryInterval
	}
}

// dispatchQueued sends queued calls while targets have free slots.
func (r *Router) dispatchQueued(s *service) {
	for len(s.queue) > 0 {
		c := s.queue[0]
		c.excluded = nil
		switch {
		case c.callerGone:
			delete(r.calls, c.request.Call)
		case r.now >= c.deadline:
			r.refuse(c, "deadline passed")
		case !r.dispatch(c):
			if r.retryAt == 0 {
				r.retryAt = r.now + retryInterval
			}
			return
		}
		s.queue = s.queue[1:]
	}
}

// refuse answers a call that was not sent.
func (r *Router) refuse(c *call, reason string) {
	delete(r.calls, c.request.Call)
	r.effects = append(r.effects, control.AnswerCall{
		Call: c.request.Call, Kind: control.AnswerNotRun, Status: 503, Reason: reason, RetryAfter: time.Second,
	})
}

func (r *Router) callerGone(b control.CallerGone) {
	c := r.calls[b.Call]
	if c == nil {
		return
	}
	c.callerGone = true
	if c.target != nil {
		r.effects = append(r.effects, control.CancelDispatch{Call: b.Call, Attempt: c.attempt})
	}
}

func (r *Router) answerStarted(b control.AnswerStarted) {
	c := r.calls[b.Call]
	if c == nil || c.attempt != b.Attempt || c.target == nil {
		return
	}
	if !b.Refused {
		c.started = true
		return
	}
	c.target.inFlight--
	c.excluded, c.target = c.target, nil
	if !c.retried {
		c.retried = true
		if r.dispatch(c) {
			return
		}
	}
	c.retried = false
	r.enqueue(c, true)
}

func (r *Router) answerFinished(b control.AnswerFinished) {
	c := r.calls[b.Call]
	if c == nil || c.attempt != b.Attempt || c.target == nil {
		return
	}
	s := c.service
	c.target.inFlight--
	c.excluded, c.target = c.target, nil
	switch retryable := b.Outcome == control.OutcomeNotDone || c.request.Method == "GET"; {
	case b.Outcome == control.OutcomeDone || c.callerGone || c.started:
		delete(r.calls, b.Call)
	case retryable && !c.retried && r.dispatch(c):
		c.retried = true
	default:
		delete(r.calls, b.Call)
		r.effects = append(r.effects, control.AnswerCall{Call: b.Call, Kind: control.AnswerUnknown, Status: 502, Reason: b.Detail})
	}
	r.dispatchQueued(s)
}
