package naive_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/naive"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// router is a routing implementation under comparison.
type router interface {
	Step(control.Event) []control.Effect
	NextDeadline() (time.Duration, bool)
}

// controlRouter is the routing of the control package.
type controlRouter struct{ *control.State }

func (c controlRouter) Step(ev control.Event) []control.Effect { return control.Reduce(c.State, ev) }

func newRouter(name string) router {
	switch name {
	case "naive":
		return naive.NewRouter(0)
	case "naive, 2 a target":
		return naive.NewRouter(2)
	}
	return controlRouter{control.NewState()}
}

// callKind is one kind of call of a deployment.
type callKind struct {
	method, class string
	share         float64       // of all calls
	mean          time.Duration // of the service time, which is log-normal
	sigma         float64       // of the logarithm of the service time
	long          bool
}

// deployment is one of the two deployments that use the system.
type deployment struct {
	name                   string
	zones                  []string
	zoneDelay              time.Duration // one way, between zones
	clientDelay            time.Duration
	kinds                  []callKind
	baseDemand, peakDemand float64       // as a share of all slots
	period, peakStart      time.Duration // the peak lasts from peakStart to the end of each period
	target                 time.Duration // latency target of short calls
	length                 time.Duration // of the run
	slowedWorkers          int           // workers that batch tasks slow down at any time
	slowFactor             float64
}

// simCall is one call with its random arrival time, entry host and service time,
// and its result.
type simCall struct {
	at, work time.Duration
	host     int
	kind     *callKind
	start    time.Duration // when a worker started it
	done     time.Duration // when the caller received the answer; 0: none
	refused  bool
}

const (
	simHosts   = 8
	simWorkers = 48
	simSlots   = 8
)

// generateCalls returns the calls of one run. They do not depend on the router.
func (d *deployment) generateCalls(seed uint64) []*simCall {
	rng := rand.New(rand.NewPCG(seed, 2))
	mean := 0.0
	for _, k := range d.kinds {
		mean += k.share * k.mean.Seconds()
	}
	var calls []*simCall
	for at := time.Duration(0); at < d.length; {
		demand := d.baseDemand
		if at%d.period >= d.peakStart {
			demand = d.peakDemand
		}
		rate := demand * simWorkers * simSlots / mean
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		c := &simCall{at: at, host: rng.IntN(simHosts)}
		u := rng.Float64()
		for i := range d.kinds {
			if c.kind = &d.kinds[i]; u < c.kind.share {
				break
			}
			u -= c.kind.share
		}
		s := c.kind.sigma
		c.work = time.Duration(float64(c.kind.mean) * math.Exp(rng.NormFloat64()*s-s*s/2))
		calls = append(calls, c)
	}
	return calls
}

// sim passes calls through the routers of all entry hosts in virtual time.
type sim struct {
	d              *deployment
	rng            *rand.Rand
	now            time.Duration
	seq            int // number of events queued
	queue          eventHeap
	hosts          []router
	timers         []time.Duration // time of the next timer event by host; -1: none
	calls          []*simCall
	inUse          [simWorkers]int     // used slots by worker
	slow           [simWorkers]float64 // factor of service times by worker
	sent           int                 // dispatches
	workerRefusals int                 // dispatches that a worker refused
}

// simEvent runs a function at a virtual time. Events of the same time run in the
// order in which they were queued.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after queues a function to run after a delay.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

// run simulates all calls with a version of routing.
func (d *deployment) run(version string, seed uint64) *sim {
	s := &sim{d: d, rng: rand.New(rand.NewPCG(seed, 3)), calls: d.generateCalls(seed)}
	for i := range simHosts {
		s.hosts = append(s.hosts, newRouter(version))
		s.timers = append(s.timers, -1)
		s.step(i, control.Started{Host: structs.HostID(fmt.Sprint("e", i)), Zone: d.zones[i%3], Partitions: 1, Seed: seed + uint64(i)})
		row := structs.SheetRow{Name: "svc", Kind: structs.KindService, Count: simWorkers}
		s.step(i, control.PeerMessage{Message: control.ConfigPush{Configuration: structs.Configuration{Generation: 1, Rows: []structs.SheetRow{row}}}})
		s.step(i, control.PeerMessage{Message: control.Endpoints{Epoch: 1, Version: 1, Targets: d.targets()}})
	}
	s.moveNeighbours()
	s.arrive(0)
	for len(s.queue) > 0 && s.now < d.length+70*time.Second {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (d *deployment) targets() []structs.Target {
	var list []structs.Target
	for i := range simWorkers {
		list = append(list, structs.Target{
			Service: "svc", Task: structs.TaskID(fmt.Sprintf("svc.%02d", i)), Run: 1, Worker: structs.WorkerID(fmt.Sprint("w", i)),
			Zone: d.zones[i/8%3], Address: fmt.Sprint(i), Slots: simSlots,
		})
	}
	return list
}

// moveNeighbours chooses every few seconds which workers batch tasks slow down.
func (s *sim) moveNeighbours() {
	for i := range s.slow {
		s.slow[i] = 1
	}
	for range s.d.slowedWorkers {
		s.slow[s.rng.IntN(simWorkers)] = s.d.slowFactor
	}
	if s.now < s.d.length {
		s.after(3*time.Second, s.moveNeighbours)
	}
}

// arrive schedules the arrival of call i at its entry host, and then that of the
// next call.
func (s *sim) arrive(i int) {
	if i >= len(s.calls) {
		return
	}
	c := s.calls[i]
	s.after(c.at-s.now, func() {
		s.arrive(i + 1)
		s.after(s.d.clientDelay, func() {
			timeout := 10 * time.Second
			if c.kind.long {
				timeout = 60 * time.Second
			}
			s.step(c.host, control.CallArrived{
				Call: control.CallID(i + 1), RequestID: fmt.Sprint(i), Service: "svc", Method: c.kind.method,
				Class: c.kind.class, Timeout: timeout, Replayable: true,
			})
		})
	})
}

// step applies an event to the router of a host, carries out the effects and
// schedules the next timer event.
func (s *sim) step(host int, b control.EventBody) {
	r := s.hosts[host]
	for _, e := range r.Step(control.Event{At: s.now, Body: b}) {
		switch f := e.(type) {
		case control.DispatchCall:
			s.dispatch(host, f)
		case control.AnswerCall:
			s.calls[f.Call-1].refused = true
		}
	}
	if at, ok := r.NextDeadline(); ok && (s.timers[host] <= s.now || at < s.timers[host]) && s.now < s.d.length+60*time.Second {
		at = max(at, s.now)
		s.timers[host] = at
		s.after(at-s.now, func() {
			if s.timers[host] == at {
				s.timers[host] = -1
				s.step(host, control.TimerFired{})
			}
		})
	}
}

// dispatch delivers a call to its worker and returns the answer. The worker refuses
// the call when all of its slots are in use.
func (s *sim) dispatch(host int, f control.DispatchCall) {
	var w int
	fmt.Sscan(f.Address, &w)
	delay := 100 * time.Microsecond
	if f.Target.Zone != s.d.zones[host%3] {
		delay = s.d.zoneDelay
	}
	c := s.calls[f.Call-1]
	s.sent++
	s.after(delay, func() {
		if s.inUse[w] >= simSlots {
			s.workerRefusals++
			used := s.inUse[w]
			s.after(delay, func() {
				s.step(host, control.AnswerStarted{Call: f.Call, Attempt: f.Attempt, Status: 503, Refused: true, SlotsUsed: used})
			})
			return
		}
		s.inUse[w]++
		c.start = s.now
		s.after(time.Duration(float64(c.work)*s.slow[w]), func() {
			used := s.inUse[w]
			s.inUse[w]--
			s.after(delay, func() {
				c.done = s.now + s.d.clientDelay
				s.step(host, control.AnswerStarted{Call: f.Call, Attempt: f.Attempt, Status: 200, SlotsUsed: used})
				s.step(host, control.AnswerFinished{Call: f.Call, Attempt: f.Attempt, Outcome: control.OutcomeDone, Status: 200})
			})
		})
	})
}
