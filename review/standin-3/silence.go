package main

import (
	"net"
	"net/http"
	"sync"
)

// silentListener accepts connections that can all be silenced at once: from then on they carry
// nothing in either direction, and are not reset. New connections work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]bool
}

type silentConn struct {
	net.Conn
	l      *silentListener
	mu     sync.Mutex
	silent bool
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, l: l}
	l.mu.Lock()
	l.conns[s] = true
	l.mu.Unlock()
	return s, nil
}

// silence silences all open connections and returns how many there were.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	clear(l.conns)
	return n
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read drops what arrives on a silent connection until its peer closes it.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write drops what is sent on a silent connection.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.isSilent() {
		// The peer sees no end either: the connection stays open until the peer closes it.
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := c.Conn.Read(buffer); err != nil {
					c.Conn.Close()
					return
				}
			}
		}()
		return nil
	}
	return c.Conn.Close()
}

// serveSilent serves on a listener whose connections can be silenced.
func serveSilent(h http.Handler) (*silentListener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &silentListener{Listener: l, conns: map[*silentConn]bool{}}
	server := &http.Server{Handler: h, ErrorLog: quietLog}
	go func() { _ = server.Serve(s) }()
	return s, l.Addr().String()
}
