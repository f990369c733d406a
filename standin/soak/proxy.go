package soak

import (
	"net"
	"sync"
	"time"
)

// LinkFault is what a proxy does to its connections.
type LinkFault int

// The faults of a link.
const (
	LinkWhole   LinkFault = iota
	LinkReset             // connections are reset, new ones too
	LinkSilent            // bytes wait in both directions
	LinkNoReply           // bytes of the server wait
	LinkDelayed           // bytes are passed on late
)

const (
	linkDelay   = 300 * time.Millisecond
	proxyBuffer = 32 << 10
)

// Proxy passes connections on to one address and disturbs them.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed when the fault changes
	conns   map[net.Conn]bool
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetFault(LinkReset)
}

// SetFault replaces the fault of the link.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == LinkReset {
		p.resetAll()
	}
}

// Reset resets the present connections; new ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(caller)
	}
}

func (p *Proxy) pass(caller net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	if !p.add(caller, server) {
		return
	}
	go p.copy(server, caller, false)
	p.copy(caller, server, true)
}

// add registers a connection, or resets it where the link does so.
func (p *Proxy) add(caller, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[caller], p.conns[server] = true, true
	if p.fault == LinkReset {
		p.resetAll()
		return false
	}
	return true
}

// copy passes bytes on in one direction until an end closes.
func (p *Proxy) copy(to, from net.Conn, reply bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(reply)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits while the fault of the link keeps bytes back.
func (p *Proxy) hold(reply bool) {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case fault == LinkDelayed:
			time.Sleep(linkDelay)
			return
		case fault == LinkSilent, fault == LinkNoReply && reply:
			<-changed
		default:
			return
		}
	}
}
