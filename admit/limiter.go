// Package admit limits the number of requests running on the node's backend server and queues the rest.
package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

const (
	// DefaultQueue is the maximum number of waiting requests per class.
	DefaultQueue = 128
	// DefaultWindow is the minimum time between two increases of the limit. With 10 slots, a cold server receives
	// its full load after 9 windows of growth and 4 trial windows at the earliest, which leaves it time to warm
	// up.
	DefaultWindow = time.Second

	// urgentReserveTime is how long a fifth of the slots stays reserved for urgent requests after the last one
	// arrived. Without this bound, a server without urgent routes would leave slots idle.
	urgentReserveTime = 10 * time.Second
	// While both normal and background requests wait, one of every backgroundInterval non-urgent starts is a
	// background request.
	backgroundInterval = 8
	// noDeadlineOffset sorts requests without a deadline after all others.
	noDeadlineOffset = 365 * 24 * time.Hour
)

// Reasons for rejecting a request, each wrapped together with shunt.ErrNotAdmitted.
var (
	ErrLeaving   = errors.New("server is leaving")
	ErrQueueFull = errors.New("queue is full")
	ErrTooLate   = errors.New("estimated end misses the deadline")
	ErrExpired   = errors.New("no time left to run after the wait in the queue")
	ErrCancelled = errors.New("cancelled by the caller in the queue")
)

type (
	// Limiter implements shunt.Admitter for one backend server. A request is admitted only while the number of
	// running requests is below the limit. Lowering the limit interrupts no request.
	//
	// If the server becomes cold without notice, so that every newly started request takes more than four times
	// the baseline latency, at most limit + 4 further requests start before the limit is 1. The 4 grows to at most
	// 63 on servers where usually more than 6% of the responses exceed four times the baseline.
	Limiter struct {
		clock    clockwork.Clock
		maxQueue int
		window   time.Duration

		mu                  sync.Mutex
		slots               int
		running             int    // on the current server
		outstanding         int    // including requests still running on servers used before the last Reset
		epoch               uint64 // incremented by Reset; identifies the backend server a ticket belongs to
		sequence            uint64 // of the newest admitted request
		lastAtLimitSequence uint64 // sequence of the newest request whose start raised running to at least nonUrgentLimit
		draining            bool
		idle                chan struct{} // closed when outstanding reaches 0 during a Drain
		waiting             [shunt.NumClasses]waitHeap
		arrivals            uint64
		normalStarts        int // normal starts while background requests waited
		lastUrgent          time.Time
		meanServiceTime     float64 // mean time in nanoseconds that a request occupies its slot, 0 if unknown
		adaptive            adaptiveLimit
	}

	// Options are the settings of a Limiter. Zero fields select the defaults.
	Options struct {
		Queue  int           // maximum number of waiting requests per class
		Window time.Duration // minimum time between two increases of the limit
	}

	ticket struct {
		limiter  *Limiter
		epoch    uint64
		sequence uint64
		started  time.Time
		done     bool
	}
)

// New returns a Limiter with limit 1 for a backend server that announced a number of slots.
func New(clock clockwork.Clock, slots int, o Options) *Limiter {
	if o.Queue <= 0 {
		o.Queue = DefaultQueue
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	return &Limiter{
		clock:    clock,
		maxQueue: o.Queue,
		window:   o.Window,
		slots:    max(slots, 1),
		adaptive: newAdaptiveLimit(clock.Now()),
	}
}

// Acquire implements shunt.Admitter. A request whose context has no deadline waits behind all others of its class.
func (l *Limiter) Acquire(ctx context.Context, class shunt.Class) (shunt.Ticket, error) {
	w, err := l.enqueue(ctx, class)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		l.abandon(w)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	return w.ticket, nil
}

// Load implements shunt.Admitter.
func (l *Limiter) Load() shunt.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return shunt.Load{InFlight: l.running, Limit: l.adaptive.limit, Queued: l.queueLength()}
}

// BaselineLatency returns the baseline latency, 0 if unknown.
func (l *Limiter) BaselineLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.adaptive.baseline)
}

// SetSlots changes the number of announced slots and lowers the limit to it if necessary.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(slots, 1)
	l.adaptive.limit = min(l.adaptive.limit, l.slots)
	l.dispatch()
}

// Reset prepares the limiter for a new backend server: it sets the limit to 1, discards all measurements and ends a
// drain. Requests still running on the old server no longer occupy slots and are not measured, but Drain still waits
// for them.
func (l *Limiter) Reset(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(slots, 1)
	l.epoch++
	l.running = 0
	l.meanServiceTime = 0
	l.draining = false
	l.adaptive = newAdaptiveLimit(l.clock.Now())
	l.dispatch()
}

// Drain rejects all queued and new requests, then waits until no request is running, on this or an earlier backend
// server, or the context ends. Queued requests are rejected rather than run because a leaving server must not
// receive new requests.
func (l *Limiter) Drain(ctx context.Context) error {
	idle := l.startDrain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain with %d requests running: %w", l.Load().InFlight, ctx.Err())
	}
}

// Done implements shunt.Ticket.
func (t *ticket) Done(s shunt.Sample) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	l.outstanding--
	if l.outstanding == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
	if t.epoch != l.epoch {
		return
	}
	if !s.Ignore {
		l.recordSample(t, s)
	}
	l.running--
	l.dispatch()
}

func (l *Limiter) recordSample(t *ticket, s shunt.Sample) {
	now := l.clock.Now()
	// A failed request may have been cut short by its deadline and then held its slot for less time than it
	// needed, so a failure may only raise the mean.
	if serviceTime := float64(now.Sub(t.started)); !s.Shed && (!s.Failed || serviceTime > l.meanServiceTime) {
		// The weight of one request in the mean is 1/16.
		l.meanServiceTime = movingAverage(l.meanServiceTime, serviceTime, 1.0/16)
	}
	// Whether the non-urgent limit was reached while the request ran.
	atLimit := l.lastAtLimitSequence >= t.sequence
	l.adaptive.observe(observation{
		at:       now,
		sequence: t.sequence,
		newest:   l.sequence,
		atLimit:  atLimit,
		sample:   s,
		slots:    l.slots,
		window:   l.window,
	})
}

// startDrain rejects all waiting requests and returns a channel that is closed when no request is running, on this
// or an earlier backend server.
func (l *Limiter) startDrain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for i := range l.waiting {
		for l.waiting[i].Len() > 0 {
			l.reject(l.waiting[i].popEarliest(), ErrLeaving)
		}
	}
	if l.outstanding == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	return l.idle
}

// nonUrgentLimit returns the number of slots available to requests below the urgent class. A fifth of the slots, and
// at least one, is reserved for urgent requests.
func (l *Limiter) nonUrgentLimit() int {
	limit := l.adaptive.limit
	if limit < 2 || l.lastUrgent.IsZero() || l.clock.Since(l.lastUrgent) > urgentReserveTime {
		return limit
	}
	return limit - max(1, limit/5)
}
