// Package relay distributes configuration records, member entries and facts (halts and stops of moves) to the nodes
// through a tree of readers, relay nodes and leaves, and holds the node's current configuration.
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

// Timeouts and intervals of the distribution.
const (
	// FetchMaxWait is the maximum wait of a child's long poll. An unresponsive parent is detected after FetchMaxWait
	// and CallTimeoutMargin, which leaves time to poll another within conf.MaxPropagationTime (10 s), in which a
	// change must be in force.
	FetchMaxWait = 4 * time.Second
	// LinkMaxWait is the maximum wait of a reader's long poll of another reader, and of any Fetch.
	LinkMaxWait = 10 * time.Second
	// CallTimeoutMargin is added to the maxWait duration of a call to get its timeout.
	CallTimeoutMargin = 2 * time.Second
	// MaxParentStaleness is the staleness of a parent from which its children try another one. Staleness is the time
	// since the parent's configuration was last known to match the log's head.
	MaxParentStaleness = 10 * time.Second
	// BackoffBase and BackoffCap bound the delays after failures. A delay is random between 0 and BackoffBase, doubled
	// with each failure up to BackoffCap.
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
	// Role is the position of a node in the tree.
	Role string

	// Options configures a Hub. Table, Log and Caller are required.
	Options struct {
		Table       *member.Table
		Log         shunt.Log
		Caller      member.Caller
		Clock       clockwork.Clock
		Seeds       []string      // control addresses of nodes to join through
		Seed        uint64        // of the random number generator for delays and orders
		Retention   time.Duration // of the log; 0 if records do not expire
		RecordLimit int           // maximum bytes of a log record; 0 means DefaultRecordLimit
		// Applied, if set, is called for each record applied. It must not call the hub, because the hub's lock is held.
		Applied func(shunt.Entry, state.Outcome)
	}

	// Hub holds a node's current configuration and exchanges records, members and facts with other nodes.
	Hub struct {
		table  *member.Table
		log    shunt.Log
		caller member.Caller
		clock  clockwork.Clock
		opts   Options
		self   shunt.Member // copy made at start, of which only fields that never change are read

		current             atomic.Pointer[state.State]
		facts               factStore
		reports             reportQueue
		confirms            confirmTracker
		jitter              jitter
		snapshots           snapshotServer
		links               linkPolls
		loggedSnapshotState snapshotState // used by runMaintenance only
		writtenSeeds        seedState     // used by runMaintenance only

		mu           sync.Mutex
		recent       recordWindow
		head         shunt.Offset // newest known offset of the log
		freshAt      time.Time    // last time at which current was known to match the log's head; initially the start time
		logDownSince time.Time    // time of the first failed read since the log last answered
		blocked      *state.SchemaError
		floor        floor
		joined       bool
		role         Role
		parent       string
		parents      parentHistory
		delivered    map[string]shunt.Offset // highest offset sent to each control address; see Relay.Floor
		repairs      int
		lastRepair   time.Time
		changed      chan struct{}
		done         chan struct{}
		closed       bool
	}

	// jitter generates random delays and is safe for concurrent use.
	jitter struct {
		mu  sync.Mutex
		rng *rand.Rand
	}
)

// DefaultRecordLimit is the default maximum size of a log record in bytes.
const DefaultRecordLimit = 256 << 10

var (
	errNoParent = errors.New("no parent is known")
	errOlder    = errors.New("snapshot is older than the current configuration")
	errClosed   = errors.New("node is shutting down")
)

// New returns a hub with the empty configuration. It is inactive until Run is called.
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
		freshAt:   opts.Clock.Now(),
		parents:   newParents(),
		delivered: make(map[string]shunt.Offset),
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	h.jitter.rng = rand.New(rand.NewPCG(opts.Seed, h.self.Incarnation))
	h.current.Store(&state.State{})
	h.recent.reset(h.current.Load())
	h.facts.init(h.self)
	h.reports.init()
	h.confirms.init()
	h.links.init()
	return h
}

// Run joins the other nodes, determines the floor and exchanges updates until the context ends.
func (h *Hub) Run(ctx context.Context) {
	defer h.close()
	h.reports.addMembers(h.self)
	var wg sync.WaitGroup
	wg.Go(func() { h.resolveFloor(ctx) })
	wg.Go(func() { h.runReports(ctx) })
	wg.Go(func() { h.fetchMismatched(ctx) })
	wg.Go(func() {
		h.join(ctx)
		wg.Go(func() { h.rejoin(ctx) })
		h.runRole(ctx)
	})
	wg.Wait()
}

// Current returns the newest configuration received, which may be below the floor.
func (h *Hub) Current() *state.State { return h.current.Load() }

// Serving returns the configuration to serve calls from, or a NotReadyError if the node must not serve.
func (h *Hub) Serving() (*state.State, error) {
	s := h.current.Load()
	if reason := h.notReadyReason(s); reason != "" {
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

// notifyChanged wakes all calls that wait for a change. The caller holds h.mu.
func (h *Hub) notifyChanged() {
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

// sleep waits for a duration or until the context ends.
func (h *Hub) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.clock.After(d):
	}
}

// backoff waits after a number of consecutive failures.
func (h *Hub) backoff(ctx context.Context, failures int) {
	h.sleep(ctx, h.jitter.backoff(failures))
}

// call calls a method of another node's relay service. maxWait is the time that the callee may wait before it
// replies.
func (h *Hub) call(
	ctx context.Context, address, purpose, method string, maxWait time.Duration, args, reply any,
) error {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, maxWait+CallTimeoutMargin)
	defer cancel()
	return h.caller.Call(ctx, address, purpose, ServiceName+"."+method, args, reply)
}
