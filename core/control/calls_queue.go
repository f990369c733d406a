package control

import (
	"container/heap"
	"time"
)

const (
	probeInterval           = 20 * time.Millisecond // interval of probes for slots that other hosts freed
	queuedPerProbe          = 8                     // one more probe for each group of this many queued calls, so that hosts with long queues get their share
	maxProbesPerRound       = 48                    // of one service
	queuedPerSlot           = 4                     // limit of each queue of a service, per slot
	minQueueLimit           = 64                    // limit for the smallest service
	maxQueueLimit           = 4096                  // limit for the largest service
	minAgingWait            = 2 * time.Second       // a long call yields to short ones for at least this long
	maxDispatchesPerWorker  = 4                     // queued calls dispatched in one event for one worker
	maxDispatchesPerService = 64                    // queued calls of one service dispatched in one event
	maxRetryAfter           = 10 * time.Second
)

// callQueues holds the queued calls of one service, short and long ones
// separately. When a queue is full, a new call is answered as not run.
type callQueues struct{ short, long callHeap }

func (q *callQueues) queueFor(c *call) *callHeap {
	if c.class.long {
		return &q.long
	}
	return &q.short
}

func (q *callQueues) len() int { return len(q.short) + len(q.long) }

// hasEarlier reports whether calls of the same kind are already queued.
func (q *callQueues) hasEarlier(c *call) bool { return len(*q.queueFor(c)) > 0 }

// remove takes a call out of its queue. It looks in both queues, since the
// call's class may have changed between short and long since it was queued.
func (q *callQueues) remove(c *call) {
	for _, h := range [2]*callHeap{&q.short, &q.long} {
		if i := c.heapIndex; i < len(*h) && (*h)[i] == c {
			heap.Remove(h, i)
			return
		}
	}
}

// callHeap is a heap of calls, ordered by deadline, then by arrival.
type callHeap []*call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return earlierDeadline(h[i], h[j]) }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *callHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func earlierDeadline(a, b *call) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.id < b.id
}

// enqueueCall queues a call, or answers it as not run when its queue is full.
// It reports whether the call was queued.
func (s *State) enqueueCall(c *call) bool {
	svc := c.service
	q := svc.queues.queueFor(c)
	limit := min(max(queuedPerSlot*svc.slots, minQueueLimit), maxQueueLimit)
	if len(*q) >= limit {
		s.answerNotRun(c, "the queue of the service is full", s.expectedWait(c, limit))
		return false
	}
	c.phase = callQueued
	if c.queuedAt == 0 {
		c.queuedAt = s.now
		s.setTimer(c.deadline, timerCallDeadline, uint64(c.id))
	}
	heap.Push(q, c)
	s.recordCallDecision(c, "queued", "", "all targets seem full")
	s.addWaitingService(svc)
	if !s.calls.queueTimerSet {
		s.calls.queueTimerSet = true
		s.setTimer(s.now+probeInterval, timerCallQueue, 0)
	}
	return true
}

// expectedWait estimates how long the service takes to process a full queue.
func (s *State) expectedWait(c *call, queued int) time.Duration {
	slots := max(c.service.slots, 1)
	wait := time.Duration(c.class.estimate) * time.Duration(queued) / time.Duration(slots)
	return min(max(wait, defaultRetryAfter), maxRetryAfter)
}

// aged reports whether a call has been queued for at least minAgingWait and
// half of its time, and so no longer yields to short ones.
func (s *State) aged(c *call) bool {
	waited := s.now - c.queuedAt
	return c.queuedAt > 0 && waited >= minAgingWait && waited >= c.deadline-s.now
}

// expireQueued ends queued calls whose deadline has passed.
func (s *State) expireQueued(svc *service) {
	for _, q := range [2]*callHeap{&svc.queues.short, &svc.queues.long} {
		for len(*q) > 0 && (*q)[0].deadline <= s.now {
			s.answerNotRun((*q)[0], "deadline passed while waiting for a target", defaultRetryAfter)
		}
	}
}

// nextQueued returns the queued call of a service that comes next, and the
// first call of the other queue. Short calls come before long ones, except that
// a long call that has aged comes first if its deadline is earlier.
func (s *State) nextQueued(svc *service) (first, second *call) {
	var short, long *call
	if len(svc.queues.short) > 0 {
		short = svc.queues.short[0]
	}
	if len(svc.queues.long) > 0 {
		long = svc.queues.long[0]
	}
	if short == nil || long != nil && s.aged(long) && earlierDeadline(long, short) {
		return long, short
	}
	return short, long
}

// serveWorker dispatches queued calls to the free slots of a worker, for all
// services with a target there.
func (s *State) serveWorker(l *workerLoad) {
	if len(s.calls.waiting) == 0 {
		return
	}
	for range maxDispatchesPerWorker {
		c, t := s.nextForWorker(l)
		if c == nil {
			return
		}
		s.dispatch(c, t, "a slot was freed")
	}
}

// nextForWorker returns the queued call that comes first on a worker, by
// importance of its row, then short before long, then deadline.
func (s *State) nextForWorker(l *workerLoad) (*call, *target) {
	var best *call
	var at *target
	for _, t := range l.targets {
		if !t.service.waiting {
			continue
		}
		s.expireQueued(t.service)
		first, second := s.nextQueued(t.service)
		for _, c := range [2]*call{first, second} {
			if c == nil || !s.usable(c, t) || !s.hasFreeSlot(c, t) {
				continue
			}
			if best == nil || servedBefore(c, best) {
				best, at = c, t
			}
			break
		}
	}
	return best, at
}

func servedBefore(a, b *call) bool {
	if x, y := a.service.row.Importance, b.service.row.Importance; x != y {
		return x > y
	}
	if a.class.long != b.class.long {
		return !a.class.long
	}
	return earlierDeadline(a, b)
}

// serveService dispatches queued calls of a service while targets have free
// slots.
func (s *State) serveService(svc *service) {
	s.expireQueued(svc)
	for n := 0; n < maxDispatchesPerService && svc.queues.len() > 0; n++ {
		first, second := s.nextQueued(svc)
		t, reason := s.selectTarget(first)
		if t == nil && second != nil {
			first = second
			t, reason = s.selectTarget(second)
		}
		if t == nil {
			return
		}
		s.dispatch(first, t, reason)
	}
}

// serveQueues runs every probeInterval while calls are queued. Slots that other
// hosts freed are found by probes: calls sent to targets whose estimated load
// leaves no free slot.
func (s *State) serveQueues() {
	s.calls.queueTimerSet = false
	kept := s.calls.waiting[:0]
	for _, svc := range s.calls.waiting {
		s.serveService(svc)
		for n := min(1+svc.queues.len()/queuedPerProbe, maxProbesPerRound); n > 0 && s.probeFullTarget(svc); n-- {
		}
		if svc.queues.len() > 0 {
			kept = append(kept, svc)
		} else {
			svc.waiting = false
		}
	}
	s.calls.waiting = kept
	if len(kept) > 0 {
		s.calls.queueTimerSet = true
		s.setTimer(s.now+probeInterval, timerCallQueue, 0)
	}
}

// probeFullTarget sends the next queued call to the target with the fewest
// calls from this host, whatever load it last reported. The worker's guard
// refuses the call if no slot is free. It reports whether a probe was sent.
func (s *State) probeFullTarget(svc *service) bool {
	c, _ := s.nextQueued(svc)
	n := len(svc.targets)
	if c == nil || n == 0 {
		return false
	}
	start := int(s.jitter(int64(n)))
	var best *target
	for i := range min(n, scanLimit) {
		t := svc.targets[(start+i)%n]
		if s.now-t.load.reportedAt < probeInterval || t.load.slots-t.load.ownInFlight <= s.reserveFor(c, t.load.slots) || !s.usable(c, t) {
			continue
		}
		if best == nil || t.load.ownInFlight < best.load.ownInFlight {
			best = t
		}
	}
	if best == nil {
		return false
	}
	s.dispatch(c, best, "probe of a target that seems full")
	return true
}
