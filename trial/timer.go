package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// Parameters of the baseline policy.
const (
	timerWindowTicks  = 30   // ticks of two seconds over which the failure rate is computed
	timerFailureLimit = 0.02 // failure rate above which the move is rolled back
	timerMinRequests  = 50   // requests in the window below which the rate is not evaluated
	// timerIntervals is the number of equal intervals until the deadline. The five steps are due at the starts of the
	// first five, completion is due at the start of the sixth.
	timerIntervals = 6
)

// timerPolicy implements the policy Timer.
type timerPolicy struct {
	*simulation
	window       move.CounterDeltas
	recentCounts []canary.Counts
}

func (t *timerPolicy) tick(ctx context.Context) {
	now := t.clock.Now()
	m := t.moveState.Status()
	merged, _, err := fleet{t.simulation}.Merged(ctx, serviceName)
	if err != nil {
		return
	}
	t.addWindow(t.window.Next(now, merged.Cells, oldVersion, newVersion))
	inHold := m.Phase == state.PhaseCompleted && !now.After(m.CompletedAt.Add(Hold))
	if rate, ok := t.failureRate(); ok && rate > timerFailureLimit && (m.Open() || inHold) {
		t.appendRecord(ctx, state.KindHalt, state.Halt{
			Move: m.Name, Version: m.Version, Reason: fmt.Sprintf("failure rate %.3f", rate),
		})
		return
	}
	if !m.Open() {
		return
	}
	shares := m.Spec.ShareSteps()
	due := m.Published.Add(time.Duration(len(m.Steps)) * t.trialCase.Deadline / timerIntervals)
	switch {
	case now.Before(due):
	case len(m.Steps) == len(shares):
		t.appendRecord(ctx, state.KindComplete, state.Complete{Move: m.Name, Version: m.Version})
	default:
		t.appendRecord(ctx, state.KindStep, state.Step{
			Move: m.Name, Version: m.Version, Number: len(m.Steps) + 1, Share: shares[len(m.Steps)],
		})
	}
}

func (t *timerPolicy) addWindow(samples []canary.Sample) {
	var sum canary.Counts
	for i := range samples {
		sum.Requests += samples[i].New.Requests
		sum.Failures += samples[i].New.Failures
	}
	t.recentCounts = append(t.recentCounts, sum)
	if len(t.recentCounts) > timerWindowTicks {
		t.recentCounts = t.recentCounts[1:]
	}
}

func (t *timerPolicy) failureRate() (float64, bool) {
	var sum canary.Counts
	for i := range t.recentCounts {
		sum.Requests += t.recentCounts[i].Requests
		sum.Failures += t.recentCounts[i].Failures
	}
	return float64(sum.Failures) / float64(max(1, sum.Requests)), sum.Requests >= timerMinRequests
}

func (t *timerPolicy) appendRecord(ctx context.Context, kind string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	data, err := json.Marshal(state.Record{Schema: state.Schema, Kind: kind, At: t.clock.Now(), Body: raw})
	if err != nil {
		return
	}
	if _, err := t.log.Append(ctx, shunt.StreamConfig, data); err != nil {
		panic(err) // the in-memory log injects no faults here
	}
}
