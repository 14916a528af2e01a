// Package link keeps the HTTP/1.1 connections to nodes and backend servers.
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
	// Limits bounds a Pool. Zero fields mean the defaults. FirstByte should exceed the longest timeout of a
	// route, because a server that is only slow would count as silent. Idle should be shorter than the time
	// after which the peer closes idle connections.
	Limits struct {
		Dial         time.Duration // making a connection, default 1s
		KeepAlive    time.Duration // idle time before a TCP probe, and time between probes, default 5s
		UserTimeout  time.Duration // TCP_USER_TIMEOUT, default 5s
		Write        time.Duration // one write to the socket, default 5s
		FirstByte    time.Duration // from the end of the request to the first byte of the answer, default 60s
		Idle         time.Duration // idle connections are closed after it, default 55s
		Continue     time.Duration // wait for 100 Continue before a body is sent anyway, default 30s
		IdlePerAddr  int           // idle connections to one address, default 64
		ConnsPerAddr int           // connections to one address, default unlimited
		HeaderBytes  int64         // header of an answer, default 64 KiB
		// Wrap, when set, wraps each new connection to an address, for instance to delay it in measurements.
		Wrap func(c net.Conn, addr string) net.Conn
	}

	// Pool sends requests over connections that it keeps per address. Use New.
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
		ReadBufferSize:         readBuffer,
		WriteBufferSize:        readBuffer,
	}
	return p
}

// Retire closes the idle connections to an address ip:port. Connections in use are left alone.
func (p *Pool) Retire(addr string) {
	for _, c := range p.list(addr) {
		if c.seal(true) {
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
		Control: control(p.limits.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: p.limits.KeepAlive, Interval: p.limits.KeepAlive, Count: 2,
		},
	}
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if p.limits.Wrap != nil {
		raw = p.limits.Wrap(raw, addr)
	}
	c := newConn(raw, p, addr)
	p.remember(c)
	return c, nil
}

func (p *Pool) remember(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] == nil {
		p.conns[c.addr] = make(map[*conn]struct{})
	}
	p.conns[c.addr][c] = struct{}{}
}

func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.addr], c)
	if len(p.conns[c.addr]) == 0 {
		delete(p.conns, c.addr)
	}
}

func (p *Pool) list(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*conn, 0, len(p.conns[addr]))
	for c := range p.conns[addr] {
		all = append(all, c)
	}
	return all
}

func (l Limits) withDefaults() Limits {
	l.Dial = or(l.Dial, time.Second)
	l.KeepAlive = or(l.KeepAlive, 5*time.Second)
	l.UserTimeout = or(l.UserTimeout, 5*time.Second)
	l.Write = or(l.Write, 5*time.Second)
	l.FirstByte = or(l.FirstByte, time.Minute)
	l.Idle = or(l.Idle, 55*time.Second)
	l.Continue = or(l.Continue, 30*time.Second)
	l.IdlePerAddr = or(l.IdlePerAddr, 64)
	l.HeaderBytes = or(l.HeaderBytes, 64<<10)
	return l
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// silent reports whether a failed request shows that its connection went silent, rather than that the
// server was slow or the caller left.
func silent(ctx context.Context, err error, c *conn) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	var timeout net.Error
	if ctx.Err() == nil {
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	return c != nil && unacknowledged(c.Conn)
}
