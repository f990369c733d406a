package platformhost

import (
	"net/http"
	"sync"
	"sync/atomic"
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
	lastID  atomic.Uint64
	mu      sync.Mutex
	pending map[scheduler.RequestID]chan scheduler.Answer
}

func newRequestHandler(h *Host) *requestHandler {
	return &requestHandler{host: h, pending: make(map[scheduler.RequestID]chan scheduler.Answer)}
}

// ServeHTTP passes one request to the reducer and writes the answer.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	arrived, err := platform.DecodeRequest(r)
	if err != nil {
		h.host.log.Info("request: reading the body failed", "path", r.URL.Path, "error", err)
		return
	}
	id, answer, ok := h.register()
	if !ok {
		h.refuse(w, "too many requests are in progress")
		return
	}
	defer h.unregister(id)
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

// register allots an ID and an answer channel to a request. It fails when too
// many requests are in progress.
func (h *requestHandler) register() (scheduler.RequestID, chan scheduler.Answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) >= maxPendingRequests {
		return 0, nil, false
	}
	id := scheduler.RequestID(h.lastID.Add(1))
	answer := make(chan scheduler.Answer, 1)
	h.pending[id] = answer
	return id, answer, true
}

func (h *requestHandler) unregister(id scheduler.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, id)
}

// deliver passes an answer to the goroutine that waits for it.
func (h *requestHandler) deliver(a scheduler.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer, ok := h.pending[a.Request]; ok {
		answer <- a // never blocks: a request has one answer and the channel holds one
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
