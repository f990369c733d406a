package platform

import (
	"context"
	"net/http"
	"strconv"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/loop"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

const (
	queueSize    = 4096     // events; a request that finds the queue full waits for room
	maxBodyBytes = 16 << 20 // of one request
)

// Server answers the platform's HTTP requests while Run runs.
type Server struct {
	pending exchange.Pending[exchange.Answer]
	loop    *loop.Loop[Event, Answer]
	mux     *http.ServeMux
}

// NewServer returns a server for an empty platform.
func NewServer(seed uint64) *Server {
	s := &Server{mux: http.NewServeMux()}
	s.loop = loop.New(New(seed), queueSize, func(a Answer) { s.pending.Deliver(a.Exchange, a.Answer) })
	s.routes()
	return s
}

// Run runs the control loop until the context ends.
func (s *Server) Run(ctx context.Context) { s.loop.Run(ctx) }

// ServeHTTP posts the request to the control loop and writes its answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.mux.HandleFunc("POST "+wire.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var body wire.CommitRequest
		if exchange.ReadJSON(w, r, maxBodyBytes, &body) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return CommitRequested{Exchange: id, Request: body} })
		}
	})
	s.mux.HandleFunc("GET "+wire.PathRows, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, _ := strconv.ParseInt(q.Get("limit"), 10, 32)
		s.serveEvent(w, r, func(id exchange.ID) Event {
			return RowsRequested{Exchange: id, Prefix: q.Get("prefix"), After: q.Get("after"), Limit: int(limit)}
		})
	})
	s.mux.HandleFunc("GET "+wire.PathRow, func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event { return RowRequested{Exchange: id, Key: r.URL.Query().Get("key")} })
	})
	s.mux.HandleFunc("PUT "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		if body, ok := exchange.ReadBody(w, r, maxBodyBytes); ok {
			s.serveEvent(w, r, func(id exchange.ID) Event {
				return ObjectPutRequested{Exchange: id, Name: r.PathValue("name"), Bytes: body}
			})
		}
	})
	s.mux.HandleFunc("DELETE "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event {
			return ObjectDeleteRequested{Exchange: id, Name: r.PathValue("name")}
		})
	})
	s.mux.HandleFunc("GET "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event { return ObjectRequested{Exchange: id, Name: r.PathValue("name")} })
	})
	s.mux.HandleFunc("GET "+wire.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		known, _ := strconv.ParseUint(r.URL.Query().Get("known"), 10, 64)
		s.serveEvent(w, r, func(id exchange.ID) Event { return HostListRequested{Exchange: id, Known: known} })
	})
	s.adminRoutes()
}

func (s *Server) adminRoutes() {
	s.mux.HandleFunc("POST "+wire.PathRegister, func(w http.ResponseWriter, r *http.Request) {
		var host wire.Host
		if exchange.ReadJSON(w, r, maxBodyBytes, &host) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return HostChanged{Exchange: id, Host: host} })
		}
	})
	s.mux.HandleFunc("POST "+wire.PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults wire.Faults
		if exchange.ReadJSON(w, r, maxBodyBytes, &faults) {
			s.serveEvent(w, r, func(id exchange.ID) Event { return FaultsChanged{Exchange: id, Faults: faults} })
		}
	})
	s.mux.HandleFunc("GET "+wire.PathStats, func(w http.ResponseWriter, r *http.Request) {
		s.serveEvent(w, r, func(id exchange.ID) Event { return StatsRequested{Exchange: id} })
	})
}

// serveEvent posts the event of a request and writes the answer to it.
func (s *Server) serveEvent(w http.ResponseWriter, r *http.Request, event func(exchange.ID) Event) {
	id, answer := s.pending.Open()
	defer s.pending.Close(id)
	s.loop.Post(event(id))
	select {
	case a := <-answer:
		exchange.Serve(w, r, a)
	case <-r.Context().Done():
	}
}
