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

// Retention times of dead members.
const (
	// TombstoneRetention is how long a dead member remains in the table and in deltas.
	TombstoneRetention = time.Hour
	// RemovedRetention is how long after that the identity of the dead incarnation is kept, so that an old entry from a
	// node that was partitioned does not add the member again.
	RemovedRetention = 24 * time.Hour
)

type (
	// Table is the membership table of one node. It implements shunt.Directory.
	Table struct {
		clock clockwork.Clock
		id    uint64 // distinguishes cursors of this table from those of an earlier process at the same address

		mu              sync.RWMutex
		self            string
		entries         map[string]*entry
		oldest          *entry // list of all entries in the order of their last change
		newest          *entry
		changeNumber    uint64 // number of the newest change
		removed         map[string]removedMember
		digests         map[string]uint64
		services        map[string]map[string]*entry
		domains         map[string]map[string]*entry
		outOfService    map[string]bool
		unreachable     map[string]bool
		localChanges    map[string]struct{}
		internedStrings map[string]string
		changed         chan struct{}
		mismatched      chan string

		index atomic.Pointer[index]
	}

	entry struct {
		shunt.Member
		changeNumber uint64
		diedAt       time.Time
		prev, next   *entry
	}

	// removedMember is the identity of a dead member that was removed from the table.
	removedMember struct {
		incarnation uint64
		sequence    uint64
		domain      string
		expiresAt   time.Time
	}

	// changeSet collects the parts of the index that a batch of changes affects.
	changeSet struct {
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
		clock:           clock,
		id:              self.Incarnation ^ hash("table", self.Control),
		self:            self.Control,
		entries:         make(map[string]*entry),
		removed:         make(map[string]removedMember),
		digests:         make(map[string]uint64),
		services:        make(map[string]map[string]*entry),
		domains:         make(map[string]map[string]*entry),
		outOfService:    make(map[string]bool),
		unreachable:     make(map[string]bool),
		localChanges:    make(map[string]struct{}),
		internedStrings: make(map[string]string),
		changed:         make(chan struct{}),
		mismatched:      make(chan string, 1),
	}
	t.index.Store(&index{})
	changes := newChangeSet()
	t.put(self, changes)
	t.localChanges[self.Control] = struct{}{}
	t.updateIndex(changes)
	return t
}

// Merge merges entries from other members and returns the resulting entries that changed the table. An entry of
// this process that overrides its own state is refuted.
func (t *Table) Merge(members ...shunt.Member) []shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := newChangeSet()
	var merged []shunt.Member
	for _, m := range members {
		if m.Control == "" {
			continue
		}
		if m.Control == t.self {
			t.refute(m, changes)
			continue
		}
		if t.merge(m, changes) {
			merged = append(merged, t.entries[m.Control].Member)
		}
	}
	t.updateIndex(changes)
	return merged
}

// NewerThan returns this table's entries that override the given ones.
func (t *Table) NewerThan(members ...shunt.Member) []shunt.Member {
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

// Update changes the process's own entry, increments its sequence and returns it. Control address and
// incarnation cannot be changed, and a member that is leaving remains so.
func (t *Table) Update(change func(*shunt.Member)) shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[t.self].Member
	m := old
	change(&m)
	m.Control, m.Incarnation, m.Sequence = old.Control, old.Incarnation, old.Sequence+1
	m.Status = max(m.Status, old.Status)
	changes := newChangeSet()
	t.put(m, changes)
	t.localChanges[m.Control] = struct{}{}
	t.updateIndex(changes)
	return m
}

// SetDetectedStatus sets a worse status on the entry that this node's detector has probed. It has no effect if the
// entry has changed since, and returns whether the table changed.
func (t *Table) SetDetectedStatus(probed shunt.Member, status shunt.Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[probed.Control]
	if e == nil || probed.Control == t.self || e.Incarnation != probed.Incarnation || e.Sequence != probed.Sequence {
		return false
	}
	m := e.Member
	m.Status = status
	changes := newChangeSet()
	if !t.merge(m, changes) {
		return false
	}
	t.localChanges[m.Control] = struct{}{}
	t.updateIndex(changes)
	return true
}

// TakeLocalChanges returns the entries that this process changed since the last call: its own and those whose status
// its detector set. They must be reported to the parent.
func (t *Table) TakeLocalChanges() []shunt.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := make([]shunt.Member, 0, len(t.localChanges))
	for control := range t.localChanges {
		if e := t.entries[control]; e != nil {
			ms = append(ms, e.Member)
		}
	}
	clear(t.localChanges)
	return ms
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// Mismatched returns a channel that receives the control address of a member whose entries for this failure domain
// should be fetched, because tables have differed for DigestMismatchLimit.
func (t *Table) Mismatched() <-chan string { return t.mismatched }

// Expire removes dead members whose retention time has passed. The detector calls it.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	changes := newChangeSet()
	for control, e := range t.entries {
		if e.Status != shunt.StatusDead || now.Sub(e.diedAt) < TombstoneRetention {
			continue
		}
		t.removed[control] = removedMember{
			incarnation: e.Incarnation, sequence: e.Sequence, domain: e.Domain, expiresAt: now.Add(RemovedRetention),
		}
		t.remove(e, changes)
	}
	for control, removed := range t.removed {
		if now.After(removed.expiresAt) {
			delete(t.removed, control)
		}
	}
	t.updateIndex(changes)
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

func (t *Table) refute(m shunt.Member, changes changeSet) {
	own := t.entries[t.self].Member
	if !m.Newer(own) {
		return
	}
	// An entry of a later incarnation belongs to a process that replaced this one, so it is not refuted.
	if m.Incarnation > own.Incarnation {
		return
	}
	own.Sequence = m.Sequence + 1
	t.put(own, changes)
	t.localChanges[t.self] = struct{}{}
}

func (t *Table) merge(m shunt.Member, changes changeSet) bool {
	if removed, ok := t.removed[m.Control]; ok {
		delete(t.removed, m.Control)
		if m.Incarnation < removed.incarnation ||
			(m.Incarnation == removed.incarnation && m.Sequence <= removed.sequence) {
			// The sender still has the old entry: list the dead status again so that the sender receives it.
			m = shunt.Member{
				Control:     m.Control,
				Domain:      removed.domain,
				Incarnation: removed.incarnation,
				Sequence:    removed.sequence,
				Status:      shunt.StatusDead,
			}
		}
	}
	if e := t.entries[m.Control]; e != nil && !m.Newer(e.Member) {
		return false
	}
	t.put(m, changes)
	return true
}
