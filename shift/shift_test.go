package shift_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/shift"
)

const within = 14 * time.Second

// TestNext guards when a move goes on, ends, and is taken back.
func TestNext(t *testing.T) {
	calm := shift.Facts{Within: within, Answers: 200, Recent: 40, Failures: 1, NewReady: 2}
	with := func(change func(*shift.Facts)) shift.Facts {
		f := calm
		change(&f)
		return f
	}
	for _, test := range []struct {
		name  string
		phase shift.Phase
		facts shift.Facts
		want  shift.Phase
	}{
		{"trial goes on", shift.Trial, with(func(f *shift.Facts) { f.Elapsed = 5 * time.Second }), shift.Trial},
		{"switch before the deadline", shift.Trial, with(func(f *shift.Facts) { f.Elapsed = 12 * time.Second }), shift.Switch},
		{"no switch on few answers", shift.Trial, with(func(f *shift.Facts) {
			f.Elapsed, f.Answers = 12*time.Second, 3
		}), shift.Trial},
		{"no switch to servers that are not ready", shift.Trial, with(func(f *shift.Facts) {
			f.Elapsed, f.NewReady = 12*time.Second, 0
		}), shift.Trial},
		{"deadline passed", shift.Trial, with(func(f *shift.Facts) { f.Elapsed, f.Answers = within, 3 }), shift.Back},
		{"test says bad", shift.Trial, with(func(f *shift.Facts) { f.Verdict = canary.Bad }), shift.Back},
		{"many failures of late", shift.Trial, with(func(f *shift.Facts) { f.Failures = 12 }), shift.Back},
		{"bad after the switch", shift.Switch, with(func(f *shift.Facts) { f.Failures = 12 }), shift.Back},
		{"old version still busy", shift.Switch, with(func(f *shift.Facts) { f.InPhase = time.Second }), shift.Switch},
		{"old version done", shift.Switch, with(func(f *shift.Facts) { f.InPhase = 1200 * time.Millisecond }), shift.Complete},
		{"complete is final", shift.Complete, with(func(f *shift.Facts) { f.Failures = 40 }), shift.Complete},
		{"back is final", shift.Back, with(func(f *shift.Facts) { f.Elapsed = within }), shift.Back},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := shift.Record{From: "v1", Target: "v2", Phase: test.phase}
			if got, why := r.Next(test.facts); got != test.want || (got != test.phase) != (why != "") {
				t.Errorf("phase %s (%s), want %s", got, why, test.want)
			}
		})
	}
}

// TestVersions guards which versions get requests in each phase.
func TestVersions(t *testing.T) {
	for _, test := range []struct {
		phase      shift.Phase
		low, high  string // version for a draw below and above the share
		old, fresh bool   // allowed
	}{
		{shift.Trial, "v2", "v1", true, true},
		{shift.Switch, "v2", "v2", false, true},
		{shift.Complete, "v2", "v2", false, true},
		{shift.Back, "v1", "v1", true, false},
	} {
		r := shift.Record{From: "v1", Target: "v2", Phase: test.phase}
		if got := r.Version(0.01, 0.03); got != test.low {
			t.Errorf("%s: draw below the share gives %s", test.phase, got)
		}
		if got := r.Version(0.5, 0.03); got != test.high {
			t.Errorf("%s: draw above the share gives %s", test.phase, got)
		}
		if r.Allows("v1") != test.old || r.Allows("v2") != test.fresh || r.Allows("v3") {
			t.Errorf("%s: allows v1 %v, v2 %v, v3 %v", test.phase, r.Allows("v1"), r.Allows("v2"), r.Allows("v3"))
		}
	}
}

// load is what a version does in a replayed move.
type load struct {
	fails func(at time.Duration, loaded bool) float64
	slow  float64 // factor on the latency
}

// replay plays a move second by second in steps of 300 ms: a service with some requests a second, of which the
// trial's share goes to the new version. It returns the last phase, whether everything was ever sent to the new version, and what it got.
func replay(seed uint64, v load) (phase shift.Phase, switched bool, exposed, total int) {
	const perSecond, oneServer, step = 170, 56, 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 2))
	r := shift.Record{Order: 1, From: "v1", Target: "v2", Phase: shift.Trial}
	tallies := map[string]*shift.Tally{
		"old": {Order: 1, Version: "v1"}, "new": {Order: 1, Version: "v2"},
	}
	evidence := shift.NewEvidence(2)
	phaseAt := time.Duration(0)
	for at := time.Duration(0); at < within+2*time.Second; at += step {
		share, focus := shift.Share(at, within, 0.033)
		for range int(perSecond * step.Seconds()) {
			total++
			latency := time.Duration((0.7 + 0.6*rng.Float64()) * 160 * float64(time.Millisecond))
			name, chance := "old", 0.005
			limit := float64(oneServer) / perSecond
			if draw := rng.Float64(); r.Version(draw, share) == "v2" && (!focus || draw < limit) {
				exposed++
				name, chance = "new", v.fails(at, focus || r.Phase == shift.Switch)
				latency = time.Duration(v.slow * float64(latency))
			}
			tallies[name].Add("browse", rng.Float64() < chance, latency)
		}
		evidence.Observe(time.Unix(0, 0).Add(at), &r, tallies)
		kind, answers, failures, recent := evidence.Verdict()
		next, _ := r.Next(shift.Facts{
			Elapsed: at, InPhase: at - phaseAt, Within: within, Verdict: kind, Answers: answers, Recent: recent,
			Failures: failures, NewReady: 1,
		})
		if next != r.Phase {
			r.Phase, phaseAt = next, at
			switched = switched || next == shift.Switch
		}
		if r.Phase.Ended() {
			break
		}
	}
	return r.Phase, switched, exposed, total
}

// TestMoves replays moves to versions that are good, bad at once, bad late, bad under load only, and slow. A bad
// one must be taken back during its trial, before a tenth of the service's requests and 50 have reached it; a good one must complete.
func TestMoves(t *testing.T) {
	always := func(share float64) func(time.Duration, bool) float64 {
		return func(time.Duration, bool) float64 { return share }
	}
	for _, test := range []struct {
		name string
		load load
		want shift.Phase
	}{
		{"good", load{always(0.005), 1}, shift.Complete},
		{"errors", load{always(0.4), 1}, shift.Back},
		{"late", load{func(at time.Duration, _ bool) float64 {
			if at < 3*time.Second {
				return 0.005
			}
			return 0.4
		}, 1}, shift.Back},
		{"under load", load{func(_ time.Duration, loaded bool) float64 {
			if !loaded {
				return 0.005
			}
			return 0.4
		}, 1}, shift.Back},
		{"slow", load{always(0.005), 8}, shift.Back},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				phase, switched, exposed, total := replay(seed, test.load)
				if phase != test.want {
					t.Errorf("seed %d: ended as %s after %d requests, want %s", seed, phase, exposed, test.want)
				}
				if test.want == shift.Back && switched {
					t.Errorf("seed %d: everything was sent to the bad version before it was taken back", seed)
				}
				// The service gets 170 requests a second until the deadline, whenever the move ends.
				if allowed := int(0.1*170*within.Seconds()) + 50; test.want == shift.Back && exposed > allowed {
					t.Errorf(
						"seed %d: %d of %d requests met the bad version, want %d at most",
						seed,
						exposed,
						total,
						allowed,
					)
				}
			}
		})
	}
}
