package sched_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt/sched"
)

const (
	work = 100 * time.Millisecond
	aim  = 250 * time.Millisecond
	last = time.Second
)

// settled reports how a waiter stands.
func settled(w *sched.Waiter) string {
	select {
	case <-w.Done():
	default:
		return "waits"
	}
	if r := w.Refusal(); r != nil {
		return r.Error()
	}
	return "runs"
}

func queue(c clockwork.Clock, slots int) *sched.Queue {
	q := &sched.Queue{Clock: c}
	q.SetLimit(slots)
	return q
}

func ask(c clockwork.Clock, aimIn, lastIn time.Duration) sched.Ask {
	return sched.Ask{AimAt: c.Now().Add(aimIn), Deadline: c.Now().Add(lastIn), Work: work}
}

// TestOrder guards the order in which waiting requests run, whatever the order in which they came.
func TestOrder(t *testing.T) {
	c := clockwork.NewFakeClock()
	base := ask(c, aim, last)
	late := base
	late.AimAt = c.Now()
	urgent, lax, nested := base, base, late
	urgent.Urgency, lax.Urgency = 0, 2
	base.Urgency, late.Urgency = 1, 0
	nested.Nested = true
	sooner := base
	sooner.AimAt = base.AimAt.Add(-time.Millisecond)
	for _, test := range []struct {
		name          string
		first, second sched.Ask
	}{
		{"a call of a running request before new work", nested, urgent},
		{"one that meets its aim before one that cannot", lax, late},
		{"the more urgent route", urgent, base},
		{"the earlier start among equals", sooner, base},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := queue(c, 1)
			running, r := q.Enter(ask(c, aim, last))
			if r != nil {
				t.Fatal(r)
			}
			second, r := q.Enter(test.second)
			if r != nil {
				t.Fatal(r)
			}
			first, r := q.Enter(test.first)
			if r != nil {
				t.Fatal(r)
			}
			q.Leave(running, work)
			if settled(first) != "runs" || settled(second) != "waits" {
				t.Errorf("first %s, second %s", settled(first), settled(second))
			}
		})
	}
}

// TestRefusal guards that what can't be served is refused at once, and what becomes hopeless when it does.
func TestRefusal(t *testing.T) {
	c := clockwork.NewFakeClock()
	q := queue(c, 1)
	running, r := q.Enter(ask(c, aim, last))
	if r != nil {
		t.Fatal(r)
	}
	if _, r = q.Enter(ask(c, aim, 150*time.Millisecond)); r == nil || r.Reason != sched.ReasonLate || r.Wait <= 0 {
		t.Errorf("a request that can't end in time: %v", r)
	}
	impatient := ask(c, aim, last)
	impatient.Patience = 10 * time.Millisecond
	if _, r = q.Enter(impatient); r == nil || r.Reason != sched.ReasonBusy {
		t.Errorf("a request that would rather go elsewhere: %v", r)
	}
	waits, r := q.Enter(ask(c, aim, 300*time.Millisecond))
	if r != nil {
		t.Fatal(r)
	}
	c.Advance(280 * time.Millisecond)
	q.Leave(running, work)
	if got := settled(waits); got != string(sched.ReasonExpired) {
		t.Errorf("a request that has become hopeless: %s", got)
	}
	q.Close()
	if _, r := q.Enter(ask(c, aim, last)); r == nil || r.Reason != sched.ReasonClosed {
		t.Errorf("closed queue: %v", r)
	}
}

// TestHungServer guards that a waiting request is refused while its caller has time left although no request at the
// server ends.
func TestHungServer(t *testing.T) {
	c := clockwork.NewFakeClock()
	q := queue(c, 1)
	if _, r := q.Enter(ask(c, aim, last)); r != nil {
		t.Fatal(r)
	}
	w, r := q.Enter(ask(c, aim, last))
	if r != nil {
		t.Fatal(r)
	}
	c.Advance(last*3/4 - time.Millisecond)
	select {
	case <-w.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("request still waits after three quarters of its time")
	}
	if w.Refusal() == nil {
		t.Error("request runs at a server without a free slot")
	}
}

// TestWithdraw guards that a withdrawn request never runs and frees its place.
func TestWithdraw(t *testing.T) {
	c := clockwork.NewFakeClock()
	q := queue(c, 1)
	running, _ := q.Enter(ask(c, aim, last))
	waiting, _ := q.Enter(ask(c, aim, last))
	next, _ := q.Enter(ask(c, aim, last))
	if q.Withdraw(running) {
		t.Error("a running request was withdrawn")
	}
	if !q.Withdraw(waiting) {
		t.Error("a waiting request was not withdrawn")
	}
	q.Leave(running, work)
	if settled(waiting) != string(sched.ReasonLeft) || settled(next) != "runs" {
		t.Errorf("withdrawn %s, next %s", settled(waiting), settled(next))
	}
}

// TestPace guards the bound of a cold server in any second, under any pattern of arrivals and ends.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond = 12
		c := clockwork.NewFakeClock()
		q := queue(c, 50)
		q.SetPace(perSecond, c.Now().Add(time.Hour))
		var starts []time.Time
		var waiting []*sched.Waiter
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") {
				if w, r := q.Enter(ask(c, time.Hour, time.Hour)); r == nil {
					waiting = append(waiting, w)
				}
			}
			c.Advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			kept := waiting[:0]
			for _, w := range waiting {
				if settled(w) != "runs" {
					kept = append(kept, w)
					continue
				}
				starts = append(starts, c.Now())
				q.Leave(w, work)
			}
			waiting = kept
		}
		for i, from := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			// One start may be seen up to a step later than it happened.
			if n > perSecond+2 {
				t.Fatalf("%d starts within a second, want %d at most", n, perSecond)
			}
		}
	})
}

// TestSlowServer guards that the expected wait grows with the age of what runs, although nothing ends.
func TestSlowServer(t *testing.T) {
	c := clockwork.NewFakeClock()
	q := queue(c, 2)
	for range 2 {
		if _, r := q.Enter(ask(c, time.Hour, time.Hour)); r != nil {
			t.Fatal(r)
		}
	}
	c.Advance(time.Second)
	impatient := ask(c, time.Hour, time.Hour)
	impatient.Patience = 2 * work
	if _, r := q.Enter(impatient); r == nil || r.Wait < 400*time.Millisecond {
		t.Errorf("refusal %+v, want one with a wait of half a second", r)
	}
}
