// Package conns sends HTTP/1.1 requests over kept connections. It differs from link in that the caller
// decides which answer on a connection is its own, so that late answers to other requests are passed over.
package conns

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultUserTimeout = 1500 * time.Millisecond
	defaultMaxIdle     = 8 * time.Second
	maxIdlePerAddress  = 32
	// keepAliveIdle and keepAliveProbe find a peer that vanished while an answer is awaited.
	keepAliveIdle  = time.Second
	keepAliveProbe = 500 * time.Millisecond
	keepAliveCount = 3
)

type (
	// Options configures a Pool. Zero fields mean the defaults.
	Options struct {
		DialTimeout time.Duration // default 1s
		UserTimeout time.Duration // time for which sent data may stay unacknowledged, default 1.5s
		MaxIdle     time.Duration // idle connections older than this are not used, default 8s
		Opened      func()        // called for each connection opened
	}

	// Pool keeps connections by address. Its zero value is ready to use.
	Pool struct {
		opts Options

		mu   sync.Mutex
		idle map[string][]*conn // newest last
	}
)

// New returns a pool.
func New(o Options) *Pool { return &Pool{opts: o} }

func (p *Pool) maxIdle() time.Duration {
	if p.opts.MaxIdle > 0 {
		return p.opts.MaxIdle
	}
	return defaultMaxIdle
}

// get returns a kept connection that was idle for no longer than fresh, or a new one.
func (p *Pool) get(ctx context.Context, addr string, fresh time.Duration) (*conn, error) {
	if fresh <= 0 || fresh > p.maxIdle() {
		fresh = p.maxIdle()
	}
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		idle := time.Since(c.idleSince)
		if idle <= fresh && (c.keep == 0 || idle < c.keep) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Reach opens a connection to an address and keeps it for later requests.
func (p *Pool) Reach(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Retire closes the idle connections to an address, after one of them turned out to be dead.
func (p *Pool) Retire(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	timeout := p.opts.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	d := net.Dialer{
		Timeout: timeout,
		Control: p.control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbe, Count: keepAliveCount,
		},
	}
	raw, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if p.opts.Opened != nil {
		p.opts.Opened()
	}
	return newConn(raw, addr), nil
}

func (p *Pool) control(_, _ string, rc syscall.RawConn) error {
	timeout := p.opts.UserTimeout
	if timeout <= 0 {
		timeout = defaultUserTimeout
	}
	var set error
	err := rc.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, set)
}
