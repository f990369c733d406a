package platformhost

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/platform"
)

const (
	// maxPendingExplanations bounds the requests to explain in progress; more are refused at
	// once. Each costs the control loop about as much as a part of a scheduling pass.
	maxPendingExplanations = 4
	// explainTimeout bounds the time to read a body, and then that to the answer.
	explainTimeout = 2 * time.Second
)

// explainHandler serves requests of tamarackctl to explain a job that is not submitted. They are
// internal: their form follows the reducer's types.
type explainHandler struct {
	post    func(scheduler.EventBody) error
	pending *pendingRequests[scheduler.Explained]
}

func newExplainHandler(post func(scheduler.EventBody) error) *explainHandler {
	return &explainHandler{post: post, pending: newPendingRequests[scheduler.Explained](maxPendingExplanations)}
}

// ServeHTTP passes one request to the reducer and writes the explanation.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, answer, ok := h.pending.register()
	if !ok {
		respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "too many jobs are being explained"})
		return
	}
	defer h.pending.unregister(id)
	// Without a deadline a slow body keeps others from being explained; not all writers support one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainTimeout))
	asked := r.Clone(r.Context())
	asked.Host, asked.URL.Path = r.URL.Query().Get("host"), r.URL.Query().Get("path")
	submission, err := platform.DecodeRequest(asked)
	if err != nil {
		respond(w, http.StatusRequestTimeout, wire.ErrorResponse{Error: "the body did not arrive"})
		return
	}
	submission.Request = id
	if err := h.post(scheduler.ExplainRequested{Submission: submission}); err != nil {
		respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: err.Error()})
		return
	}
	timeout := time.NewTimer(explainTimeout)
	defer timeout.Stop()
	select {
	case e := <-answer:
		respondExplained(w, e)
	case <-timeout.C:
		respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "the control loop did not answer in time"})
	case <-r.Context().Done():
	}
}

// respondExplained writes an explanation, or what is wrong with the submission.
func respondExplained(w http.ResponseWriter, e scheduler.Explained) {
	switch e.Status {
	case scheduler.AnswerOK, scheduler.AnswerNotRun:
		respond(w, http.StatusOK, e.Explanation)
	default:
		respond(w, http.StatusBadRequest, wire.ErrorResponse{Error: e.Reason})
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // tamarackctl reports an incomplete answer
}
