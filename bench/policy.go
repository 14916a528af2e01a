package main

import (
	"context"
	"slices"
	"sync/atomic"

	"go.uber.org/fx"

	"tanagershunt.example/shunt"
)

type (
	// roundRobin is the baseline of server selection: round robin, regardless of load.
	roundRobin struct{ next atomic.Uint64 }

	// admitAll is the baseline of admission control: no limit.
	admitAll struct{ running atomic.Int64 }

	admitTicket struct {
		admitter *admitAll
		done     atomic.Bool
	}
)

// baseline replaces server selection and admission control with their baselines.
func baseline() fx.Option {
	return fx.Decorate(
		func(shunt.Picker) shunt.Picker { return &roundRobin{} },
		func(shunt.Admitter) shunt.Admitter { return &admitAll{} },
	)
}

// Pick implements shunt.Picker.
func (r *roundRobin) Pick(candidates []shunt.Member, skip []string) (shunt.Member, bool) {
	for range candidates {
		m := candidates[r.next.Add(1)%uint64(len(candidates))]
		if !slices.Contains(skip, m.Control) {
			return m, true
		}
	}
	return shunt.Member{}, false
}

// Started implements shunt.Picker.
func (r *roundRobin) Started(string) {}

// Finished implements shunt.Picker.
func (r *roundRobin) Finished(string, shunt.Sample, *shunt.Load) {}

// Acquire implements shunt.Admitter.
func (a *admitAll) Acquire(context.Context, shunt.Class) (shunt.Ticket, error) {
	a.running.Add(1)
	return &admitTicket{admitter: a}, nil
}

// Load implements shunt.Admitter.
func (a *admitAll) Load() shunt.Load { return shunt.Load{InFlight: int(a.running.Load())} }

// Done implements shunt.Ticket.
func (t *admitTicket) Done(shunt.Sample) {
	if !t.done.Swap(true) {
		t.admitter.running.Add(-1)
	}
}
