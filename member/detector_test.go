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

// testNetwork connects detectors in memory on one fake clock. Calls either succeed at once or fail at once.
type testNetwork struct {
	t            *testing.T
	clock        *clockwork.FakeClock
	mu           sync.Mutex
	nodes        map[string]*testNode
	blockedPaths map[[2]string]bool // directed pairs
	down         map[string]bool
	skew         time.Duration // of the clocks that answer probes
}

type testNode struct {
	table    *Table
	detector *Detector
	probe    *Probe
}

type testTransport struct {
	*testNetwork
	from string
}

func newTestNetwork(t *testing.T, perDomain int, domains ...string) *testNetwork {
	n := &testNetwork{
		t: t, clock: clockwork.NewFakeClockAt(epoch), nodes: make(map[string]*testNode),
		blockedPaths: make(map[[2]string]bool), down: make(map[string]bool),
	}
	var ms []shunt.Member
	for _, d := range domains {
		for i := range perDomain {
			ms = append(ms, newMember(fmt.Sprint(d, i), d, "s", "v"))
		}
	}
	for i, m := range ms {
		table := New(m, n.clock)
		table.Merge(ms...)
		transport := testTransport{testNetwork: n, from: m.Control}
		n.nodes[m.Control] = &testNode{
			table:    table,
			probe:    NewProbe(table, transport, n.clock),
			detector: NewDetector(table, transport, n.clock, uint64(i)),
		}
	}
	return n
}

// run runs rounds of all nodes, one second apart. After each, nodes merge the entries of the nodes that they do not
// list as dead, as a child merges its parent's.
func (n *testNetwork) run(rounds int) {
	for range rounds {
		n.clock.Advance(ProbeInterval)
		for c, node := range n.nodes {
			if !n.down[c] {
				node.detector.RunRound(n.t.Context())
			}
		}
		for a, x := range n.nodes {
			for b, y := range n.nodes {
				from, _ := y.table.Lookup(a)
				if a != b && !n.down[b] && !n.isBlocked(b, a) && from.Status != shunt.StatusDead {
					y.table.Merge(x.table.ChangesSince(Query{}).Members...)
				}
			}
		}
	}
}

// countStatus returns how many running nodes list a member with a status.
func (n *testNetwork) countStatus(control string, s shunt.Status) int {
	count := 0
	for c, node := range n.nodes {
		if m, _ := node.table.Lookup(control); !n.down[c] && m.Status == s {
			count++
		}
	}
	return count
}

func (n *testNetwork) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedPaths[[2]string{from, to}] || n.down[to]
}

func (t testTransport) Ping(_ context.Context, to string, args PingArgs) (PingReply, error) {
	var reply PingReply
	if t.isBlocked(t.from, to) {
		return reply, errors.New("no answer")
	}
	err := t.nodes[to].probe.Ping(args, &reply)
	reply.Time = reply.Time.Add(t.skew)
	return reply, err
}

func (t testTransport) Indirect(_ context.Context, helper string, args IndirectArgs) (IndirectReply, error) {
	var reply IndirectReply
	if t.isBlocked(t.from, helper) {
		return reply, errors.New("no answer")
	}
	return reply, t.nodes[helper].probe.Indirect(args, &reply)
}

// Guards against dead members that stay in use, and against live ones that are removed.
func TestFailureDetection(t *testing.T) {
	n := newTestNetwork(t, 8, "a")
	n.down["a3"] = true
	n.run(8 + int(SuspicionTimeout/ProbeInterval))
	if got := n.countStatus("a3", shunt.StatusDead); got != 7 {
		t.Errorf("%d of 7 nodes list the crashed member as dead", got)
	}
	for c := range n.nodes {
		if c != "a3" && n.countStatus(c, shunt.StatusAlive) != 7 {
			t.Errorf("%s is not alive for all", c)
		}
	}
	n.down["a3"] = false
	n.run(2 * roundsPerDeadProbe)
	if got := n.countStatus("a3", shunt.StatusAlive); got != 8 {
		t.Errorf("%d of 8 nodes list the member that answers again as alive", got)
	}
}

// Guards against halves of a failure domain that list each other as dead permanently after a partition.
func TestPartitionHealing(t *testing.T) {
	n := newTestNetwork(t, 6, "a")
	for a := range n.nodes {
		for b := range n.nodes {
			n.blockedPaths[[2]string{a, b}] = (a < "a3") != (b < "a3")
		}
	}
	n.run(20)
	if got := n.countStatus("a5", shunt.StatusDead); got != 3 {
		t.Fatalf("%d of 3 nodes of the other half list a5 as dead", got)
	}
	clear(n.blockedPaths)
	n.run(10 * roundsPerDeadProbe)
	for c := range n.nodes {
		if got := n.countStatus(c, shunt.StatusAlive); got != 6 {
			t.Errorf("%d of 6 nodes list %s as alive after the partition", got, c)
		}
	}
}

// Guards against declaring a member dead when only its direct path is blocked and indirect probes reach it.
func TestIndirectProbe(t *testing.T) {
	n := newTestNetwork(t, 5, "a")
	n.blockedPaths[[2]string{"a0", "a1"}] = true
	for range 20 {
		n.run(1)
		if got := n.countStatus("a1", shunt.StatusAlive); got != 5 {
			t.Fatalf("%d of 5 nodes list the member as alive", got)
		}
	}
}

// Guards against a suspected member that is declared dead although it is alive and receives the suspicion.
func TestSuspicionRefuted(t *testing.T) {
	n := newTestNetwork(t, 4, "a")
	m, _ := n.nodes["a0"].table.Lookup("a2")
	n.nodes["a0"].table.SetDetectedStatus(m, shunt.StatusSuspect)
	n.nodes["a0"].detector.suspicions["a2"] = suspicion{member: m, since: n.clock.Now(), corroborated: true}
	n.run(10)
	got, _ := n.nodes["a0"].table.Lookup("a2")
	if got.Status != shunt.StatusAlive || got.Sequence == m.Sequence {
		t.Errorf("suspicion was not refuted: %+v", got)
	}
}

// Guards against a paused node that declares members dead after it resumes: all its timeouts have passed, but the
// members had no chance to refute the suspicion.
func TestPausedProcess(t *testing.T) {
	n := newTestNetwork(t, 6, "a", "b")
	n.run(2)
	paused := n.nodes["a0"]
	m, _ := paused.table.Lookup("a1")
	paused.detector.suspect(m, true)
	before := paused.table.Self()
	n.clock.Advance(time.Minute) // only a0 counts as paused: no other node runs a round here
	paused.detector.RunRound(t.Context())
	for c := range n.nodes {
		if got, _ := paused.table.Lookup(c); got.Status == shunt.StatusDead {
			t.Errorf("%s is dead for the paused node", c)
		}
	}
	if paused.detector.PauseCount() != 1 || len(paused.detector.DomainEvents()) != 0 {
		t.Errorf("%d pauses, events %+v", paused.detector.PauseCount(), paused.detector.DomainEvents())
	}
	if paused.table.Self().Sequence == before.Sequence {
		t.Error("the paused node did not announce itself again")
	}
}

// Guards against one event per member when a whole failure domain is unreachable: 477 in one of the 44 failure domains
// of a fleet of 21,000 nodes. There must be one event, and none of its members may be suspected.
func TestDomainUnreachable(t *testing.T) {
	n := newTestNetwork(t, 6, "a", "b", "c")
	n.run(2)
	for c := range n.nodes {
		n.down[c] = c[0] == 'b'
	}
	n.run(10)
	for c, node := range n.nodes {
		events := node.detector.DomainEvents()
		switch reader := node.detector.isReader(c[:1]); {
		case c[0] == 'b':
		case !reader && len(events) != 0:
			t.Errorf("%s is not a reader but has events %+v", c, events)
		case reader && (len(events) != 1 || events[0].Domain != "b" || !events[0].Unreachable):
			t.Errorf("%s has events %+v instead of one for unreachable domain b", c, events)
		}
	}
	if n.countStatus("b0", shunt.StatusAlive) != 12 {
		t.Error("a member of the unreachable failure domain is not listed as alive")
	}
	clear(n.down)
	n.run(3)
	for c, node := range n.nodes {
		events := node.detector.DomainEvents()
		if node.detector.isReader(c[:1]) && c[0] != 'b' && (len(events) != 2 || events[1].Unreachable) {
			t.Errorf("%s has events %+v after b became reachable again", c, events)
		}
	}
}

// Guards against nodes that list one another only in part and never detect it: a mismatch that lasts for
// DigestMismatchLimit is reported; equal tables are not.
func TestMismatchReported(t *testing.T) {
	for _, extra := range []bool{false, true} {
		n := newTestNetwork(t, 5, "a")
		n.down["a9"] = true
		node := n.nodes["a0"]
		if extra {
			node.table.Merge(newMember("a9", "a", "s", "v"))
		}
		for range 4 {
			n.clock.Advance(ProbeInterval)
			node.detector.RunRound(t.Context())
		}
		select {
		case control := <-node.table.Mismatched():
			if !extra {
				t.Errorf("%s differs although it has the same entries", control)
			}
		default:
			if extra {
				t.Error("a lasting mismatch is not reported")
			}
		}
	}
}

// Guards against a few outliers that change the reported clock difference: 2 of 12 samples are off by an hour, and the
// median must not change.
func TestClockDifference(t *testing.T) {
	n := newTestNetwork(t, 4, "a")
	n.skew = 3 * time.Second
	n.run(10)
	n.skew = time.Hour
	n.run(2)
	got, samples := n.nodes["a0"].detector.ClockDifference()
	if got != 3*time.Second || samples != 12 {
		t.Errorf("difference %s of %d samples", got, samples)
	}
}
