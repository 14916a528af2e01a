// Package conns is an HTTP/1.1 client with connection reuse. Unlike package link, it lets the caller decide which
// responses on a connection belong to its request, so that late responses to other requests are skipped.
package conns

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Defaults of Options.
	defaultDialTimeout = time.Second
	defaultUserTimeout = 1500 * time.Millisecond
	defaultMaxIdle     = 8 * time.Second

	// maxIdlePerAddress is the maximum number of idle connections that a Pool keeps per address.
	maxIdlePerAddress = 32

	// TCP keep-alive parameters. They detect an unreachable peer while a request waits for its response.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

type (
	// Options configures a Pool. A zero field selects the default.
	Options struct {
		DialTimeout time.Duration // default 1s
		UserTimeout time.Duration // maximum time for sent data to be acknowledged, default 1.5s
		MaxIdle     time.Duration // maximum idle time of a reused connection, default 8s
		Opened      func()        // called after a connection was opened
		// Dial opens a connection. The default opens a TCP connection over IPv4, with DialTimeout, UserTimeout, and
		// keep-alive probes that detect an unreachable peer while a request waits for its response.
		Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	}

	// Pool holds idle connections by address. Its zero value is ready to use.
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

// get returns an idle connection that was idle for no longer than maxIdle and on which no request with the identifier has
// failed, or a new one. A maxIdle above the pool's MaxIdle is reduced to it; 0 selects it.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration, id string) (*conn, error) {
	if maxIdle <= 0 || maxIdle > p.maxIdle() {
		maxIdle = p.maxIdle()
	}
	for {
		c := p.takeIdle(addr, id)
		if c == nil {
			return p.dial(ctx, addr)
		}
		idle := time.Since(c.idleSince)
		if idle <= maxIdle && (c.keepAlive == 0 || idle < c.keepAlive) && c.healthy() {
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes the newest idle connection on which no request with the identifier has failed.
func (p *Pool) takeIdle(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if id != "" && slices.Contains(c.failedIDs, id) {
			continue
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
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

// Preconnect opens a connection to an address and adds it to the idle connections.
func (p *Pool) Preconnect(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// CloseIdle closes the idle connections to an address. Do calls it when the peer's host is unreachable.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	dial := p.opts.Dial
	if dial == nil {
		dial = p.dialTCP
	}
	raw, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.opts.Opened != nil {
		p.opts.Opened()
	}
	return newConn(raw, addr), nil
}

func (p *Pool) dialTCP(ctx context.Context, _, addr string) (net.Conn, error) {
	timeout := p.opts.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	d := net.Dialer{
		Timeout: timeout,
		Control: p.setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp4", addr)
}

func (p *Pool) setUserTimeout(_, _ string, rc syscall.RawConn) error {
	timeout := p.opts.UserTimeout
	if timeout <= 0 {
		timeout = defaultUserTimeout
	}
	var setErr error
	err := rc.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
