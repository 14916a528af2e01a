package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of Options.
const (
	DefaultBackoffBase = 200 * time.Millisecond
	DefaultBackoffCap  = 15 * time.Second
	DefaultDialTimeout = 2 * time.Second
	DefaultIdle        = time.Minute
	callsPerIdleCheck  = 64 // calls between two checks for idle connections
)

type (
	// Options configures a Pool. Zero fields select the defaults.
	Options struct {
		MessageLimit int
		BackoffBase  time.Duration
		BackoffCap   time.Duration
		DialTimeout  time.Duration
		Idle         time.Duration // time without a call after which the next idle check closes a connection
		NoBackoff    []string      // purposes whose calls ignore the backoff, such as probes
		Seed         uint64        // seed of the backoff jitter
		Clock        clockwork.Clock
		Counters     *Counters
		Dial         func(ctx context.Context, address string) (net.Conn, error)
	}

	// Pool holds one connection per address and purpose, dialed on demand. Each purpose has its own connection
	// so that a large response does not delay a probe.
	Pool struct {
		opts      Options
		noBackoff map[string]bool

		mu     sync.Mutex
		rngMu  sync.Mutex // guards rng; lock order: mu, clientConn.mu, rngMu
		rng    *rand.Rand
		conns  map[connKey]*clientConn
		calls  int
		closed bool
	}

	// UnreachableError means that a call was not attempted, because the last dial failed, or the last connection closed
	// before any response, and the backoff has not passed yet.
	UnreachableError struct {
		Address string
		Retry   time.Time // earliest time of the next dial
		Cause   error
	}

	connKey struct {
		address string
		purpose string
	}
)

func (e *UnreachableError) Error() string {
	return fmt.Sprintf(
		"%s is unreachable, next attempt at %s: %v",
		e.Address,
		e.Retry.Format(time.RFC3339Nano),
		e.Cause,
	)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.MessageLimit <= 0 {
		opts.MessageLimit = DefaultMessageLimit
	}
	if opts.BackoffBase <= 0 {
		opts.BackoffBase = DefaultBackoffBase
	}
	if opts.BackoffCap <= 0 {
		opts.BackoffCap = DefaultBackoffCap
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.Idle <= 0 {
		opts.Idle = DefaultIdle
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Dial == nil {
		opts.Dial = dial
	}
	p := &Pool{
		opts: opts, noBackoff: make(map[string]bool), conns: make(map[connKey]*clientConn),
		rng: rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	for _, purpose := range opts.NoBackoff {
		p.noBackoff[purpose] = true
	}
	return p
}

// Call calls a method on the node with the given control address and stores the result in reply, which is not
// modified after Call has returned an error. The context bounds both dialing and the call. If a call times out and
// no message was received on its connection meanwhile, the connection is replaced.
func (p *Pool) Call(ctx context.Context, address, purpose, method string, args, reply any) error {
	cc, err := p.conn(connKey{address: address, purpose: purpose})
	if err != nil {
		return err
	}
	s, err := cc.connect(ctx)
	if err != nil {
		return err
	}
	return cc.call(ctx, s, method, args, reply)
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = nil, true
	p.mu.Unlock()
	for _, cc := range conns {
		cc.close()
	}
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, cc := range p.conns {
		if cc.isOpen() {
			n++
		}
	}
	return n
}

func (p *Pool) conn(key connKey) (*clientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	p.calls++
	if p.calls%callsPerIdleCheck == 0 {
		p.closeIdle()
	}
	cc := p.conns[key]
	if cc == nil {
		cc = &clientConn{pool: p, key: key, dialSem: make(chan struct{}, 1)}
		p.conns[key] = cc
	}
	cc.touch()
	return cc, nil
}

// closeIdle closes connections that have been idle for Options.Idle. Probes contact every member of a failure
// domain in turn, and keeping all those connections costs more than dialing one per probe interval (1 s).
func (p *Pool) closeIdle() {
	cutoff := p.opts.Clock.Now().Add(-p.opts.Idle)
	for key, cc := range p.conns {
		if cc.isIdle(cutoff) {
			delete(p.conns, key)
			cc.close()
		}
	}
}

// backoff returns the time until the next dial after a number of failures: exponential with full jitter.
func (p *Pool) backoff(failures int) time.Duration {
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	return FullJitter(p.rng, p.opts.BackoffBase, p.opts.BackoffCap, failures)
}

// FullJitter returns a duration drawn uniformly between 0 and a bound: base, doubled for every failure after the
// first, at most limit. Drawing from the whole range keeps clients that failed together from retrying together.
func FullJitter(rng *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	d := limit
	if shift := failures - 1; shift < 20 && base<<shift < limit {
		d = base << max(shift, 0)
	}
	return time.Duration(rng.Int64N(int64(d) + 1))
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
