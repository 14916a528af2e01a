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

// Settings of the baseline.
const (
	timerWindow   = 30   // ticks of two seconds over which the failure rate is taken
	timerLimit    = 0.02 // failure rate that rolls back
	timerRequests = 50   // requests in the window below which the rate is not judged
	timerParts    = 6    // parts of the time to the deadline, one for each step
)

// timer is the baseline policy.
type timer struct {
	*world
	window move.Window
	recent []canary.Counts
}

func (t *timer) tick(ctx context.Context) {
	now := t.clock.Now()
	m := t.ledger.Status()
	merged, _, err := fleet{t.world}.Merged(ctx, service)
	if err != nil {
		return
	}
	t.note(t.window.Next(now, merged.Cells, oldName, newName))
	held := m.Phase == state.PhaseCompleted && !now.After(m.CompletedAt.Add(Hold))
	if rate, ok := t.rate(); ok && rate > timerLimit && (m.Open() || held) {
		t.write(ctx, state.KindHalt, state.Halt{
			Move: m.Name, Version: m.Version, Reason: fmt.Sprintf("failure rate %.3f", rate),
		})
		return
	}
	if !m.Open() {
		return
	}
	ladder := m.Spec.Ladder()
	due := m.Published.Add(time.Duration(len(m.Steps)) * t.c.Deadline / timerParts)
	switch {
	case now.Before(due):
	case len(m.Steps) == len(ladder):
		t.write(ctx, state.KindComplete, state.Complete{Move: m.Name, Version: m.Version})
	default:
		t.write(ctx, state.KindStep, state.Step{
			Move: m.Name, Version: m.Version, Number: len(m.Steps) + 1, Share: ladder[len(m.Steps)],
		})
	}
}

func (t *timer) note(samples []canary.Sample) {
	var sum canary.Counts
	for i := range samples {
		sum.Requests += samples[i].New.Requests
		sum.Failures += samples[i].New.Failures
	}
	t.recent = append(t.recent, sum)
	if len(t.recent) > timerWindow {
		t.recent = t.recent[1:]
	}
}

func (t *timer) rate() (float64, bool) {
	var sum canary.Counts
	for i := range t.recent {
		sum.Requests += t.recent[i].Requests
		sum.Failures += t.recent[i].Failures
	}
	return float64(sum.Failures) / float64(max(1, sum.Requests)), sum.Requests >= timerRequests
}

func (t *timer) write(ctx context.Context, kind string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	data, err := json.Marshal(state.Record{Schema: state.Schema, Kind: kind, At: t.clock.Now(), Body: raw})
	if err != nil {
		return
	}
	if _, err := t.log.Append(ctx, shunt.StreamConfig, data); err != nil {
		panic(err) // the in-memory log has no faults in a trial
	}
}
