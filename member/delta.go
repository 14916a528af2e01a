package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"tanagershunt.example/shunt"
)

type (
	// Cursor is a position in the order of a table's changes. The zero value is before the first change.
	Cursor struct {
		Table  uint64
		Number uint64
	}

	// Query selects entries for a delta.
	Query struct {
		Cursor  Cursor
		Limit   int               // maximum number of entries returned; 0 means all
		Domain  string            // only entries of this failure domain; empty means all
		Digests map[string]uint64 // the caller's digests: failure domains with equal digests are omitted
	}

	// Delta is a page of changed entries.
	Delta struct {
		Members []shunt.Member
		Next    Cursor
		Full    bool // the cursor is of another table: this and the following pages list all entries that the query selects
		More    bool // further entries follow
	}
)

// ChangesSince returns the entries changed after a cursor, oldest change first. Every entry is listed once, at its
// last change, so a cursor never expires. Only a cursor of another process's table is invalid; it gets all
// entries that the query selects.
func (t *Table) ChangesSince(q Query) Delta {
	t.mu.RLock()
	defer t.mu.RUnlock()
	d := Delta{Next: Cursor{Table: t.id, Number: t.changeNumber}}
	from := q.Cursor.Number
	if q.Cursor.Table != t.id {
		from, d.Full = 0, true
	}
	for e := t.changedAfter(from); e != nil; e = e.next {
		if !t.matchesQuery(e, q) {
			continue
		}
		if q.Limit > 0 && len(d.Members) >= q.Limit {
			d.More = true
			d.Next.Number = e.changeNumber - 1
			break
		}
		d.Members = append(d.Members, e.Member)
	}
	return d
}

// Digests returns, for each failure domain, a digest of the entries that are not dead. Equal digests mean the same
// entries.
func (t *Table) Digests() map[string]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digests := make(map[string]uint64, len(t.digests))
	for d, digest := range t.digests {
		digests[d] = digest
	}
	return digests
}

func (t *Table) matchesQuery(e *entry, q Query) bool {
	if q.Domain != "" && e.Domain != q.Domain {
		return false
	}
	if len(q.Digests) == 0 {
		return true
	}
	digest, ok := q.Digests[e.Domain]
	return !ok || digest != t.digests[e.Domain]
}

// changedAfter returns the oldest entry changed after a number. It searches from the newest, because most cursors
// are only a few changes old.
func (t *Table) changedAfter(number uint64) *entry {
	if number == 0 {
		return t.oldest
	}
	var found *entry
	for e := t.newest; e != nil && e.changeNumber > number; e = e.prev {
		found = e
	}
	return found
}

// put stores an entry as the newest change.
func (t *Table) put(m shunt.Member, changes changeSet) {
	m.Domain, m.Region = t.intern(m.Domain), t.intern(m.Region)
	m.Service, m.Version = t.intern(m.Service), t.intern(m.Version)
	e := t.entries[m.Control]
	if e == nil {
		e = &entry{}
	} else {
		t.remove(e, changes)
	}
	e.Member = m
	if m.Status == shunt.StatusDead {
		e.diedAt = t.clock.Now()
	} else {
		t.digests[m.Domain] ^= digest(m)
	}
	t.entries[m.Control] = e
	t.changeNumber++
	e.changeNumber = t.changeNumber
	e.prev, e.next = t.newest, nil
	if t.newest != nil {
		t.newest.next = e
	} else {
		t.oldest = e
	}
	t.newest = e
	addTo(t.domains, m.Domain, e)
	if m.Service != "" {
		addTo(t.services, m.Service, e)
	}
	changes.add(m)
}

func (t *Table) remove(e *entry, changes changeSet) {
	changes.add(e.Member)
	if e.Status != shunt.StatusDead {
		t.digests[e.Domain] ^= digest(e.Member)
	}
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		t.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		t.newest = e.prev
	}
	delete(t.entries, e.Control)
	removeFrom(t.domains, e.Domain, e.Control)
	removeFrom(t.services, e.Service, e.Control)
}

// intern returns the shared copy of a string, which saves memory for strings that many entries have.
func (t *Table) intern(s string) string {
	if interned, ok := t.internedStrings[s]; ok {
		return interned
	}
	t.internedStrings[s] = s
	return s
}

func addTo(sets map[string]map[string]*entry, name string, e *entry) {
	if sets[name] == nil {
		sets[name] = make(map[string]*entry)
	}
	sets[name][e.Control] = e
}

func removeFrom(sets map[string]map[string]*entry, name, control string) {
	delete(sets[name], control)
	if len(sets[name]) == 0 {
		delete(sets, name)
	}
}

func digest(m shunt.Member) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], m.Sequence)
	b[16] = byte(m.Status)
	d := xxhash.New()
	_, _ = d.WriteString(m.Control)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Digest returns the digest of one failure domain.
func (t *Table) Digest(domain string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digests[domain]
}
