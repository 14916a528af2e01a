package sched_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/sched"
)

// TestColdEnds replays the seconds after all servers came back cold: requests come at three times the rate that a cold
// server bears. It guards that those whose time reaches beyond the cold are kept although late ones find no slot
// before its end, are told no longer wait than that, and run right after it.
func TestColdEnds(t *testing.T) {
	const (
		perSecond = 12
		cold      = 3 * time.Second
		gap       = time.Second / (3 * perSecond)
		deadline  = 1500 * time.Millisecond
		margin    = 250 * time.Millisecond // for the requests that run before it once the cold has ended
	)
	c := clockwork.NewFakeClock()
	q := queue(c, 9)
	began := c.Now()
	q.SetPace(perSecond, began.Add(cold))
	var reaching []*sched.Waiter
	running := make(map[*sched.Waiter]bool)
	var all []*sched.Waiter
	for c.Now().Before(began.Add(cold - 50*time.Millisecond)) {
		left := cold - c.Since(began)
		w, r := q.Enter(sched.Ask{
			AimAt: c.Now().Add(300 * time.Millisecond), Deadline: c.Now().Add(deadline), Work: work,
		})
		switch {
		case r == nil:
			all = append(all, w)
			if left < deadline-margin {
				reaching = append(reaching, w)
			}
		case left < deadline-margin:
			t.Fatalf("%s before the cold ends a request was refused: %s", left, r.Reason)
		case r.Wait > left:
			t.Errorf("%s before the cold ends a wait of %s was named", left, r.Wait)
		}
		c.Advance(gap)
		for _, w := range all {
			if settled(w) == "runs" && !running[w] {
				running[w] = true
				q.Leave(w, work)
			}
		}
	}
	c.Advance(100 * time.Millisecond)
	q.SetLimit(9) // dispatches without waiting for the timer
	for range all {
		for _, w := range all {
			if settled(w) == "runs" && !running[w] {
				running[w] = true
				q.Leave(w, work)
			}
		}
	}
	if len(reaching) < 20 {
		t.Fatalf("%d requests reach beyond the cold, want 20 at least", len(reaching))
	}
	for _, w := range reaching {
		if got := settled(w); got != "runs" {
			t.Errorf("a request that reaches beyond the cold: %s", got)
		}
	}
}

// TestPaceEnds guards that no wait is expected beyond the time from which starts are not bounded.
func TestPaceEnds(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	var p sched.Pace
	p.Set(10, now.Add(time.Second))
	if got := p.Wait(now, 5); got != 500*time.Millisecond {
		t.Errorf("wait behind 5 requests: %s, want 500ms", got)
	}
	if got := p.Wait(now, 50); got != time.Second {
		t.Errorf("wait behind 50 requests: %s, want the second for which starts are bounded", got)
	}
}

// TestColdGivesUp guards that a late request is refused while its caller has time left when a cold server, although it
// has free slots, starts others before it until its deadline.
func TestColdGivesUp(t *testing.T) {
	const deadline = 800 * time.Millisecond
	c := clockwork.NewFakeClock()
	q := queue(c, 9)
	q.SetPace(10, c.Now().Add(time.Minute))
	began := c.Now()
	late, r := q.Enter(ask(c, time.Second, time.Second)) // takes the start that is free now
	if r != nil {
		t.Fatal(r)
	}
	q.Leave(late, work)
	late, r = q.Enter(sched.Ask{AimAt: c.Now(), Deadline: c.Now().Add(deadline), Work: work})
	if r != nil {
		t.Fatal(r)
	}
	for settled(late) == "waits" && c.Since(began) < deadline {
		if w, r := q.Enter(ask(c, time.Second, time.Second)); r == nil {
			defer q.Withdraw(w)
		}
		c.Advance(20 * time.Millisecond)
		q.SetLimit(9) // dispatches without waiting for the timer
	}
	if left := deadline - c.Since(began); left < deadline/3 || settled(late) != string(sched.ReasonStarved) {
		t.Errorf(
			"late request: %s with %s left, want it refused with %s left at least",
			settled(late),
			left,
			deadline/3,
		)
	}
}
