package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/state"
)

const (
	opPublish = iota
	opCrash
	opRestart
	opPartition
	opHeal
	opLogDown
	opLogUp
	opTruncate
	opLoss
	opCount
)

type (
	// step is one step of a fault script: an operation and the time after it.
	step struct {
		Op    int
		Nodes uint64 // bit set that selects nodes; for opLoss, the source of loss rate and delay
		Wait  time.Duration
	}

	// invariantChecker checks the invariants at regular intervals.
	invariantChecker struct {
		cluster     *testCluster
		hashes      map[shunt.Offset]state.Hash
		violations  []string
		regressions int // observed offset decreases, including allowed ones, for which reachableHolder returns ""
	}
)

var scripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Op:    rapid.IntRange(0, opCount-1).Draw(t, "op"),
		Nodes: rapid.Uint64().Draw(t, "nodes"),
		Wait:  time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond,
	}
}), 5, 40)

// Guards against a configuration whose offset decreases, that differs between nodes at the same offset, or that
// never catches up, under loss, duplication, reordering, crashes, partitions, log outages and truncation.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := scripts.Draw(rt, "script")
		seed := rapid.Uint64().Draw(rt, "seed")
		var checker *invariantChecker
		synctest.Test(t, func(t *testing.T) { checker = runScript(t, seed, script) })
		for _, violation := range checker.violations {
			rt.Error(violation)
		}
	})
}

func runScript(t *testing.T, seed uint64, script []step) *invariantChecker {
	c := newCluster(t, seed, memlog.Limits{}, "a:5", "b:3", "c:1")
	defer c.stop()
	checker := &invariantChecker{cluster: c, hashes: make(map[shunt.Offset]state.Hash)}
	checker.run(10 * time.Second)
	for _, s := range script {
		c.apply(s)
		checker.run(s.Wait)
	}
	c.recover()
	last := c.publish()
	checker.run(time.Minute)
	for a, h := range c.liveHubs() {
		if !servesFrom(last)(h) {
			checker.report("%s has not converged to %d: %+v", a, last, h.Status())
		}
		for d, want := range c.nodes["a0"].hub.table.Digests() {
			if h.table.Digest(d) != want {
				checker.report(
					"%s has different members of %q than a0: %s instead of %s",
					a,
					d,
					h.describeMembers(d),
					c.nodes["a0"].hub.describeMembers(d),
				)
			}
		}
	}
	return checker
}

// apply performs one operation of a script.
func (c *testCluster) apply(s step) {
	faults := c.faults
	switch s.Op {
	case opPublish:
		c.publish()
	case opCrash:
		for _, n := range c.selectNodes(s.Nodes & (s.Nodes >> 20)) {
			c.crash(n)
		}
	case opRestart:
		for _, n := range c.selectNodes(s.Nodes) {
			c.crash(n)
			c.start(n)
		}
	case opPartition, opHeal:
		c.partition()
		if s.Op == opPartition {
			c.partition(addresses(c.selectNodes(s.Nodes))...)
		}
	case opLogDown, opLogUp:
		faults.Down = s.Op == opLogDown
		c.setFaults(faults)
	case opTruncate:
		c.truncate()
	case opLoss:
		c.mu.Lock()
		c.lossRate, c.maxDelay = float64(s.Nodes%4)/10, time.Duration(s.Nodes%700)*time.Millisecond
		c.mu.Unlock()
	}
}

// truncate writes a snapshot of the live node with the highest offset to the log and removes the records that it covers.
func (c *testCluster) truncate() {
	var best *Hub
	for _, h := range c.liveHubs() {
		if best == nil || h.Current().Offset() > best.Current().Offset() {
			best = h
		}
	}
	if best == nil || best.appendSnapshot(context.Background(), best.Current()) != nil {
		return
	}
	c.log.Truncate(shunt.StreamConfig, best.Current().Offset()+1)
}

// recover ends all faults and starts all crashed nodes.
func (c *testCluster) recover() {
	c.apply(step{Op: opHeal})
	c.apply(step{Op: opLogUp})
	c.apply(step{Op: opLoss})
	for _, n := range c.nodes {
		if n.hub == nil {
			c.start(n)
		}
	}
}

// run advances the time by d and checks the invariants meanwhile.
func (checker *invariantChecker) run(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		time.Sleep(every)
		for a, h := range checker.cluster.liveHubs() {
			checker.check(checker.cluster.nodes[a], h)
		}
	}
}

func (checker *invariantChecker) check(n *testNode, h *Hub) {
	cur := h.Current()
	if want, ok := checker.hashes[cur.Offset()]; ok && want != cur.Hash() {
		checker.report("%s has hash %s at offset %d, another node had %s", n.address, cur.Hash(), cur.Offset(), want)
	}
	checker.hashes[cur.Offset()] = cur.Hash()
	s, err := h.Serving()
	if err != nil {
		return
	}
	if s.Offset() < n.lastServed {
		if holder := checker.reachableHolder(n); holder != "" {
			checker.report("%s serves from offset %d after %d, which is available from %s: %+v",
				n.address, s.Offset(), n.lastServed, holder, h.Status())
		}
		checker.regressions++
	}
	n.lastServed = s.Offset()
}

// reachableHolder returns a reachable node that has the offset last served by n, or has delivered it to n.
func (checker *invariantChecker) reachableHolder(n *testNode) string {
	for a, h := range checker.cluster.liveHubs() {
		if a == n.address || checker.cluster.partitioned[a] != checker.cluster.partitioned[n.address] {
			continue
		}
		h.mu.Lock()
		delivered := h.delivered[n.address]
		h.mu.Unlock()
		if delivered >= n.lastServed || h.Current().Offset() >= n.lastServed {
			return a
		}
	}
	return ""
}

func (checker *invariantChecker) report(format string, args ...any) {
	if len(checker.violations) < 10 {
		checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
	}
}

func (c *testCluster) selectNodes(bits uint64) []*testNode {
	var list []*testNode
	for i, a := range c.addresses {
		if bits>>i&1 == 1 {
			list = append(list, c.nodes[a])
		}
	}
	return list
}

func addresses(nodes []*testNode) (list []string) {
	for _, n := range nodes {
		list = append(list, n.address)
	}
	return list
}

func (c *testCluster) setFaults(f memlog.Faults) {
	c.faults = f
	c.log.SetFaults(f)
}
