package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/state"
)

// withCluster runs a test on nodes that have joined and serve.
func withCluster(t *testing.T, test func(c *testCluster), domains ...string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, memlog.Limits{}, domains...)
		defer c.stop()
		c.waitUntil(time.Minute, "join", func(h *Hub) bool { return h.table.Len() == len(c.nodes) && servesFrom(0)(h) })
		time.Sleep(FetchMaxWait) // until roles are stable
		test(c)
	})
}

// Guards against nodes that fall behind, and against an InForce that counts too many or too few nodes or needs a
// message from every node to a reader.
func TestPropagation(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		for range 5 {
			offset := c.publish()
			if took := c.waitUntil(time.Second, "spread", servesFrom(offset)); took > time.Second {
				t.Errorf("offset %d took %s", offset, took)
			}
			time.Sleep(2 * confirmDelay)
		}
		last := c.publish()
		time.Sleep(2 * confirmDelay)
		h := c.nodes["c0"].hub
		for _, d := range h.OffsetStatus(c.t.Context(), last) {
			if want := map[string]int{"a": 30, "b": 3, "c": 1}[d.Domain]; d.InForce != want || len(d.Missing) > 0 {
				t.Errorf("%+v: want %d nodes in force", d, want)
			}
		}
		c.takeCallCount("")
		c.publish()
		time.Sleep(FetchMaxWait)
		// The 6 relay nodes of domain a report for their children; leaves confirm with their next poll. The limit of
		// 10 leaves room for relay nodes that report again for children slower than confirmDelay.
		if got := c.takeCallCount("Relay.Report"); got > 10 {
			t.Errorf("%d reports for one change over 34 nodes", got)
		}
		leaf := c.anyLeaf("a")
		c.partition(leaf)
		last = c.publish()
		time.Sleep(2 * confirmDelay)
		for _, d := range h.OffsetStatus(c.t.Context(), last) {
			if d.Domain == "a" && (d.InForce != 29 || !slices.Equal(d.Missing, []string{leaf})) {
				t.Errorf("%+v: want only %s missing", d, leaf)
			}
		}
		c.partition("b0", "b1", "b2")
		for _, d := range h.OffsetStatus(c.t.Context(), last) {
			if d.Domain == "b" && d.Unknown != 3 {
				t.Errorf("%+v: want 3 unknown nodes", d)
			}
		}
	}, "a:30", "b:3", "c:1")
}

// maxJoinTime is the time within which nodes that start together must list one another: joinTimeout (5 s) plus 1 s for
// one more poll. Starts take up to 5.05 s. The limit is exceeded if former readers do not report their members (8.9 s),
// or if members of a node's own failure domain are not fetched from other ones (9.55 s).
const maxJoinTime = 6 * time.Second

// Guards against nodes that start together and list one another only in part for longer than maxJoinTime.
func TestJoin(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, memlog.Limits{}, "a:24", "b:4")
			defer c.stop()
			c.mu.Lock()
			c.maxDelay = 400 * time.Millisecond // nodes discover one another in different orders
			c.mu.Unlock()
			for _, a := range c.addresses {
				c.crash(c.nodes[a])
				c.start(c.nodes[a])
			}
			c.waitUntil(maxJoinTime, "join", func(h *Hub) bool { return h.table.Len() == 28 && servesFrom(0)(h) })
		})
	}
}

// Guards against children that keep a parent which answers probes but no long polls.
func TestUnresponsiveParent(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		parent := c.nodes[c.anyLeaf("a")].hub.Status().Parent
		c.mu.Lock()
		c.unresponsive = parent
		c.mu.Unlock()
		time.Sleep(FetchMaxWait) // earlier polls have ended
		last := c.publish()
		c.waitUntil(conf.MaxPropagationTime, "spread", servesFrom(last))
	}, "a:30")
}

// Guards against a node that applies a record of a newer schema, or that does not report why it stopped.
func TestNewerSchema(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		last := c.publish()
		c.append(state.Record{Schema: state.Schema + 1, Kind: state.KindPublish, ID: "x"})
		c.publish()
		time.Sleep(time.Minute)
		for a, h := range c.liveHubs() {
			s, err := h.Serving()
			if err != nil || s.Offset() != last {
				t.Errorf("%s does not serve from offset %d: %v", a, last, err)
			}
			if st := h.Status(); st.Stale < 30*time.Second || (st.Role == RoleReader && st.Blocked == "") {
				t.Errorf("%s does not report that it is stopped: %+v", a, st)
			}
		}
	}, "a:5")
}

// Guards against a node whose configuration differs permanently from the others' at the same offset.
func TestDivergence(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		last := c.publish()
		c.waitUntil(time.Second, "spread", servesFrom(last))
		want := c.nodes["b0"].hub.Current().Hash()
		for _, role := range []Role{RoleReader, RoleLeaf} {
			for a, h := range c.liveHubs() {
				if h.Status().Role != role || a[0] != 'a' {
					continue
				}
				s := &state.State{}
				for s.Offset() < last {
					s, _, _ = s.Apply(s.Offset()+1, []byte("damaged"))
				}
				h.mu.Lock()
				h.current.Store(s)
				h.recent.reset(s)
				h.mu.Unlock()
				break
			}
			time.Sleep(2 * LinkMaxWait)
			for a, h := range c.liveHubs() {
				if h.Current().Hash() != want {
					t.Errorf("%s still differs after the configuration of a %s was damaged: %+v", a, role, h.Status())
				}
			}
		}
	}, "a:8", "b:2")
}

// Guards against nodes that cannot recover after the log was truncated. A snapshot in the log, else that of a
// peer, must restore them, and snapshots must be written automatically.
func TestLogTruncation(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		for c.publish() < snapshotInterval {
			if c.published%100 == 0 {
				time.Sleep(time.Second) // stays below the append rate limit
			}
		}
		time.Sleep(time.Minute)
		s, err := c.nodes["a0"].hub.loggedSnapshot(c.t.Context())
		if err != nil || s.Offset() < snapshotInterval {
			t.Fatalf("no snapshot written: %v", err)
		}
		last := c.publish()
		c.log.Truncate(shunt.StreamConfig, s.Offset()+1)
		for _, n := range c.nodes {
			c.crash(n)
		}
		for _, a := range c.addresses {
			c.start(c.nodes[a])
		}
		c.waitUntil(time.Minute, "recovery from the log", servesFrom(last))
		c.log.Truncate(shunt.StreamSnapshots, 1<<30)
		c.log.Truncate(shunt.StreamConfig, last+1)
		for _, a := range c.addresses[:3] {
			c.crash(c.nodes[a])
			c.start(c.nodes[a])
		}
		c.waitUntil(time.Minute, "recovery from peers", servesFrom(last))
	}, "a:3", "b:1")
}

// Guards against facts that need the log or stay in one failure domain, and against a move that is halted on
// all nodes by the stop of a single failure domain.
func TestFacts(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		c.setFaults(memlog.Faults{Down: true})
		time.Sleep(10 * time.Second)
		halted := func(move string) (nodes int) {
			for _, h := range c.liveHubs() {
				if h.Halted(move, 7) {
					nodes++
				}
			}
			return nodes
		}
		add := func(node, kind, move string) {
			n := c.nodes[node]
			n.hub.Add(shunt.Fact{Kind: kind, Move: move, Version: 7, Node: node, Domain: n.domain})
			time.Sleep(time.Second)
		}
		for _, s := range []struct {
			node, kind, move string
			want             int
		}{
			{"a6", shunt.FactHalt, "halted", 14},
			{"a5", shunt.FactStop, "stopped", 1},
			{"a4", shunt.FactStop, "stopped", 2},
			{"b3", shunt.FactStop, "stopped", 14},
		} {
			if add(s.node, s.kind, s.move); halted(s.move) != s.want {
				t.Errorf(
					"%s by %s: %q is halted on %d nodes instead of %d",
					s.kind,
					s.node,
					s.move,
					halted(s.move),
					s.want,
				)
			}
		}
		c.crash(c.nodes["a3"])
		c.setFaults(memlog.Faults{})
		c.start(c.nodes["a3"])
		c.waitUntil(time.Minute, "serving", servesFrom(0))
		if halted("halted") != 14 {
			t.Error("a restarted node serves before it has received the halt")
		}
	}, "a:8", "b:6")
}

// Guards against publishers that wait forever or get a result for a record that does not exist.
func TestWatch(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		h := c.nodes["a3"].hub
		type result struct {
			outcome state.Outcome
			err     error
		}
		done := make(chan result)
		go func() {
			o, err := h.WaitForOutcome(c.t.Context(), "s1")
			done <- result{o, err}
		}()
		offset := c.publish()
		if r := <-done; r.err != nil || r.outcome.Verdict != state.VerdictApplied || r.outcome.Offset != offset {
			t.Errorf("%+v", r)
		}
		if err := h.WaitForOffset(c.t.Context(), offset); err != nil {
			t.Error(err)
		}
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		if err := h.WaitForOffset(ctx, offset+1); err == nil {
			t.Error("no error for a record that was never written")
		}
	}, "a:4")
}

// Guards against nodes that cannot join through the log when no configured seed answers.
func TestLoggedSeeds(t *testing.T) {
	withCluster(t, func(c *testCluster) {
		time.Sleep(time.Minute) // until seeds are written
		c.seeds = []string{"nobody"}
		n := &testNode{address: "c0", domain: "c"}
		c.mu.Lock()
		c.nodes["c0"] = n
		c.mu.Unlock()
		c.start(n)
		c.waitUntil(time.Minute, "join", func(h *Hub) bool { return h.table.Len() == 4 })
	}, "a:2", "b:1")
}

// Guards against an offset that decreases or a configuration that differs, in whatever order records and
// snapshots arrive.
func TestOffsetMonotonic(t *testing.T) {
	c := &testCluster{t: t, log: memlog.New(nil, memlog.Limits{AppendRate: 1e9})}
	states := []*state.State{{}}
	const last = 8
	for range last {
		c.publish()
	}
	b, err := c.log.Read(t.Context(), shunt.StreamConfig, 1, last, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range b.Entries {
		current, _, err := states[len(states)-1].Apply(e.Offset, e.Data)
		if err != nil {
			t.Fatal(err)
		}
		states = append(states, current)
	}
	rapid.Check(t, func(t *rapid.T) {
		h, offset := newTestHub("h"), shunt.Offset(0)
		for range 20 {
			from, to := rapid.IntRange(0, last).Draw(t, "from"), rapid.IntRange(0, last).Draw(t, "to")
			if to < from || rapid.Bool().Draw(t, "snapshot") {
				_ = h.install(states[from], "test")
			} else {
				_ = h.apply(b.Entries[from:to])
			}
			current := h.Current()
			if current.Offset() < offset || current.Hash() != states[current.Offset()].Hash() {
				t.Fatalf("offset %d after %d", current.Offset(), offset)
			}
			offset = current.Offset()
			if hash, ok := h.recent.hashAt(offset); !ok || hash != current.Hash() {
				t.Fatalf("hash of offset %d is not retained", offset)
			}
		}
	})
}

// BenchmarkPropagation measures one record at a node with one child: applying it, the reply, and applying it at the
// child.
func BenchmarkPropagation(b *testing.B) {
	parent, child := newTestHub("p"), newTestHub("c")
	c := &testCluster{log: memlog.New(nil, memlog.Limits{AppendRate: 1e9})}
	for b.Loop() {
		c.publish()
		batch, err := c.log.Read(b.Context(), shunt.StreamConfig, shunt.Offset(c.published), 1, 0)
		if err != nil {
			b.Fatal(err)
		}
		if err := parent.apply(batch.Entries); err != nil {
			b.Fatal(err)
		}
		var reply FetchReply
		args := FetchArgs{From: "c", Domain: "d", Offset: child.Current().Offset()}
		if err := parent.Service().Fetch(args, &reply); err != nil {
			b.Fatal(err)
		}
		if err := child.apply(reply.Records); err != nil {
			b.Fatal(fmt.Errorf("child: %w", err))
		}
	}
}

func newTestHub(control string) *Hub {
	clock := clockwork.NewRealClock()
	return New(Options{Table: member.New(shunt.Member{Control: control, Domain: "d"}, clock), Clock: clock})
}
