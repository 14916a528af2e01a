package member

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// network connects detectors in memory on one fake clock. Calls either succeed at once or fail at once.
type network struct {
	t     *testing.T
	clock *clockwork.FakeClock
	mu    sync.Mutex
	nodes map[string]*detectorNode
	cut   map[[2]string]bool // directed pairs
	down  map[string]bool
	skew  time.Duration // of n0's peers
}

type detectorNode struct {
	table    *Table
	detector *Detector
	probe    *Probe
}

type networkEnd struct {
	*network
	from string
}

func newNetwork(t *testing.T, perDomain int, domains ...string) *network {
	n := &network{
		t: t, clock: clockwork.NewFakeClockAt(epoch), nodes: make(map[string]*detectorNode),
		cut: make(map[[2]string]bool), down: make(map[string]bool),
	}
	var ms []shunt.Member
	for _, d := range domains {
		for i := range perDomain {
			ms = append(ms, server(fmt.Sprint(d, i), d, "s", "v"))
		}
	}
	for i, m := range ms {
		table := New(m, n.clock)
		table.Merge(ms...)
		end := networkEnd{network: n, from: m.Control}
		n.nodes[m.Control] = &detectorNode{
			table: table, probe: NewProbe(table, end, n.clock), detector: NewDetector(table, end, n.clock, uint64(i)),
		}
	}
	return n
}

// run runs rounds of all nodes, one second apart. After each, nodes take over the entries of those that they
// hold for alive, as a child does its parent's.
func (n *network) run(rounds int) {
	for range rounds {
		n.clock.Advance(ProbeInterval)
		for c, node := range n.nodes {
			if !n.down[c] {
				node.detector.Tick(n.t.Context())
			}
		}
		for a, x := range n.nodes {
			for b, y := range n.nodes {
				from, _ := y.table.Lookup(a)
				if a != b && !n.down[b] && !n.blocked(b, a) && from.Status != shunt.StatusDead {
					y.table.Merge(x.table.Since(Query{}).Members...)
				}
			}
		}
	}
}

// statuses returns how many nodes that run hold a member in a status.
func (n *network) statuses(control string, s shunt.Status) int {
	count := 0
	for c, node := range n.nodes {
		if m, _ := node.table.Lookup(control); !n.down[c] && m.Status == s {
			count++
		}
	}
	return count
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.down[to]
}

func (e networkEnd) Ping(_ context.Context, to string, args PingArgs) (PingReply, error) {
	var reply PingReply
	if e.blocked(e.from, to) {
		return reply, errors.New("no answer")
	}
	err := e.nodes[to].probe.Ping(args, &reply)
	reply.Time = reply.Time.Add(e.skew)
	return reply, err
}

func (e networkEnd) Indirect(_ context.Context, via string, args IndirectArgs) (IndirectReply, error) {
	var reply IndirectReply
	if e.blocked(e.from, via) {
		return reply, errors.New("no answer")
	}
	return reply, e.nodes[via].probe.Indirect(args, &reply)
}

// Guards against dead members that stay in use, and against live ones that are taken out.
func TestDeath(t *testing.T) {
	n := newNetwork(t, 8, "a")
	n.down["a3"] = true
	n.run(8 + int(SuspicionTime/ProbeInterval))
	if got := n.statuses("a3", shunt.StatusDead); got != 7 {
		t.Errorf("%d of 7 nodes hold the crashed member for dead", got)
	}
	for c := range n.nodes {
		if c != "a3" && n.statuses(c, shunt.StatusAlive) != 7 {
			t.Errorf("%s is not alive for all", c)
		}
	}
	n.down["a3"] = false
	n.run(2 * reviveEvery)
	if got := n.statuses("a3", shunt.StatusAlive); got != 8 {
		t.Errorf("%d of 8 nodes hold the member for alive that answers again", got)
	}
}

// Guards against halves of a failure domain that hold each other for dead for good after a partition.
func TestHalves(t *testing.T) {
	n := newNetwork(t, 6, "a")
	for a := range n.nodes {
		for b := range n.nodes {
			n.cut[[2]string{a, b}] = (a < "a3") != (b < "a3")
		}
	}
	n.run(20)
	if got := n.statuses("a5", shunt.StatusDead); got != 3 {
		t.Fatalf("%d of 3 nodes of the other half hold a5 for dead", got)
	}
	clear(n.cut)
	n.run(10 * reviveEvery)
	for c := range n.nodes {
		if got := n.statuses(c, shunt.StatusAlive); got != 6 {
			t.Errorf("%d of 6 nodes hold %s for alive after the partition", got, c)
		}
	}
}

// Guards against a death sentence on a member whose direct path alone is cut: indirect probes reach it.
func TestIndirect(t *testing.T) {
	n := newNetwork(t, 5, "a")
	n.cut[[2]string{"a0", "a1"}] = true
	for range 20 {
		n.run(1)
		if got := n.statuses("a1", shunt.StatusAlive); got != 5 {
			t.Fatalf("%d of 5 nodes hold the member for alive", got)
		}
	}
}

// Guards against a suspicion that ends in death although the member lives and hears of it.
func TestRefute(t *testing.T) {
	n := newNetwork(t, 4, "a")
	m, _ := n.nodes["a0"].table.Lookup("a2")
	n.nodes["a0"].table.Judge(m, shunt.StatusSuspect)
	n.nodes["a0"].detector.suspected["a2"] = suspicion{member: m, since: n.clock.Now(), witnessed: true}
	n.run(10)
	got, _ := n.nodes["a0"].table.Lookup("a2")
	if got.Status != shunt.StatusAlive || got.Sequence == m.Sequence {
		t.Errorf("suspicion was not refuted: %+v", got)
	}
}

// Guards against accusations by a node that did not run for a while: all its deadlines have passed, but the
// members had no chance.
func TestPause(t *testing.T) {
	n := newNetwork(t, 6, "a", "b")
	n.run(2)
	slow := n.nodes["a0"]
	m, _ := slow.table.Lookup("a1")
	slow.detector.suspect(m, true)
	before := slow.table.Self()
	n.clock.Advance(time.Minute) // only a0 was paused: no other node misses a round here
	slow.detector.Tick(t.Context())
	for c := range n.nodes {
		if got, _ := slow.table.Lookup(c); got.Status == shunt.StatusDead {
			t.Errorf("%s is dead for the paused node", c)
		}
	}
	if slow.detector.Pauses() != 1 || len(slow.detector.Events()) != 0 {
		t.Errorf("%d pauses, events %+v", slow.detector.Pauses(), slow.detector.Events())
	}
	if slow.table.Self().Sequence == before.Sequence {
		t.Error("the paused node does not announce itself again")
	}
}

// Guards against 477 events for one cause: a failure domain that is lost is one event, and none of its
// members is accused.
func TestDomainLost(t *testing.T) {
	n := newNetwork(t, 6, "a", "b", "c")
	n.run(2)
	for c := range n.nodes {
		n.down[c] = c[0] == 'b'
	}
	n.run(10)
	for c, node := range n.nodes {
		events := node.detector.Events()
		switch reader := node.detector.isReader(c[:1]); {
		case c[0] == 'b':
		case !reader && len(events) != 0:
			t.Errorf("%s is no reader and has events %+v", c, events)
		case reader && (len(events) != 1 || events[0].Domain != "b" || !events[0].Unreachable):
			t.Errorf("%s has events %+v instead of the loss of b", c, events)
		}
	}
	if n.statuses("b0", shunt.StatusAlive) != 12 {
		t.Error("a member of the lost failure domain is accused")
	}
	clear(n.down)
	n.run(3)
	for c, node := range n.nodes {
		events := node.detector.Events()
		if node.detector.isReader(c[:1]) && c[0] != 'b' && (len(events) != 2 || events[1].Unreachable) {
			t.Errorf("%s has events %+v after the return of b", c, events)
		}
	}
}

// Guards against nodes that know one another only in part and never notice: a difference that lasts is told,
// one that is gone at the next probe is not.
func TestDiffering(t *testing.T) {
	for _, extra := range []bool{false, true} {
		n := newNetwork(t, 5, "a")
		n.down["a9"] = true
		node := n.nodes["a0"]
		if extra {
			node.table.Merge(server("a9", "a", "s", "v"))
		}
		for range 4 {
			n.clock.Advance(ProbeInterval)
			node.detector.Tick(t.Context())
		}
		select {
		case control := <-node.table.Differing():
			if !extra {
				t.Errorf("%s differs although it has the same entries", control)
			}
		default:
			if extra {
				t.Error("a lasting difference is not told")
			}
		}
	}
}

// Guards against a clock difference that a single wrong clock decides.
func TestClockDifference(t *testing.T) {
	n := newNetwork(t, 4, "a")
	n.skew = 3 * time.Second
	n.run(10)
	n.skew = time.Hour
	n.run(2)
	got, samples := n.nodes["a0"].detector.ClockDifference()
	if got != 3*time.Second || samples != 12 {
		t.Errorf("difference %s of %d samples", got, samples)
	}
}
