package call

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// protocolPrefix begins the names of headers between entry hosts and workers. They
// are removed in both directions: callers must not forge them, and a worker's
// reports are meant for the entry host only.
const protocolPrefix = "Tamarackstep-"

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the headers of one connection, including those that
// its Connection header names.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

func removeProtocolHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, protocolPrefix) {
			delete(h, name)
		}
	}
}

// targetHeaders returns the headers of the request to the target.
func targetHeaders(from http.Header, arrived control.CallArrived, e control.DispatchCall) http.Header {
	h := from.Clone()
	removeHopByHop(h)
	removeProtocolHeaders(h)
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // stops the transport from adding its own
	}
	h.Set(wire.HeaderRequestID, arrived.RequestID)
	h.Set(wire.HeaderTask, string(e.Target.Task))
	if arrived.Key != "" {
		h.Set(wire.HeaderIdempotencyKey, arrived.Key)
	}
	return h
}

// addAnswerHeaders adds a target's headers to the answer.
func addAnswerHeaders(to, from http.Header) {
	passed := from.Clone()
	removeHopByHop(passed)
	removeProtocolHeaders(passed)
	for name, values := range passed {
		to[name] = append(to[name], values...)
	}
}
