// Package relay spreads records, members and facts over the nodes in a tree of readers, relays and leaves, and
// holds the node's current configuration.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

// Times of the spread.
const (
	// FetchWait is the longest wait of a long poll. A silent parent is noticed after it and CallGrace, which
	// leaves time for the next parent within the 10 s in which a change has to be in force.
	FetchWait = 4 * time.Second
	// LinkWait is the longest wait of a long poll between failure domains.
	LinkWait = 10 * time.Second
	// CallGrace is added to a call's expected time before it counts as failed.
	CallGrace = 2 * time.Second
	// StaleLimit is the age of a parent's last contact with the log from which its children try another.
	StaleLimit = 10 * time.Second
	// BackoffBase and BackoffCap bound the pauses after failures, with full jitter.
	BackoffBase = 200 * time.Millisecond
	BackoffCap  = 15 * time.Second
)

// Roles of a node in its failure domain.
const (
	RoleReader Role = "reader"
	RoleRelay  Role = "relay"
	RoleLeaf   Role = "leaf"
)

type (
	// Role is the place of a node in the tree.
	Role string

	// Options configures a Hub. Table, Log and Caller are required.
	Options struct {
		Table       *member.Table
		Log         shunt.Log
		Caller      member.Caller
		Clock       clockwork.Clock
		Seeds       []string      // control addresses of nodes to join through
		Seed        uint64        // of the jitter
		Retention   time.Duration // of the log; 0 when records are kept for good
		RecordLimit int           // bytes of one record of the log; 0 means DefaultRecordLimit
		// Applied, when set, is called with each record reduced. It must not call the hub.
		Applied func(shunt.Entry, state.Outcome)
	}

	// Hub holds a node's current configuration and exchanges records, members and facts with other nodes.
	Hub struct {
		table  *member.Table
		log    shunt.Log
		caller member.Caller
		clock  clockwork.Clock
		opts   Options
		self   shunt.Member // control address, failure domain and incarnation do not change

		current atomic.Pointer[state.State]
		facts   facts
		up      queue
		confirm confirms
		jitter  jitter
		bulk    bulk
		links   linkSet
		snap    written // used by maintain only
		seeded  seeded  // used by maintain only

		mu        sync.Mutex
		recent    ring
		head      shunt.Offset // newest offset that the log is known to have
		fresh     time.Time    // last time at which current was known to be the log's newest
		logDown   time.Time    // first failure of the log since it last answered
		blocked   *state.SchemaError
		floor     floor
		joined    bool
		role      Role
		parent    string
		parents   parents
		delivered map[string]shunt.Offset
		repairs   int
		repaired  time.Time
		changed   chan struct{}
		done      chan struct{}
		closed    bool
	}

	// jitter is a source of random pauses for several goroutines.
	jitter struct {
		mu  sync.Mutex
		rng *rand.Rand
	}
)

// DefaultRecordLimit is the default limit of a record of the log in bytes.
const DefaultRecordLimit = 256 << 10

var (
	errNoParent = errors.New("no parent is known")
	errOlder    = errors.New("snapshot is older than the current configuration")
	errClosed   = errors.New("node is shutting down")
)

// New returns a hub at the empty configuration. It does nothing before Run.
func New(opts Options) *Hub {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.RecordLimit <= 0 {
		opts.RecordLimit = DefaultRecordLimit
	}
	h := &Hub{
		table: opts.Table, log: opts.Log, caller: opts.Caller, clock: opts.Clock, opts: opts,
		self:      opts.Table.Self(),
		fresh:     opts.Clock.Now(),
		parents:   newParents(),
		delivered: make(map[string]shunt.Offset),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	h.jitter.rng = rand.New(rand.NewPCG(opts.Seed, h.self.Incarnation))
	h.current.Store(&state.State{})
	h.recent.reset(h.current.Load())
	h.facts.init(h.self)
	h.up.init()
	h.confirm.init()
	h.links.init()
	return h
}

// Run joins the other nodes, learns the floor and spreads until the context ends.
func (h *Hub) Run(ctx context.Context) {
	defer h.close()
	h.up.add(h.self)
	var wg sync.WaitGroup
	wg.Go(func() { h.learnFloor(ctx) })
	wg.Go(func() { h.report(ctx) })
	wg.Go(func() { h.level(ctx) })
	wg.Go(func() {
		h.join(ctx)
		wg.Go(func() { h.rejoin(ctx) })
		h.follow(ctx)
	})
	wg.Wait()
}

// Current returns the newest configuration known, which may be below the floor.
func (h *Hub) Current() *state.State { return h.current.Load() }

// Serving returns the configuration to serve calls from, or an error that says why the node must not serve.
func (h *Hub) Serving() (*state.State, error) {
	s := h.current.Load()
	if reason := h.unready(s); reason != "" {
		return nil, &NotReadyError{Reason: reason}
	}
	return s, nil
}

// Changed returns a channel that is closed at the next change of the configuration, the facts or the
// readiness to serve.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// wake tells waiting calls of a change. The caller holds h.mu.
func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Hub) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed = true
		close(h.done)
	}
}

// pause waits for a time, or returns early when the context ends.
func (h *Hub) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.clock.After(d):
	}
}

// backoff waits after a number of failures in a row.
func (h *Hub) backoff(ctx context.Context, failures int) {
	h.pause(ctx, h.jitter.backoff(failures))
}

// call calls a method of another node's relay service. Expected is how long the answer may take by design.
func (h *Hub) call(
	ctx context.Context, address, purpose, method string, expected time.Duration, args, reply any,
) error {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, expected+CallGrace)
	defer cancel()
	return h.caller.Call(ctx, address, purpose, ServiceName+"."+method, args, reply)
}
