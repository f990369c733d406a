package soak

import (
	"net"
	"os"
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
)

// proxyPorts opens the listeners of all proxies of this process, and keeps the ports of those
// that refuse connections from the others. Their IP address is not that of other processes,
// nor do outgoing connections use it.
var proxyPorts = portPool{ip: processIP(os.Getpid()), reserved: make(map[string]bool)}

// processIP returns the loopback address of a process, from 127.64.0.0/10.
func processIP(pid int) string {
	return net.IPv4(127, byte(64|pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// portPool opens listeners on one IP address.
type portPool struct {
	ip string

	mu       sync.Mutex
	reserved map[string]bool // addresses of proxies that refuse connections
}

// listen opens a listener on a port that is free and not reserved.
func (p *portPool) listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
		if err != nil || !p.reserved[l.Addr().String()] {
			return l, err
		}
		_ = l.Close()
	}
}

// reserve closes a listener and keeps its address.
func (p *portPool) reserve(l net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved[l.Addr().String()] = true
	_ = l.Close()
}

// release gives up a reserved address.
func (p *portPool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reserved, address)
}

// listenAgain opens a listener on a reserved address.
func (p *portPool) listenAgain(address string) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", address)
	if err == nil {
		delete(p.reserved, address)
	}
	return l, err
}

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
	l, err := proxyPorts.listen()
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
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	proxyPorts.release(p.address)
	p.mu.Unlock()
	p.SetFault(LinkReset)
}

// Refuse resets the open connections and has new ones refused.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	proxyPorts.reserve(p.listener)
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
	l, err := proxyPorts.listenAgain(p.address)
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
