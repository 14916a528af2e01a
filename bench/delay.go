package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// zones knows in which failure domain each address stands. Its zero value is empty.
	zones struct {
		mu     sync.Mutex
		domain map[string]string
	}

	// delayed is a connection between failure domains: the first read after a write takes a round trip longer.
	delayed struct {
		net.Conn

		roundTrip time.Duration
		wrote     atomic.Bool
	}
)

func (z *zones) set(address, domain string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.domain == nil {
		z.domain = make(map[string]string)
	}
	z.domain[address] = domain
}

// between reports whether an address is known and outside a failure domain.
func (z *zones) between(domain, address string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	other, ok := z.domain[address]
	return ok && other != domain
}

// SyscallConn implements syscall.Conn.
func (c *delayed) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *delayed) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

func (c *delayed) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.wrote.Swap(false) {
		time.Sleep(c.roundTrip)
	}
	return n, err
}
