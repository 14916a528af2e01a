package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newMember(control, domain, service, version string) shunt.Member {
	return shunt.Member{
		Control: control, Domain: domain, Region: "r", Incarnation: 1, Service: service, Version: version, Ready: true,
	}
}

func newTable(ms ...shunt.Member) (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(epoch)
	t := New(shunt.Member{Control: "self", Domain: "a", Region: "r", Incarnation: 1}, clock)
	t.Merge(ms...)
	return t, clock
}

// Guards against tables that do not converge: entries must merge to the same result in any order, repeated or not,
// and whether they arrive as entries or as deltas of another table.
func TestMergeOrder(t *testing.T) {
	entry := rapid.Custom(func(t *rapid.T) shunt.Member {
		m := newMember(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "control"), "b", "s", "v")
		m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
		m.Sequence = rapid.Uint64Range(0, 2).Draw(t, "sequence")
		m.Status = shunt.Status(rapid.IntRange(0, 3).Draw(t, "status"))
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(entry).Draw(t, "entries")
		first, _ := newTable(entries...)
		second, _ := newTable()
		cursor, limit := Cursor{}, rapid.IntRange(1, 3).Draw(t, "limit")
		for _, i := range rapid.Permutation(indexes(len(entries))).Draw(t, "order") {
			second.Merge(entries[i], entries[i])
		}
		third, _ := newTable()
		for more := true; more; {
			d := first.ChangesSince(Query{Cursor: cursor, Limit: limit})
			third.Merge(d.Members...)
			cursor, more = d.Next, d.More
		}
		for _, control := range []string{"x", "y", "z"} {
			want, _ := first.Lookup(control)
			for _, other := range []*Table{second, third} {
				if got, _ := other.Lookup(control); got != want {
					t.Fatalf("%+v instead of %+v", got, want)
				}
			}
		}
		if a, b, c := first.Digest("b"), second.Digest("b"), third.Digest("b"); a != b || a != c {
			t.Fatalf("digests %x, %x and %x of equal entries", a, b, c)
		}
	})
}

// Guards against requests to servers that are not ready, leaving, dead or in a failure domain that is out of
// service, or that are suspected or unreachable while others remain.
func TestServers(t *testing.T) {
	change := func(f func(*shunt.Member)) func(*Table) {
		return func(tab *Table) {
			m := newMember("b1", "b", "s", "v1")
			m.Sequence = 1
			f(&m)
			tab.Merge(m)
		}
	}
	for name, c := range map[string]struct {
		change func(*Table)
		want   string
	}{
		"all":             {func(*Table) {}, "b1 c1"},
		"not ready":       {change(func(m *shunt.Member) { m.Ready = false }), "c1"},
		"suspected":       {change(func(m *shunt.Member) { m.Status = shunt.StatusSuspect }), "c1"},
		"leaving":         {change(func(m *shunt.Member) { m.Status = shunt.StatusLeaving }), "c1"},
		"dead":            {change(func(m *shunt.Member) { m.Status = shunt.StatusDead }), "c1"},
		"new version":     {change(func(m *shunt.Member) { m.Version = "v2" }), "c1"},
		"new service":     {change(func(m *shunt.Member) { m.Service = "u" }), "c1"},
		"out":             {func(tab *Table) { tab.SetOutOfService([]string{"b"}) }, "c1"},
		"all out":         {func(tab *Table) { tab.SetOutOfService([]string{"b", "c"}) }, ""},
		"back in":         {func(tab *Table) { tab.SetOutOfService([]string{"b"}); tab.SetOutOfService(nil) }, "b1 c1"},
		"unreachable":     {func(tab *Table) { tab.SetUnreachable([]string{"c"}) }, "b1"},
		"all unreachable": {func(tab *Table) { tab.SetUnreachable([]string{"b", "c"}) }, "b1 c1"},
	} {
		tab, _ := newTable(
			newMember("b1", "b", "s", "v1"),
			newMember("c1", "c", "s", "v1"),
			newMember("c2", "c", "s", "v0"),
		)
		c.change(tab)
		got := ""
		for _, m := range tab.Servers("s", "v1") {
			got += " " + m.Control
		}
		if got != "" {
			got = got[1:]
		}
		if got != c.want {
			t.Errorf("%s: servers %q instead of %q", name, got, c.want)
		}
	}
}

// Guards against dead members that are added again because a node that was partitioned still had an old entry.
func TestRemovedMemberNotRevived(t *testing.T) {
	old := newMember("b1", "b", "s", "v")
	dead := old
	dead.Status = shunt.StatusDead
	tab, clock := newTable(dead)
	clock.Advance(TombstoneRetention)
	tab.Expire()
	if tab.Len() != 1 {
		t.Fatalf("%d entries after the tombstone expired", tab.Len())
	}
	tab.Merge(old)
	if m, _ := tab.Lookup("b1"); m.Status != shunt.StatusDead || len(tab.Servers("s", "")) != 0 {
		t.Errorf("old entry was accepted again: %+v", m)
	}
	next := old
	next.Incarnation++
	tab.Merge(next)
	if len(tab.Servers("s", "")) != 1 {
		t.Error("new incarnation is not accepted")
	}
}

// Guards against a role whose holders all change when one member leaves, and against children distributed unevenly
// over parents.
func TestHolders(t *testing.T) {
	const n = 400
	var ms []shunt.Member
	for i := range n {
		ms = append(ms, newMember(fmt.Sprint("10.0.0.", i), "b", "s", "v"))
	}
	tab, _ := newTable(ms...)
	before := tab.RoleHolders("relay", "b", 20)
	removed := before[7]
	removed.Status = shunt.StatusDead
	tab.Merge(removed)
	kept := 0
	for _, m := range tab.RoleHolders("relay", "b", 20) {
		for _, old := range before {
			if old.Control == m.Control {
				kept++
			}
		}
	}
	if kept != 19 {
		t.Errorf("%d of 20 holders kept after one left", kept)
	}
	children := make(map[string]int)
	parents := make([]string, 0, 20)
	for _, m := range before {
		parents = append(parents, m.Control)
	}
	for _, m := range ms {
		children[Rank(m.Control, parents)[0]]++
	}
	for p, k := range children {
		if k > 3*n/20 {
			t.Errorf("%s has %d children, the average is %d", p, k, n/20)
		}
	}
}

// BenchmarkMemory measures the memory of a table of 21,000 members in bytes per member.
func BenchmarkMemory(b *testing.B) {
	const n = 21000
	ms := make([]shunt.Member, n)
	for b.Loop() {
		for i := range ms {
			service := fmt.Sprint("service-", i%1200)
			m := newMember(
				fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
				fmt.Sprint("d", i%44),
				service,
				service+"-v1",
			)
			m.Calls = m.Control[:len(m.Control)-1] + "2"
			ms[i] = m
		}
		before := heapBytes()
		tab, _ := newTable()
		for i := 0; i < n; i += 1000 {
			tab.Merge(ms[i:min(i+1000, n)]...)
		}
		b.ReportMetric(float64(heapBytes()-before)/n, "B/member")
		runtime.KeepAlive(tab)
		runtime.KeepAlive(ms)
	}
}

// BenchmarkChange measures merging one changed entry into a table of 21,000 members, index update included.
func BenchmarkChange(b *testing.B) {
	tab, _ := newTable()
	for i := range 21000 {
		tab.Merge(newMember(fmt.Sprint("m", i), fmt.Sprint("d", i%44), fmt.Sprint("s", i%1200), "v"))
	}
	m := newMember("m7", "d7", "s7", "v")
	for b.Loop() {
		m.Sequence++
		tab.Merge(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
