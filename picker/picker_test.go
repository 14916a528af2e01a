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
	failedSample = shunt.Sample{Failed: true}
	okSample     = shunt.Sample{}
	shedSample   = shunt.Sample{Shed: true}
)

// makeMembers returns members of a failure domain with 10 slots each that have been ready for an hour.
func makeMembers(clock clockwork.Clock, domain string, n int) []shunt.Member {
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

// finishAttempts starts and finishes n attempts at a server with the same sample.
func finishAttempts(table *picker.Table, control string, n int, s shunt.Sample) {
	for range n {
		table.Started(control)
		table.Finished(control, s, nil)
	}
}

// reachableServers returns the servers that successive picks return when each one is skipped afterwards.
func reachableServers(table *picker.Table, members []shunt.Member) []string {
	var skip []string
	for {
		m, ok := table.Pick(members, skip)
		if !ok {
			return skip
		}
		skip = append(skip, m.Control)
	}
}

func isEjected(table *picker.Table, clock clockwork.Clock, control string) bool {
	return slices.ContainsFunc(table.Entries(), func(e picker.Entry) bool {
		return e.Control == control && clock.Now().Before(e.EjectedUntil)
	})
}

// Guards against ejecting a service's last servers, against picks of ejected, tried or unknown servers, and
// against entries that remain after their servers left.
func TestEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, clock := newTable("a")
		members := append(makeMembers(clock, "a", 4), makeMembers(clock, "b", 4)...)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(members)-1).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				m, n := members[pick(t)], rapid.IntRange(1, 6).Draw(t, "times")
				finishAttempts(table, m.Control, n, failedSample)
				if n >= picker.EjectThreshold && !isEjected(table, clock, m.Control) {
					t.Fatalf("%s is not ejected after %d failures", m.Control, n)
				}
			},
			"succeed": func(t *rapid.T) {
				m, before := members[pick(t)], rapid.IntRange(0, 4).Draw(t, "failures before")
				ejectedBefore := isEjected(table, clock, m.Control)
				for _, n := range []int{4, before} {
					finishAttempts(table, m.Control, 1, okSample)
					finishAttempts(table, m.Control, n, failedSample)
				}
				finishAttempts(table, m.Control, 1, okSample)
				if isEjected(table, clock, m.Control) != ejectedBefore {
					t.Fatalf("ejection state of %s changed although successes separated the failures", m.Control)
				}
			},
			"other": func(t *rapid.T) { // shed or ignored
				finishAttempts(
					table,
					members[pick(t)].Control,
					6,
					rapid.SampledFrom([]shunt.Sample{shedSample, {Ignore: true}}).Draw(t, "sample"),
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
				ejectedCount := 0
				for _, m := range members {
					if isEjected(table, clock, m.Control) {
						ejectedCount++
					}
				}
				reached := reachableServers(table, members)
				if want := len(members) - min(ejectedCount, len(members)/2); len(reached) != want {
					t.Fatalf("%d of %d servers reachable with %d ejected", len(reached), len(members), ejectedCount)
				}
				for _, m := range members {
					if !slices.Contains(reached, m.Control) && !isEjected(table, clock, m.Control) {
						t.Fatalf("%s is neither reachable nor ejected", m.Control)
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

// Guards against ejections whose duration does not double, or that outlast a restart of the server.
func TestEjectionDuration(t *testing.T) {
	table, clock := newTable("a")
	members := makeMembers(clock, "a", 2)
	for i := range 10 {
		finishAttempts(table, "a0", picker.EjectThreshold, failedSample)
		want := min(picker.MinEjection<<i, picker.MaxEjection)
		if got := table.Entries()[0].EjectedUntil.Sub(clock.Now()); got != want {
			t.Errorf("ejection %d lasts %v, want %v", i, got, want)
		}
		clock.Advance(want)
	}
	finishAttempts(table, "a0", picker.EjectThreshold, failedSample)
	reachableServers(table, members)
	members[0].Incarnation++
	if got := len(reachableServers(table, members)); got != 2 {
		t.Errorf("%d servers reachable after a restart, want 2", got)
	}
}

// pickShare returns the share of picks that match when every attempt ends at once.
func pickShare(table *picker.Table, members []shunt.Member, match func(shunt.Member) bool) float64 {
	const picks = 10_000
	n := 0
	for range picks {
		m, _ := table.Pick(members, nil)
		if match(m) {
			n++
		}
		finishAttempts(table, m.Control, 1, okSample)
	}
	return float64(n) / picks
}

// Guards against overloading a server or failure domain that has just returned to service.
func TestRamp(t *testing.T) {
	tests := []struct {
		age      time.Duration
		min, max float64 // relative to the full share of one server in five
	}{
		{0, 0.002, 0.02},
		{6 * time.Second, 0.08, 0.12},
		{30 * time.Second, 0.45, 0.6},
		{picker.RampTime, 0.95, 1.05},
	}
	for _, tt := range tests {
		for _, byDomain := range []bool{false, true} {
			table, clock := newTable("c")
			members := append(makeMembers(clock, "a", 4), makeMembers(clock, "b", 1)...)
			for i := range members { // with equal limits only the ramp has an effect
				table.Started(members[i].Control)
				table.Finished(members[i].Control, okSample, &shunt.Load{Limit: 10})
			}
			if byDomain {
				table.SetDomainSince("b", clock.Now().Add(-tt.age))
			} else {
				members[4].ReadySince = clock.Now().Add(-tt.age)
			}
			got := 5 * pickShare(table, members, func(m shunt.Member) bool { return m.Domain == "b" })
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

// Guards against sending requests to remote failure domains unnecessarily, and against keeping requests in a local
// domain that is full.
func TestDomainPreference(t *testing.T) {
	tests := []struct {
		name          string
		local, remote int // requests in flight from other nodes at each server of the domain, with a limit of 10
		min, max      float64
	}{
		{"idle", 0, 0, 1, 1},
		{"below 0.8", 7, 0, 1, 1},
		{"slightly above 0.8", 8, 0, 0.75, 0.9},
		{"0.93 utilized", 9, 0, 0.25, 0.45},
		{"full", 20, 0, 0, 0},
		{"all full", 20, 30, 1, 1},
	}
	for _, tt := range tests {
		table, clock := newTable("a")
		members := append(makeMembers(clock, "a", 3), makeMembers(clock, "b", 3)...)
		for _, m := range members {
			load := shunt.Load{Limit: 10, InFlight: tt.local}
			if m.Domain == "b" {
				load.InFlight = tt.remote
			}
			table.Started(m.Control)
			load.InFlight++
			table.Finished(m.Control, okSample, &load)
		}
		got := pickShare(table, members, func(m shunt.Member) bool { return m.Domain == "a" })
		if got < tt.min || got > tt.max {
			t.Errorf("%s: share %.3f of picks in the local domain, want %v to %v", tt.name, got, tt.min, tt.max)
		}
	}
}

// Guards against load that oscillates between failure domains when the local one cannot take all of it.
func TestSpillDoesNotOscillate(t *testing.T) {
	for _, nodes := range []int{8, 100} {
		lowest, highest := localDomainLoadRange(nodes)
		if lowest < 15 || highest > 22 {
			t.Errorf("%d nodes: %.1f to %.1f requests in the local domain, want about 16 to 20", nodes, lowest, highest)
		}
	}
}

// localDomainLoadRange returns the range of the load on a failure domain with 20 slots whose nodes keep 40 requests
// in flight.
func localDomainLoadRange(nodes int) (lowest, highest float64) {
	const perStep, duration = 4, 10 // in steps of 10 ms
	clock := clockwork.NewFakeClock()
	tables := make([]*picker.Table, nodes)
	for i := range tables {
		tables[i] = picker.New(clock, "a", rand.NewPCG(1, uint64(i)))
	}
	type call struct {
		node    int
		control string
	}
	members := append(makeMembers(clock, "a", 2), makeMembers(clock, "b", 8)...)
	inFlight := make(map[string]int)
	ends := make(map[int][]call)
	sum := 0
	lowest = 100
	for step := range 3000 {
		for _, c := range ends[step] {
			tables[c.node].Finished(c.control, okSample, &shunt.Load{Limit: 10, InFlight: inFlight[c.control]})
			inFlight[c.control]--
		}
		for i := range perStep {
			node := (step*perStep + i) % nodes
			m, _ := tables[node].Pick(members, nil)
			tables[node].Started(m.Control)
			inFlight[m.Control]++
			ends[step+duration] = append(ends[step+duration], call{node, m.Control})
		}
		if sum += inFlight["a0"] + inFlight["a1"]; step%50 == 49 { // 0.5 s averages smooth out randomness
			if step >= 1000 {
				lowest, highest = min(lowest, float64(sum)/50), max(highest, float64(sum)/50)
			}
			sum = 0
		}
		clock.Advance(10 * time.Millisecond)
	}
	return lowest, highest
}

// Guards against shed responses that count as failures, or that do not divert requests to other servers.
func TestShedResponsesRaiseLoad(t *testing.T) {
	table, clock := newTable("a")
	members := makeMembers(clock, "a", 2)
	finishAttempts(table, "a0", 20, shedSample)
	if got := pickShare(table, members, func(m shunt.Member) bool { return m.Control == "a0" }); got > 0 {
		t.Errorf("share %.3f of a server that shed requests, want 0", got)
	}
	if e := table.Entries()[0]; e.Failures != 0 || !e.EjectedUntil.IsZero() {
		t.Errorf("shed responses count as failures: %+v", e)
	}
	clock.Advance(30 * time.Second)
	if got := pickShare(table, members, func(m shunt.Member) bool { return m.Control == "a0" }); got < 0.3 {
		t.Errorf("share %.3f long after the shed responses, want about 0.5", got)
	}
}
