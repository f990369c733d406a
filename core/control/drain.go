package control

import "time"

const (
	drainLimit         = 30 * time.Second       // bounds a drain; calls still in progress then are reported
	minDrainTime       = 5 * time.Second        // the load balancer may send calls for this long after readiness became false
	drainQuietPeriod   = 1 * time.Second        // time without a new call before the process ends
	drainCheckInterval = 200 * time.Millisecond // longest time between checks for the end of a drain
)

// drainState is the progress of a drain: the graceful stop of this host, which
// the decision log calls a planned stop.
type drainState struct {
	active bool
	ended  bool
	began  Instant
}

// drainRequested begins a drain: readiness turns false at once, the partitions
// are released, and calls run to their end. Calls that still arrive, because
// the load balancer reacts late, are served.
func (s *State) drainRequested(r DrainRequested) {
	if r.Request != 0 {
		s.emit(OperatorReply{Request: r.Request, Reply: DrainReply{Partitions: s.ownedCount(), Calls: s.calls.inProgress()}})
	}
	if s.drain.active {
		return
	}
	s.drain.active, s.drain.began = true, s.now
	s.recordDecision(DecisionRecord{Part: "partition", Action: "planned stop begins", Subject: string(s.self.Host)})
	s.advanceDrain()
}

// advanceDrain runs on a timer, so that a drain ends even if no event handler
// calls endDrainIfIdle.
func (s *State) advanceDrain() {
	if s.drain.ended {
		return
	}
	if s.now >= s.drain.began+drainLimit {
		s.forceDrainEnd()
		return
	}
	// A takeover that was in progress when the drain began may have completed
	// since.
	for _, p := range s.partitions {
		if p.owned != nil {
			s.beginRelease(p.owned)
		}
	}
	s.setTimer(min(s.now+drainCheckInterval, s.drain.began+drainLimit), timerDrainCheck, 0)
	s.endDrainIfIdle()
}

// forceDrainEnd ends the process at drainLimit. Calls that were not dispatched
// are answered as not run, so that only dispatched ones are interrupted.
func (s *State) forceDrainEnd() {
	for _, id := range s.calls.undispatched() {
		if c, ok := s.calls.byID[id]; ok {
			s.answerNotRun(c, "the entry host stops", defaultRetryAfter)
		}
	}
	if !s.drain.ended {
		s.endDrain(s.calls.unfinished())
	}
}

// endDrainIfIdle ends the process when no partition is owned, no call is in
// progress, all claims are settled and no call has arrived for
// drainQuietPeriod.
func (s *State) endDrainIfIdle() {
	d := &s.drain
	switch {
	case !d.active || d.ended:
	case s.now < d.began+minDrainTime || s.now < s.calls.lastArrival+drainQuietPeriod:
	case s.ownedCount() > 0 || s.calls.inProgress() > 0 || s.claims.pending() > 0:
	default:
		s.endDrain(nil)
	}
}

func (s *State) endDrain(unfinished []string) {
	s.drain.ended = true
	s.recordDecision(DecisionRecord{Part: "partition", Action: "planned stop ends", Subject: string(s.self.Host)})
	s.emit(StopProcess{Unfinished: unfinished})
}
