package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// domainMap maps addresses to failure domains. Its zero value is empty.
	domainMap struct {
		mu      sync.Mutex
		domains map[string]string
	}

	// delayedConn simulates the network latency between failure domains: the first read after a write is delayed by
	// one round trip.
	delayedConn struct {
		net.Conn

		roundTrip time.Duration
		written   atomic.Bool
	}
)

func (m *domainMap) set(address, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.domains == nil {
		m.domains = make(map[string]string)
	}
	m.domains[address] = domain
}

// crosses reports whether an address is in the map and belongs to a failure domain other than the given one.
func (m *domainMap) crosses(domain, address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.domains[address]
	return ok && d != domain
}

// SyscallConn implements syscall.Conn.
func (c *delayedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *delayedConn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(b)
}

func (c *delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.written.Swap(false) {
		time.Sleep(c.roundTrip)
	}
	return n, err
}
