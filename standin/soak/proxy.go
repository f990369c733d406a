package soak

import (
	"net"
	"sync"
	"time"
)

// LinkFault is the way in which a proxy disturbs its connections.
type LinkFault int

// The faults of a link.
const (
	LinkHealthy         LinkFault = iota
	LinkReset                     // resets open and new connections
	LinkStalled                   // holds bytes back in both directions
	LinkRepliesStalled            // holds the server's bytes back
	LinkDelayed                   // forwards bytes late
	LinkRequestsStalled           // holds the caller's bytes back
)

const (
	linkDelay        = 300 * time.Millisecond
	proxyBufferBytes = 32 << 10
	// proxyIP is an address that outgoing connections do not use, so that the port of a
	// proxy that refuses connections stays free.
	proxyIP = "127.0.2.1"
)

// Proxy forwards connections to one address and injects link faults.
type Proxy struct {
	address string // that it listens on
	target  string

	mu       sync.Mutex
	listener net.Listener
	refusing bool
	closed   bool
	fault    LinkFault
	changed  chan struct{} // closed when the fault changes
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy for the target on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(proxyIP, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.Refuse()
	p.SetFault(LinkReset)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
}

// Refuse resets the open connections and has new ones refused.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.refusing = true
	p.resetAll()
}

// Admit ends Refuse. It has no effect on a proxy that admits connections or is closed.
func (p *Proxy) Admit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refusing || p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.refusing = l, false
	go p.accept(l)
	return nil
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

// Reset resets the open connections and admits new ones.
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

func (p *Proxy) accept(l net.Listener) {
	for {
		caller, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(caller)
	}
}

func (p *Proxy) forward(caller net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	if !p.register(caller, server) {
		return
	}
	go p.forwardBytes(server, caller, false)
	p.forwardBytes(caller, server, true)
}

// register adds a pair of connections to the open ones. While the link resets
// connections it closes them instead and returns false.
func (p *Proxy) register(caller, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[caller], p.conns[server] = true, true
	if p.fault == LinkReset {
		p.resetAll()
		return false
	}
	return true
}

// forwardBytes forwards bytes in one direction until either end closes.
func (p *Proxy) forwardBytes(to, from net.Conn, reply bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyFault(reply)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault blocks while the current fault holds back bytes of this direction.
func (p *Proxy) applyFault(reply bool) {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case fault == LinkDelayed:
			time.Sleep(linkDelay)
			return
		case fault == LinkStalled, fault == LinkRepliesStalled && reply, fault == LinkRequestsStalled && !reply:
			<-changed
		default:
			return
		}
	}
}
