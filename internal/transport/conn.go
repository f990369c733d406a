// Package transport sends HTTP requests and determines, when one fails, whether
// any of its bytes can have reached the peer. It owns the connections.
package transport

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose request was reported as
// certainly not sent.
var errSealed = errors.New("connection is sealed: its request was abandoned before it was sent")

// trackedConn counts the bytes written to a connection, and knows whether a request uses it.
type trackedConn struct {
	net.Conn
	peer    *peer // that it belongs to; nil: none
	mu      sync.Mutex
	written int64
	sealed  bool
	uses    int  // requests that it was assigned to so far
	idle    bool // the last one has ended
}

// Write counts all bytes as written even if the write fails, since the kernel may
// have accepted part of them.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	if c.peer != nil {
		c.peer.remove(c)
	}
	return c.Conn.Close()
}

// beginUse records that a request was assigned to the connection. It returns the number of
// the use and the bytes written before it.
func (c *trackedConn) beginUse() (use int, written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	c.idle = false
	return c.uses, c.written
}

// endUse records that a use has ended. The connection may be in use again already.
func (c *trackedConn) endUse(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.uses == use
}

// sealIfIdle forbids further writes if no request uses the connection, and reports whether
// none does. A request that is assigned to it at the same time is sent on another one.
func (c *trackedConn) sealIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.idle
	return c.idle
}

// sealIfWritten forbids further writes if exactly n bytes have been written so
// far, and reports whether it did. A request that starts after these n bytes is
// then certainly not sent, even if a goroutine of http.Transport still tries to.
func (c *trackedConn) sealIfWritten(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != n {
		return false
	}
	c.sealed = true
	return true
}
