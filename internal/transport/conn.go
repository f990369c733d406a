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

// trackedConn counts the bytes written to a connection.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
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

func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
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
