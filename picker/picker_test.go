package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/picker"
)

var (
	bad  = shunt.Sample{Failed: true}
	good = shunt.Sample{}
	full = shunt.Sample{Shed: true}
)

// servers returns members of 10 slots in a failure domain that have been ready for an hour.
func servers(clock clockwork.Clock, domain string, n int) []shunt.Member {
	list := make([]shunt.Member, n)
	for i := range list {
		list[i] = shunt.Member{
			Control: fmt.Sprint(domain, i), Domain: domain, Service: "s", Slots: 10, Incarnation: 1,
			ReadySince: clock.Now().Add(-time.Hour),
		}
	}
	return list
}

func newTable(domain string) (*picker.Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return picker.New(clock, domain, rand.NewPCG(1, 2)), clock
}

// finish makes a number of attempts at a server that all end alike.
func finish(table *picker.Table, control string, n int, s shunt.Sample) {
	for range n {
		table.Started(control)
		table.Finished(control, s, nil)
	}
}

// reach returns all servers that picks reach when each one is skipped afterwards.
func reach(table *picker.Table, members []shunt.Member) []string {
	var tried []string
	for {
		m, ok := table.Pick(members, tried)
		if !ok {
			return tried
		}
		tried = append(tried, m.Control)
	}
}

func ejected(table *picker.Table, clock clockwork.Clock, control string) bool {
	return slices.ContainsFunc(table.Entries(), func(e picker.Entry) bool {
		return e.Control == control && clock.Now().Before(e.EjectedUntil)
	})
}

// Guards against ejections that take a service's last servers, against picks of ejected, tried or unknown
// servers, and against entries that stay after their servers left.
func TestEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, clock := newTable("a")
		members := append(servers(clock, "a", 4), servers(clock, "b", 4)...)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(members)-1).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				m, n := members[pick(t)], rapid.IntRange(1, 6).Draw(t, "times")
				finish(table, m.Control, n, bad)
				if n >= picker.EjectAfter && !ejected(table, clock, m.Control) {
					t.Fatalf("%s is not ejected after %d failures", m.Control, n)
				}
			},
			"succeed": func(t *rapid.T) {
				m, before := members[pick(t)], rapid.IntRange(0, 4).Draw(t, "failures before")
				was := ejected(table, clock, m.Control)
				for _, n := range []int{4, before} {
					finish(table, m.Control, 1, good)
					finish(table, m.Control, n, bad)
				}
				finish(table, m.Control, 1, good)
				if ejected(table, clock, m.Control) != was {
					t.Fatalf("%s is ejected after successes in between", m.Control)
				}
			},
			"other": func(t *rapid.T) {
				finish(
					table,
					members[pick(t)].Control,
					6,
					rapid.SampledFrom([]shunt.Sample{full, {Ignore: true}}).Draw(t, "sample"),
				)
			},
			"advance": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.SampledFrom([]int{1, 6, 400}).Draw(t, "s")) * time.Second)
			},
			"leave": func(t *rapid.T) {
				if i := pick(t); len(members) > 2 {
					members = slices.Delete(slices.Clone(members), i, i+1)
				}
			},
			"": func(t *rapid.T) {
				out := 0
				for _, m := range members {
					if ejected(table, clock, m.Control) {
						out++
					}
				}
				reached := reach(table, members)
				if want := len(members) - min(out, len(members)/2); len(reached) != want {
					t.Fatalf("%d of %d servers reached, %d ejected", len(reached), len(members), out)
				}
				for _, m := range members {
					if !slices.Contains(reached, m.Control) && !ejected(table, clock, m.Control) {
						t.Fatalf("%s is not reached and not ejected", m.Control)
					}
				}
			},
		})
		clock.Advance(time.Hour)
		table.Pick(members[:1], nil)
		if n := len(table.Entries()); n > 1 {
			t.Fatalf("%d entries after an hour with one server", n)
		}
	})
}

// Guards against ejections that do not grow, or that outlive the process that failed.
func TestEjectionTime(t *testing.T) {
	table, clock := newTable("a")
	members := servers(clock, "a", 2)
	for i := range 10 {
		finish(table, "a0", picker.EjectAfter, bad)
		want := min(picker.EjectBase<<i, picker.EjectMax)
		if got := table.Entries()[0].EjectedUntil.Sub(clock.Now()); got != want {
			t.Errorf("ejection %d lasts %v, want %v", i, got, want)
		}
		clock.Advance(want)
	}
	finish(table, "a0", picker.EjectAfter, bad)
	reach(table, members)
	members[0].Incarnation++
	if got := len(reach(table, members)); got != 2 {
		t.Errorf("%d servers reached after a restart, want 2", got)
	}
}

// share returns the share of picks that a set of servers gets when every attempt ends at once.
func share(table *picker.Table, members []shunt.Member, in func(shunt.Member) bool) float64 {
	const picks = 10_000
	n := 0
	for range picks {
		m, _ := table.Pick(members, nil)
		if in(m) {
			n++
		}
		finish(table, m.Control, 1, good)
	}
	return float64(n) / picks
}

// Guards against a fleet that floods a server or domain that came back.
func TestRamp(t *testing.T) {
	tests := []struct {
		age      time.Duration
		min, max float64 // of the full share of one server in five
	}{
		{0, 0.002, 0.02},
		{6 * time.Second, 0.08, 0.12},
		{30 * time.Second, 0.45, 0.6},
		{picker.RampTime, 0.95, 1.05},
	}
	for _, tt := range tests {
		for _, byDomain := range []bool{false, true} {
			table, clock := newTable("c")
			members := append(servers(clock, "a", 4), servers(clock, "b", 1)...)
			for i := range members { // equal limits: the ramp alone decides
				table.Started(members[i].Control)
				table.Finished(members[i].Control, good, &shunt.Load{Limit: 10})
			}
			if byDomain {
				table.SetDomainSince("b", clock.Now().Add(-tt.age))
			} else {
				members[4].ReadySince = clock.Now().Add(-tt.age)
			}
			got := 5 * share(table, members, func(m shunt.Member) bool { return m.Domain == "b" })
			if got < tt.min || got > tt.max {
				t.Errorf(
					"age %v, by domain %v: %.3f of the full share, want %v to %v",
					tt.age,
					byDomain,
					got,
					tt.min,
					tt.max,
				)
			}
		}
	}
}

// Guards against traffic that leaves its domain without need, or stays in a full one.
func TestDomainPreference(t *testing.T) {
	tests := []struct {
		name        string
		own, remote int // requests in flight of other nodes, of 10 each
		min, max    float64
	}{
		{"idle", 0, 0, 1, 1},
		{"below 0.8", 7, 0, 1, 1},
		{"little above", 8, 0, 0.75, 0.9},
		{"far above", 9, 0, 0.25, 0.45},
		{"full", 20, 0, 0, 0},
		{"all full", 20, 30, 1, 1},
	}
	for _, tt := range tests {
		table, clock := newTable("a")
		members := append(servers(clock, "a", 3), servers(clock, "b", 3)...)
		for _, m := range members {
			load := shunt.Load{Limit: 10, InFlight: tt.own}
			if m.Domain == "b" {
				load.InFlight = tt.remote
			}
			table.Started(m.Control)
			load.InFlight++
			table.Finished(m.Control, good, &load)
		}
		got := share(table, members, func(m shunt.Member) bool { return m.Domain == "a" })
		if got < tt.min || got > tt.max {
			t.Errorf("%s: %.3f stay in the domain, want %v to %v", tt.name, got, tt.min, tt.max)
		}
	}
}

// Guards against load that swings between domains when the own one cannot take all of it.
func TestSpillIsSteady(t *testing.T) {
	for _, nodes := range []int{8, 100} {
		lowest, highest := spillOf(nodes)
		if lowest < 15 || highest > 22 {
			t.Errorf("%d nodes: %.1f to %.1f requests in the own domain, want about 16 to 20", nodes, lowest, highest)
		}
	}
}

// spillOf returns the range of the load on a domain of 20 slots whose nodes send 40 requests at a time.
func spillOf(nodes int) (lowest, highest float64) {
	const perStep, duration = 4, 10 // steps of 10 ms
	clock := clockwork.NewFakeClock()
	tables := make([]*picker.Table, nodes)
	for i := range tables {
		tables[i] = picker.New(clock, "a", rand.NewPCG(1, uint64(i)))
	}
	type call struct {
		node    int
		control string
	}
	members := append(servers(clock, "a", 2), servers(clock, "b", 8)...)
	inFlight := make(map[string]int)
	ends := make(map[int][]call)
	sum := 0
	lowest = 100
	for step := range 3000 {
		for _, c := range ends[step] {
			tables[c.node].Finished(c.control, good, &shunt.Load{Limit: 10, InFlight: inFlight[c.control]})
			inFlight[c.control]--
		}
		for i := range perStep {
			node := (step*perStep + i) % nodes
			m, _ := tables[node].Pick(members, nil)
			tables[node].Started(m.Control)
			inFlight[m.Control]++
			ends[step+duration] = append(ends[step+duration], call{node, m.Control})
		}
		if sum += inFlight["a0"] + inFlight["a1"]; step%50 == 49 { // means of 0.5 s: single requests are random
			if step >= 1000 {
				lowest, highest = min(lowest, float64(sum)/50), max(highest, float64(sum)/50)
			}
			sum = 0
		}
		clock.Advance(10 * time.Millisecond)
	}
	return lowest, highest
}

// Guards against refusals that count as failures, or that do not send requests elsewhere.
func TestRefusalsRaiseTheLoad(t *testing.T) {
	table, clock := newTable("a")
	members := servers(clock, "a", 2)
	finish(table, "a0", 20, full)
	if got := share(table, members, func(m shunt.Member) bool { return m.Control == "a0" }); got > 0 {
		t.Errorf("share %.3f of a server that refused, want 0", got)
	}
	if e := table.Entries()[0]; e.Failures != 0 || !e.EjectedUntil.IsZero() {
		t.Errorf("refusals count as failures: %+v", e)
	}
	clock.Advance(30 * time.Second)
	if got := share(table, members, func(m shunt.Member) bool { return m.Control == "a0" }); got < 0.3 {
		t.Errorf("share %.3f long after the refusals, want about 0.5", got)
	}
}
