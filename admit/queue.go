package admit

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// serviceTimeMargin is the time that a request must have left when it starts, as a multiple of the mean service
// time. With only the mean left, about half of the requests would end after their deadline.
const serviceTimeMargin = 1.5

type (
	waiter struct {
		class      shunt.Class
		deadline   time.Time
		arrival    uint64
		idleServer bool // arrived while no request was running or waiting
		index      int  // position in its heap, -1 if not queued
		ready      chan struct{}
		ticket     *ticket
		err        error
	}

	// waitHeap holds the waiting requests of one class, earliest deadline first.
	waitHeap []*waiter
)

// Len implements heap.Interface.
func (h waitHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// popEarliest removes and returns the request with the earliest deadline.
func (h *waitHeap) popEarliest() *waiter { return heap.Pop(h).(*waiter) }

func (w *waiter) before(other *waiter) bool {
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

// enqueue adds a request to the queue of its class. It may also reject the request or start it at once.
func (l *Limiter) enqueue(ctx context.Context, class shunt.Class) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	class = min(class, shunt.NumClasses-1)
	if class == shunt.ClassUrgent {
		l.lastUrgent = now
	}
	if l.draining {
		return nil, rejectionError(ErrLeaving)
	}
	if ctx.Err() != nil {
		return nil, contextRejectionError(ctx)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadlineOffset)
	}
	w := &waiter{class: class, deadline: deadline, arrival: l.arrivals, index: -1, ready: make(chan struct{})}
	l.arrivals++
	w.idleServer = l.running == 0 && l.queueLength() == 0
	if end := now.Add(l.estimateWait(w)).Add(l.minTimeLeft(w)); !end.Before(deadline) {
		return nil, rejectionError(fmt.Errorf("%w by %v", ErrTooLate, end.Sub(deadline)))
	}
	heap.Push(&l.waiting[class], w)
	l.dispatch()
	if w.index >= 0 && l.waiting[class].Len() > l.maxQueue {
		heap.Remove(&l.waiting[class], w.index)
		return nil, rejectionError(ErrQueueFull)
	}
	return w, nil
}

// estimateWait returns the expected waiting time of a request: the number of requests that must finish before it can
// start, times meanServiceTime/slots. It is 0 if a slot is free or the mean is unknown.
func (l *Limiter) estimateWait(w *waiter) time.Duration {
	slots := l.adaptive.limit
	if w.class != shunt.ClassUrgent {
		slots = l.nonUrgentLimit()
	}
	ahead := 0
	for class := range l.waiting {
		switch {
		case class < int(w.class):
			ahead += l.waiting[class].Len()
		case class == int(w.class):
			for _, other := range l.waiting[class] {
				if other.before(w) {
					ahead++
				}
			}
		}
	}
	excess := l.running + ahead + 1 - slots
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * l.meanServiceTime / float64(slots))
}

// minTimeLeft returns the time that a request must have left when it starts. A request started with less time left
// would occupy a slot although its caller will probably time out first; under overload this would apply to most
// requests. A request that arrives at an idle server always starts, because the mean may be outdated.
func (l *Limiter) minTimeLeft(w *waiter) time.Duration {
	if w.idleServer {
		return 0
	}
	return time.Duration(serviceTimeMargin * l.meanServiceTime)
}

func (l *Limiter) queueLength() int {
	n := 0
	for i := range l.waiting {
		n += l.waiting[i].Len()
	}
	return n
}

// abandon removes a request whose context ended. If a slot was granted in the meantime, it is released, and the
// request has not run.
func (l *Limiter) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.err != nil {
		return
	}
	reason := ErrExpired
	if l.clock.Now().Before(w.deadline) {
		reason = ErrCancelled
	}
	w.err = rejectionError(reason)
	if w.index >= 0 {
		heap.Remove(&l.waiting[w.class], w.index)
		return
	}
	w.ticket.done = true
	l.outstanding--
	if l.outstanding == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
	if w.ticket.epoch == l.epoch {
		l.running--
		l.dispatch()
	}
}

// dispatch starts waiting requests while slots are free, and rejects those that have too little time left.
func (l *Limiter) dispatch() {
	if l.draining {
		return
	}
	now := l.clock.Now()
	for {
		w := l.nextWaiter()
		if w == nil {
			return
		}
		if !now.Add(l.minTimeLeft(w)).Before(w.deadline) {
			l.reject(w, ErrExpired)
			continue
		}
		l.startRequest(w, now)
	}
}

// nextWaiter removes and returns the request to start next, nil if none may start. Urgent requests start before
// all others, and normal ones before background ones, except that one in backgroundInterval starts is a background
// request.
func (l *Limiter) nextWaiter() *waiter {
	urgent, normal, background := &l.waiting[shunt.ClassUrgent], &l.waiting[shunt.ClassNormal],
		&l.waiting[shunt.ClassBackground]
	switch {
	case urgent.Len() > 0 && l.running < l.adaptive.limit:
		return urgent.popEarliest()
	case l.running >= l.nonUrgentLimit():
		return nil
	case background.Len() > 0 && (normal.Len() == 0 || l.normalStarts >= backgroundInterval-1):
		l.normalStarts = 0
		return background.popEarliest()
	case normal.Len() > 0:
		if background.Len() > 0 {
			l.normalStarts++
		}
		return normal.popEarliest()
	default:
		return nil
	}
}

func (l *Limiter) startRequest(w *waiter, now time.Time) {
	l.running++
	l.outstanding++
	l.sequence++
	if l.running >= l.nonUrgentLimit() {
		l.lastAtLimitSequence = l.sequence
	}
	w.ticket = &ticket{limiter: l, epoch: l.epoch, sequence: l.sequence, started: now}
	close(w.ready)
}

func (l *Limiter) reject(w *waiter, reason error) {
	w.err = rejectionError(reason)
	close(w.ready)
}

func rejectionError(reason error) error { return fmt.Errorf("%w: %w", shunt.ErrNotAdmitted, reason) }

func contextRejectionError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return rejectionError(ErrExpired)
	}
	return rejectionError(ErrCancelled)
}
