package soak

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
)

// Guards against a proxy that cannot listen again after it has refused connections, because
// another one has taken its port, and against one that accepts connections meanwhile.
func TestProxyRefusesAndAdmits(t *testing.T) {
	server, address, err := serve(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	p, err := NewProxy(address)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Refuse()
	p.Refuse() // a second fault of the same link
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				other, err := NewProxy(address)
				if err != nil {
					t.Error(err)
					return
				}
				other.Close()
			}
		})
	}
	if _, err := net.Dial("tcp", p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want connection refused", err)
	}
	group.Wait()
	for range 2 {
		if err := p.Admit(); err != nil {
			t.Fatal(err)
		}
	}
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// Guards against the reserved port of a proxy being given to another one.
func TestReservedPortIsNotGiven(t *testing.T) {
	pool := portPool{ip: processIP(1), reserved: make(map[string]bool)}
	l, err := pool.listen()
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	pool.reserve(l)
	if !pool.reserved[address] {
		t.Errorf("address %s is not reserved", address)
	}
	again, err := pool.listenAgain(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	if pool.reserved[address] {
		t.Errorf("address %s is reserved although it is in use", address)
	}
}
