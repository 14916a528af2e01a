package move_test

import (
	"strings"
	"testing"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// TestDecide guards against a step without evidence or capacity, a halt without cause or with a wrong reason, and a
// missing halt. The deadline is one hour after the publish.
func TestDecide(t *testing.T) {
	good := move.Evidence{Verdict: canary.Verdict{Kind: canary.GoodEnough}}
	short := move.Evidence{
		Verdict: canary.Verdict{Missing: []string{"120 of 300 requests to the new version in this step"}},
	}
	bad := move.Evidence{Verdict: canary.Verdict{Kind: canary.Bad, Figures: []canary.Figure{{Route: "issue"}}}}
	absent := good
	absent.Missing = []string{"east"}
	busy := good
	busy.Load = 20
	stopped := good
	stopped.Halted, stopped.Facts = true, []shunt.Fact{
		{Kind: shunt.FactStop, Node: "n", Domain: "east", Reason: "slow"},
	}
	minute := func(n float64) time.Time { return published.Add(time.Duration(n * float64(time.Minute))) }
	// at returns a move that has taken steps to the given shares.
	at := func(shares ...float64) state.MoveStatus {
		m := state.MoveStatus{
			Name:      "m",
			Version:   1,
			Spec:      moveSpec(time.Hour),
			Published: published,
			Phase:     state.PhasePending,
		}
		for i, s := range shares {
			m.Phase = state.PhaseRunning
			m.Steps = append(m.Steps, state.AppliedStep{Number: i + 1, Share: s, At: published})
		}
		return m
	}
	completed := at(0.01, 0.05, 0.25, 0.5, 1)
	completed.Phase, completed.CompletedAt = state.PhaseCompleted, minute(40)
	rolledBack := at(0.01)
	rolledBack.Phase = state.PhaseRolledBack
	warm, cold := makeServers("v2", 5, minute(-60)), makeServers("v2", 5, minute(59))
	one := makeServers("v2", 1, minute(0))
	tests := []struct {
		name  string
		m     state.MoveStatus
		ev    move.Evidence
		new   []shunt.Member
		now   time.Time
		skew  time.Duration
		kind  move.Kind
		share float64
		text  string
	}{
		{"first step", at(), short, warm, minute(1), 0, move.TakeStep, 0.01, ""},
		{"no server yet", at(), good, nil, minute(1), 0, move.Wait, 0, `no ready server of version "v2"`},
		{"no server in time", at(), good, nil, minute(58), 0, move.Halt, 0, `missing: no ready server of version "v2"`},
		{"one cold server suffices for the first step", at(), good, one[:1], minute(0.5), 0, move.TakeStep, 0.01, ""},
		{"clock differs", at(), good, warm, minute(1), -2 * time.Second, move.Wait, 0, "own clock differs"},
		{"not due yet", at(0.01), good, warm, minute(2), 0, move.Wait, 0, "planned for"},
		{"second step", at(0.01), good, warm, minute(20), 0, move.TakeStep, 0.05, ""},
		{"too few requests", at(0.01), short, warm, minute(20), 0, move.Wait, 0, "120 of 300 requests"},
		{
			"too few requests until the end",
			at(0.01),
			short,
			warm,
			minute(59),
			0,
			move.Halt,
			0,
			"missing: 120 of 300 requests",
		},
		{"no counters", at(0.01), absent, warm, minute(20), 0, move.Wait, 0, "counters of failure domains east"},
		{
			"too few warm slots",
			at(0.01, 0.05),
			good,
			cold,
			minute(50),
			0,
			move.Wait,
			0,
			"5 usable slots of 50.0 needed",
		},
		{"measured load needs fewer slots", at(0.01, 0.05), busy, warm[:3], minute(50), 0, move.TakeStep, 0.25, ""},
		{"bad", at(0.01), bad, warm, minute(2), 0, move.Halt, 0, "the new version is bad"},
		{
			"stops in two failure domains",
			at(0.01),
			stopped,
			warm,
			minute(2),
			0,
			move.Halt,
			0,
			"stop by node n in east: slow",
		},
		{"complete", at(0.01, 0.05, 0.25, 0.5, 1), good, warm, minute(56), 0, move.Complete, 0, ""},
		{
			"complete at the latest time",
			at(0.01, 0.05, 0.25, 0.5, 1),
			good,
			warm,
			minute(60 - 10.0/60),
			0,
			move.Complete,
			0,
			"",
		},
		{
			"too late to complete",
			at(0.01, 0.05, 0.25, 0.5, 1),
			good,
			warm,
			minute(60 - 9.0/60),
			0,
			move.Halt,
			0,
			"no time left",
		},
		{"deadline passed", at(0.01), short, warm, minute(60), 0, move.Halt, 0, "the deadline has passed; 120 of 300"},
		{"hold period", completed, short, warm, minute(45), 0, move.Wait, 0, "hold period until"},
		{"bad in the hold period", completed, bad, warm, minute(45), 0, move.Halt, 0, "the new version is bad"},
		{"after the hold period", completed, bad, warm, minute(51), 0, move.Done, 0, ""},
		{"rolled back", rolledBack, bad, warm, minute(2), 0, move.Done, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers := move.Servers{Old: makeServers("v1", 5, minute(-60)), New: tt.new}
			d := move.Decide(&tt.m, &tt.ev, &servers, tt.now, tt.skew)
			text := strings.Join(d.Reasons, "; ")
			if d.Kind != tt.kind || d.Share != tt.share || !strings.Contains(text, tt.text) {
				t.Errorf(
					"%s to %v because %q, want %s to %v because %q",
					d.Kind,
					d.Share,
					text,
					tt.kind,
					tt.share,
					tt.text,
				)
			}
			if bad := tt.ev.Halted || tt.ev.Verdict.Kind == canary.Bad; d.Kind == move.Halt && d.Urgent != bad {
				t.Errorf("urgent is %t, want it only for evidence against the version", d.Urgent)
			}
		})
	}
}

// TestFirstStepCapacity guards against sending more traffic to cold servers than they can take.
func TestFirstStepCapacity(t *testing.T) {
	m := state.MoveStatus{Spec: moveSpec(time.Hour), Published: published, Phase: state.PhasePending}
	servers := move.Servers{Old: makeServers("v1", 40, published), New: makeServers("v2", 1, published)}
	d := move.Decide(&m, &move.Evidence{}, &servers, published.Add(time.Second), 0)
	if want := 1.0 / 400; d.Kind != move.TakeStep || d.Share != want {
		t.Errorf("%s to %v, want a step to one cold slot of 400", d.Kind, d.Share)
	}
}

// TestFeasible guards against publishing a move whose deadline no plan can meet.
func TestFeasible(t *testing.T) {
	shortest := 4*move.MinStepTime + time.Minute + move.CompletionMargin + 5*2*move.ControlInterval
	for deadline, want := range map[time.Duration]bool{shortest: true, shortest - time.Second: false, time.Hour: true} {
		s := moveSpec(deadline)
		if err := move.CheckFeasible(&s, published); (err == nil) != want {
			t.Errorf("deadline in %s: %v", deadline, err)
		}
	}
}
