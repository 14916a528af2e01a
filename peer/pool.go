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
	sweepEvery         = 64 // calls between two searches for idle connections
)

type (
	// Options configures a Pool. Zero fields mean the defaults.
	Options struct {
		MessageLimit int
		BackoffBase  time.Duration
		BackoffCap   time.Duration
		DialTimeout  time.Duration
		Idle         time.Duration // time without a call after which a connection is closed
		NoBackoff    []string      // purposes whose calls are always attempted, such as probes
		Seed         uint64        // of the jitter
		Clock        clockwork.Clock
		Counters     *Counters
		Dial         func(ctx context.Context, address string) (net.Conn, error)
	}

	// Pool holds one connection per address and purpose and connects when it is needed. Purposes are kept
	// apart so that a large answer does not delay a probe.
	Pool struct {
		opts      Options
		noBackoff map[string]bool

		mu     sync.Mutex
		jitter sync.Mutex // guards rng; taken under the lock of a link, which is taken under mu
		rng    *rand.Rand
		links  map[linkKey]*link
		calls  int
		closed bool
	}

	// UnreachableError means that a call was not attempted, because connecting failed shortly before.
	UnreachableError struct {
		Address string
		Retry   time.Time // earliest time of the next attempt
		Cause   error
	}

	linkKey struct {
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
		opts: opts, noBackoff: make(map[string]bool), links: make(map[linkKey]*link),
		rng: rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	for _, purpose := range opts.NoBackoff {
		p.noBackoff[purpose] = true
	}
	return p
}

// Call calls a method on the node with the given control address and stores the answer in reply, which it
// does not touch after it has returned an error. The context bounds connecting and the call. When a call
// times out and nothing at all arrived on its connection meanwhile, the connection is replaced.
func (p *Pool) Call(ctx context.Context, address, purpose, method string, args, reply any) error {
	l, err := p.link(linkKey{address: address, purpose: purpose})
	if err != nil {
		return err
	}
	s, err := l.connect(ctx)
	if err != nil {
		return err
	}
	return l.call(ctx, s, method, args, reply)
}

// Close closes all connections. Calls under way fail.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links, p.closed = nil, true
	p.mu.Unlock()
	for _, l := range links {
		l.drop()
	}
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.links {
		if l.open() {
			n++
		}
	}
	return n
}

func (p *Pool) link(key linkKey) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	p.calls++
	if p.calls%sweepEvery == 0 {
		p.sweep()
	}
	l := p.links[key]
	if l == nil {
		l = &link{pool: p, key: key, gate: make(chan struct{}, 1)}
		p.links[key] = l
	}
	l.touch()
	return l, nil
}

// sweep closes connections that were not used for some time: probes reach every member of a failure domain
// in turn, and keeping all those connections would cost more than opening one a second.
func (p *Pool) sweep() {
	oldest := p.opts.Clock.Now().Add(-p.opts.Idle)
	for key, l := range p.links {
		if l.idleSince(oldest) {
			delete(p.links, key)
			l.drop()
		}
	}
}

// backoff returns the time until the next attempt after a number of failures: exponential with full jitter.
func (p *Pool) backoff(failures int) time.Duration {
	p.jitter.Lock()
	defer p.jitter.Unlock()
	return FullJitter(p.rng, p.opts.BackoffBase, p.opts.BackoffCap, failures)
}

// FullJitter returns a time uniform between 0 and base doubled with every failure after the first, at most
// limit. Spreading over the whole range keeps clients that failed together from returning together.
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
