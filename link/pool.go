// Package link manages the HTTP/1.1 connections to nodes and backend servers.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// Limits bounds a Pool. Zero fields mean the defaults. FirstByte should exceed the longest timeout of a route,
	// because otherwise a slow server would count as unresponsive. Idle should be shorter than the time after which
	// the peer closes idle connections.
	Limits struct {
		Dial         time.Duration // establishing a connection, default 1s
		KeepAlive    time.Duration // idle time before a TCP probe, and time between probes, default 5s
		UserTimeout  time.Duration // TCP_USER_TIMEOUT, default 5s
		Write        time.Duration // one write to the connection, default 5s
		FirstByte    time.Duration // from the end of the request to the end of the response header, default 60s
		Idle         time.Duration // time after which idle connections are closed, default 55s
		Continue     time.Duration // wait for 100 Continue before the body is sent without it, default 30s
		IdlePerAddr  int           // idle connections to one address, default 64
		ConnsPerAddr int           // connections to one address, default unlimited
		HeaderBytes  int64         // header of a response, default 64 KiB
		// Wrap, if set, wraps each new connection to an address, for example to delay it in benchmarks.
		Wrap func(c net.Conn, addr string) net.Conn
	}

	// Pool sends requests over connections pooled per address. Create it with New.
	Pool struct {
		limits    Limits
		transport *http.Transport

		mu    sync.Mutex
		conns map[string]map[*conn]struct{}
	}
)

// New returns an empty pool.
func New(l Limits) *Pool {
	p := &Pool{limits: l.withDefaults(), conns: make(map[string]map[*conn]struct{})}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            p.dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    p.limits.IdlePerAddr,
		MaxConnsPerHost:        p.limits.ConnsPerAddr,
		IdleConnTimeout:        p.limits.Idle,
		ResponseHeaderTimeout:  p.limits.FirstByte,
		ExpectContinueTimeout:  p.limits.Continue,
		MaxResponseHeaderBytes: p.limits.HeaderBytes,
		ReadBufferSize:         transportBufferSize,
		WriteBufferSize:        transportBufferSize,
	}
	return p
}

// CloseIdleTo closes the idle connections to an ip:port address. Connections in use are not affected.
func (p *Pool) CloseIdleTo(addr string) {
	for _, c := range p.connsTo(addr) {
		if c.stopWrites(true) {
			c.Close()
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
}

func (p *Pool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: p.limits.Dial,
		Control: setUserTimeout(p.limits.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: p.limits.KeepAlive, Interval: p.limits.KeepAlive, Count: 2,
		},
	}
	netConn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if p.limits.Wrap != nil {
		netConn = p.limits.Wrap(netConn, addr)
	}
	c := newConn(netConn, p, addr)
	p.add(c)
	return c, nil
}

func (p *Pool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] == nil {
		p.conns[c.address] = make(map[*conn]struct{})
	}
	p.conns[c.address][c] = struct{}{}
}

func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

func (p *Pool) connsTo(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*conn, 0, len(p.conns[addr]))
	for c := range p.conns[addr] {
		conns = append(conns, c)
	}
	return conns
}

func (l Limits) withDefaults() Limits {
	l.Dial = defaultTo(l.Dial, time.Second)
	l.KeepAlive = defaultTo(l.KeepAlive, 5*time.Second)
	l.UserTimeout = defaultTo(l.UserTimeout, 5*time.Second)
	l.Write = defaultTo(l.Write, 5*time.Second)
	l.FirstByte = defaultTo(l.FirstByte, time.Minute)
	l.Idle = defaultTo(l.Idle, 55*time.Second)
	l.Continue = defaultTo(l.Continue, 30*time.Second)
	l.IdlePerAddr = defaultTo(l.IdlePerAddr, 64)
	l.HeaderBytes = defaultTo(l.HeaderBytes, 64<<10)
	return l
}

func defaultTo[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// isUnresponsive reports whether a request failed because the peer did not respond: a dial, write, response or TCP
// timeout passed, or the deadline passed with unacknowledged data. It returns false if the caller cancelled.
func isUnresponsive(ctx context.Context, err error, c *conn) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	var netErr net.Error
	if ctx.Err() == nil {
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	return c != nil && hasUnacknowledgedData(c.Conn)
}
