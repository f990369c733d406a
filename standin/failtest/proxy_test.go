package failtest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// proxy forwards TCP connections to an address while it is not disconnected.
type proxy struct {
	listener     net.Listener
	target       string
	mu           sync.Mutex
	disconnected bool
	open         map[net.Conn]bool
}

func newProxy(t *testing.T) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); p.disconnect() })
	go p.accept()
	return p
}

// setTarget sets the address to forward to, and returns the proxy's own address.
func (p *proxy) setTarget(target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	return p.listener.Addr().String()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	target, refuse := p.target, p.disconnected
	p.mu.Unlock()
	if refuse {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !p.register(client, server) {
		return
	}
	var both sync.WaitGroup
	for _, direction := range [][2]net.Conn{{client, server}, {server, client}} {
		both.Go(func() {
			_, _ = io.Copy(direction[0], direction[1])
			_ = client.Close()
			_ = server.Close()
		})
	}
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, client)
	delete(p.open, server)
}

// register adds open connections, or returns false if the proxy is disconnected.
func (p *proxy) register(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if !p.disconnected {
			p.open[c] = true
		}
	}
	return !p.disconnected
}

// disconnect closes all connections and refuses new ones.
func (p *proxy) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
	for c := range p.open {
		_ = c.Close()
	}
}

// reconnect accepts new connections again.
func (p *proxy) reconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = false
}
