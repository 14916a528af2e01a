package move_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// TestConcurrentControllersAgree guards against two outcomes of one move when two nodes act as its controller,
// responses to appends are lost, the log is down at times, and both nodes read the configuration late.
func TestConcurrentControllersAgree(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			clock := clockwork.NewFakeClockAt(published)
			fails := uint64(0)
			if seed%2 == 1 {
				fails = 3
			}
			warm := makeServers("v2", 5, published.Add(-time.Hour))
			a, b := &fakeNode{
				self:     "a",
				ready:    warm,
				failures: fails,
			}, &fakeNode{
				self:     "b",
				ready:    warm,
				failures: fails,
			}
			l, moveStates, controllers, _ := setUp(t, clock, 10*time.Minute, a, b)
			ctx := context.Background()
			for range 400 {
				clock.Advance(move.ControlInterval)
				l.SetFaults(memlog.Faults{Down: rng.IntN(10) == 0, LoseAnswers: rng.IntN(2), LoseAppends: rng.IntN(2)})
				for _, i := range rng.Perm(2) {
					if rng.IntN(3) > 0 {
						_ = moveStates[i].Follow(ctx)
					}
					controllers[i].Tick(ctx)
				}
			}
			l.SetFaults(memlog.Faults{})
			for _, moveState := range moveStates {
				if err := moveState.Follow(ctx); err != nil {
					t.Fatal(err)
				}
			}
			first, second := moveStates[0].Status(), moveStates[1].Status()
			if !reflect.DeepEqual(first, second) {
				t.Fatalf("controllers disagree: %+v and %+v", first, second)
			}
			want := state.PhaseCompleted
			if fails > 0 {
				want = state.PhaseRolledBack
			}
			if first.Phase != want {
				t.Errorf("phase %s with %d failures in 30 calls: %s", first.Phase, fails, first.Reason)
			}
			appends, _ := l.Stats()
			t.Logf("%s after %d steps with %d appends", first.Phase, len(first.Steps), appends)
		})
	}
}

// TestUnknownAppendIsReadBack guards against a second append before a first one of unknown outcome has been read
// back.
func TestUnknownAppendIsReadBack(t *testing.T) {
	ctx := context.Background()
	for _, faults := range []memlog.Faults{{LoseAnswers: 1}, {LoseAppends: 1}} {
		clock := clockwork.NewFakeClockAt(published)
		f := &fakeNode{self: "a", ready: makeServers("v2", 5, published.Add(-time.Hour))}
		l, moveStates, controllers, _ := setUp(t, clock, time.Hour, f)
		tick := func() uint64 {
			clock.Advance(move.ControlInterval)
			controllers[0].Tick(ctx)
			appends, _ := l.Stats()
			return appends - 1
		}
		l.SetFaults(faults)
		first := tick()
		l.SetFaults(memlog.Faults{})
		if first != uint64(faults.LoseAnswers) {
			t.Fatalf("%+v: %d appends at the first tick", faults, first)
		}
		if faults.LoseAnswers > 0 {
			for range 3 {
				if n := tick(); n != 1 {
					t.Fatalf("%d appends before the first was read back, want 1", n)
				}
			}
		}
		if err := moveStates[0].Follow(ctx); err != nil {
			t.Fatal(err)
		}
		if n := tick(); n != 1 || len(moveStates[0].Status().Steps) > 1 {
			t.Fatalf("%+v: %d appends after the read-back, want 1", faults, n)
		}
	}
}

// TestHaltDuringLogOutage guards against a bad version that is not halted while the log is down, and against a
// halt that is not recorded afterwards.
func TestHaltDuringLogOutage(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClockAt(published)
	f := &fakeNode{self: "a", ready: makeServers("v2", 5, published.Add(-time.Hour)), failures: 10}
	l, moveStates, controllers, facts := setUp(t, clock, time.Hour, f)
	controllers[0].Tick(ctx)
	if err := moveStates[0].Follow(ctx); err != nil {
		t.Fatal(err)
	}
	l.SetFaults(memlog.Faults{Down: true})
	for range 10 {
		clock.Advance(move.ControlInterval)
		controllers[0].Tick(ctx)
	}
	if !facts[0].HaltedFleetwide("m", 1) || !strings.Contains(facts[0].List()[0].Reason, "evidence") {
		t.Fatalf("no halt fact with evidence while the log is down: %v", facts[0].List())
	}
	l.SetFaults(memlog.Faults{})
	clock.Advance(move.ControlInterval)
	controllers[0].Tick(ctx)
	if err := moveStates[0].Follow(ctx); err != nil {
		t.Fatal(err)
	}
	if s := moveStates[0].Status(); s.Phase != state.PhaseRolledBack || s.Evidence == "" {
		t.Fatalf("phase %s with evidence %q after the outage", s.Phase, s.Evidence)
	}
}

// TestRecordsBelowLimit guards against a halt or completion that the log always rejects as too large because every
// node added a fact or is unconfirmed.
func TestRecordsBelowLimit(t *testing.T) {
	ctx := context.Background()
	for _, halted := range []bool{true, false} {
		clock := clockwork.NewFakeClockAt(published)
		f := &fakeNode{
			self:        "a",
			ready:       makeServers("v2", 5, published.Add(-time.Hour)),
			unconfirmed: make([]string, 21_000),
		}
		for i := range f.unconfirmed {
			f.unconfirmed[i] = fmt.Sprintf("10.0.%d.%d:65535", i/256, i%256)
		}
		_, moveStates, controllers, facts := setUp(t, clock, 10*time.Minute, f)
		for i := range f.unconfirmed {
			if halted {
				facts[0].Add(shunt.Fact{
					Kind: shunt.FactStop, Move: "m", Version: 1, Node: f.unconfirmed[i], Domain: fmt.Sprint(i % 44),
					Reason: strings.Repeat("evidence ", 50),
				})
			}
		}
		for range 300 {
			controllers[0].Tick(ctx)
			if err := moveStates[0].Follow(ctx); err != nil {
				t.Fatal(err)
			}
			clock.Advance(move.ControlInterval)
			if s := moveStates[0].Status(); !s.Open() {
				break
			}
		}
		want := state.PhaseCompleted
		if halted {
			want = state.PhaseRolledBack
		}
		if s := moveStates[0].Status(); s.Phase != want {
			t.Errorf("phase %s, want %s", s.Phase, want)
		}
	}
}

// TestLateHaltDoesNotRevertCompletion guards against a controller that has not read the completion and halts the
// move for lack of time, which would revert the move if it happened within the hold period.
func TestLateHaltDoesNotRevertCompletion(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClockAt(published)
	f := &fakeNode{self: "a", ready: makeServers("v2", 5, published.Add(-time.Hour))}
	l, moveStates, controllers, _ := setUp(t, clock, 10*time.Minute, f)
	write := func(kind string, body any) {
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(state.Record{Schema: 1, Kind: kind, At: clock.Now(), Body: raw})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Append(ctx, shunt.StreamConfig, data); err != nil {
			t.Fatal(err)
		}
	}
	for i, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
		clock.Advance(time.Minute)
		write(state.KindStep, state.Step{Move: "m", Version: 1, Number: i + 1, Share: share})
	}
	if err := moveStates[0].Follow(ctx); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Minute)
	write(state.KindComplete, state.Complete{Move: "m", Version: 1})
	clock.Advance(5 * time.Minute)
	for range 3 {
		controllers[0].Tick(ctx)
		clock.Advance(move.ControlInterval)
	}
	if err := moveStates[0].Follow(ctx); err != nil {
		t.Fatal(err)
	}
	if s := moveStates[0].Status(); s.Phase != state.PhaseCompleted {
		t.Fatalf("phase %s: %s", s.Phase, s.Reason)
	}
}
