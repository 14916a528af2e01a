// Package sched implements the admission queue of a node's backend server: it orders waiting requests and refuses
// those that cannot be served in time. It does no I/O; the clock is passed in.
package sched

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/ewma"
	"tanagershunt.example/shunt/tenant"
)

// Reasons for a Refusal.
const (
	ReasonDeadline  Reason = "cannot end before its deadline"
	ReasonLongWait  Reason = "would wait longer than its sender accepts"
	ReasonClosed    Reason = "server takes no new requests"
	ReasonExpired   Reason = "could no longer end before its deadline"
	ReasonStarved   Reason = "is late, and late requests find no slot before their deadlines"
	ReasonCancelled Reason = "caller left while the request waited"
)

const (
	// requiredWorkShare is the share of the expected work that must fit before the deadline. It is below 1 because many
	// requests take less than the expected time; requiring all of it would refuse requests that this server could still
	// complete.
	requiredWorkShare = 0.7
	// maxHoldShare is the share of the time to its deadline for which a request that misses its latency target is
	// held. After that it is refused, so that the caller has time for another attempt.
	maxHoldShare = 0.5
	// minLateServed is the minimum share of late requests that must get a slot. If fewer late requests than this share
	// got a slot recently, late requests that would have to wait are refused at once, unless a start limit expires in
	// time for them.
	minLateServed = 0.4
	// missWeight is the weight of one late request in the moving average of misses.
	missWeight = 0.08
	// slowFactor is the ratio of the mean age of running requests to the mean duration of completed ones above which
	// the server counts as slow. In a steady state the ratio is 0.5 for constant and 1 for exponentially distributed
	// service times; the margin of at least 3 above that makes it less likely that a single long request makes the
	// server count as slow.
	slowFactor = 4
	// workWeight is the least weight of one service time in the mean, and workHalfLife the age at which the earlier ones have
	// half their weight: a server that was slow and then got few requests must not count as slow for many more.
	workWeight   = 0.05
	workHalfLife = 5 * time.Second
	// maxWaiting limits the queue length regardless of the expected work.
	maxWaiting = 512
)

type (
	// Reason is why a request was refused.
	Reason string

	// Request describes a request for a slot.
	Request struct {
		Nested   bool // call made by a backend server on behalf of a running request
		Priority int  // priority of its route, 0 is the highest
		// Shared is set if the configuration has tenants and the request is subject to their shares. Requests without a
		// tenant share as one. TenantPriority compares before Priority.
		Shared         bool
		Tenant         string
		TenantPriority int
		TargetAt       time.Time // end of its latency target
		Deadline       time.Time
		Work           time.Duration // expected service time
		// LongWork is the service time that must fit before TargetAt for the request to count as able to meet its latency
		// target, if it is above Work.
		LongWork time.Duration
		MaxWait  time.Duration // longest expected wait that the sender accepts, 0 for no limit

		rank tenant.Rank
	}

	// Refusal reports that a request has not run and will not run.
	Refusal struct {
		Reason Reason
		// Wait is the estimated time until such a request could start, 0 if it was not estimated. For a request refused
		// with ReasonStarved while it waits in the queue, it is the mean service time.
		Wait time.Duration
	}

	// Queue admits requests to one server. A request is late if it misses its latency target, see canMeetTarget. No
	// more requests run at a time than the server has slots and, during its cold start, no more start per second than
	// its cold rate. The zero value has no slots and refuses every request.
	Queue struct {
		Clock clockwork.Clock // defaults to clockwork.NewRealClock

		mu           sync.Mutex
		limit        int
		running      map[*Waiter]time.Time // start times
		closed       bool
		waiting      []*Waiter
		shares       tenant.Shares
		startLimiter StartLimiter
		timer        clockwork.Timer
		timerAt      time.Time
		meanWork     ewma.Mean // of service times, in nanoseconds
		rateLimited  bool      // a limit on starts was in force at the last dispatch
		lateMisses   float64   // moving average: share of late requests that got no slot in time
	}

	// Waiter is a queued or running request.
	Waiter struct {
		Request
		holdUntil time.Time // a late request is held until then at the latest
		sent      bool      // the request was sent to the server, see MarkSent
		done      chan struct{}
		refusal   *Refusal
		resolved  bool
	}
)

func (r *Refusal) Error() string { return string(r.Reason) }

func (q *Queue) clock() clockwork.Clock {
	if q.Clock == nil {
		q.Clock = clockwork.NewRealClock()
	}
	return q.Clock
}

// SetLimit sets the number of slots.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.dispatch(q.clock().Now())
}

// SetStartRate limits the number of requests started in any second until the given time. A fractional rate is rounded
// down, to at least 1 per second.
func (q *Queue) SetStartRate(perSecond float64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startLimiter.SetRate(perSecond, until)
	q.dispatch(q.clock().Now())
}

// Close refuses waiting and new requests until Open is called. Running requests continue.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	now := q.clock().Now()
	for _, w := range q.waiting {
		q.resolve(now, w, &Refusal{Reason: ReasonClosed})
	}
	q.waiting = nil
}

// Open admits requests again after Close.
func (q *Queue) Open() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = false
}

// Load returns the load of the server and the expected service time, see serviceTime.
func (q *Queue) Load() (shunt.Load, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := q.limit
	if q.closed {
		limit = 0
	}
	return shunt.Load{InFlight: len(q.running), Limit: limit, Queued: len(q.waiting)}, q.serviceTime(q.clock().Now())
}

// Submit requests a slot. It returns either a Waiter, whose Done channel is closed once the request may run or is
// refused, or an immediate refusal.
func (q *Queue) Submit(request Request) (*Waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock().Now()
	if q.closed || q.limit <= 0 {
		return nil, &Refusal{Reason: ReasonClosed}
	}
	if request.Shared {
		request.rank = q.shares.Ask(now, request.Tenant, request.Work)
	}
	wait := q.expectedWait(now, &request)
	// Whether the start limit expires early enough to run the request before its deadline.
	limitEndsInTime := q.startLimiter.expiresBefore(now, request.Deadline.Add(-requiredTime(request.Work)))
	expectedLate := !request.Nested && now.Add(wait+request.Work).After(request.TargetAt)
	switch {
	case expectedLate && wait > 0 && q.lateStarved() && !limitEndsInTime:
		return nil, &Refusal{Reason: ReasonStarved, Wait: wait}
	case now.Add(wait + requiredTime(request.Work)).After(request.Deadline):
		return nil, &Refusal{Reason: ReasonDeadline, Wait: wait}
	case request.MaxWait > 0 && wait > request.MaxWait, len(q.waiting) >= maxWaiting:
		return nil, &Refusal{Reason: ReasonLongWait, Wait: wait}
	}
	w := &Waiter{
		Request: request, done: make(chan struct{}),
		holdUntil: now.Add(time.Duration(maxHoldShare * float64(request.Deadline.Sub(now)))),
	}
	if limitEndsInTime {
		w.holdUntil = request.Deadline
	}
	q.waiting = append(q.waiting, w)
	if w.Shared {
		q.shares.Wait(now, w.Tenant, w.Work)
	}
	q.dispatch(now)
	return w, nil
}

// MarkSent records that a running request is sent to the server now. The start limit counts requests from then on.
func (q *Queue) MarkSent(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.markSent(w)
}

func (q *Queue) markSent(w *Waiter) {
	if !w.sent {
		w.sent = true
		q.startLimiter.Sent(q.clock().Now())
	}
}

// Release releases the slot of a request and dispatches the next one. A duration of zero is not counted in the mean
// service time, and such a request counts as not sent unless MarkSent was called.
func (q *Queue) Release(w *Waiter, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock().Now()
	if since, ok := q.running[w]; ok && w.Shared {
		q.shares.Serve(now, w.Tenant, w.rank, now.Sub(since)-w.Work)
	}
	delete(q.running, w)
	switch {
	case w.sent:
	case took > 0:
		q.markSent(w)
	default:
		q.startLimiter.Cancel()
	}
	if took > 0 {
		q.meanWork.Observe(float64(took), workWeight, workHalfLife, now)
	}
	if len(q.waiting) == 0 {
		q.recordLate(false)
	}
	q.dispatch(now)
}

// Cancel removes a waiting request whose caller has disconnected. It reports whether the request will not run.
func (q *Queue) Cancel(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.resolved {
		return w.refusal != nil
	}
	q.resolve(q.clock().Now(), w, &Refusal{Reason: ReasonCancelled})
	q.remove(w)
	return true
}

// Done is closed once the request may run or is refused.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Refusal returns nil when the request may run. It is valid once Done is closed.
func (w *Waiter) Refusal() *Refusal { return w.refusal }

// resolve ends the wait of a request. It runs if there is no refusal.
func (q *Queue) resolve(now time.Time, w *Waiter, r *Refusal) {
	w.resolved, w.refusal = true, r
	close(w.done)
	if !w.Shared {
		return
	}
	q.shares.Wait(now, w.Tenant, -w.Work)
	if r == nil {
		q.shares.Serve(now, w.Tenant, w.rank, w.Work)
	}
}

func (q *Queue) remove(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// expectedWait estimates the time until a request can start: 0 if a slot is free for it, otherwise the work of the
// waiting requests that precede it plus one service time for the running ones, divided by the number of slots. It is at
// least the wait imposed by the start limit.
func (q *Queue) expectedWait(now time.Time, request *Request) time.Duration {
	ahead, total := 0, time.Duration(0)
	for _, w := range q.waiting {
		if !precedes(now, request, &w.Request) {
			ahead++
			total += w.Work
		}
	}
	rateWait := q.startLimiter.Wait(now, ahead)
	if len(q.running)+ahead < q.limit {
		return rateWait
	}
	work := q.serviceTime(now)
	if work == 0 {
		work = request.Work
	}
	// With all slots busy, one becomes free every work/limit on average.
	return max(rateWait, (total+work)/time.Duration(q.limit))
}

// serviceTime returns the mean service time of recently completed requests. If all slots are busy and the mean
// age of the running requests is much longer, it returns that age, because few requests complete on a server that is
// slow or hangs.
func (q *Queue) serviceTime(now time.Time) time.Duration {
	if len(q.running) == 0 || len(q.running) < q.limit {
		return q.completedWork()
	}
	var age time.Duration
	for _, since := range q.running {
		age += now.Sub(since)
	}
	age /= time.Duration(len(q.running))
	if work := q.completedWork(); age <= slowFactor*work {
		return work
	}
	return age
}

// completedWork returns the mean service time of completed requests.
func (q *Queue) completedWork() time.Duration { return time.Duration(q.meanWork.Value()) }

// dispatch refuses waiting requests that can no longer be served and starts others, in order, while slots are free.
func (q *Queue) dispatch(now time.Time) {
	q.refuseUnservable(now)
	defer q.scheduleExpiry(now)
	for len(q.running) < q.limit && len(q.waiting) > 0 {
		if wait := q.startLimiter.Wait(now, 0); wait > 0 {
			q.scheduleDispatch(now, now.Add(wait))
			return
		}
		w := q.next(now)
		q.remove(w)
		if !w.canMeetTarget(now) {
			q.recordLate(false)
		}
		if q.running == nil {
			q.running = make(map[*Waiter]time.Time)
		}
		q.running[w] = now
		q.startLimiter.Start(now)
		q.resolve(now, w, nil)
	}
}

// scheduleExpiry sets the timer for the next waiting request to refuse, so that it is refused in time even when no
// request completes, for instance because the server hangs.
func (q *Queue) scheduleExpiry(now time.Time) {
	var next time.Time
	for _, w := range q.waiting {
		at := w.Deadline.Add(-requiredTime(w.Work))
		if !w.Nested && w.holdUntil.Before(at) {
			at = w.holdUntil
			if late := w.TargetAt.Add(-w.Work); late.After(at) {
				at = late
			}
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() {
		q.scheduleDispatch(now, next.Add(time.Millisecond))
	}
}

// scheduleDispatch sets the timer to dispatch at the given time, unless an earlier dispatch is already scheduled.
func (q *Queue) scheduleDispatch(now, at time.Time) {
	if q.timerAt.After(now) && !at.Before(q.timerAt) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timerAt = at
	q.timer = q.clock().AfterFunc(at.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.dispatch(q.clock().Now())
	})
}

func (q *Queue) refuseUnservable(now time.Time) {
	if limited := q.startLimiter.active(now); limited != q.rateLimited {
		// Late requests refused during the cold start say nothing about the warm server.
		q.rateLimited, q.lateMisses = limited, 0
	}
	kept := q.waiting[:0]
	blocked := len(q.running) >= q.limit || q.startLimiter.Wait(now, 0) > 0
	for _, w := range q.waiting {
		if now.Add(requiredTime(w.Work)).After(w.Deadline) {
			q.recordLate(true)
			q.resolve(now, w, &Refusal{Reason: ReasonExpired})
			continue
		}
		unservable := blocked && !q.startLimiter.expiresBefore(now, w.Deadline.Add(-requiredTime(w.Work)))
		if !w.Nested && !w.canMeetTarget(now) && unservable && (q.lateStarved() || now.After(w.holdUntil)) {
			q.recordLate(true)
			q.resolve(now, w, &Refusal{Reason: ReasonStarved, Wait: q.completedWork()})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// recordLate updates the moving average of late requests that got no slot in time. It is also called with false when
// the queue is empty, since a server without a backlog has slots for late requests.
func (q *Queue) recordLate(missed bool) {
	outcome := 0.0
	if missed {
		outcome = 1
	}
	// The conversion keeps processors with a fused multiply-add from giving another result.
	q.lateMisses += float64(missWeight * (outcome - q.lateMisses))
}

// lateStarved reports whether late requests rarely get a slot because requests that can still meet their latency
// target take all of them. Holding late requests would then only delay their callers' attempts at other servers.
func (q *Queue) lateStarved() bool { return q.lateMisses > 1-minLateServed }

func (q *Queue) next(now time.Time) *Waiter {
	next := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if precedes(now, &w.Request, &next.Request) {
			next = w
		}
	}
	return next
}

func requiredTime(work time.Duration) time.Duration {
	return time.Duration(requiredWorkShare * float64(work))
}
