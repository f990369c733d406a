package platformhost

import (
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/platform"
)

// maxPendingRequests bounds the requests in progress; more are refused at once.
const maxPendingRequests = 2048

// requestHandler serves callers' requests. It decodes each one, passes it to the
// reducer, and waits for the reducer's answer.
type requestHandler struct {
	host    *Host
	pending *pendingRequests[scheduler.Answer]
}

func newRequestHandler(h *Host) *requestHandler {
	return &requestHandler{host: h, pending: newPendingRequests[scheduler.Answer](maxPendingRequests)}
}

// ServeHTTP passes one request to the reducer and writes the answer.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	arrived, err := platform.DecodeRequest(r)
	if err != nil {
		h.host.log.Info("request: reading the body failed", "path", r.URL.Path, "error", err)
		return
	}
	id, answer, ok := h.pending.register()
	if !ok {
		h.refuse(w, "too many requests are in progress")
		return
	}
	defer h.pending.unregister(id)
	arrived.Request = id
	if err := h.host.loop.TryPost(arrived); err != nil {
		h.refuse(w, err.Error())
		return
	}
	select {
	case a := <-answer:
		h.host.metrics.RecordCall(arrived.Kind.String(), a.Status.String(), time.Since(start))
		if err := platform.EncodeAnswer(w, a); err != nil {
			h.host.log.Info("request: the answer could not be written", "request", uint64(id), "error", err)
		}
	case <-r.Context().Done():
		h.host.loop.Post(scheduler.CallerGone{Request: id})
	}
}

// refuse answers a request without passing it to the reducer.
func (h *requestHandler) refuse(w http.ResponseWriter, reason string) {
	h.host.log.Info("request: refused before it reached the control loop", "reason", reason)
	h.host.metrics.RecordCall("any", "refused", 0)
	a := scheduler.Answer{Status: scheduler.AnswerNotRun, Reason: reason, RetryAfter: time.Second}
	if err := platform.EncodeAnswer(w, a); err != nil {
		h.host.log.Info("request: the answer could not be written", "error", err)
	}
}
