// Package sched orders the requests that wait for the backend server beside a node and says which of them
// cannot be served. It does no input or output; the clock is passed in.
package sched

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// Reasons of a Refusal.
const (
	ReasonLate    Reason = "cannot end before its deadline"
	ReasonBusy    Reason = "would wait longer than its sender accepts"
	ReasonClosed  Reason = "server takes no new requests"
	ReasonExpired Reason = "could no longer end before its deadline"
	ReasonStarved Reason = "is late, and late requests find no slot before their deadlines"
	ReasonLeft    Reason = "caller left while the request waited"
)

const (
	// finishShare is the part of the expected work that must fit before the deadline. Half of all requests
	// take less than the mean, and one that is given up here gets nothing.
	finishShare = 0.7
	// heldShare is the part of a request's time for which it is held once it can't meet its aim. Then it is refused
	// while its caller still has time to come back.
	heldShare = 0.5
	// starved is the share of late requests that find a slot, below which they are refused instead of held.
	starved = 0.4
	// lateWeight is the weight of one request in that moving share.
	lateWeight = 0.08
	// slowFactor is how many times as old as the time of a request those that run must be on average to show that
	// the server has become slow. In a steady state the two are alike; a single long request makes up for three.
	slowFactor = 4
	// maxWaiting bounds the queue whatever the expected work is.
	maxWaiting = 512
)

type (
	// Reason is why a request was refused.
	Reason string

	// Ask describes a request that wants to run.
	Ask struct {
		Nested   bool // made by a server for a request that it is running
		Urgency  int  // priority of its route, 0 is the most urgent
		AimAt    time.Time
		Deadline time.Time
		Work     time.Duration // expected time at the server
		Patience time.Duration // longest expected wait before the sender prefers another server, 0 for any
	}

	// Refusal says that a request has not run and never will.
	Refusal struct {
		Reason Reason
		Wait   time.Duration // expected time until a request like this one could start
	}

	// Queue admits requests to one server: as many at a time as it has slots, at the pace that it bears while it
	// is cold. Its zero value has no slots and refuses everything.
	Queue struct {
		Clock clockwork.Clock // default clockwork.NewRealClock

		mu      sync.Mutex
		limit   int
		running map[*Waiter]time.Time // since when
		closed  bool
		waiting []*Waiter
		pace    Pace
		wake    clockwork.Timer
		wakes   time.Time
		work    time.Duration // mean time of recent requests
		cold    bool          // starts are bounded
		missed  float64       // moving share of late requests that found no slot in time
	}

	// Waiter is a request in the queue.
	Waiter struct {
		Ask
		giveUp  time.Time // when a late request is refused
		done    chan struct{}
		refusal *Refusal
		settled bool
	}
)

func (r *Refusal) Error() string { return string(r.Reason) }

func (q *Queue) clock() clockwork.Clock {
	if q.Clock == nil {
		q.Clock = clockwork.NewRealClock()
	}
	return q.Clock
}

// SetLimit sets the number of requests that may run at a time.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.dispatch(q.clock().Now())
}

// SetPace bounds the requests started in any second, until a time.
func (q *Queue) SetPace(perSecond float64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pace.Set(perSecond, until)
	q.dispatch(q.clock().Now())
}

// Close refuses what waits and what comes until Open. Requests that run go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.settle(&Refusal{Reason: ReasonClosed})
	}
	q.waiting = nil
}

// Open ends Close.
func (q *Queue) Open() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = false
}

// Load returns the state of the queue and the mean time that a request takes.
func (q *Queue) Load() (shunt.Load, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := q.limit
	if q.closed {
		limit = 0
	}
	return shunt.Load{InFlight: len(q.running), Limit: limit, Queued: len(q.waiting)}, q.recent(q.clock().Now())
}

// Enter asks for a slot. It returns a Waiter whose Done channel is closed once the request may run or is
// refused, or a refusal at once.
func (q *Queue) Enter(ask Ask) (*Waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock().Now()
	if q.closed || q.limit <= 0 {
		return nil, &Refusal{Reason: ReasonClosed}
	}
	wait := q.expectedWait(now, &ask)
	warms := q.pace.endsBefore(now, ask.Deadline.Add(-share(ask.Work)))
	late := !ask.Nested && now.Add(wait+ask.Work).After(ask.AimAt)
	switch {
	case late && wait > 0 && q.starves() && !warms:
		return nil, &Refusal{Reason: ReasonStarved, Wait: wait}
	case now.Add(wait + share(ask.Work)).After(ask.Deadline):
		return nil, &Refusal{Reason: ReasonLate, Wait: wait}
	case ask.Patience > 0 && wait > ask.Patience, len(q.waiting) >= maxWaiting:
		return nil, &Refusal{Reason: ReasonBusy, Wait: wait}
	}
	w := &Waiter{
		Ask: ask, done: make(chan struct{}),
		giveUp: now.Add(time.Duration(heldShare * float64(ask.Deadline.Sub(now)))),
	}
	if warms {
		w.giveUp = ask.Deadline
	}
	q.waiting = append(q.waiting, w)
	q.dispatch(now)
	return w, nil
}

// Leave ends a request that ran, and starts the next. A time of zero says nothing about the server.
func (q *Queue) Leave(w *Waiter, took time.Duration) {
	const weight = 0.05
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, w)
	switch {
	case took <= 0:
	case q.work == 0:
		q.work = took
	default:
		q.work += time.Duration(weight * float64(took-q.work))
	}
	if len(q.waiting) == 0 {
		q.learnLate(false)
	}
	q.dispatch(q.clock().Now())
}

// Withdraw takes a waiting request out, whose caller has left. It reports whether the request had not started.
func (q *Queue) Withdraw(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.settled {
		return w.refusal != nil
	}
	w.settle(&Refusal{Reason: ReasonLeft})
	q.drop(w)
	return true
}

// Done is closed once the request may run or is refused.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Refusal returns nil when the request may run. It is valid once Done is closed.
func (w *Waiter) Refusal() *Refusal { return w.refusal }

func (w *Waiter) settle(r *Refusal) {
	if w.settled {
		return
	}
	w.settled, w.refusal = true, r
	close(w.done)
}

func (q *Queue) drop(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// expectedWait estimates the time until a request could start: what runs and what would go before it, shared
// by the slots.
func (q *Queue) expectedWait(now time.Time, ask *Ask) time.Duration {
	ahead, total := 0, time.Duration(0)
	for _, w := range q.waiting {
		if !before(now, ask, &w.Ask) {
			ahead++
			total += w.Work
		}
	}
	paced := q.pace.Wait(now, ahead)
	if len(q.running)+ahead < q.limit {
		return paced
	}
	work := q.recent(now)
	if work == 0 {
		work = ask.Work
	}
	// On average the next slot becomes free after the limit-th part of the mean work.
	return max(paced, (total+work)/time.Duration(q.limit))
}

// recent returns the mean time of a request: of those that have ended lately, or of those that run if that is much
// longer while they take all slots, since at a server that has become slow or hangs few end.
func (q *Queue) recent(now time.Time) time.Duration {
	if len(q.running) == 0 || len(q.running) < q.limit {
		return q.work
	}
	var age time.Duration
	for _, since := range q.running {
		age += now.Sub(since)
	}
	age /= time.Duration(len(q.running))
	if age > slowFactor*q.work {
		return age
	}
	return q.work
}

// dispatch starts requests while there are slots, best first, and refuses those that became hopeless.
func (q *Queue) dispatch(now time.Time) {
	q.expire(now)
	defer q.wakeForNext(now)
	for len(q.running) < q.limit && len(q.waiting) > 0 {
		if wait := q.pace.Wait(now, 0); wait > 0 {
			q.wakeAt(now, now.Add(wait))
			return
		}
		w := q.best(now)
		q.drop(w)
		if !w.timely(now) {
			q.learnLate(false)
		}
		if q.running == nil {
			q.running = make(map[*Waiter]time.Time)
		}
		q.running[w] = now
		q.pace.Start(now)
		w.settle(nil)
	}
}

// wakeForNext makes sure that the next waiting request is refused in time although nothing else happens, for
// instance because the server hangs.
func (q *Queue) wakeForNext(now time.Time) {
	var next time.Time
	for _, w := range q.waiting {
		at := w.Deadline.Add(-share(w.Work))
		if !w.Nested && w.giveUp.Before(at) {
			at = w.giveUp
			if late := w.AimAt.Add(-w.Work); late.After(at) {
				at = late
			}
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() {
		q.wakeAt(now, next.Add(time.Millisecond))
	}
}

// wakeAt dispatches again at a time, or earlier when that was asked for before.
func (q *Queue) wakeAt(now, at time.Time) {
	if q.wakes.After(now) && !at.Before(q.wakes) {
		return
	}
	if q.wake != nil {
		q.wake.Stop()
	}
	q.wakes = at
	q.wake = q.clock().AfterFunc(at.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.dispatch(q.clock().Now())
	})
}

func (q *Queue) expire(now time.Time) {
	if cold := q.pace.endsAfter(now); cold != q.cold {
		// What a cold server did not serve says nothing about the warm one.
		q.cold, q.missed = cold, 0
	}
	kept := q.waiting[:0]
	blocked := len(q.running) >= q.limit || q.pace.Wait(now, 0) > 0
	for _, w := range q.waiting {
		if now.Add(share(w.Work)).After(w.Deadline) {
			q.learnLate(true)
			w.settle(&Refusal{Reason: ReasonExpired})
			continue
		}
		hopeless := blocked && !q.pace.endsBefore(now, w.Deadline.Add(-share(w.Work)))
		if !w.Nested && !w.timely(now) && hopeless && (q.starves() || now.After(w.giveUp)) {
			q.learnLate(true)
			w.settle(&Refusal{Reason: ReasonStarved, Wait: q.work})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// learnLate counts a late request that found a slot or did not. A server without a backlog counts as one that has
// slots for them.
func (q *Queue) learnLate(missed bool) {
	outcome := 0.0
	if missed {
		outcome = 1
	}
	q.missed += lateWeight * (outcome - q.missed)
}

// starves reports whether late requests rarely find a slot, because those that can still meet their aim take them
// all. Holding them would only keep their callers from trying elsewhere.
func (q *Queue) starves() bool { return q.missed > 1-starved }

func (q *Queue) best(now time.Time) *Waiter {
	best := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if before(now, &w.Ask, &best.Ask) {
			best = w
		}
	}
	return best
}

func share(work time.Duration) time.Duration { return time.Duration(finishShare * float64(work)) }
