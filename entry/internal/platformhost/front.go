package platformhost

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/platform"
)

// maxRequests bounds the requests in progress; more are refused at once.
const maxRequests = 2048

// front receives callers' requests. Its goroutines copy bytes and wait; the
// reducer decides.
type front struct {
	h       *Host
	last    atomic.Uint64
	mu      sync.Mutex
	waiting map[scheduler.RequestID]chan scheduler.Answer
}

func newFront(h *Host) *front {
	return &front{h: h, waiting: make(map[scheduler.RequestID]chan scheduler.Answer)}
}

// ServeHTTP passes one request to the reducer and writes its answer.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	arrived, err := platform.DecodeRequest(r)
	if err != nil {
		f.h.log.Info("request: the connection broke while the body was read", "path", r.URL.Path, "error", err)
		return
	}
	id, answers, ok := f.open()
	if !ok {
		f.refuse(w, "too many requests are in progress")
		return
	}
	defer f.close(id)
	arrived.Request = id
	if err := f.h.loop.TryPost(arrived); err != nil {
		f.refuse(w, err.Error())
		return
	}
	select {
	case a := <-answers:
		f.h.numbers.Call(requestName(arrived.Kind), a.Status.String(), time.Since(began))
		if err := platform.EncodeAnswer(w, a); err != nil {
			f.h.log.Info("request: the answer could not be written", "request", uint64(id), "error", err)
		}
	case <-r.Context().Done():
		f.h.loop.Post(scheduler.RequestGone{Request: id})
	}
}

// open registers a request.
func (f *front) open() (scheduler.RequestID, chan scheduler.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) >= maxRequests {
		return 0, nil, false
	}
	id := scheduler.RequestID(f.last.Add(1))
	answers := make(chan scheduler.Answer, 1)
	f.waiting[id] = answers
	return id, answers, true
}

func (f *front) close(id scheduler.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
}

// deliver hands an answer to the goroutine that waits for it.
func (f *front) deliver(a scheduler.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answers, ok := f.waiting[a.Request]; ok {
		answers <- a // room for the one answer of a request
	}
}

// refuse answers a request that the reducer has not seen.
func (f *front) refuse(w http.ResponseWriter, reason string) {
	f.h.log.Info("request: refused before it was taken in", "reason", reason)
	f.h.numbers.Call("any", "refused", 0)
	a := scheduler.Answer{Status: scheduler.AnswerNotRun, Reason: reason, RetryAfter: time.Second}
	if err := platform.EncodeAnswer(w, a); err != nil {
		f.h.log.Info("request: the answer could not be written", "error", err)
	}
}

func requestName(k scheduler.RequestKind) string {
	switch k {
	case scheduler.RequestSubmit:
		return "submit"
	case scheduler.RequestState:
		return "state"
	case scheduler.RequestCancel:
		return "cancel"
	}
	return "invalid"
}
