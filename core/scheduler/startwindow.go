package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// minStarts and maxStarts bound the limit of a start window, and initialStarts is
	// the limit of a new leader.
	minStarts     = 16
	initialStarts = 64
	maxStarts     = 1024
	// startDelayTarget is the age of an answer from which the leader orders more
	// starts than it can send. It leaves most of the time to the objective of a
	// short job to the job itself.
	startDelayTarget = 150 * time.Millisecond
	// startDecrease is the factor by which the limit falls, at most once in
	// startDelayTarget.
	startDecrease = 0.7
	// startExpiry is the age from which a start without an answer no longer counts:
	// its worker does not answer, and other workers should not wait for it.
	startExpiry = 500 * time.Millisecond
)

// startWindow limits the starts that have been ordered and not answered yet. It
// answers a load pattern in which tasks arrive faster than the host can send their
// starts: without a limit they wait in the send queue until they time out, in the
// order in which they arrived. With it they wait in the scheduler's queue, where a
// more urgent job can pass them, and commands other than starts are not held up.
//
// The limit follows the time to the answers, as the congestion window of a transport
// does: it doubles with each window of answers in time until the first late one, and
// then rises by one for each window and falls by a factor.
type startWindow struct {
	limit       float64
	slowStart   bool // no answer has been late
	decreasedAt Instant
	outstanding int
	inFlight    int    // starts that have no outcome yet, also those that are no longer counted
	pending     []*run // counted starts by time of sending, and some that are no longer counted
}

func (s *startWindow) init() { s.limit, s.slowStart = initialStarts, true }

// full reports whether no further start may be ordered now.
func (s *startWindow) full() bool { return s.outstanding >= int(s.limit) }

// sent counts a start that is being ordered.
func (s *startWindow) sent(r *run, now Instant) {
	s.expire(now)
	r.startCounted = true
	s.outstanding++
	s.pending = append(s.pending, r)
}

// remove stops counting a start.
func (s *startWindow) remove(r *run) {
	if r.startCounted {
		r.startCounted = false
		s.outstanding--
	}
}

// expire stops counting the starts that have waited longer than startExpiry.
func (s *startWindow) expire(now Instant) {
	for len(s.pending) > 0 && (!s.pending[0].startCounted || now-s.pending[0].startSentAt >= startExpiry) {
		s.remove(s.pending[0])
		s.pending[0] = nil
		s.pending = s.pending[1:]
	}
}

// nextExpiry returns when the oldest counted start expires.
func (s *startWindow) nextExpiry() Instant {
	if len(s.pending) == 0 {
		return 0
	}
	return s.pending[0].startSentAt + startExpiry
}

// answered adapts the limit to the outcome of a start. It reports whether the window
// was full before.
func (s *startWindow) answered(r *run, o CommandDone, now Instant) bool {
	wasFull := s.full()
	s.remove(r)
	delay := now - r.startSentAt
	switch {
	case o.Outcome == structs.OutcomeUnknown: // the worker did not answer
	case o.Outcome == structs.OutcomeNotDone && o.Refused == RefusedNone && delay < startDelayTarget: // it refused the connection
	case delay > startDelayTarget:
		if now-s.decreasedAt >= startDelayTarget {
			s.limit = max(s.limit*startDecrease, minStarts)
			s.decreasedAt, s.slowStart = now, false
		}
	case s.slowStart && wasFull:
		s.limit = min(s.limit+1, maxStarts)
	case wasFull:
		s.limit = min(s.limit+1/s.limit, maxStarts)
	}
	return wasFull && !s.full()
}
