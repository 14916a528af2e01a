// Package admit limits the requests running on a node's own backend server and queues the rest.
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
	// DefaultQueue is the number of requests of one class that may wait.
	DefaultQueue = 128
	// DefaultWindow is the least time between two rises of the limit. With 10 slots a cold server gets its
	// full load after 9 windows of growth and 4 of trials at the earliest, which leaves it time to warm up.
	DefaultWindow = time.Second

	// urgentMemory is how long slots stay reserved after the last urgent request. A server without urgent
	// routes would otherwise leave slots idle.
	urgentMemory = 10 * time.Second
	// backgroundShare is the share of non-urgent starts, one in so many, that goes to waiting background
	// requests although normal ones wait too.
	backgroundShare = 8
	// noDeadline orders requests without a deadline behind all others.
	noDeadline = 365 * 24 * time.Hour
)

// Reasons of refusals. They are wrapped together with shunt.ErrNotAdmitted.
var (
	ErrLeaving   = errors.New("server is leaving")
	ErrQueueFull = errors.New("queue is full")
	ErrTooLate   = errors.New("estimated end misses the deadline")
	ErrExpired   = errors.New("no time left to run after the wait in the queue")
	ErrCancelled = errors.New("cancelled by the caller in the queue")
)

type (
	// Limiter implements shunt.Admitter for one backend server. The number of running requests never
	// exceeds the limit when a request is admitted; a cut of the limit interrupts none.
	//
	// Cold again without notice: from the moment at which every newly started request takes more than four
	// times the warm figure, at most limit + 4 further requests start before the limit is 1. The 4 becomes
	// at most 63 on servers where more than 6% of ordinary responses exceed four times the warm figure.
	Limiter struct {
		clock  clockwork.Clock
		queue  int
		window time.Duration

		mu          sync.Mutex
		slots       int
		running     int // of the current server
		outstanding int // including requests of servers before Reset
		epoch       uint64
		sequence    uint64 // of the newest admitted request
		lastFull    uint64 // newest request with which all open slots were in use
		leaving     bool
		idle        chan struct{} // closed when outstanding reaches 0 while a Drain waits
		waiting     [shunt.NumClasses]waitHeap
		arrivals    uint64
		skipped     int // normal starts since the last background start while background waited
		lastUrgent  time.Time
		hold        float64 // mean nanoseconds that a request holds its slot, 0 when unknown
		learner     learner
	}

	// Options are the settings of a Limiter. Zero fields mean the defaults.
	Options struct {
		Queue  int           // requests of one class that may wait
		Window time.Duration // least time between two rises of the limit
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
		clock: clock, queue: o.Queue, window: o.Window, slots: max(slots, 1), learner: newLearner(clock.Now()),
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
	return shunt.Load{InFlight: l.running, Limit: l.learner.limit, Queued: l.queued()}
}

// Warm returns the learned warm figure, 0 when unknown.
func (l *Limiter) Warm() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.learner.warm)
}

// SetSlots changes the number of announced slots. The limit is cut when it exceeds them.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(slots, 1)
	l.learner.limit = min(l.learner.limit, l.slots)
	l.dispatch()
}

// Reset begins a new backend server: the limit is 1 again, everything learned is forgotten, a drain is
// ended, and requests still running on the old server neither count nor teach anything.
func (l *Limiter) Reset(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(slots, 1)
	l.epoch++
	l.running = 0
	l.hold = 0
	l.leaving = false
	l.learner = newLearner(l.clock.Now())
	l.dispatch()
}

// Drain refuses all queued and new requests, then waits until no request runs or the context ends. Queued
// requests are refused rather than run, because a leaving server must receive no new request (I10).
func (l *Limiter) Drain(ctx context.Context) error {
	idle := l.leave()
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
		l.learn(t, s)
	}
	l.running--
	l.dispatch()
}

func (l *Limiter) learn(t *ticket, s shunt.Sample) {
	now := l.clock.Now()
	// A request that its deadline cut short held its slot for less than it needed, so a failure may only raise
	// the mean.
	if held := float64(now.Sub(t.started)); !s.Shed && (!s.Failed || held > l.hold) {
		l.hold = blend(l.hold, held, 1.0/16)
	}
	full := l.lastFull >= t.sequence // at some time while the request ran
	l.learner.observe(observation{
		at: now, sequence: t.sequence, newest: l.sequence, full: full, sample: s, slots: l.slots, window: l.window,
	})
}

// leave refuses everything that waits and returns a channel that is closed when nothing runs.
func (l *Limiter) leave() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for i := range l.waiting {
		for l.waiting[i].Len() > 0 {
			l.refuse(l.waiting[i].pop(), ErrLeaving)
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

// open is the number of slots that requests below the urgent class may use.
func (l *Limiter) open() int {
	limit := l.learner.limit
	if limit < 2 || l.lastUrgent.IsZero() || l.clock.Since(l.lastUrgent) > urgentMemory {
		return limit
	}
	return limit - max(1, limit/5)
}
