package peer

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Guards against enabled compression between entry hosts, whose buffers took 11 MB
// of heap on each: the handler must refuse a compressed message.
func TestNoCompression(t *testing.T) {
	_, h := NewHandler("", func(control.EventBody) {})
	req := httptest.NewRequest(http.MethodPost, "/tamarackstep.v1.Peer/Deliver", bytes.NewReader([]byte{0x1f, 0x8b}))
	req.Header.Set("Content-Type", "application/proto")
	req.Header.Set("Content-Encoding", "gzip")
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, req)
	if answer.Code != http.StatusNotImplemented {
		t.Errorf("status %d for a compressed message, want 501", answer.Code)
	}
}

// Guards against building a client for every message, and against keeping the
// clients of all hosts that ever existed.
func TestClientsAreKeptAndBounded(t *testing.T) {
	c := &Client{http: http.DefaultClient}
	first := c.peerClient("10.0.0.1:1")
	if c.peerClient("10.0.0.1:1") != first {
		t.Error("a second client was built for the same address")
	}
	for i := range 3 * maxCachedClients {
		c.peerClient(fmt.Sprintf("10.0.0.2:%d", i+1))
	}
	if len(c.clients) > maxCachedClients {
		t.Errorf("%d clients are kept, want at most %d", len(c.clients), maxCachedClients)
	}
}
