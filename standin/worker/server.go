package worker

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
)

const (
	queueSize        = 4096 // events; a request that finds the queue full waits for room
	maxCommandBytes  = 4 << 20
	maxCallBodyBytes = 1 << 20
)

// HeaderCallerID carries the caller's own ID of a call. It reaches the target
// unchanged, so that an audit can match executions with calls.
const HeaderCallerID = "Standin-Caller-Id"

// ParamHold is the query parameter of a call that asks for a service time, in
// milliseconds. ParamCallerID may replace HeaderCallerID.
const (
	ParamHold     = "hold_ms"
	ParamCallerID = "caller_id"
)

// Server answers the HTTP requests of one worker while Run runs.
type Server struct {
	pending exchange.Pending[Effect]
	loop    *loop.Loop[Event, Effect]
	mux     *http.ServeMux
	journal *Journal
	runner  runner

	mu          sync.Mutex
	activeCalls map[exchange.ID]activeCall // admitted calls
}

// activeCall is an admitted call until the end of its answer.
type activeCall struct {
	ctx    context.Context // ends when the call is aborted
	cancel context.CancelFunc
}

// NewServer returns a server for a worker without runs. The platform's address
// is IP:port; the journal may be nil.
func NewServer(options Options, platform string, journal *Journal) *Server {
	s := &Server{
		mux: http.NewServeMux(), journal: journal, activeCalls: make(map[exchange.ID]activeCall),
	}
	s.loop = loop.New(New(options), queueSize, s.execute)
	s.runner = runner{platform: "http://" + platform, post: s.loop.Post, client: &http.Client{Timeout: objectTimeout}}
	s.routes()
	return s
}

// Run runs the control loop until the context ends.
func (s *Server) Run(ctx context.Context) { s.loop.Run(ctx) }

// ServeHTTP posts the request to the control loop and writes its answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ConnState counts the connections of the listener; see http.Server.
func (s *Server) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.loop.Post(ConnectionChanged{By: 1})
	case http.StateClosed, http.StateHijacked:
		s.loop.Post(ConnectionChanged{By: -1})
	}
}

// execute runs one effect. Only the journal is written synchronously, so that an
// entry is stored before the answer that depends on it; all other work is passed
// to other goroutines.
func (s *Server) execute(f Effect) {
	switch f := f.(type) {
	case Reply:
		s.pending.Deliver(f.Exchange, f)
	case Admit:
		s.trackCall(f.Exchange)
		s.pending.Deliver(f.Exchange, f)
	case AbortCall:
		s.abortCall(f.Exchange)
	case AppendJournal:
		s.journal.appendEntry(f.Entry)
	default:
		s.runner.run(f)
	}
}

func (s *Server) routes() {
	routeCommand(s, wire.PathSync, func(b wire.SyncRequest) any { return b })
	routeCommand(s, wire.PathStart, func(b wire.StartRequest) any { return b })
	routeCommand(s, wire.PathStop, func(b wire.RunRequest) any { return b })
	routeCommand(s, wire.PathCheckpoint, func(b wire.CheckpointRequest) any { return b })
	routeCommand(s, wire.PathThrottle, func(b wire.ThrottleRequest) any { return b })
	s.mux.HandleFunc(wire.PathService, s.serveCall)
	s.mux.HandleFunc("POST "+wire.PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults wire.Faults
		if exchange.ReadJSON(w, r, maxCommandBytes, &faults) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return FaultsChanged{Exchange: id, Faults: faults} })
		}
	})
	s.mux.HandleFunc("POST "+wire.PathLeave, func(w http.ResponseWriter, r *http.Request) {
		var leave wire.LeaveRequest
		if exchange.ReadJSON(w, r, maxCommandBytes, &leave) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return LeaveChanged{Exchange: id, Leaving: leave.Leaving} })
		}
	})
	s.mux.HandleFunc("GET "+wire.PathExecutions, func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event { return ExecutionsRequested{Exchange: id} })
	})
	s.mux.HandleFunc("GET "+wire.PathRunIntervals, func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event { return RunIntervalsRequested{Exchange: id} })
	})
}

// routeCommand registers the handler of one kind of command.
func routeCommand[B any](s *Server, path string, body func(B) any) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var b B
		if exchange.ReadJSON(w, r, maxCommandBytes, &b) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return Command{Exchange: id, Body: body(b)} })
		}
	})
}

// serveEvent posts the event of a request and writes the reply to it.
func (s *Server) serveEvent(w http.ResponseWriter, r *http.Request, event func(exchange.ID) Event) {
	id, effect := s.pending.Open()
	defer s.pending.Close(id)
	s.loop.Post(event(id))
	select {
	case f := <-effect:
		exchange.Serve(w, r, f.(Reply).Answer)
	case <-r.Context().Done():
	}
}

// serveCall answers one call to a service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, ok := exchange.ReadBody(w, r, maxCallBodyBytes)
	if !ok {
		return
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.PathService), "/")
	callerID := r.Header.Get(HeaderCallerID)
	if callerID == "" {
		callerID = r.URL.Query().Get(ParamCallerID)
	}
	hold, _ := strconv.ParseFloat(r.URL.Query().Get(ParamHold), 64)
	id, effect := s.pending.Open()
	defer s.pending.Close(id)
	s.loop.Post(CallArrived{
		Exchange: id, Service: service, Task: r.Header.Get(wire.HeaderTask), CallerID: callerID,
		RequestID: r.Header.Get(wire.HeaderRequestID), Key: r.Header.Get(wire.HeaderIdempotencyKey),
		Digest: stream.Digest(body), Hold: time.Duration(hold * float64(time.Millisecond)),
	})
	// A disconnection of the caller does not end this wait: an admitted call ends
	// with CallEnded, which only this goroutine can post.
	switch f := (<-effect).(type) {
	case Reply:
		setLoadHeaders(w, f.SlotsUsed, f.Leaving)
		if f.Refused {
			w.Header().Set(wire.HeaderRefused, "true")
		}
		exchange.Serve(w, r, f.Answer)
	case Admit:
		s.streamAnswer(w, r, f)
	}
}

func setLoadHeaders(w http.ResponseWriter, slotsUsed int, leaving bool) {
	w.Header().Set(wire.HeaderSlotsUsed, strconv.Itoa(slotsUsed))
	if leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
}

// streamAnswer writes the chunks of an admitted call, each after its share of the
// hold time. An abort closes the connection in the middle of the answer.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, f Admit) {
	ctx, end := s.callContext(r, f.Exchange)
	defer end()
	if f.Lose {
		exchange.Wait(ctx, f.Hold)
		panic(http.ErrAbortHandler)
	}
	setLoadHeaders(w, f.SlotsUsed, f.Leaving)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	controller := http.NewResponseController(w)
	chunkInterval := f.Hold / time.Duration(f.Plan.Chunks)
	for i := 1; i <= f.Plan.Chunks; i++ {
		wait := chunkInterval
		if i == 1 {
			wait += f.Delay
		}
		if !exchange.Wait(ctx, wait) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(f.Plan.Line(i))); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// trackCall registers an admitted call, so that it can be aborted from now on.
func (s *Server) trackCall(id exchange.ID) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls[id] = activeCall{ctx: ctx, cancel: cancel}
}

// callContext returns a context that ends when the call is aborted or its caller
// disconnects, and a function that reports the end of the call.
func (s *Server) callContext(r *http.Request, id exchange.ID) (context.Context, func()) {
	s.mu.Lock()
	c := s.activeCalls[id]
	s.mu.Unlock()
	stop := context.AfterFunc(r.Context(), c.cancel)
	return c.ctx, func() {
		stop()
		c.cancel()
		s.mu.Lock()
		delete(s.activeCalls, id)
		s.mu.Unlock()
		s.loop.Post(CallEnded{Exchange: id})
	}
}

// abortCall breaks off the answer of an admitted call.
func (s *Server) abortCall(id exchange.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.activeCalls[id]; ok {
		c.cancel()
	}
}
