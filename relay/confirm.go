package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagershunt.example/shunt"
)

const (
	// childTime is how long a child that does not poll any more stays in the group.
	childTime = 2*FetchWait + CallGrace
	// confirmDelay is how long a relay waits for its last children before it confirms for the others.
	confirmDelay = time.Second
	// maxGroup bounds the nodes of a group that a child reports.
	maxGroup = 4096
)

type (
	// confirms holds the offsets from which the nodes below this one serve, and what the parent was told of
	// them. A process's offset never decreases, so knowledge from several sources merges by maximum.
	confirms struct {
		mu       sync.Mutex
		children map[string]child
		groups   map[string]*group // by the child that reported it
		told     told
	}

	child struct {
		node   Node
		offset shunt.Offset
		seen   time.Time
	}

	group struct {
		id      uint64
		nodes   []Node
		offsets []shunt.Offset
	}

	// told is what the parent knows.
	told struct {
		group   uint64 // acknowledged by the parent
		parent  string
		digest  uint64    // of the last confirmation sent
		waiting time.Time // since when a confirmation is held back
	}
)

func (c *confirms) init() {
	c.children = make(map[string]child)
	c.groups = make(map[string]*group)
}

// seen records what a child's poll says of it, and reports whether that is new.
func (c *confirms) seen(args FetchArgs, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.children[args.From]
	node := Node{Control: args.From, Incarnation: args.Incarnation}
	c.children[args.From] = child{node: node, offset: args.InForce, seen: now}
	return !ok || old.node != node || old.offset != args.InForce
}

// merge stores a child's confirmation, and reports whether its group is known.
func (c *confirms) merge(from string, x Confirm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[from]
	if len(x.Nodes) > 0 && len(x.Nodes) <= maxGroup {
		g = &group{id: x.Group, nodes: x.Nodes}
		c.groups[from] = g
	}
	if g == nil || g.id != x.Group {
		return false
	}
	g.offsets = slices.Repeat([]shunt.Offset{x.Common}, len(g.nodes))
	for _, s := range x.Others {
		if s.Index >= 0 && s.Index < len(g.offsets) {
			g.offsets[s.Index] = s.Offset
		}
	}
	return true
}

// known returns the offsets from which the nodes below this one serve.
func (c *confirms) known(now time.Time) map[Node]shunt.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collect(now)
}

// next returns the confirmation to send to the parent, or nil when there is nothing new or the last children
// may still follow. Retry is then the time after which to ask again, if any.
func (c *confirms) next(parent string, now time.Time) (x *Confirm, retry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if parent != c.told.parent {
		c.told = told{parent: parent}
	}
	known := c.collect(now)
	if len(known) == 0 {
		return nil, 0
	}
	x, complete := aggregate(known)
	digest := x.digest()
	if digest == c.told.digest {
		c.told.waiting = time.Time{}
		return nil, 0
	}
	if c.told.waiting.IsZero() {
		c.told.waiting = now
	}
	if left := confirmDelay - now.Sub(c.told.waiting); !complete && left > 0 {
		return nil, left
	}
	if x.Group == c.told.group {
		x.Nodes = nil
	}
	return x, 0
}

// sent records that the parent received a confirmation, and reports whether it must be sent again.
func (c *confirms) sent(x *Confirm, parent string, needGroup bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if parent != c.told.parent {
		c.told = told{parent: parent}
		return true
	}
	if x == nil {
		return false
	}
	c.told.waiting = time.Time{}
	if needGroup {
		c.told.group, c.told.digest = 0, 0
		return true
	}
	c.told.group, c.told.digest = x.Group, x.digest()
	return false
}

// failed makes the next confirmation complete, because the parent may be another one.
func (c *confirms) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = told{}
}

// collect drops children that went elsewhere, also those of a node that was a reader and has none any more.
func (c *confirms) collect(now time.Time) map[Node]shunt.Offset {
	for control, x := range c.children {
		if now.Sub(x.seen) > childTime {
			delete(c.children, control)
			delete(c.groups, control)
		}
	}
	known := make(map[Node]shunt.Offset, len(c.children))
	for _, x := range c.children {
		known[x.node] = max(known[x.node], x.offset)
	}
	for _, g := range c.groups {
		for i, n := range g.nodes {
			known[n] = max(known[n], g.offsets[i])
		}
	}
	return known
}

// aggregate expresses offsets as the one that most nodes share, and the nodes at another. Complete means that
// all nodes are at the same offset.
func aggregate(known map[Node]shunt.Offset) (x *Confirm, complete bool) {
	x = &Confirm{Nodes: make([]Node, 0, len(known))}
	shared := make(map[shunt.Offset]int)
	for n, o := range known {
		x.Nodes = append(x.Nodes, n)
		shared[o]++
		if most := shared[x.Common]; shared[o] > most || shared[o] == most && o > x.Common {
			x.Common = o
		}
	}
	slices.SortFunc(x.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Control, b.Control), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i, n := range x.Nodes {
		if o := known[n]; o != x.Common {
			x.Others = append(x.Others, Other{Index: i, Offset: o})
		}
	}
	x.Group = groupID(x.Nodes)
	return x, len(x.Others) == 0
}

func groupID(nodes []Node) uint64 {
	d := xxhash.New()
	for _, n := range nodes {
		_, _ = d.WriteString(n.Control)
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, n.Incarnation))
	}
	return d.Sum64()
}

// digest identifies what a confirmation says.
func (x *Confirm) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, x.Group)
	b = binary.LittleEndian.AppendUint64(b, uint64(x.Common))
	for _, s := range x.Others {
		b = binary.LittleEndian.AppendUint64(b, uint64(s.Index))
		b = binary.LittleEndian.AppendUint64(b, uint64(s.Offset))
	}
	return xxhash.Sum64(b)
}
