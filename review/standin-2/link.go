package main

import (
	"net"
	"os"
	"sync"
)

// loopbackIP returns a loopback address of this process, so that ports do not meet
// those of other processes.
func loopbackIP() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(64|pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// listener admits connections that can go silent.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]bool
}

func listen(ip string) (*listener, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, conns: make(map[*silentConn]bool)}, nil
}

// Accept admits a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, silenced: make(chan struct{}), closed: make(chan struct{}), owner: l}
	l.mu.Lock()
	l.conns[s] = true
	l.mu.Unlock()
	return s, nil
}

// silence makes all open connections silent for good, without a reset, and returns how
// many. New ones work.
func (l *listener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		close(c.silenced)
	}
	l.conns = make(map[*silentConn]bool)
	return n
}

// reset closes all open connections with a reset.
func (l *listener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	l.conns = make(map[*silentConn]bool)
}

// silentConn is a connection on which nothing arrives any more, in either direction,
// once it is silenced.
type silentConn struct {
	net.Conn
	owner    *listener
	silenced chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read returns what the other side sent, unless the connection is silent.
func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed // nothing arrives any more, not even the end of the connection
	return 0, net.ErrClosed
}

// Write sends to the other side. What is written to a silent connection is lost.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection; a silent one stays open for the other side.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}
