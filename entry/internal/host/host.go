// Package host assembles an entry host: the control loop, the clients and pools
// that execute its effects, and the three listeners. It makes no decisions: the
// reducer of core/control does.
package host

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/entry/internal/call"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/entry/internal/operator"
	"github.com/tamarackstep/tamarackstep/entry/internal/peer"
	"github.com/tamarackstep/tamarackstep/entry/internal/platform"
	"github.com/tamarackstep/tamarackstep/entry/internal/settings"
	"github.com/tamarackstep/tamarackstep/entry/internal/telemetry"
	"github.com/tamarackstep/tamarackstep/entry/internal/worker"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// Host is the process of one entry host.
type Host struct {
	settings settings.Settings
	log      *slog.Logger
	loop     *loop.Loop[control.EventBody, control.Effect]
	metrics  *telemetry.Telemetry

	proxy       *call.Proxy
	platform    *platform.Client
	workers     *worker.Client
	peers       *peer.Client
	replies     *operator.Replies
	statusCache *operator.StatusCache
	pools       map[string]*runner.Pool[control.EventBody]

	stopped chan []string // receives the unfinished work of StopProcess; buffered for one value
}

// New returns a host that does not run yet. Observe, unless nil, is called with
// each event before the reducer, on the control loop's goroutine. LogQueue is the
// queue behind log.
func New(s settings.Settings, log *slog.Logger, logQueue *logging.Queue, observe func(control.Event)) *Host {
	h := &Host{
		settings: s, log: log, metrics: telemetry.New(), pools: make(map[string]*runner.Pool[control.EventBody]),
		stopped: make(chan []string, 1),
	}
	machine := timedMachine{
		Machine: control.Machine{State: control.NewState(), Observe: observe}, observeStep: h.metrics.RecordStep,
	}
	h.loop = loop.New[control.EventBody, control.Effect](machine, s.Limits.EventQueue, h.execute)
	outbox := runner.NewOutbox(h.loop.Post)
	h.createClients(outbox)
	h.replies = operator.NewReplies(h.loop)
	h.statusCache = operator.NewStatusCache(h.replies)
	h.registerGauges(logQueue)
	return h
}

// createClients creates the clients that execute effects, with their pools.
func (h *Host) createClients(outbox *runner.Outbox[control.EventBody]) {
	l := h.settings.Limits
	pool := func(name string, limit int) *runner.Pool[control.EventBody] {
		p := runner.NewPool(outbox, limit, l.WaitingRequests)
		h.pools[name] = p
		return p
	}
	limits := func(perHost int) transport.Limits {
		return transport.Limits{MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, IdleTimeout: clientIdleTimeout, DialTimeout: l.DialTimeout}
	}
	h.platform = platform.NewClient(transport.New(limits(l.PlatformRequests)), h.settings.PlatformAddress,
		pool("platform", l.PlatformRequests), h.observer("platform"))
	h.workers = worker.NewClient(transport.New(limits(workerConnections)),
		pool("worker", l.WorkerRequests), h.observer("worker"))
	h.peers = peer.NewClient(transport.New(limits(peerConnections)), h.settings.Host, h.settings.PeerToken,
		pool("peer", l.PeerMessages), h.observer("peer"))
	h.proxy = call.NewProxy(h.loop, outbox, transport.New(limits(l.TargetConnections)), call.Limits{
		MaxCalls: l.Calls, HeldBody: l.HeldBody, MaxBody: l.MaxBody, RecordedBody: recordedBodyBytes,
		BodyTimeout: l.BodyTimeout, WriteStall: l.WriteStall, AnswerStall: l.AnswerStall,
	}, func(service string, result call.Result, elapsed time.Duration) {
		h.metrics.RecordCall(service, string(result), elapsed)
	})
}

const (
	// clientIdleTimeout is shorter than the usual idle timeout of servers, so that
	// a server rarely closes a connection just as it is reused.
	clientIdleTimeout = 30 * time.Second
	workerConnections = 4 // commands to one worker at once
	peerConnections   = 4 // messages to one peer at once
	recordedBodyBytes = 16 << 10
)

// observer returns a function that counts the outcomes of one kind of request and
// logs failures.
func (h *Host) observer(part string) runner.Observer {
	return func(step, peer string, outcome control.Outcome, elapsed time.Duration, err error) {
		h.metrics.RecordRequest(part, step, outcome, elapsed)
		if err != nil {
			// The reducer logs the consequence of a failure; its cause is logged
			// for debugging only.
			h.log.LogAttrs(context.Background(), slog.LevelDebug, part+": request failed",
				slog.String("step", step), slog.String("peer", peer),
				slog.String("outcome", telemetry.OutcomeName(outcome)), slog.Any("error", err))
		}
	}
}

// execute passes an effect to its client. It runs on the control loop's goroutine
// and never blocks.
func (h *Host) execute(e control.Effect) {
	switch e := e.(type) {
	case control.Commit:
		h.platform.Commit(e)
	case control.ReadRows:
		h.platform.ReadRows(e)
	case control.WriteObject:
		h.platform.WriteObject(e)
	case control.ReadObject:
		h.platform.ReadObject(e)
	case control.DeleteObject:
		h.platform.DeleteObject(e)
	case control.ReadHostList:
		h.platform.ReadHostList(e)
	case control.SyncWorker:
		h.workers.Sync(e)
	case control.StartTask:
		h.workers.Start(e)
	case control.StopTask:
		h.workers.Stop(e)
	case control.CheckpointTask:
		h.workers.Checkpoint(e)
	case control.ThrottleTask:
		h.workers.Throttle(e)
	case control.SendPeer:
		h.peers.Send(e)
	case control.DispatchCall:
		h.proxy.Dispatch(e)
	case control.CancelDispatch:
		h.proxy.Cancel(e)
	case control.AnswerCall:
		h.proxy.Answer(e)
	case control.OperatorReply:
		if _, draining := e.Reply.(control.DrainReply); draining {
			h.proxy.StartDraining()
		}
		h.replies.Deliver(e)
	case control.DecisionRecord:
		h.metrics.RecordDecision(e.Part, e.Action)
		logging.LogControlDecision(h.log, e)
	case control.StopProcess:
		h.stop(e)
	}
}

func (h *Host) stop(e control.StopProcess) {
	select {
	case h.stopped <- e.Unfinished:
	default: // the process is already stopping
	}
}

// started returns the first event of the process.
func (h *Host) started() control.Started {
	s := h.settings
	return control.Started{
		Host: s.Host, Instance: structs.InstanceID(rand.Text()), Address: s.PeerListener, Region: s.Region, Zone: s.Zone,
		Seeds: s.PeerSeeds, Partitions: s.Partitions, Seed: randomSeed(),
	}
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}
