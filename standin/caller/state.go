package caller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	retryDelay    = 150 * time.Millisecond // multiplied by the number of attempts so far
	maxLatencies  = 1_000_000              // later latencies are not sampled
)

// Host is an entry host that receives load.
type Host struct {
	CallerAddress   string // IP:port of the callers' listener
	OperatorAddress string // IP:port of the operator listener, for readiness probes; empty: always ready
}

// Options configure the load.
type Options struct {
	Name            string // prefix of IDs and keys; unique per caller
	Hosts           []Host
	CallsPerSecond  float64 // idempotent calls
	OrdersPerSecond float64
	MaxInProgress   int // jobs
	MaxAttempts     int // per job
	HoldMS          int // service time requested of the targets; 0: their own
	AttemptTimeout  time.Duration
	Duration        time.Duration // 0: until stopped
	RepeatOrders    bool          // repeat each completed order once at another host
	Seed            uint64
	InitialWait     time.Duration // before the first job, so that the hosts' readiness is known
}

// State is the reducer's state. It implements loop.Machine.
type State struct {
	options      Options
	now          time.Duration
	wallMS       int64
	ready        []bool
	probing      []bool
	probeAt      time.Duration
	nextCall     time.Duration
	nextOrder    time.Duration
	stopping     bool
	finished     bool
	sequence     uint64
	jobs         map[uint64]*job
	report       Report
	latencies    []time.Duration
	lastAnswerAt time.Duration // last complete answer to an idempotent call; 0: none
	rng          *rand.Rand
	effects      []Effect
}

// job is a call or an order in progress.
type job struct {
	id         uint64
	isOrder    bool
	attempts   int
	host       int           // index in Options.Hosts; -1: none yet
	retryAt    time.Duration // 0: an attempt is in progress
	mayHaveRun bool          // an attempt without a complete answer may have run
	answered   bool          // a complete answer arrived; an order may still be repeated
}

// NewState returns the state of a caller that starts its first job after
// Options.InitialWait.
func NewState(o Options) *State {
	return &State{
		options: o, ready: make([]bool, len(o.Hosts)), probing: make([]bool, len(o.Hosts)),
		nextCall: o.InitialWait, nextOrder: o.InitialWait, jobs: make(map[uint64]*job),
		report: Report{Statuses: make(map[string]int)}, rng: rand.New(rand.NewPCG(o.Seed, 2)),
	}
}

// TimerEvent returns the event of a passed deadline.
func (s *State) TimerEvent() Event { return TimerFired{} }

// NextDeadline returns when the next job, retry or probe, or the end of the load
// is due.
func (s *State) NextDeadline() (time.Duration, bool) {
	if s.finished {
		return 0, false
	}
	next := s.probeAt
	if !s.stopping {
		if s.options.CallsPerSecond > 0 {
			next = min(next, s.nextCall)
		}
		if s.options.OrdersPerSecond > 0 {
			next = min(next, s.nextOrder)
		}
		if s.options.Duration > 0 {
			next = min(next, s.options.Duration)
		}
	}
	for _, j := range s.jobs {
		if j.retryAt > 0 {
			next = min(next, j.retryAt)
		}
	}
	return next, true
}

// Step applies one event.
func (s *State) Step(at time.Duration, wallMS int64, event Event) []Effect {
	s.now, s.wallMS, s.effects = at, wallMS, nil
	switch e := event.(type) {
	case AttemptEnded:
		s.handleAnswer(e)
	case ProbeEnded:
		s.ready[e.Host], s.probing[e.Host] = e.Ready, false
	case StopRequested:
		s.stopping = true
	}
	if s.options.Duration > 0 && s.now >= s.options.Duration {
		s.stopping = true
	}
	s.probeHosts()
	s.retryDueJobs()
	s.startDueJobs()
	s.finishIfIdle()
	return s.effects
}

func (s *State) emit(f Effect) { s.effects = append(s.effects, f) }

// probeHosts probes all entry hosts once per probeInterval.
func (s *State) probeHosts() {
	if s.now < s.probeAt {
		return
	}
	s.probeAt = s.now + probeInterval
	for i, h := range s.options.Hosts {
		if h.OperatorAddress == "" {
			s.ready[i] = true
		} else if !s.probing[i] {
			s.probing[i] = true
			s.emit(ProbeHost{Host: i})
		}
	}
}

// startDueJobs starts the jobs that are due.
func (s *State) startDueJobs() {
	if s.stopping {
		return
	}
	for s.options.CallsPerSecond > 0 && s.now >= s.nextCall {
		s.nextCall += time.Duration(float64(time.Second) / s.options.CallsPerSecond)
		s.newJob(false)
	}
	for s.options.OrdersPerSecond > 0 && s.now >= s.nextOrder {
		s.nextOrder += time.Duration(float64(time.Second) / s.options.OrdersPerSecond)
		s.newJob(true)
	}
}

// newJob starts a job, or skips it if too many are in progress.
func (s *State) newJob(isOrder bool) {
	if len(s.jobs) >= s.options.MaxInProgress {
		s.report.Skipped++
		return
	}
	s.sequence++
	j := &job{id: s.sequence, isOrder: isOrder, host: -1}
	s.jobs[j.id] = j
	if !isOrder {
		s.report.Calls++
	}
	s.sendAttempt(j)
}

// sendAttempt sends the next attempt of a job, if possible to a ready host other
// than the previous one.
func (s *State) sendAttempt(j *job) {
	j.attempts++
	j.retryAt = 0
	j.host = s.pickHost(j.host)
	f := SendAttempt{
		Job: j.id, Attempt: j.attempts, Host: j.host, ID: s.callerID(j), HoldMS: s.options.HoldMS, Timeout: s.options.AttemptTimeout,
	}
	if j.isOrder {
		f.Key = f.ID
	}
	s.emit(f)
}

// callerID returns the ID of a job. It is also the idempotency key of an order.
func (s *State) callerID(j *job) string {
	if j.isOrder {
		return fmt.Sprintf("%s-order-%d", s.options.Name, j.id)
	}
	return fmt.Sprintf("%s-call-%d", s.options.Name, j.id)
}

// pickHost returns a random ready host other than the last; without one, the last
// host if it is ready, else a random host.
func (s *State) pickHost(last int) int {
	var ready, other []int
	for i, ok := range s.ready {
		if ok {
			ready = append(ready, i)
			if i != last {
				other = append(other, i)
			}
		}
	}
	for _, list := range [][]int{other, ready} {
		if len(list) > 0 {
			return list[s.rng.IntN(len(list))]
		}
	}
	return s.rng.IntN(len(s.options.Hosts))
}

// retryDueJobs retries the jobs that are due, in the order of their IDs.
func (s *State) retryDueJobs() {
	var due []uint64
	for id, j := range s.jobs {
		if j.retryAt > 0 && s.now >= j.retryAt {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		s.report.Retries++
		s.sendAttempt(s.jobs[id])
	}
}

// finishIfIdle emits the report once the load has stopped and no job is left.
func (s *State) finishIfIdle() {
	if !s.stopping || s.finished || len(s.jobs) > 0 {
		return
	}
	s.finished = true
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		s.report.P50MS = milliseconds(s.latencies[n/2])
		s.report.P99MS = milliseconds(s.latencies[n*99/100])
		s.report.MaxMS = milliseconds(s.latencies[n-1])
	}
	s.emit(Finish{Report: s.report})
}

// attemptOutcome is what a caller may conclude from one attempt.
type attemptOutcome int

const (
	attemptDone    attemptOutcome = iota
	attemptNotRun                 // did not run
	attemptUnknown                // may have run
)

// classify derives the outcome of an attempt from its result.
func classify(r Result) attemptOutcome {
	switch {
	case !r.Sent, r.Outcome == outcomeNotRun:
		return attemptNotRun
	case r.Complete && r.Status >= 200 && r.Status < 300 && r.Mismatch == "":
		return attemptDone
	}
	return attemptUnknown
}

const outcomeNotRun = "not-run" // wire.HeaderOutcome
