package sched_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/sched"
)

// TestEndOfColdStart guards against requests being refused shortly before a cold start ends, when the warm server could
// still run them. A cold server receives requests at three times its cold rate, as after a restart of all servers.
// Requests whose deadline lies beyond the cold start must be queued even if recent late requests got no slot, and must
// run once the cold start has ended. A refusal must not report a wait beyond the end of the cold start.
func TestEndOfColdStart(t *testing.T) {
	const (
		perSecond = 12
		cold      = 3 * time.Second
		interval  = time.Second / (3 * perSecond)
		deadline  = 1500 * time.Millisecond
		margin    = 250 * time.Millisecond // to run the requests queued ahead once the cold start has ended
	)
	c := clockwork.NewFakeClock()
	q := newQueue(c, 9)
	began := c.Now()
	q.SetStartRate(perSecond, began.Add(cold))
	var spanning []*sched.Waiter
	running := make(map[*sched.Waiter]bool)
	var all []*sched.Waiter
	for c.Now().Before(began.Add(cold - 50*time.Millisecond)) {
		left := cold - c.Since(began)
		w, r := q.Submit(sched.Request{
			TargetAt: c.Now().Add(300 * time.Millisecond), Deadline: c.Now().Add(deadline), Work: work,
		})
		switch {
		case r == nil:
			all = append(all, w)
			if left < deadline-margin {
				spanning = append(spanning, w)
			}
		case left < deadline-margin:
			t.Fatalf("request refused %s before the end of the cold start: %s", left, r.Reason)
		case r.Wait > left:
			t.Errorf("refusal %s before the end of the cold start reports a wait of %s", left, r.Wait)
		}
		c.Advance(interval)
		for _, w := range all {
			if state(w) == "runs" && !running[w] {
				running[w] = true
				q.Release(w, work)
			}
		}
	}
	c.Advance(100 * time.Millisecond)
	q.SetLimit(9) // dispatches without waiting for the timer
	for range all {
		for _, w := range all {
			if state(w) == "runs" && !running[w] {
				running[w] = true
				q.Release(w, work)
			}
		}
	}
	if len(spanning) < 20 {
		t.Fatalf("%d requests have a deadline beyond the cold start, want at least 20", len(spanning))
	}
	for _, w := range spanning {
		if got := state(w); got != "runs" {
			t.Errorf("request with a deadline beyond the cold start: %s", got)
		}
	}
}

// TestStartLimiterWaitIsBounded guards against an expected wait that extends beyond the time at which the limit
// expires.
func TestStartLimiterWaitIsBounded(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	var p sched.StartLimiter
	p.SetRate(10, now.Add(time.Second))
	if got := p.Wait(now, 5); got != 500*time.Millisecond {
		t.Errorf("wait behind 5 requests is %s, want 500ms", got)
	}
	if got := p.Wait(now, 50); got != time.Second {
		t.Errorf("wait behind 50 requests is %s, want 1s, after which the limit expires", got)
	}
}

// TestColdServerRefusesLateRequest guards against a late request being held until its caller has no time left for
// another server. The cold rate of the server, which has free slots, is used up by requests that precede it.
func TestColdServerRefusesLateRequest(t *testing.T) {
	const deadline = 800 * time.Millisecond
	c := clockwork.NewFakeClock()
	q := newQueue(c, 9)
	q.SetStartRate(10, c.Now().Add(time.Minute))
	began := c.Now()
	waiter, r := q.Submit(newRequest(c, time.Second, time.Second)) // uses the start that is available now
	if r != nil {
		t.Fatal(r)
	}
	q.Release(waiter, work)
	waiter, r = q.Submit(sched.Request{TargetAt: c.Now(), Deadline: c.Now().Add(deadline), Work: work})
	if r != nil {
		t.Fatal(r)
	}
	for state(waiter) == "waits" && c.Since(began) < deadline {
		if w, r := q.Submit(newRequest(c, time.Second, time.Second)); r == nil {
			defer q.Cancel(w)
		}
		c.Advance(20 * time.Millisecond)
		q.SetLimit(9) // dispatches without waiting for the timer
	}
	if left := deadline - c.Since(began); left < deadline/3 || state(waiter) != string(sched.ReasonStarved) {
		t.Errorf(
			"late request: state %s with %s left, want a refusal with at least %s left",
			state(waiter),
			left,
			deadline/3,
		)
	}
}

// TestColdRateOfDelayedRequests guards against a cold server that receives more requests in a second than its rate
// because some of them are sent long after they got their slots: their bodies arrive over links that lose packets, or
// connections take time to open. The load is three times the rate; a body takes up to 400 ms.
func TestColdRateOfDelayedRequests(t *testing.T) {
	const (
		perSecond = 15
		cold      = 6 * time.Second
		interval  = time.Second / (3 * perSecond)
		step      = time.Millisecond
	)
	type delayed struct {
		w      *sched.Waiter
		sendAt time.Time
	}
	c := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(5, 1))
	q := newQueue(c, 9)
	began := c.Now()
	q.SetStartRate(perSecond, began.Add(cold))
	var waiting []*sched.Waiter
	var started []delayed
	var sent []time.Time
	for next := began; c.Since(began) < cold; c.Advance(step) {
		now := c.Now()
		q.SetLimit(9) // dispatches without waiting for the timer
		if !now.Before(next) {
			next = next.Add(interval)
			if w, r := q.Submit(newRequest(c, time.Second, 2*time.Second)); r == nil {
				waiting = append(waiting, w)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(w *sched.Waiter) bool {
			if state(w) == "runs" {
				delay := time.Duration(rng.IntN(20)) * time.Millisecond
				if rng.IntN(4) == 0 {
					delay += 380 * time.Millisecond
				}
				started = append(started, delayed{w, now.Add(delay)})
			}
			return state(w) != "waits"
		})
		started = slices.DeleteFunc(started, func(d delayed) bool {
			if now.Before(d.sendAt) {
				return false
			}
			q.MarkSent(d.w)
			sent = append(sent, now)
			q.Release(d.w, work)
			return true
		})
	}
	for i := range sent {
		n := 1
		for n < len(sent)-i && sent[i+n].Sub(sent[i]) < time.Second {
			n++
		}
		if n > perSecond {
			t.Fatalf("%d requests were sent in the second from %s, want at most %d", n, sent[i].Sub(began), perSecond)
		}
	}
	if got, want := len(sent), int(0.8*perSecond*cold.Seconds()); got < want {
		t.Errorf("%d requests were sent, want at least %d", got, want)
	}
}
