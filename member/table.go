// Package member holds the membership table of a node, assigns roles by rendezvous hashing and detects failed
// members and unreachable failure domains.
package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// Times for which dead members are remembered.
const (
	// TombstoneTime is how long a dead member stays in the table and in deltas.
	TombstoneTime = time.Hour
	// BarTime is how long, after that, only the identity of the dead incarnation is kept so that an old
	// entry, still held by a node that was partitioned, does not bring the member back.
	BarTime = 24 * time.Hour
)

type (
	// Table is the membership table of one node. It implements shunt.Directory.
	Table struct {
		clock clockwork.Clock
		id    uint64 // distinguishes cursors of this table from those of an earlier process

		mu          sync.RWMutex
		self        string
		entries     map[string]*entry
		oldest      *entry // list of all entries in the order of their last change
		newest      *entry
		number      uint64 // number of the newest change
		bars        map[string]bar
		digests     map[string]uint64
		services    map[string]map[string]*entry
		domains     map[string]map[string]*entry
		out         map[string]bool
		unreachable map[string]bool
		local       map[string]struct{}
		words       map[string]string
		changed     chan struct{}
		differing   chan string

		index atomic.Pointer[index]
	}

	entry struct {
		shunt.Member
		number     uint64
		diedAt     time.Time
		prev, next *entry
	}

	// bar is the identity of a dead member that was removed from the table.
	bar struct {
		incarnation uint64
		sequence    uint64
		domain      string
		until       time.Time
	}

	// touched collects the parts of the index that a batch of changes affects.
	touched struct {
		services map[string]struct{}
		domains  map[string]struct{}
	}
)

var _ shunt.Directory = (*Table)(nil)

// New returns a table that holds only the process's own entry. A zero incarnation is set from the clock.
func New(self shunt.Member, clock clockwork.Clock) *Table {
	if self.Incarnation == 0 {
		self.Incarnation = uint64(clock.Now().UnixNano())
	}
	t := &Table{
		clock:       clock,
		id:          self.Incarnation ^ hash("table", self.Control),
		self:        self.Control,
		entries:     make(map[string]*entry),
		bars:        make(map[string]bar),
		digests:     make(map[string]uint64),
		services:    make(map[string]map[string]*entry),
		domains:     make(map[string]map[string]*entry),
		out:         make(map[string]bool),
		unreachable: make(map[string]bool),
		local:       make(map[string]struct{}),
		words:       make(map[string]string),
		changed:     make(chan struct{}),
		differing:   make(chan string, 1),
	}
	t.index.Store(&index{})
	ch := newTouched()
	t.put(self, ch)
	t.local[self.Control] = struct{}{}
	t.publish(ch)
	return t
}

// Merge merges entries from other members and returns those that changed the table, as they are now. An
// entry about this process that claims anything but its own newest state is refuted.
func (t *Table) Merge(members ...shunt.Member) []shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ch := newTouched()
	var merged []shunt.Member
	for _, m := range members {
		if m.Control == "" {
			continue
		}
		if m.Control == t.self {
			t.refute(m, ch)
			continue
		}
		if t.merge(m, ch) {
			merged = append(merged, t.entries[m.Control].Member)
		}
	}
	t.publish(ch)
	return merged
}

// Overrides returns this table's entries that override the given ones.
func (t *Table) Overrides(members ...shunt.Member) []shunt.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []shunt.Member
	for _, m := range members {
		if e := t.entries[m.Control]; e != nil && e.Newer(m) {
			list = append(list, e.Member)
		}
	}
	return list
}

// Update changes the process's own entry, raises its sequence and returns it. Control address and
// incarnation cannot be changed. A member that is leaving stays so.
func (t *Table) Update(change func(*shunt.Member)) shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[t.self].Member
	m := old
	change(&m)
	m.Control, m.Incarnation, m.Sequence = old.Control, old.Incarnation, old.Sequence+1
	m.Status = max(m.Status, old.Status)
	ch := newTouched()
	t.put(m, ch)
	t.local[m.Control] = struct{}{}
	t.publish(ch)
	return m
}

// Judge sets a worse status on an entry that this node's detector has judged. It has no effect when the
// entry is no longer the one judged.
func (t *Table) Judge(judged shunt.Member, status shunt.Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[judged.Control]
	if e == nil || judged.Control == t.self || e.Incarnation != judged.Incarnation || e.Sequence != judged.Sequence {
		return false
	}
	m := e.Member
	m.Status = status
	ch := newTouched()
	if !t.merge(m, ch) {
		return false
	}
	t.local[m.Control] = struct{}{}
	t.publish(ch)
	return true
}

// Local returns the entries that this process changed since the last call: its own and those that its
// detector judged. They have to be reported to the parent.
func (t *Table) Local() []shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := make([]shunt.Member, 0, len(t.local))
	for control := range t.local {
		if e := t.entries[control]; e != nil {
			ms = append(ms, e.Member)
		}
	}
	clear(t.local)
	return ms
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// Differing returns a channel that receives the control address of a member of the own failure domain whose
// table has had other entries for it for DifferTime. They should be fetched from there.
func (t *Table) Differing() <-chan string { return t.differing }

// Expire removes dead members whose time is over. The detector calls it.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	ch := newTouched()
	for control, e := range t.entries {
		if e.Status != shunt.StatusDead || now.Sub(e.diedAt) < TombstoneTime {
			continue
		}
		t.bars[control] = bar{
			incarnation: e.Incarnation, sequence: e.Sequence, domain: e.Domain, until: now.Add(BarTime),
		}
		t.remove(e, ch)
	}
	for control, b := range t.bars {
		if now.After(b.until) {
			delete(t.bars, control)
		}
	}
	t.publish(ch)
}

// Lookup implements shunt.Directory.
func (t *Table) Lookup(control string) (shunt.Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[control]
	if e == nil {
		return shunt.Member{}, false
	}
	return e.Member, true
}

// Self implements shunt.Directory.
func (t *Table) Self() shunt.Member {
	m, _ := t.Lookup(t.self)
	return m
}

// Len returns the number of entries, dead ones included.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

func (t *Table) refute(m shunt.Member, ch touched) {
	own := t.entries[t.self].Member
	if !m.Newer(own) {
		return
	}
	// An entry of a later incarnation belongs to a process that replaced this one; it must win.
	if m.Incarnation > own.Incarnation {
		return
	}
	own.Sequence = m.Sequence + 1
	t.put(own, ch)
	t.local[t.self] = struct{}{}
}

func (t *Table) merge(m shunt.Member, ch touched) bool {
	if b, ok := t.bars[m.Control]; ok {
		delete(t.bars, m.Control)
		if m.Incarnation < b.incarnation || (m.Incarnation == b.incarnation && m.Sequence <= b.sequence) {
			// The sender still holds the old entry: list the death again so that it learns of it.
			m = shunt.Member{
				Control: m.Control, Domain: b.domain, Incarnation: b.incarnation, Sequence: b.sequence,
				Status: shunt.StatusDead,
			}
		}
	}
	if e := t.entries[m.Control]; e != nil && !m.Newer(e.Member) {
		return false
	}
	t.put(m, ch)
	return true
}
