package operator

import (
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/loop"
)

// applyTimeout is longer than the reducer's own timeout for an apply, so that its
// reply, which gives the reason of a failure, comes first.
const applyTimeout = 20 * time.Second

// Config holds the dependencies and settings of the handler.
type Config struct {
	Token       string // empty: requests need no token
	BodyBytes   int64  // maximum size of a request's body
	Replies     *Replies
	StatusCache *StatusCache
	Metrics     func(io.Writer)
}

type server struct{ Config }

// route is the handler of a path and the only method that the path accepts. Public
// routes need no token.
type route struct {
	method  string
	public  bool
	handler http.HandlerFunc
}

// NewHandler returns the handler of the operator listener. Health, readiness and
// metrics need no token, since load balancers and metrics collectors request them.
func NewHandler(c Config) http.Handler {
	s := &server{c}
	mux := http.NewServeMux()
	for path, r := range map[string]route{
		wire.PathHealth:   {http.MethodGet, true, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }},
		wire.PathReady:    {http.MethodGet, true, s.ready},
		wire.PathMetrics:  {http.MethodGet, true, s.metrics},
		wire.PathPlan:     {http.MethodPost, false, func(w http.ResponseWriter, r *http.Request) { s.apply(w, r, true) }},
		wire.PathApply:    {http.MethodPost, false, func(w http.ResponseWriter, r *http.Request) { s.apply(w, r, false) }},
		wire.PathStatus:   {http.MethodGet, false, s.status},
		wire.PathExplain:  {http.MethodGet, false, s.explain},
		wire.PathStopRows: {http.MethodPost, false, s.stopRows},
		wire.PathDrain:    {http.MethodPost, false, s.drain},
	} {
		mux.HandleFunc(path, s.withChecks(r))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { writeError(w, http.StatusNotFound, "no such path") })
	return mux
}

// withChecks returns the route's handler behind checks of the method and the token.
func (s *server) withChecks(rt route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given := r.Header.Get(wire.HeaderOperatorToken)
		switch {
		case r.Method != rt.method:
			w.Header().Set("Allow", rt.method)
			writeError(w, http.StatusMethodNotAllowed, "the path does not take this method")
		case !rt.public && s.Token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(s.Token)) != 1:
			writeError(w, http.StatusUnauthorized, wire.HeaderOperatorToken+" is missing or wrong")
		default:
			rt.handler(w, r)
		}
	}
}

// ready answers 200 when the load balancer may send calls to this host.
func (s *server) ready(w http.ResponseWriter, r *http.Request) {
	status, err := s.StatusCache.Status(r.Context())
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case status.Draining:
		writeError(w, http.StatusServiceUnavailable, "a planned stop is in progress")
	case !status.Ready:
		writeError(w, http.StatusServiceUnavailable, "no configuration yet")
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (s *server) metrics(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.Metrics(w)
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, statusTimeout, statusRequest)
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	subject := r.URL.Query().Get("subject")
	if subject == "" || len(subject) > maxSubjectLength {
		writeError(w, http.StatusBadRequest, "the parameter subject must name a row, task, call or worker")
		return
	}
	s.ask(w, r, statusTimeout, func(id control.OperatorRequestID) control.EventBody {
		return control.ExplainRequested{Request: id, Subject: subject}
	})
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, statusTimeout, func(id control.OperatorRequestID) control.EventBody {
		return control.DrainRequested{Request: id}
	})
}

func (s *server) apply(w http.ResponseWriter, r *http.Request, plan bool) {
	var request wire.ApplyRequest
	if !s.readBody(w, r, &request) {
		return
	}
	if err := checkApply(&request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.ask(w, r, applyTimeout, func(id control.OperatorRequestID) control.EventBody {
		return applyEvent(id, request, plan)
	})
}

func (s *server) stopRows(w http.ResponseWriter, r *http.Request) {
	var request wire.StopRequest
	if !s.readBody(w, r, &request) {
		return
	}
	if request.Author == "" || len(request.Rows) == 0 {
		writeError(w, http.StatusBadRequest, "author and rows must not be empty")
		return
	}
	s.ask(w, r, applyTimeout, func(id control.OperatorRequestID) control.EventBody {
		return control.StopRequested{Request: id, Author: request.Author, Rows: request.Rows, Resume: request.Resume}
	})
}

// ask posts the event of a request and answers with the reply.
func (s *server) ask(w http.ResponseWriter, r *http.Request, timeout time.Duration, event func(control.OperatorRequestID) control.EventBody) {
	reply, err := s.Replies.Ask(r.Context(), timeout, event)
	switch {
	case errors.Is(err, loop.ErrQueueFull):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "the entry host is too busy; the request was not taken")
		return
	case err != nil:
		writeError(w, http.StatusGatewayTimeout, err.Error())
		return
	}
	writeJSON(w, statusOf(reply), reply)
}

// statusOf returns the HTTP status of a reply: 409 for a change that was refused,
// and 504 for one whose outcome is unknown. A plan without a reason for refusal is
// answered 200 although nothing is accepted; one with conflicts is a 409.
func statusOf(reply control.Reply) int {
	a, ok := reply.(control.ApplyReply)
	switch {
	case !ok || a.Accepted || a.Outcome == 0 && a.Reason == "":
		return http.StatusOK
	case a.Outcome == control.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusConflict
}
