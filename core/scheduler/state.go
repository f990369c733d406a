package scheduler

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/timers"
)

// State is all control state of one host. Only Reduce changes it.
type State struct {
	self        Started
	bounds      Bounds
	now         Instant
	wall        int64
	randomDraws uint64 // random numbers drawn so far

	effects    []Effect
	lastEffect EffectID
	handlers   map[EffectID]func(EventBody) // of the outcomes of pending effects

	timers timers.Queue[func()]

	store  storeHealth
	bulk   bulkReads
	config configState
	// evacuations are the evacuated zones, by name.
	evacuations map[string]*evacuation
	// reportedEvacuations is what the metrics were told last.
	reportedEvacuations EvacuationReport
	requests            requestState
	shards              shardView
	admission           admissionState
	stopping            bool
	answerBy            Instant // while stopping: all requests are answered by then
	ready               bool
	watches             map[watchKey]*watch

	leaders []*leaderState // of the shards that this host schedules, by shard
}

// NewState returns the state before the first event, which must be Started.
func NewState() *State {
	return &State{
		handlers: make(map[EffectID]func(EventBody)), requests: newRequestState(), watches: make(map[watchKey]*watch),
		shards: newShardView(), evacuations: make(map[string]*evacuation),
	}
}

// Reduce applies an event. The returned effects are valid until the next call.
func Reduce(s *State, e Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, e.At)
	s.wall = e.Wall
	if b, ok := e.Body.(ExplainRequested); ok {
		s.emit(s.explain(&b.Submission)) // no deferred work: the event changes no state
		return s.effects
	}
	s.apply(e.Body)
	s.runDeferred()
	return s.effects
}

func (s *State) apply(body EventBody) {
	switch b := body.(type) {
	case Started:
		s.handleStarted(b)
	case TimerFired:
		s.fireTimers()
	case StopRequested:
		s.beginStop()
	case RequestArrived:
		s.handleRequest(b)
	case CallerGone:
		s.requests.remove(b.Request)
	case RowsRead:
		s.deliverOutcome(b.Effect, b)
	case Committed:
		s.deliverOutcome(b.Effect, b)
	case WorkerSynced:
		s.deliverOutcome(b.Effect, b)
	case CommandDone:
		s.deliverOutcome(b.Effect, b)
	case AdviceReceived:
		s.deliverOutcome(b.Effect, b)
	}
}

// runDeferred does the work that handlers of the event have requested, once for
// each event.
func (s *State) runDeferred() {
	for _, l := range slices.Clone(s.leaders) { // a leader may step down meanwhile
		l.runDeferred()
	}
	s.updateReady()
}

func (s *State) handleStarted(b Started) {
	s.self, s.bounds = b, b.Bounds
	s.bulk.init(b.LinkBytesPerSecond)
	s.logDecision(Decision{Part: "host", Action: "started", Subject: b.Host, Where: string(b.Instance)})
	s.watchTable(operatorWatch, s.applyOperatorRows, nil)
	s.pollShards()
}

// deliverOutcome passes the outcome of an effect to its handler.
func (s *State) deliverOutcome(id EffectID, body EventBody) {
	if handle, ok := s.handlers[id]; ok {
		delete(s.handlers, id)
		handle(body)
	}
}

// expectOutcome returns a fresh effect identifier and registers the handler of
// its outcome.
func (s *State) expectOutcome(handle func(EventBody)) EffectID {
	s.lastEffect++
	s.handlers[s.lastEffect] = handle
	return s.lastEffect
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) logDecision(d Decision) { s.emit(d) }

// after calls fire once d has passed. Timers cannot be cancelled; fire checks
// that it still applies.
func (s *State) after(d time.Duration, fire func()) {
	s.timers.Add(s.now+d, fire)
}

// jittered returns a duration between three quarters and five quarters of d, so
// that hosts that started together do not act at the same times.
func (s *State) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.draw()%uint64(d/2))
}

// draw returns the next random number of the process, a function of its seed and the
// number of earlier draws.
func (s *State) draw() uint64 {
	var draw [16]byte
	s.randomDraws++
	binary.LittleEndian.PutUint64(draw[:], s.self.Seed)
	binary.LittleEndian.PutUint64(draw[8:], s.randomDraws)
	h := fnv.New64a()
	h.Write(draw[:])
	return h.Sum64()
}

func (s *State) fireTimers() {
	for fire, due := s.timers.TakeDue(s.now); due; fire, due = s.timers.TakeDue(s.now) {
		fire()
	}
}

// NextDeadline returns when the next TimerFired event is due.
func (s *State) NextDeadline() (Instant, bool) { return s.timers.Next() }

// Machine adapts a State to the control loop.
type Machine struct{ State *State }

// Step applies one event.
func (m Machine) Step(at time.Duration, wallMS int64, body EventBody) []Effect {
	return Reduce(m.State, Event{At: at, Wall: wallMS, Body: body})
}

// NextDeadline returns when the next TimerFired event is due.
func (m Machine) NextDeadline() (time.Duration, bool) { return m.State.NextDeadline() }

// TimerEvent returns the event that reports a passed deadline.
func (m Machine) TimerEvent() EventBody { return TimerFired{} }

// beginStop starts a planned stop: the balancer sends no new connections, the
// host releases leadership, and requests are served until the stop ends.
func (s *State) beginStop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.answerBy = s.now + s.bounds.StopGracePeriod*answerShareEighths/8
	for _, r := range s.requests.open {
		r.deadline = min(r.deadline, s.answerBy)
	}
	s.logDecision(Decision{Part: "host", Action: "planned stop began", Subject: s.self.Host})
	for _, l := range slices.Clone(s.leaders) {
		l.releaseLeadership("planned stop")
	}
	s.after(min(stopServeTime, s.bounds.StopGracePeriod/2), func() {
		s.logDecision(Decision{Part: "host", Action: "planned stop ended", Subject: s.self.Host})
		s.emit(StopProcess{})
	})
}

// stopServeTime is how long a host serves after the signal to stop: the balancer
// stops sending connections after two failed probes.
const stopServeTime = 2500 * time.Millisecond

// answerShareEighths is the part of the grace period, in eighths, within which all
// requests are answered after the signal to stop: before their connections are closed.
const answerShareEighths = 5

// updateReady reports to the balancer whether the host can serve callers.
func (s *State) updateReady() {
	ready := s.config.known() && !s.stopping && s.store.reachable(s.now)
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.emit(SetReady{Ready: ready})
	s.logDecision(Decision{Part: "host", Action: readyAction(ready), Subject: s.self.Host, Age: s.now - s.store.lastSuccess})
}

func readyAction(ready bool) string {
	if ready {
		return "reported ready"
	}
	return "reported not ready"
}
