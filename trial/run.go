package trial

import (
	"context"
	"sync"
	"time"

	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// Decision policies.
const (
	// Sequential is the production controller with the guards of the nodes.
	Sequential Policy = "sequential"
	// Timer is the baseline. It writes steps at fixed times and rolls back when the new version's failure rate over
	// the last minute exceeds a threshold.
	Timer Policy = "timer"
)

type (
	// Policy decides on the steps, the completion and the rollback of a move.
	Policy string

	// Result is the outcome of one trial.
	Result struct {
		Case            string
		Good            bool
		Seed            uint64
		Completed       bool // and not rolled back in the hold period
		Reason          string
		Received        uint64        // requests to the new version, from the first that the version's fault affected
		Harmed          uint64        // of these, requests that the fault affected
		ToZero          time.Duration // from the first of these until no node sends to the version
		firstAffectedAt time.Time
		zeroSince       time.Time
	}

	// Summary is the outcome of trials under one policy. MeanReceived and MaxReceived cover all bad versions, MeanToZero
	// and MaxToZero those that did not complete.
	Summary struct {
		Policy        Policy
		GoodOnTime    float64 // share of the good versions completed on time
		BadRolledBack float64 // share of the bad versions that did not complete
		MeanReceived  float64
		MaxReceived   uint64
		MeanToZero    time.Duration
		MaxToZero     time.Duration
		Results       []Result
	}
)

// Run simulates one case until one minute after Deadline plus Hold, or until the move is rolled back and no node sends
// to the new version.
func Run(c *Case, seed uint64, p Policy) Result {
	sim := newSimulation(c, seed)
	sim.result = Result{Case: c.Name, Good: c.Good, Seed: seed}
	tick := sim.tickFunc(p)
	ctx := context.Background()
	seconds := int((c.Deadline + Hold + time.Minute).Seconds())
	for second := range seconds {
		sim.runSecond(second, p == Sequential)
		if second%int(move.ControlInterval.Seconds()) == 0 {
			tick(ctx)
		}
		if err := sim.moveState.Follow(ctx); err != nil {
			panic(err) // the in-memory log injects no faults here
		}
		if s := sim.moveState.Status(); s.Phase == state.PhaseRolledBack && !sim.result.zeroSince.IsZero() {
			break
		}
	}
	return sim.finalResult()
}

// RunAll runs all cases with all seeds, up to parallel at a time.
func RunAll(cases []Case, seeds []uint64, p Policy, parallel int) Summary {
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

func (sim *simulation) tickFunc(p Policy) func(context.Context) {
	if p == Timer {
		t := &timerPolicy{simulation: sim}
		return t.tick
	}
	return move.NewController(move.Options{
		Log:       sim.log,
		Clock:     sim.clock,
		Directory: fleet{sim},
		States:    sim.moveState,
		Counters:  fleet{sim},
		Facts:     sim.nodes[0].facts,
		Routes:    func(string) int { return sim.trialCase.Routes },
	}).Tick
}

func (sim *simulation) finalResult() Result {
	r := sim.result
	s := sim.moveState.Status()
	r.Completed = s.Phase == state.PhaseCompleted
	r.Reason = s.Reason
	if !r.firstAffectedAt.IsZero() && !r.zeroSince.IsZero() {
		r.ToZero = r.zeroSince.Sub(r.firstAffectedAt)
	}
	return r
}

// recordRequest counts a request to the new version, starting with the first that the version's fault affected.
func (r *Result) recordRequest(now time.Time, affected bool) {
	if affected {
		r.Harmed++
		if r.firstAffectedAt.IsZero() {
			r.firstAffectedAt = now
		}
	}
	if !r.firstAffectedAt.IsZero() {
		r.Received++
	}
}

// recordHighestShare records since when no node has sent requests to the new version.
func (r *Result) recordHighestShare(now time.Time, highest float64) {
	switch {
	case highest > 0:
		r.zeroSince = time.Time{}
	case r.zeroSince.IsZero():
		r.zeroSince = now
	}
}

func summarise(p Policy, results []Result) Summary {
	s := Summary{Policy: p, Results: results}
	var good, onTime, bad, rolledBack float64
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
		rolledBack++
		toZero += r.ToZero
		s.MaxToZero = max(s.MaxToZero, r.ToZero)
	}
	s.GoodOnTime, s.BadRolledBack = onTime/max(1, good), rolledBack/max(1, bad)
	s.MeanReceived = float64(received) / max(1, bad)
	s.MeanToZero = toZero / time.Duration(max(1, rolledBack))
	return s
}
