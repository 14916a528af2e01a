package admit

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// endMargin is the part of the mean time in a slot that a request must have left when it starts. About the mean,
// half of all requests that start at the last moment would end too late.
const endMargin = 1.5

type (
	waiter struct {
		class    shunt.Class
		deadline time.Time
		arrival  uint64
		alone    bool // came while nothing ran or waited
		index    int  // in its heap, -1 when not queued
		ready    chan struct{}
		ticket   *ticket
		err      error
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

func (h *waitHeap) pop() *waiter { return heap.Pop(h).(*waiter) }

func (w *waiter) before(other *waiter) bool {
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

func (l *Limiter) enqueue(ctx context.Context, class shunt.Class) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	class = min(class, shunt.NumClasses-1)
	if class == shunt.ClassUrgent {
		l.lastUrgent = now
	}
	if l.leaving {
		return nil, refusal(ErrLeaving)
	}
	if ctx.Err() != nil {
		return nil, contextRefusal(ctx)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	w := &waiter{class: class, deadline: deadline, arrival: l.arrivals, index: -1, ready: make(chan struct{})}
	l.arrivals++
	w.alone = l.running == 0 && l.queued() == 0
	if end := now.Add(l.estimate(w)).Add(l.needed(w)); !end.Before(deadline) {
		return nil, refusal(fmt.Errorf("%w by %v", ErrTooLate, end.Sub(deadline)))
	}
	heap.Push(&l.waiting[class], w)
	l.dispatch()
	if w.index >= 0 && l.waiting[class].Len() > l.queue {
		heap.Remove(&l.waiting[class], w.index)
		return nil, refusal(ErrQueueFull)
	}
	return w, nil
}

// estimate returns the expected wait of a request: the requests that start before it, one slot becoming
// free every hold/limit. It is 0 when a slot is free or nothing is known.
func (l *Limiter) estimate(w *waiter) time.Duration {
	slots := l.learner.limit
	if w.class != shunt.ClassUrgent {
		slots = l.open()
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
	waits := l.running + ahead + 1 - slots
	if waits <= 0 {
		return 0
	}
	return time.Duration(float64(waits) * l.hold / float64(slots))
}

// needed returns the time that a request must have left when it starts: a request that starts later holds a
// slot without a caller to answer, and under overload most would. A request that comes to an idle server always
// starts, because the mean may be outdated.
func (l *Limiter) needed(w *waiter) time.Duration {
	if w.alone {
		return 0
	}
	return time.Duration(endMargin * l.hold)
}

func (l *Limiter) queued() int {
	n := 0
	for i := range l.waiting {
		n += l.waiting[i].Len()
	}
	return n
}

// abandon ends the wait of a request whose context ended. A slot granted meanwhile is given back: the
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
	w.err = refusal(reason)
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

// dispatch starts waiting requests while there are slots.
func (l *Limiter) dispatch() {
	if l.leaving {
		return
	}
	now := l.clock.Now()
	for {
		w := l.next()
		if w == nil {
			return
		}
		if !now.Add(l.needed(w)).Before(w.deadline) {
			l.refuse(w, ErrExpired)
			continue
		}
		l.start(w, now)
	}
}

// next removes and returns the request to start next, nil when none may start. Urgent requests go before
// all others. Below them, normal goes before background, but one start in backgroundShare is background.
func (l *Limiter) next() *waiter {
	urgent, normal, background := &l.waiting[shunt.ClassUrgent], &l.waiting[shunt.ClassNormal],
		&l.waiting[shunt.ClassBackground]
	switch {
	case urgent.Len() > 0 && l.running < l.learner.limit:
		return urgent.pop()
	case l.running >= l.open():
		return nil
	case background.Len() > 0 && (normal.Len() == 0 || l.skipped >= backgroundShare-1):
		l.skipped = 0
		return background.pop()
	case normal.Len() > 0:
		if background.Len() > 0 {
			l.skipped++
		}
		return normal.pop()
	default:
		return nil
	}
}

func (l *Limiter) start(w *waiter, now time.Time) {
	l.running++
	l.outstanding++
	l.sequence++
	if l.running >= l.open() {
		l.lastFull = l.sequence
	}
	w.ticket = &ticket{limiter: l, epoch: l.epoch, sequence: l.sequence, started: now}
	close(w.ready)
}

func (l *Limiter) refuse(w *waiter, reason error) {
	w.err = refusal(reason)
	close(w.ready)
}

func refusal(reason error) error { return fmt.Errorf("%w: %w", shunt.ErrNotAdmitted, reason) }

func contextRefusal(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(ErrExpired)
	}
	return refusal(ErrCancelled)
}
