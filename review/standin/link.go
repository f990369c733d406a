package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the path from one host to the store: a proxy that passes on what the store
// sends at the rate of the host's network link.
type link struct {
	target   string
	bytesPer float64 // bytes a second

	mu   sync.Mutex
	next time.Time // when the link is free again
}

const bitsPerByte = 8

// newLink starts a proxy to an address and returns its own address.
func newLink(target string, mbps float64) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	k := &link{target: target, bytesPer: mbps * 1e6 / bitsPerByte}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return l.Addr().String(), nil
}

// pass connects one connection with the store.
func (k *link) pass(c net.Conn) {
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(s, c)
		s.Close()
		c.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := s.Read(buffer)
		if n > 0 {
			k.wait(n)
			if _, err := c.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	s.Close()
	c.Close()
}

// wait takes n bytes of the link, which all connections of the host share.
func (k *link) wait(n int) {
	k.mu.Lock()
	now := time.Now()
	if k.next.Before(now) {
		k.next = now
	}
	k.next = k.next.Add(time.Duration(float64(n) / k.bytesPer * float64(time.Second)))
	until := k.next
	k.mu.Unlock()
	time.Sleep(time.Until(until))
}
