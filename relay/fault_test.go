package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/mlog"
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
		Nodes uint64 // bit set that selects nodes
		Wait  time.Duration
	}

	// oracle checks what must hold at every moment.
	oracle struct {
		m      *mesh
		hashes map[shunt.Offset]state.Hash
		faults []string
		gaps   int // decreases that the documented gap of the floor rule allows
	}
)

var scripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Op:    rapid.IntRange(0, opCount-1).Draw(t, "op"),
		Nodes: rapid.Uint64().Draw(t, "nodes"),
		Wait:  time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond,
	}
}), 5, 40)

// Guards against a configuration that goes back, differs between nodes at one offset, or stays behind for
// good, under loss, repetition, reordering, crashes, partitions, log outages and truncation.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := scripts.Draw(rt, "script")
		seed := rapid.Uint64().Draw(rt, "seed")
		var o *oracle
		synctest.Test(t, func(t *testing.T) { o = runScript(t, seed, script) })
		for _, f := range o.faults {
			rt.Error(f)
		}
	})
}

func runScript(t *testing.T, seed uint64, script []step) *oracle {
	m := newMesh(t, seed, mlog.Limits{}, "a:5", "b:3", "c:1")
	defer m.stop()
	o := &oracle{m: m, hashes: make(map[shunt.Offset]state.Hash)}
	o.watch(10 * time.Second)
	for _, s := range script {
		m.do(s)
		o.watch(s.Wait)
	}
	m.recover()
	last := m.publish()
	o.watch(time.Minute)
	for a, h := range m.live() {
		if !at(last)(h) {
			o.fault("%s has not converged to %d: %+v", a, last, h.Status())
		}
		for d, want := range m.nodes["a0"].hub.table.Digests() {
			if h.table.Digest(d) != want {
				o.fault(
					"%s has other members of %q than a0: %s, not %s",
					a,
					d,
					h.members(d),
					m.nodes["a0"].hub.members(d),
				)
			}
		}
	}
	return o
}

// do performs one operation of a script.
func (m *mesh) do(s step) {
	faults := m.faults
	switch s.Op {
	case opPublish:
		m.publish()
	case opCrash:
		for _, n := range m.selected(s.Nodes & (s.Nodes >> 20)) {
			m.crash(n)
		}
	case opRestart:
		for _, n := range m.selected(s.Nodes) {
			m.crash(n)
			m.start(n)
		}
	case opPartition, opHeal:
		m.partition()
		if s.Op == opPartition {
			m.partition(addresses(m.selected(s.Nodes))...)
		}
	case opLogDown, opLogUp:
		faults.Down = s.Op == opLogDown
		m.setFaults(faults)
	case opTruncate:
		m.truncate()
	case opLoss:
		m.mu.Lock()
		m.loss, m.delay = float64(s.Nodes%4)/10, time.Duration(s.Nodes%700)*time.Millisecond
		m.mu.Unlock()
	}
}

// truncate drops all records of which the newest live node has a snapshot in the log.
func (m *mesh) truncate() {
	var best *Hub
	for _, h := range m.live() {
		if best == nil || h.Current().Offset() > best.Current().Offset() {
			best = h
		}
	}
	if best == nil || best.appendSnapshot(context.Background(), best.Current()) != nil {
		return
	}
	m.log.Truncate(shunt.StreamConfig, best.Current().Offset()+1)
}

// recover ends all faults and starts all nodes.
func (m *mesh) recover() {
	m.do(step{Op: opHeal})
	m.do(step{Op: opLogUp})
	m.do(step{Op: opLoss})
	for _, n := range m.nodes {
		if n.hub == nil {
			m.start(n)
		}
	}
}

// watch lets time pass and checks the invariants meanwhile.
func (o *oracle) watch(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		time.Sleep(every)
		for a, h := range o.m.live() {
			o.check(o.m.nodes[a], h)
		}
	}
}

func (o *oracle) check(n *meshNode, h *Hub) {
	cur := h.Current()
	if want, ok := o.hashes[cur.Offset()]; ok && want != cur.Hash() {
		o.fault("%s has hash %s at offset %d, another node had %s", n.address, cur.Hash(), cur.Offset(), want)
	}
	o.hashes[cur.Offset()] = cur.Hash()
	s, err := h.Serving()
	if err != nil {
		return
	}
	if s.Offset() < n.served {
		if holder := o.holder(n); holder != "" {
			o.fault("%s serves from offset %d after %d, which %s knew: %+v",
				n.address, s.Offset(), n.served, holder, h.Status())
		}
		o.gaps++
	}
	n.served = s.Offset()
}

// holder returns a reachable node that holds the highest offset served from an address, or delivered it.
func (o *oracle) holder(n *meshNode) string {
	for a, h := range o.m.live() {
		if a == n.address || o.m.apart[a] != o.m.apart[n.address] {
			continue
		}
		h.mu.Lock()
		delivered := h.delivered[n.address]
		h.mu.Unlock()
		if delivered >= n.served || h.Current().Offset() >= n.served {
			return a
		}
	}
	return ""
}

func (o *oracle) fault(format string, args ...any) {
	if len(o.faults) < 10 {
		o.faults = append(o.faults, fmt.Sprintf(format, args...))
	}
}

func (m *mesh) selected(bits uint64) []*meshNode {
	var list []*meshNode
	for i, a := range m.addresses {
		if bits>>i&1 == 1 {
			list = append(list, m.nodes[a])
		}
	}
	return list
}

func addresses(nodes []*meshNode) (list []string) {
	for _, n := range nodes {
		list = append(list, n.address)
	}
	return list
}

func (m *mesh) setFaults(f mlog.Faults) {
	m.faults = f
	m.log.SetFaults(f)
}
