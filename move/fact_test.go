package move_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

type singleMove struct{ state.MoveStatus }

func (m *singleMove) Moves() []state.MoveStatus { return []state.MoveStatus{m.MoveStatus} }

// TestFactsMerge guards against nodes that keep different facts after merging in another order, or after merging
// duplicates and conflicting copies, and against a stop that halts too few or too many nodes: a node must stop on
// its own stop, and every node on a halt or on stops in two failure domains.
func TestFactsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fact := rapid.Custom(func(t *rapid.T) shunt.Fact {
			node := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "node")
			return shunt.Fact{
				Kind:    rapid.SampledFrom([]string{shunt.FactStop, shunt.FactStop, shunt.FactHalt}).Draw(t, "kind"),
				Move:    "m",
				Version: shunt.Offset(rapid.IntRange(1, 2).Draw(t, "version")),
				Node:    node,
				Domain:  node[:1],
				At: time.Unix(
					int64(rapid.IntRange(1, 3).Draw(t, "at")),
					0,
				),
				Reason: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason"),
			}
		})
		facts := rapid.SliceOfN(fact, 0, 8).Draw(t, "facts")
		a, b := move.NewFacts(shunt.Member{Control: "a1"}), move.NewFacts(shunt.Member{Control: "zz"})
		for _, f := range facts {
			a.Add(f)
		}
		order := rapid.Permutation(append(facts, facts...)).Draw(t, "order")
		b.Merge(order)
		if !reflect.DeepEqual(a.List(), b.List()) {
			t.Fatalf("%v differs from %v", a.List(), b.List())
		}
		if b.Merge(a.List()) {
			t.Fatal("merging known facts changed the set")
		}
		domains, halted, own := map[string]bool{}, false, false
		for _, f := range facts {
			if f.Version == 1 {
				domains[f.Domain] = true
				halted = halted || f.Kind == shunt.FactHalt
				own = own || f.Node == "a1" && f.Kind == shunt.FactStop
			}
		}
		everywhere := halted || len(domains) > 1
		if a.Halted("m", 1) != (everywhere || own) || b.Halted("m", 1) != everywhere {
			t.Fatalf("halted at a1 %t and elsewhere %t with %v", a.Halted("m", 1), b.Halted("m", 1), facts)
		}
	})
}

// TestFactsPrune guards against facts of ended moves that peers exchange forever, and against missed notifications
// or known facts listed after a cursor.
func TestFactsPrune(t *testing.T) {
	s := move.NewFacts(shunt.Member{Control: "n"})
	changed := s.Changed()
	old := shunt.Fact{Kind: shunt.FactHalt, Move: "old", Version: 3}
	s.Add(old)
	select {
	case <-changed:
	default:
		t.Fatal("no notification of a new fact")
	}
	s.Prune(func(_ string, version shunt.Offset) bool { return version > 3 })
	if s.Merge([]shunt.Fact{old}) || len(s.List()) != 0 {
		t.Fatalf("a removed fact was accepted again: %v", s.List())
	}
	_, cursor := s.Since(0)
	s.Add(shunt.Fact{Kind: shunt.FactHalt, Move: "new", Version: 4})
	if added, _ := s.Since(cursor); len(added) != 1 {
		t.Fatalf("%d facts after the cursor, want 1", len(added))
	}
}

// TestGuardStopsBadVersion guards against a bad version that a node keeps using for more than 10 seconds, a fault
// seen by one node that halts the move on every node, and a node that stops a version that fails no more often than
// the old one. Stops in two failure domains must halt the move everywhere.
func TestGuardStopsBadVersion(t *testing.T) {
	m := &singleMove{state.MoveStatus{
		Name: "m", Version: 1, Spec: moveSpec(time.Hour), Published: published, Phase: state.PhaseRunning,
		Steps: []state.AppliedStep{{Number: 1, Share: 0.01, At: published}},
	}}
	run := func(domain string, oldFails, newFails bool) (*move.Facts, int) {
		clock := clockwork.NewFakeClockAt(published)
		self := shunt.Member{Control: domain + "1", Domain: domain}
		table, facts := count.NewTable(self, clock), move.NewFacts(self)
		guard := move.NewGuard(self, clock, m, table, facts, func(string) int { return 1 })
		for second := range 30 {
			guard.Check()
			for i := range 100 {
				c := shunt.Call{Service: "s", Route: "r", Version: "v1", Domain: "d", Warm: true, At: clock.Now()}
				fails := oldFails
				if i < 2 {
					c.Version, fails = "v2", newFails
				}
				if fails {
					c.Outcome = shunt.OutcomeFailed
				}
				table.Sent(c)
			}
			clock.Advance(move.GuardInterval)
			if facts.Halted("m", 1) {
				return facts, second
			}
		}
		return facts, -1
	}
	east, seconds := run("east", false, true)
	if seconds < 0 || seconds > 10 {
		t.Fatalf("stopped after %d seconds, want 0 to 10", seconds)
	}
	if east.HaltedFleetwide("m", 1) {
		t.Fatal("a stop in one failure domain halts the move on every node")
	}
	west, _ := run("west", false, true)
	other := move.NewFacts(shunt.Member{Control: "north1"})
	other.Merge(append(east.List(), west.List()...))
	if !other.Halted("m", 1) {
		t.Fatal("stops in two failure domains do not halt the move at a third")
	}
	if facts, _ := run("east", true, true); len(facts.List()) > 0 {
		t.Fatalf("stopped although both versions fail equally often: %v", facts.List())
	}
}
