package move

import (
	"cmp"
	"slices"
	"sync"

	"tanagershunt.example/shunt"
)

type (
	// Facts is the set of stop and halt signals shared between nodes; it implements shunt.Facts. Its zero value is
	// empty. Merge is commutative and idempotent; of facts with the same key it keeps the earliest. Prune bounds the
	// size of the set.
	Facts struct {
		mu      sync.Mutex
		self    shunt.Member
		facts   map[factKey]storedFact
		cursor  uint64
		changed chan struct{}
		keep    func(move string, publishOffset shunt.Offset) bool
	}

	factKey struct {
		kind          string
		move          string
		publishOffset shunt.Offset
		node          string
	}

	storedFact struct {
		shunt.Fact
		cursor uint64
	}
)

var _ shunt.Facts = (*Facts)(nil)

// haltDomainCount is the number of failure domains whose stops halt a move on every node. Stops in a single domain
// may be due to a fault of that domain.
const haltDomainCount = 2

// NewFacts returns an empty set for the given node.
func NewFacts(self shunt.Member) *Facts { return &Facts{self: self} }

// Halted implements shunt.Facts. A move is halted for this node by its own stop, and for every node by a halt or
// by stops in two failure domains.
func (s *Facts) Halted(move string, publishOffset shunt.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.facts[factKey{kind: shunt.FactStop, move: move, publishOffset: publishOffset, node: s.self.Control}]; ok {
		return true
	}
	return s.haltedEverywhere(move, publishOffset)
}

// HaltedFleetwide reports whether the facts halt the move on every node.
func (s *Facts) HaltedFleetwide(move string, publishOffset shunt.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.haltedEverywhere(move, publishOffset)
}

// Add implements shunt.Facts.
func (s *Facts) Add(f shunt.Fact) { s.Merge([]shunt.Fact{f}) }

// Merge adds facts and reports whether the set changed.
func (s *Facts) Merge(facts []shunt.Fact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.facts == nil {
		s.facts = make(map[factKey]storedFact)
	}
	added := false
	for _, f := range facts {
		k := factKey{kind: f.Kind, move: f.Move, publishOffset: f.Version, node: f.Node}
		if s.keep != nil && !s.keep(f.Move, f.Version) {
			continue
		}
		if old, ok := s.facts[k]; ok && !precedes(&f, &old.Fact) {
			continue
		}
		s.cursor++
		s.facts[k] = storedFact{Fact: f, cursor: s.cursor}
		added = true
	}
	if added && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return added
}

// List implements shunt.Facts. The order depends only on the facts themselves.
func (s *Facts) List() []shunt.Fact {
	list, _ := s.Since(0)
	return list
}

// Since returns the facts added after a cursor, and the cursor for the next call.
func (s *Facts) Since(cursor uint64) ([]shunt.Fact, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]shunt.Fact, 0, len(s.facts))
	for _, f := range s.facts {
		if f.cursor > cursor {
			list = append(list, f.Fact)
		}
	}
	slices.SortFunc(list, compareFacts)
	return list, s.cursor
}

// Changed returns a channel that is closed at the next change.
func (s *Facts) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// ForMove returns the facts about the move published at the given offset.
func (s *Facts) ForMove(move string, publishOffset shunt.Offset) []shunt.Fact {
	return slices.DeleteFunc(s.List(), func(f shunt.Fact) bool { return f.Move != move || f.Version != publishOffset })
}

// Prune removes the facts that keep rejects and ignores them from then on, so that nodes do not send removed facts
// to each other forever. Keep must reject the facts about moves that are deleted or ended in the node's
// configuration and must accept publish offsets above the node's offset. It is called with the set locked, so it
// must not block and should read only immutable data.
func (s *Facts) Prune(keep func(move string, publishOffset shunt.Offset) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = keep
	for k := range s.facts {
		if !keep(k.move, k.publishOffset) {
			delete(s.facts, k)
		}
	}
}

func (s *Facts) haltedEverywhere(move string, publishOffset shunt.Offset) bool {
	domains := make(map[string]struct{})
	for k, f := range s.facts {
		if k.move != move || k.publishOffset != publishOffset {
			continue
		}
		if k.kind == shunt.FactHalt {
			return true
		}
		domains[f.Domain] = struct{}{}
	}
	return len(domains) >= haltDomainCount
}

// precedes orders facts with the same key, so that every node keeps the same one.
func precedes(a, b *shunt.Fact) bool {
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reason, b.Reason)) < 0
}

func compareFacts(a, b shunt.Fact) int {
	return cmp.Or(cmp.Compare(a.Move, b.Move), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Node, b.Node))
}
