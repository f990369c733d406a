package call

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// busyRetryAfter is the Retry-After of a refusal due to overload.
const busyRetryAfter = 1 * time.Second

// refusal is an error answer to a call that was not posted to the reducer.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	result     Result
}

func invalid(status int, format string, args ...any) *refusal {
	return &refusal{status: status, reason: fmt.Sprintf(format, args...), result: ResultInvalid}
}

func busy(reason string) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: busyRetryAfter, result: ResultNotRun}
}

// answerWriter writes one answer to a caller.
type answerWriter struct {
	response     http.ResponseWriter
	controller   *http.ResponseController
	stallTimeout time.Duration
	draining     *atomic.Bool
	requestID    string
	started      bool  // the status line may have reached the caller
	err          error // the first write error
}

func newAnswerWriter(w http.ResponseWriter, stall time.Duration, draining *atomic.Bool) *answerWriter {
	return &answerWriter{response: w, controller: http.NewResponseController(w), stallTimeout: stall, draining: draining}
}

// refuse answers that the call was not run.
func (w *answerWriter) refuse(r refusal) {
	w.writeError("not-run", r.status, r.reason, r.retryAfter)
}

// answer writes an answer of the entry host itself.
func (w *answerWriter) answer(e control.AnswerCall) Result {
	switch e.Kind {
	case control.AnswerRecorded:
		w.writeRecorded(e)
		return ResultRecorded
	case control.AnswerUnknown:
		w.writeError("unknown", e.Status, e.Reason, e.RetryAfter)
		return ResultUnknown
	case control.AnswerInvalid:
		w.writeError("not-run", e.Status, e.Reason, e.RetryAfter)
		return ResultInvalid
	}
	w.writeError("not-run", e.Status, e.Reason, e.RetryAfter)
	return ResultNotRun
}

func (w *answerWriter) writeError(outcome string, status int, reason string, retryAfter time.Duration) {
	body, _ := json.Marshal(wire.ErrorResponse{Error: reason}) // a string always encodes
	if retryAfter > 0 {
		seconds := int64(math.Ceil(retryAfter.Seconds()))
		w.response.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.writeAnswer(outcome, status, "application/json", append(body, '\n'))
}

func (w *answerWriter) writeRecorded(e control.AnswerCall) {
	w.writeAnswer("recorded", e.Status, e.ContentType, e.Body)
}

func (w *answerWriter) writeAnswer(outcome string, status int, contentType string, body []byte) {
	h := w.response.Header()
	h.Set(wire.HeaderOutcome, outcome)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.writeHead(status)
	w.writeBody(body)
}

// writeHead writes the status line and headers. An invalid status becomes 502.
func (w *answerWriter) writeHead(status int) {
	if w.requestID != "" {
		w.response.Header().Set(wire.HeaderRequestID, w.requestID)
	}
	if w.draining.Load() {
		w.response.Header().Set("Connection", "close")
	}
	if status < 200 || status > 999 {
		status = http.StatusBadGateway
	}
	w.started = true
	w.extendDeadline()
	w.response.WriteHeader(status)
}

// writeBody writes a part of the body and flushes it. It does nothing after an
// earlier write error.
func (w *answerWriter) writeBody(b []byte) {
	if w.err != nil {
		return
	}
	w.extendDeadline()
	if _, err := w.response.Write(b); err != nil && err != http.ErrBodyNotAllowed {
		w.err = err
		return
	}
	w.err = w.controller.Flush()
}

// extendDeadline restarts the write deadline.
func (w *answerWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.stallTimeout))
}
