package call

import (
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

const (
	maxServiceLength   = 128
	maxKeyLength       = 255
	maxRequestIDLength = 128
	maxCallerTimeout   = time.Hour
)

// parse reads the request line and headers of a call.
func parse(r *http.Request) (control.CallArrived, *refusal) {
	arrived := control.CallArrived{Method: r.Method, RequestID: requestID(r.Header)}
	if r.Method == http.MethodConnect {
		return arrived, invalid(http.StatusMethodNotAllowed, "CONNECT is not supported")
	}
	service, refused := serviceOf(r.URL.EscapedPath())
	if refused != nil {
		return arrived, refused
	}
	arrived.Service = service
	if arrived.Key, refused = idempotencyKey(r.Header); refused != nil {
		return arrived, refused
	}
	arrived.Timeout, refused = callerTimeout(r.Header)
	return arrived, refused
}

// serviceOf returns the first segment of an escaped path. Dot segments are
// refused: a worker that resolves them would serve a path outside the service.
func serviceOf(path string) (string, *refusal) {
	unescaped, err := url.PathUnescape(path)
	if err != nil || hasDotSegment(unescaped) {
		return "", invalid(http.StatusBadRequest, "the path has a dot segment or a bad escape")
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !strings.HasPrefix(path, "/") || service == "" {
		return "", invalid(http.StatusBadRequest, "the path does not begin with the name of a service")
	}
	if len(service) > maxServiceLength || !isVisibleASCII(service) || strings.ContainsAny(service, `%\`) {
		return "", invalid(http.StatusBadRequest, "the name of the service is too long or has unusual characters")
	}
	return service, nil
}

// hasDotSegment takes an unescaped path. Backslashes and formerly escaped slashes
// separate segments too, since some servers treat them so.
func hasDotSegment(path string) bool {
	for _, s := range strings.FieldsFunc(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

func idempotencyKey(h http.Header) (string, *refusal) {
	keys := h.Values(wire.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return "", nil
	}
	key := keys[0]
	if len(keys) > 1 || key == "" || len(key) > maxKeyLength || !isVisibleASCII(key) {
		return "", invalid(http.StatusBadRequest,
			"Idempotency-Key must be one value of 1 to 255 visible ASCII characters")
	}
	return key, nil
}

func callerTimeout(h http.Header) (time.Duration, *refusal) {
	text := h.Get(wire.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxCallerTimeout.Milliseconds() {
		return 0, invalid(http.StatusBadRequest, wire.HeaderTimeout+" must be 1 to 3600000 milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// requestID returns the caller's request ID, or a random one if that is missing or
// malformed.
func requestID(h http.Header) string {
	id := h.Get(wire.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDLength || !isVisibleASCII(id) {
		return rand.Text()
	}
	return id
}

// isVisibleASCII reports whether s has only visible ASCII characters.
func isVisibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
