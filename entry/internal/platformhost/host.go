// Package platformhost assembles a host on the users' platform: the control
// loop with the scheduler's reducer, the pools that execute its effects, and the
// listeners for callers, for the balancer and for metrics. It owns the requests
// in progress and makes no scheduling decisions.
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
	eventQueueSize = 4096 // events that wait for the control loop

	storeConcurrency   = 64   // calls to the store at once
	storeQueueSize     = 512  // calls to the store that wait; a full queue refuses callers
	watchConcurrency   = 256  // one for each table that the host and its leaders watch
	syncConcurrency    = 512  // workers that are synchronized at once
	startConcurrency   = 128  // start commands to workers at once
	startQueueSize     = 1024 // start commands that wait; the reducer orders no more at a time
	commandConcurrency = 128  // stop and throttle commands to workers at once
	commandQueueSize   = 4096 // stop and throttle commands that wait
	storeConnections   = 64
	workerConnections  = 6 // to each worker
	clientIdleTimeout  = 30 * time.Second
	dialTimeout        = time.Second
)

// Names of pools and of steps, which are label values of metrics.
const (
	storePool    = "store"
	watchPool    = "watch"
	syncPool     = "look"
	startPool    = "start"
	commandPool  = "order"
	advicePool   = "advice"
	syncStep     = "look"
	throttleStep = "pace"
)

// Host is the process of one entry host on the users' platform.
type Host struct {
	settings platform.Settings
	// shardWorkers is the number of workers for which a shard is added; 0: there is
	// one shard.
	shardWorkers int

	log     *slog.Logger
	loop    *loop.Loop[scheduler.EventBody, scheduler.Effect]
	clock   func() time.Duration
	metrics *telemetry.Telemetry

	store   *platform.Store
	workers *platform.Workers
	advisor *platform.Advisor
	pools   map[string]*runner.Pool[scheduler.EventBody]

	requests    *requestHandler
	explainer   *explainHandler
	shardGauges *shardGauges
	ready       atomic.Bool
	// Of the last EvacuationReport.
	evacuatedZones, evacuatedRuns atomic.Int64
	stopped                       chan struct{} // closed when the planned stop is complete
}

// New returns a host that does not run yet. LogQueue is the queue behind log.
func New(s platform.Settings, shardWorkers int, log *slog.Logger, logQueue *logging.Queue) *Host {
	h := &Host{
		settings: s, shardWorkers: shardWorkers, log: log, clock: bootClock(), metrics: telemetry.New(), stopped: make(chan struct{}),
		pools: make(map[string]*runner.Pool[scheduler.EventBody]),
	}
	h.loop = loop.NewWithClock[scheduler.EventBody, scheduler.Effect](
		scheduler.Machine{State: scheduler.NewState()}, eventQueueSize, h.execute, h.clock)
	outbox := runner.NewOutbox(h.loop.Post)
	pool := func(name string, concurrency, queueSize int) {
		h.pools[name] = runner.NewPool(outbox, concurrency, queueSize)
	}
	pool(storePool, storeConcurrency, storeQueueSize)
	pool(watchPool, watchConcurrency, watchConcurrency)
	pool(syncPool, syncConcurrency, syncConcurrency)
	pool(startPool, startConcurrency, startQueueSize)
	pool(commandPool, commandConcurrency, commandQueueSize)
	pool(advicePool, 1, 1)
	client := func(perHost int) *platform.Client {
		return platform.NewClient(transport.New(transport.Limits{
			MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, IdleTimeout: clientIdleTimeout, DialTimeout: dialTimeout,
		}))
	}
	h.store = platform.NewStore(client(storeConnections), s.Store, s.Bounds.MaxRowBytes)
	h.workers = platform.NewWorkers(client(workerConnections))
	h.advisor = platform.NewAdvisor(client(1), s.Advice)
	h.requests = newRequestHandler(h)
	h.explainer = newExplainHandler(h.loop.TryPost)
	h.shardGauges = newShardGauges(h.metrics, h.clock)
	h.registerGauges(logQueue)
	return h
}

// bootClock returns a clock that starts at 0 and counts the time for which the
// machine is suspended, unlike the monotonic clock of package time.
func bootClock() func() time.Duration {
	read := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			panic("reading CLOCK_BOOTTIME: " + err.Error())
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
		Processors: h.settings.Processors, LinkBytesPerSecond: h.settings.LinkBytesPerSecond, ShardWorkers: h.shardWorkers, Bounds: h.settings.Bounds,
	}
}

// registerGauges adds the metrics that are read when metrics are written.
func (h *Host) registerGauges(logQueue *logging.Queue) {
	h.metrics.AddGauge("tamarackstep_log_lines_dropped_total", func() float64 { return float64(logQueue.Dropped()) })
	h.metrics.AddGauge("tamarackstep_event_queue_depth", func() float64 { return float64(h.loop.Depth()) })
	h.metrics.AddGauge("tamarackstep_ready", func() float64 {
		if h.ready.Load() {
			return 1
		}
		return 0
	})
	h.metrics.AddGauge("tamarackstep_evacuated_zones", func() float64 { return float64(h.evacuatedZones.Load()) })
	h.metrics.AddGauge("tamarackstep_evacuation_runs_left", func() float64 { return float64(h.evacuatedRuns.Load()) })
	for name, p := range h.pools {
		label := `{runner="` + name + `"}`
		h.metrics.AddGauge("tamarackstep_runner_waiting"+label, func() float64 { return float64(p.Depth()) })
		h.metrics.AddGauge("tamarackstep_runner_refused_total"+label, func() float64 { return float64(p.Refused()) })
	}
}

// execute submits an effect to its pool. It runs on the control loop's goroutine
// and never blocks.
func (h *Host) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Commit:
		h.submit(storePool, "commit", h.settings.Store, e.Timeout, newEffectRequest(h.store.Commit, e), scheduler.Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.ReadRows:
		h.submit(storePool, "read", h.settings.Store, e.Timeout, newEffectRequest(h.store.ReadRows, e), scheduler.RowsRead{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.WatchRows:
		h.submit(watchPool, "watch", h.settings.Store, e.Timeout, newEffectRequest(h.store.WatchRows, e), scheduler.RowsRead{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.SyncWorker:
		h.submitCommand(syncPool, syncStep, e.WorkerCommand, newEffectRequest(h.workers.Sync, e), scheduler.WorkerSynced{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.StartTask:
		h.submitCommand(startPool, "start", e.WorkerCommand, newEffectRequest(h.workers.Start, e), scheduler.CommandDone{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.StopTask:
		h.submitCommand(commandPool, "stop", e.WorkerCommand, newEffectRequest(h.workers.Stop, e), scheduler.CommandDone{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.ThrottleTask:
		h.submitCommand(commandPool, throttleStep, e.WorkerCommand, newEffectRequest(h.workers.Throttle, e), scheduler.CommandDone{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.AskAdvice:
		h.submit(advicePool, "advise", h.settings.Advice, e.Timeout, newEffectRequest(h.advisor.Ask, e), scheduler.AdviceReceived{Effect: e.ID, Outcome: structs.OutcomeNotDone})
	case scheduler.Answer:
		h.requests.pending.deliver(e.Request, e)
	case scheduler.Explained:
		h.explainer.pending.deliver(e.Request, e)
	case scheduler.SetReady:
		h.ready.Store(e.Ready)
	case scheduler.EvacuationReport:
		h.evacuatedZones.Store(int64(e.Zones))
		h.evacuatedRuns.Store(int64(e.RunsLeft))
	case scheduler.Decision:
		h.metrics.RecordDecision(e.Part, e.Action)
		logging.LogSchedulerDecision(h.log, e)
	case scheduler.ShardReport:
		h.shardGauges.record(e)
	case scheduler.StopProcess:
		close(h.stopped)
	}
}

// effectRequest executes one effect and returns the event with its outcome.
type effectRequest func(context.Context) (scheduler.EventBody, error)

// newEffectRequest binds an effect to the call that executes it.
func newEffectRequest[E scheduler.Effect, B scheduler.EventBody](execute func(context.Context, E) (B, error), e E) effectRequest {
	return func(ctx context.Context) (scheduler.EventBody, error) { return execute(ctx, e) }
}

// outcomeOf returns the outcome of an effect from the event that reports it.
func outcomeOf(body scheduler.EventBody) structs.Outcome {
	switch b := body.(type) {
	case scheduler.Committed:
		return b.Outcome
	case scheduler.RowsRead:
		return b.Outcome
	case scheduler.WorkerSynced:
		return b.Outcome
	case scheduler.CommandDone:
		return b.Outcome
	case scheduler.AdviceReceived:
		return b.Outcome
	}
	return structs.OutcomeUnknown
}

// metricPart returns the label of a pool's requests in metrics. All commands to
// workers share one, whichever pool sends them.
func metricPart(pool string) string {
	if pool == startPool {
		return commandPool
	}
	return pool
}

// submit runs one request on a pool. NotRun is the event for a request that was
// never started.
func (h *Host) submit(pool, step, peer string, timeout time.Duration, request effectRequest, notRun scheduler.EventBody) {
	h.pools[pool].Submit(runner.Job[scheduler.EventBody]{
		Timeout: timeout,
		Run: func(ctx context.Context) scheduler.EventBody {
			start := time.Now()
			body, err := request(ctx)
			outcome := outcomeOf(body)
			h.metrics.RecordRequest(metricPart(pool), step, outcome, time.Since(start))
			if err != nil {
				// The reducer logs the consequence of a failure; its cause is logged
				// for debugging only.
				h.log.Debug(pool+": request failed", "step", step, "peer", peer, "outcome", telemetry.OutcomeName(outcome), "error", err)
			}
			return body
		},
		NotRun: func() scheduler.EventBody { return notRun },
	})
}

// submitCommand sends a command to a worker unless the leader's lease that
// permits it has expired by then.
func (h *Host) submitCommand(pool, step string, cmd scheduler.WorkerCommand, request effectRequest, notRun scheduler.EventBody) {
	h.submit(pool, step, cmd.Address, cmd.Timeout, func(ctx context.Context) (scheduler.EventBody, error) {
		if h.clock() > cmd.NotAfter {
			return notRun, nil
		}
		return request(ctx)
	}, notRun)
}
