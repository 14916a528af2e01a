package trial

import (
	"context"
	"sync"
	"time"

	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// Policies.
const (
	// Sequential is the real controller with the nodes' guards.
	Sequential Policy = "sequential"
	// Timer is the baseline: steps at fixed times, rolled back when the new version's failure rate over the
	// last minute passes a threshold.
	Timer Policy = "timer"
)

type (
	// Policy is a way of deciding on a move.
	Policy string

	// Result is the outcome of one trial.
	Result struct {
		Case      string
		Good      bool
		Seed      uint64
		Completed bool // and not taken back in the hold period
		Reason    string
		Received  uint64        // requests that a bad version received after its fault could first be seen
		Harmed    uint64        // of these, requests that its fault applied to
		ToZero    time.Duration // from the first request that the fault applied to until no node sends any
		onset     time.Time
		zero      time.Time
	}

	// Summary is the outcome of trials under one policy. Requests received are over all bad versions, times to
	// zero over those rolled back after their fault showed.
	Summary struct {
		Policy        Policy
		GoodOnTime    float64 // share of the good versions completed on time
		BadRolledBack float64 // share of the bad versions rolled back
		MeanReceived  float64
		MaxReceived   uint64
		MeanToZero    time.Duration
		MaxToZero     time.Duration
		Results       []Result
	}
)

// Run runs one case to the end of its hold period or its rollback.
func Run(c *Case, seed uint64, p Policy) Result {
	w := newWorld(c, seed)
	w.tally = Result{Case: c.Name, Good: c.Good, Seed: seed}
	tick := w.policy(p)
	ctx := context.Background()
	end := int((c.Deadline + Hold + time.Minute).Seconds())
	for at := range end {
		w.second(at, p == Sequential)
		if at%int(move.ControlEvery.Seconds()) == 0 {
			tick(ctx)
		}
		if err := w.ledger.Follow(ctx); err != nil {
			panic(err) // the in-memory log has no faults in a trial
		}
		if s := w.ledger.Status(); s.Phase == state.PhaseRolledBack && !w.tally.zero.IsZero() {
			break
		}
	}
	return w.result()
}

// All runs all cases with all seeds, up to parallel at a time.
func All(cases []Case, seeds []uint64, p Policy, parallel int) Summary {
	results := make([]Result, len(cases)*len(seeds))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, parallel))
	for i := range results {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = Run(&cases[i/len(seeds)], seeds[i%len(seeds)], p)
		})
	}
	group.Wait()
	return summarise(p, results)
}

func (w *world) policy(p Policy) func(context.Context) {
	if p == Timer {
		t := &timer{world: w}
		return t.tick
	}
	return move.NewController(move.Options{
		Log: w.log, Clock: w.clock, Directory: fleet{w}, States: w.ledger, Counters: fleet{w}, Facts: w.nodes[0].facts,
		Routes: func(string) int { return w.c.Routes },
	}).Tick
}

func (w *world) result() Result {
	r := w.tally
	s := w.ledger.Status()
	r.Completed = s.Phase == state.PhaseCompleted
	r.Reason = s.Reason
	if !r.onset.IsZero() && !r.zero.IsZero() {
		r.ToZero = r.zero.Sub(r.onset)
	}
	return r
}

// received counts a request to the new version.
func (r *Result) received(now time.Time, harmed bool) {
	if harmed {
		r.Harmed++
		if r.onset.IsZero() {
			r.onset = now
		}
	}
	if !r.onset.IsZero() {
		r.Received++
	}
}

// share notes when the last node stopped sending to the new version.
func (r *Result) share(now time.Time, highest float64) {
	switch {
	case highest > 0:
		r.zero = time.Time{}
	case r.zero.IsZero():
		r.zero = now
	}
}

func summarise(p Policy, results []Result) Summary {
	s := Summary{Policy: p, Results: results}
	var good, onTime, bad, back float64
	var received uint64
	var toZero time.Duration
	for i := range results {
		r := &results[i]
		if r.Good {
			good++
			if r.Completed {
				onTime++
			}
			continue
		}
		bad++
		s.MaxReceived = max(s.MaxReceived, r.Received)
		received += r.Received
		if r.Completed {
			continue
		}
		back++
		toZero += r.ToZero
		s.MaxToZero = max(s.MaxToZero, r.ToZero)
	}
	s.GoodOnTime, s.BadRolledBack = onTime/max(1, good), back/max(1, bad)
	s.MeanReceived = float64(received) / max(1, bad)
	s.MeanToZero = toZero / time.Duration(max(1, back))
	return s
}
