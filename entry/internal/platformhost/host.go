// Package platformhost assembles a host on the users' platform: the control
// loop with the scheduler's reducer, the runners of its effects, and the
// listeners for callers and for the balancer.
package platformhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/entry/internal/telemetry"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
	"github.com/tamarackstep/tamarackstep/platform"
)

const (
	eventQueue = 4096 // events that wait for the control loop

	storeCalls     = 64  // calls to the store at once
	storeWaiting   = 512 // calls to the store that wait; a full queue refuses callers
	watchCalls     = 8   // one for each table that is followed
	looksAtOnce    = 512 // looks at workers at once
	ordersAtOnce   = 128 // orders to workers at once
	ordersWaiting  = 4096
	storePerHost   = 64
	workerPerHost  = 6
	idleConnection = 30 * time.Second
	dialTimeout    = time.Second
)

// Host is the process of one host.
type Host struct {
	settings platform.Settings
	log      *slog.Logger
	loop     *loop.Loop[scheduler.EventBody, scheduler.Effect]
	clock    func() time.Duration
	numbers  *telemetry.Telemetry

	store   *platform.Store
	workers *platform.Workers
	advisor *platform.Advisor
	pools   map[string]*runner.Pool[scheduler.EventBody]

	front   *front
	ready   atomic.Bool
	stopped chan struct{} // closed when the planned stop is complete
}

// New returns a host that does not run yet. Lines is the queue of the log.
func New(s platform.Settings, log *slog.Logger, lines *logging.Queue) *Host {
	h := &Host{
		settings: s, log: log, clock: bootClock(), numbers: telemetry.New(), stopped: make(chan struct{}),
		pools: make(map[string]*runner.Pool[scheduler.EventBody]),
	}
	h.loop = loop.NewWithClock[scheduler.EventBody, scheduler.Effect](
		scheduler.Machine{State: scheduler.NewState()}, eventQueue, h.execute, h.clock)
	answers := runner.NewAnswers(h.loop.Post)
	pool := func(name string, limit, room int) {
		h.pools[name] = runner.NewPool(answers, limit, room)
	}
	pool("store", storeCalls, storeWaiting)
	pool("watch", watchCalls, watchCalls)
	pool("look", looksAtOnce, looksAtOnce)
	pool("order", ordersAtOnce, ordersWaiting)
	pool("advice", 1, 1)
	client := func(perHost int) *platform.Client {
		return platform.NewClient(transport.New(transport.Limits{
			PerHost: perHost, Idle: perHost, IdleTime: idleConnection, Dial: dialTimeout,
		}))
	}
	h.store = platform.NewStore(client(storePerHost), s.Store)
	h.workers = platform.NewWorkers(client(workerPerHost))
	h.advisor = platform.NewAdvisor(client(1), s.Advice)
	h.front = newFront(h)
	h.gauges(lines)
	return h
}

// bootClock returns a clock that starts at 0 and counts the time for which the
// machine is suspended, unlike the monotonic clock of package time.
func bootClock() func() time.Duration {
	read := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			panic("the boot clock cannot be read: " + err.Error())
		}
		return time.Duration(ts.Nano())
	}
	start := read()
	return func() time.Duration { return read() - start }
}

func (h *Host) started() scheduler.Started {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	return scheduler.Started{
		Host: h.settings.Host, Instance: structs.InstanceID(rand.Text()), Seed: binary.LittleEndian.Uint64(seed[:]),
		Processors: h.settings.Processors, Bounds: h.settings.Bounds,
	}
}

// gauges adds the numbers that are read when metrics are written.
func (h *Host) gauges(lines *logging.Queue) {
	h.numbers.Gauge("tamarackstep_log_lines_dropped_total", func() float64 { return float64(lines.Dropped()) })
	h.numbers.Gauge("tamarackstep_event_queue_depth", func() float64 { return float64(h.loop.Depth()) })
	h.numbers.Gauge("tamarackstep_ready", func() float64 {
		if h.ready.Load() {
			return 1
		}
		return 0
	})
	for name, p := range h.pools {
		label := `{runner="` + name + `"}`
		h.numbers.Gauge("tamarackstep_runner_waiting"+label, func() float64 { return float64(p.Depth()) })
		h.numbers.Gauge("tamarackstep_runner_refused_total"+label, func() float64 { return float64(p.Refused()) })
	}
}

// execute hands an effect to its runner. It runs on the control loop's goroutine
// and never blocks.
func (h *Host) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Commit:
		h.submit("store", "commit", h.settings.Store, e.Timeout, exchangeOf(h.store.Commit, e), scheduler.Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.ReadRows:
		h.submit("store", "read", h.settings.Store, e.Timeout, exchangeOf(h.store.ReadRows, e), scheduler.RowsRead{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.WatchRows:
		h.submit("watch", "watch", h.settings.Store, e.Timeout, exchangeOf(h.store.WatchRows, e), scheduler.RowsRead{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.HoldWorker:
		h.order("look", "look", e.Order, exchangeOf(h.workers.Sync, e), scheduler.WorkerHeld{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.StartTask:
		h.order("order", "start", e.Order, exchangeOf(h.workers.Start, e), scheduler.Ordered{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.StopTask:
		h.order("order", "stop", e.Order, exchangeOf(h.workers.Stop, e), scheduler.Ordered{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.PaceTask:
		h.order("order", "pace", e.Order, exchangeOf(h.workers.Throttle, e), scheduler.Ordered{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.AskAdvice:
		h.submit("advice", "advise", h.settings.Advice, e.Timeout, exchangeOf(h.advisor.Ask, e), scheduler.Advised{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.Answer:
		h.front.deliver(e)
	case scheduler.SetReady:
		h.ready.Store(e.Ready)
	case scheduler.Decision:
		h.numbers.Decision(e.Part, e.Action)
		logging.Scheduled(h.log, e)
	case scheduler.StopProcess:
		close(h.stopped)
	}
}

// exchange executes one effect and returns the event that answers it.
type exchange func(context.Context) (scheduler.EventBody, error)

// exchangeOf binds an effect to the call that executes it.
func exchangeOf[E scheduler.Effect, B scheduler.EventBody](execute func(context.Context, E) (B, error), e E) exchange {
	return func(ctx context.Context) (scheduler.EventBody, error) { return execute(ctx, e) }
}

// outcomeOf returns the outcome of an effect from the event that answers it.
func outcomeOf(body scheduler.EventBody) structs.Outcome {
	switch b := body.(type) {
	case scheduler.Committed:
		return b.Outcome
	case scheduler.RowsRead:
		return b.Outcome
	case scheduler.WorkerHeld:
		return b.Outcome
	case scheduler.Ordered:
		return b.Outcome
	case scheduler.Advised:
		return b.Outcome
	}
	return structs.OutcomeUnknown
}

// submit runs one request on a pool. NotRun is the event for a request that was
// never begun.
func (h *Host) submit(pool, step, peer string, timeout time.Duration, request exchange, notRun scheduler.EventBody) {
	h.pools[pool].Submit(runner.Job[scheduler.EventBody]{
		Timeout: timeout,
		Run: func(ctx context.Context) scheduler.EventBody {
			began := time.Now()
			body, err := request(ctx)
			outcome := outcomeOf(body)
			h.numbers.Request(pool, step, outcome, time.Since(began))
			if err != nil {
				// The reducer logs what follows from a failure; the cause is detail.
				h.log.Debug(pool+": request failed", "step", step, "peer", peer, "outcome", telemetry.OutcomeName(outcome), "error", err)
			}
			return body
		},
		NotRun: func() scheduler.EventBody { return notRun },
	})
}

// order sends an order to a worker unless the lease that allows it has run out.
func (h *Host) order(pool, step string, o scheduler.Order, request exchange, notSent scheduler.EventBody) {
	h.submit(pool, step, o.Address, o.Timeout, func(ctx context.Context) (scheduler.EventBody, error) {
		if h.clock() > o.NotAfter {
			return notSent, nil
		}
		return request(ctx)
	}, notSent)
}
