package sched_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/sched"
)

type (
	// visit is one request of a replayed load.
	visit struct {
		at      time.Duration
		urgency int
		work    time.Duration
		aim     time.Duration
		last    time.Duration
	}

	// tallied is what became of a load.
	tallied struct {
		inAim, late, refused int
		held                 []time.Duration // time for which requests waited that were refused in the queue
		after, afterInAim    int             // requests that came a deadline after the load had fallen
	}
)

// step is a load of some requests a second that rises by a factor for a while and falls back.
func step(seed uint64, perSecond float64, factor float64, from, to, end time.Duration) []visit {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []visit
	for at := time.Duration(0); at < end; {
		rate := perSecond
		if at >= from && at < to {
			rate *= factor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		v := visit{at: at, urgency: 2, aim: 200 * time.Millisecond, last: 1200 * time.Millisecond}
		if rng.Float64() < 0.3 {
			v.urgency = 1
		}
		v.work = time.Duration((0.5 + rng.Float64()) * 60 * float64(time.Millisecond))
		list = append(list, v)
	}
	return list
}

// replay sends a load to one server. With fifo it is a plain queue without refusals.
func replay(load []visit, slots int, calm time.Duration, fifo bool) tallied {
	c := clockwork.NewFakeClock()
	start := c.Now()
	q := queue(c, slots)
	type job struct {
		visit
		w    *sched.Waiter
		ends time.Time
	}
	var waiting, running []*job
	var out tallied
	next := 0
	for next < len(load) || len(waiting) > 0 || len(running) > 0 {
		now := c.Now()
		for next < len(load) && !start.Add(load[next].at).After(now) {
			v := load[next]
			next++
			if v.at >= calm {
				out.after++
			}
			a := sched.Ask{
				Urgency: v.urgency, AimAt: now.Add(v.aim), Deadline: now.Add(v.last), Work: 60 * time.Millisecond,
			}
			if fifo {
				a.Urgency, a.AimAt, a.Deadline = 0, now.Add(time.Hour), now.Add(time.Hour)
			}
			w, r := q.Enter(a)
			if r != nil {
				out.refused++
				continue
			}
			waiting = append(waiting, &job{visit: v, w: w})
		}
		slices.SortFunc(running, func(a, b *job) int { return a.ends.Compare(b.ends) })
		for len(running) > 0 && !running[0].ends.After(now) {
			j := running[0]
			running = running[1:]
			took := now.Sub(start.Add(j.at))
			switch {
			case took <= j.aim:
				out.inAim++
				if j.at >= calm {
					out.afterInAim++
				}
			case took <= j.last:
				out.late++
			default:
				out.refused++
			}
			q.Leave(j.w, j.work)
		}
		waiting = slices.DeleteFunc(waiting, func(j *job) bool {
			switch settled(j.w) {
			case "waits":
				return false
			case "runs":
				j.ends = now.Add(j.work)
				running = append(running, j)
			default:
				out.refused++
				out.held = append(out.held, now.Sub(start.Add(j.at)))
			}
			return true
		})
		c.Advance(time.Millisecond)
	}
	return out
}

// TestStepOfLoad replays a load that rises to 1.4 to 3 times what a server bears and falls back. Ordering by what
// can still meet its aim must keep answering in time, must not hold requests that it will refuse, and must recover
// when the load ends.
func TestStepOfLoad(t *testing.T) {
	const (
		slots, perSecond = 6, 80 // 6 slots of 60 ms bear 100 a second
		rise, fall, end  = 2 * time.Second, 8 * time.Second, 14 * time.Second
		deadline         = 1200 * time.Millisecond
	)
	for _, factor := range []float64{1.4, 2, 3} {
		load := step(7, perSecond, factor, rise, fall, end)
		chosen := replay(load, slots, fall+deadline, false)
		plain := replay(load, slots, fall+deadline, true)
		slices.Sort(chosen.held)
		var p90 time.Duration
		if n := len(chosen.held); n > 0 {
			p90 = chosen.held[n*9/10]
		}
		t.Logf("factor %.1f: in time %d, late %d, refused %d, held %s; first come first served in time %d, late %d",
			factor, chosen.inAim, chosen.late, chosen.refused, p90, plain.inAim, plain.late)
		if got := chosen.inAim + chosen.late + chosen.refused; got != len(load) {
			t.Errorf("factor %.1f: %d of %d requests accounted for", factor, got, len(load))
		}
		if chosen.inAim <= plain.inAim {
			t.Errorf("factor %.1f: %d in time, first come first served %d", factor, chosen.inAim, plain.inAim)
		}
		if p90 > deadline*3/4 {
			t.Errorf("factor %.1f: nine in ten of the refused were held up to %s, want %s", factor, p90, deadline*3/4)
		}
		if chosen.afterInAim < chosen.after*9/10 {
			t.Errorf("factor %.1f: %d of %d in time after the load had fallen", factor, chosen.afterInAim, chosen.after)
		}
	}
}
