package call

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

const (
	copyBufferBytes = 32 << 10
	// maxDiscardBytes is how much of a withheld answer is read, so that the
	// connection to the target can be reused.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 1 * time.Second // for reading a withheld answer
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// relay streams a target's answer to the caller. It withholds a refusal by the
// worker's guard (the admission check before a call runs) and, unless the attempt
// is final, an answer of status 500 and above: the reducer decides what follows.
func (x *exchange) relay(resp *http.Response, e control.DispatchCall, watch *watchdog) control.AnswerFinished {
	started := answerStarted(resp, e)
	x.proxy.loop.Post(started)
	finished := control.AnswerFinished{
		Call: e.Call, Attempt: e.Attempt, Outcome: control.OutcomeDone, Status: resp.StatusCode,
		ContentType: strings.ToValidUTF8(resp.Header.Get("Content-Type"), "?"), Peer: e.Address,
	}
	switch {
	case started.Refused:
		watch.reset(discardTimeout)
		discard(resp.Body)
		finished.Outcome, finished.Detail = control.OutcomeNotDone, "refused by the worker's guard"
		return finished
	case !e.Final && resp.StatusCode >= http.StatusInternalServerError:
		watch.reset(discardTimeout)
		discard(resp.Body)
		finished.BodyOmitted = true
		finished.Detail = fmt.Sprintf("the target failed with status %d", resp.StatusCode)
		return finished
	}
	watch.reset(x.proxy.limits.AnswerStall)
	x.relayHead(resp)
	recorder := newBodyRecorder(e.Record, x.proxy.limits.RecordedBody)
	if err := x.relayBody(resp.Body, recorder, watch); err != nil {
		finished.Outcome, finished.Detail = control.OutcomeUnknown, watch.describe(err)
		return finished
	}
	x.relayTrailer(resp)
	finished.Body, finished.BodyOmitted = recorder.result()
	return finished
}

func answerStarted(resp *http.Response, e control.DispatchCall) control.AnswerStarted {
	return control.AnswerStarted{
		Call: e.Call, Attempt: e.Attempt, Status: resp.StatusCode, SlotsUsed: slotsUsed(resp.Header),
		Refused: resp.Header.Get(wire.HeaderRefused) != "", Leaving: resp.Header.Get(wire.HeaderLeaving) != "",
	}
}

// slotsUsed returns the number of slots in use that the worker reports, or -1
// without a valid report.
func slotsUsed(h http.Header) int {
	n, err := strconv.ParseUint(h.Get(wire.HeaderSlotsUsed), 10, 16)
	if err != nil {
		return -1
	}
	return int(n)
}

// discard reads at most maxDiscardBytes of a body. An error only means that the
// connection is not reused.
func discard(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxDiscardBytes) }

func (x *exchange) relayHead(resp *http.Response) {
	h := x.writer.response.Header()
	addAnswerHeaders(h, resp.Header)
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	x.writer.writeHead(resp.StatusCode)
	x.writer.writeBody(nil) // flushes the headers before the first byte of the body arrives
}

// relayBody copies the body. It returns an error when the target's answer is
// truncated. It goes on reading when the caller has disconnected; the reducer ends
// the attempt with CancelDispatch.
func (x *exchange) relayBody(body io.Reader, recorder *bodyRecorder, watch *watchdog) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			watch.pause()
			recorder.add((*buffer)[:n])
			x.writer.writeBody((*buffer)[:n])
			if x.writer.err != nil {
				x.callerGone()
			}
			watch.reset(x.proxy.limits.AnswerStall)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (x *exchange) relayTrailer(resp *http.Response) {
	h := x.writer.response.Header()
	for name, values := range resp.Trailer {
		// With the prefix, net/http also sends trailers that were not announced.
		h[http.TrailerPrefix+name] = values
	}
}

// bodyRecorder keeps a copy of an answer's body, or omits it if it exceeds the limit.
type bodyRecorder struct {
	enabled bool
	limit   int
	bytes   []byte
	omitted bool
}

func newBodyRecorder(enabled bool, limit int) *bodyRecorder {
	return &bodyRecorder{enabled: enabled, limit: limit}
}

func (r *bodyRecorder) add(b []byte) {
	if !r.enabled || r.omitted {
		return
	}
	if len(r.bytes)+len(b) > r.limit {
		r.bytes, r.omitted = nil, true
		return
	}
	r.bytes = append(r.bytes, b...)
}

func (r *bodyRecorder) result() (body []byte, omitted bool) { return r.bytes, r.omitted }
