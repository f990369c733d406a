package call

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

var (
	errBodyConsumed = errors.New("the request body was streamed to an earlier attempt and is not held in memory")
	errBodyRevoked  = errors.New("the attempt that reads the request body has ended")
)

// requestBody is the body of a call: held in memory, or streamed to one attempt.
type requestBody struct {
	bytes  []byte    // the whole body, when held
	stream io.Reader // nil when the body is held
	length int64     // of the stream; -1: unknown

	mu       sync.Mutex
	consumed bool // an attempt has begun to read the stream
}

func (b *requestBody) held() bool { return b.stream == nil }

// readBody reads a body of at most l.HeldBody bytes into memory. A larger body is
// streamed: none of it is read here, or, without a Content-Length, only the first
// l.HeldBody+1 bytes.
func readBody(rc *http.ResponseController, r *http.Request, l Limits) (*requestBody, *refusal) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	limited := http.MaxBytesReader(nil, r.Body, l.MaxBody)
	if r.ContentLength > l.MaxBody {
		return nil, bodyTooLarge(l)
	}
	stream := &deadlineReader{rc: rc, source: limited, limit: l.BodyTimeout}
	if r.ContentLength > l.HeldBody {
		_ = rc.EnableFullDuplex() // fails only for protocols that always allow it
		return &requestBody{stream: stream, length: r.ContentLength}, nil
	}
	start, err := io.ReadAll(io.LimitReader(limited, l.HeldBody+1))
	if err != nil {
		return nil, bodyReadRefusal(err, l)
	}
	if int64(len(start)) <= l.HeldBody {
		_ = rc.SetReadDeadline(time.Time{})
		return &requestBody{bytes: start}, nil
	}
	_ = rc.EnableFullDuplex()
	return &requestBody{stream: io.MultiReader(bytes.NewReader(start), stream), length: -1}, nil
}

func bodyTooLarge(l Limits) *refusal {
	return invalid(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", l.MaxBody)
}

func bodyReadRefusal(err error, l Limits) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(l)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return invalid(http.StatusRequestTimeout, "the body did not arrive within %v", l.BodyTimeout)
	}
	return invalid(http.StatusBadRequest, "the body cannot be read: %v", err)
}

// setBodyDeadline sets the first deadline for reading a body. It is cleared only
// when the whole body was read: net/http reads the rest of a body after the answer,
// and without a deadline would wait forever for a stalled one.
func setBodyDeadline(rc *http.ResponseController, r *http.Request, l Limits) {
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	}
}

// deadlineReader limits the duration of each read of a streamed body.
type deadlineReader struct {
	rc     *http.ResponseController
	source io.Reader
	limit  time.Duration
}

func (r *deadlineReader) Read(p []byte) (int, error) {
	_ = r.rc.SetReadDeadline(time.Now().Add(r.limit))
	n, err := r.source.Read(p)
	if errors.Is(err, io.EOF) {
		// net/http would report the expiry of a remaining deadline as a closed connection.
		_ = r.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// attemptBody is the request body as one attempt reads it. The transport may keep
// reading after the attempt has failed; revoke ends that.
type attemptBody struct {
	request *requestBody
	source  io.Reader
	revoked bool // guarded by request.mu
}

// open returns the body for one attempt, or an error when an earlier attempt has
// read from the stream.
func (b *requestBody) open() (*attemptBody, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held() {
		return &attemptBody{request: b, source: bytes.NewReader(b.bytes)}, nil
	}
	if b.consumed {
		return nil, errBodyConsumed
	}
	return &attemptBody{request: b, source: b.stream}, nil
}

// Read implements io.Reader. It fails once the attempt's use of the body is revoked.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.request.mu.Lock()
	if a.revoked {
		a.request.mu.Unlock()
		return 0, errBodyRevoked
	}
	a.request.consumed = true
	a.request.mu.Unlock()
	return a.source.Read(p)
}

// Close does nothing: the server closes the caller's body.
func (a *attemptBody) Close() error { return nil }

// revoke ends the attempt's use of the body.
func (a *attemptBody) revoke() {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	a.revoked = true
}
