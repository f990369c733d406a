package transport

import "sync"

// peers holds the open connections by the address of the peer.
type peers struct {
	mu        sync.Mutex
	byAddress map[string]*peer
}

// peer is the set of open connections to one address.
type peer struct {
	all     *peers
	address string
	conns   map[*trackedConn]bool
}

// add records a new connection.
func (p *peers) add(address string, c *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = make(map[string]*peer)
	}
	to := p.byAddress[address]
	if to == nil {
		to = &peer{all: p, address: address, conns: make(map[*trackedConn]bool)}
		p.byAddress[address] = to
	}
	c.peer = to
	to.conns[c] = true
}

// remove forgets a connection.
func (p *peer) remove(c *trackedConn) {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	delete(p.conns, c)
	if len(p.conns) == 0 && p.all.byAddress[p.address] == p {
		delete(p.all.byAddress, p.address)
	}
}

// closeIdle closes the connections to an address that no request uses.
func (p *peers) closeIdle(address string) {
	for _, c := range p.connsTo(address) {
		if c.sealIfIdle() {
			_ = c.Close() // nothing was being sent
		}
	}
}

func (p *peers) connsTo(address string) []*trackedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*trackedConn
	if to := p.byAddress[address]; to != nil {
		for c := range to.conns {
			conns = append(conns, c)
		}
	}
	return conns
}
