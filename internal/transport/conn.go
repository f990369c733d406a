// Package transport sends HTTP requests and tells, when one fails, whether any
// of its bytes can have reached the other side.
package transport

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose request was reported as
// certainly not sent.
var errSealed = errors.New("connection is sealed: its request was given up before it was sent")

// trackedConn counts the bytes written to a connection.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts every attempt to write as sent, whether or not it fails, since
// the kernel may have taken part of the bytes.
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

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfAt forbids further writes if exactly n bytes have been written so far,
// and reports whether it did. After that, a request that began at n is
// certainly not sent, although the transport's own goroutine may still try.
func (c *trackedConn) sealIfAt(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != n {
		return false
	}
	c.sealed = true
	return true
}
