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
	// childTimeout is how long after the start of its last poll a child is removed: two full long polls plus
	// CallTimeoutMargin.
	childTimeout = 2*FetchMaxWait + CallTimeoutMargin
	// confirmDelay is how long a relay node waits for its slowest children before it confirms for the others.
	confirmDelay = time.Second
	// maxGroupNodes limits the nodes of a group that a child reports.
	maxGroupNodes = 4096
)

type (
	// confirmTracker holds the offsets that the nodes below this one serve from, and the state of their
	// confirmation to the parent. A process's offset never decreases, so reports are merged by maximum.
	confirmTracker struct {
		mu       sync.Mutex
		children map[string]child
		groups   map[string]*group // by the child that reported it
		parent   parentAck
	}

	child struct {
		node     Process
		offset   shunt.Offset
		lastPoll time.Time
	}

	// group is the list of nodes that a child confirms for, with the offsets from its last confirmation.
	group struct {
		id      uint64
		nodes   []Process
		offsets []shunt.Offset
	}

	// parentAck is the state of confirmations to the current parent.
	parentAck struct {
		group     uint64 // acknowledged by the parent
		control   string
		digest    uint64    // of the last confirmation sent
		heldSince time.Time // since when a confirmation is delayed
	}
)

func (t *confirmTracker) init() {
	t.children = make(map[string]child)
	t.groups = make(map[string]*group)
}

// recordPoll records the process and offset of a polling child, and reports whether either is new.
func (t *confirmTracker) recordPoll(args FetchArgs, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, ok := t.children[args.From]
	node := Process{Control: args.From, Incarnation: args.Incarnation}
	t.children[args.From] = child{node: node, offset: args.InForce, lastPoll: now}
	return !ok || previous.node != node || previous.offset != args.InForce
}

// merge stores a child's confirmation. It returns false if the list of nodes of its group is not known.
func (t *confirmTracker) merge(from string, confirm OffsetReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[from]
	if len(confirm.Nodes) > 0 && len(confirm.Nodes) <= maxGroupNodes {
		g = &group{id: confirm.Group, nodes: confirm.Nodes}
		t.groups[from] = g
	}
	if g == nil || g.id != confirm.Group {
		return false
	}
	g.offsets = slices.Repeat([]shunt.Offset{confirm.Common}, len(g.nodes))
	for _, other := range confirm.Others {
		if other.Index >= 0 && other.Index < len(g.offsets) {
			g.offsets[other.Index] = other.Offset
		}
	}
	return true
}

// offsets returns the offsets that the nodes below this one serve from.
func (t *confirmTracker) offsets(now time.Time) map[Process]shunt.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collect(now)
}

// nextConfirm returns the confirmation to send to the parent, or nil if nothing has changed or slow children are
// still awaited. In the latter case retry is the remaining delay.
func (t *confirmTracker) nextConfirm(control string, now time.Time) (confirm *OffsetReport, retry time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if control != t.parent.control {
		t.parent = parentAck{control: control}
	}
	offsets := t.collect(now)
	if len(offsets) == 0 {
		return nil, 0
	}
	confirm, complete := aggregate(offsets)
	digest := confirm.digest()
	if digest == t.parent.digest {
		t.parent.heldSince = time.Time{}
		return nil, 0
	}
	if t.parent.heldSince.IsZero() {
		t.parent.heldSince = now
	}
	if remaining := confirmDelay - now.Sub(t.parent.heldSince); !complete && remaining > 0 {
		return nil, remaining
	}
	if confirm.Group == t.parent.group {
		confirm.Nodes = nil
	}
	return confirm, 0
}

// recordAcknowledged records that the parent received a confirmation, and reports whether it must be sent again.
func (t *confirmTracker) recordAcknowledged(confirm *OffsetReport, control string, needGroup bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if control != t.parent.control {
		t.parent = parentAck{control: control}
		return true
	}
	if confirm == nil {
		return false
	}
	t.parent.heldSince = time.Time{}
	if needGroup {
		t.parent.group, t.parent.digest = 0, 0
		return true
	}
	t.parent.group, t.parent.digest = confirm.Group, confirm.digest()
	return false
}

// resetParent makes the next confirmation include the list of nodes, because it is unknown whether the parent received
// the last report.
func (t *confirmTracker) resetParent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parent = parentAck{}
}

// collect returns the offsets of all nodes below this one. It first removes children that have stopped polling,
// so the list of a former reader becomes empty.
func (t *confirmTracker) collect(now time.Time) map[Process]shunt.Offset {
	for control, c := range t.children {
		if now.Sub(c.lastPoll) > childTimeout {
			delete(t.children, control)
			delete(t.groups, control)
		}
	}
	offsets := make(map[Process]shunt.Offset, len(t.children))
	for _, c := range t.children {
		offsets[c.node] = max(offsets[c.node], c.offset)
	}
	for _, g := range t.groups {
		for i, n := range g.nodes {
			offsets[n] = max(offsets[n], g.offsets[i])
		}
	}
	return offsets
}

// aggregate encodes offsets as the most common one and the nodes at any other. Complete means that all nodes
// are at the same offset.
func aggregate(offsets map[Process]shunt.Offset) (confirm *OffsetReport, complete bool) {
	confirm = &OffsetReport{Nodes: make([]Process, 0, len(offsets))}
	counts := make(map[shunt.Offset]int)
	for n, offset := range offsets {
		confirm.Nodes = append(confirm.Nodes, n)
		counts[offset]++
		if most := counts[confirm.Common]; counts[offset] > most || counts[offset] == most && offset > confirm.Common {
			confirm.Common = offset
		}
	}
	slices.SortFunc(confirm.Nodes, func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Control, b.Control), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i, n := range confirm.Nodes {
		if offset := offsets[n]; offset != confirm.Common {
			confirm.Others = append(confirm.Others, OffsetException{Index: i, Offset: offset})
		}
	}
	confirm.Group = groupID(confirm.Nodes)
	return confirm, len(confirm.Others) == 0
}

func groupID(nodes []Process) uint64 {
	hasher := xxhash.New()
	for _, n := range nodes {
		_, _ = hasher.WriteString(n.Control)
		_, _ = hasher.Write(binary.LittleEndian.AppendUint64([]byte{0}, n.Incarnation))
	}
	return hasher.Sum64()
}

// digest returns a hash of a confirmation without its list of nodes.
func (c *OffsetReport) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, c.Group)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Common))
	for _, other := range c.Others {
		b = binary.LittleEndian.AppendUint64(b, uint64(other.Index))
		b = binary.LittleEndian.AppendUint64(b, uint64(other.Offset))
	}
	return xxhash.Sum64(b)
}
