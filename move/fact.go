package move

import (
	"cmp"
	"slices"
	"sync"

	"tanagershunt.example/shunt"
)

type (
	// Facts is a grow-only set of facts and implements shunt.Facts. Its zero value is empty. Merge is a union, so
	// that order and repetition do not matter. Prune bounds the set.
	Facts struct {
		mu      sync.Mutex
		self    shunt.Member
		facts   map[factKey]numbered
		cursor  uint64
		changed chan struct{}
		keep    func(move string, version shunt.Offset) bool
	}

	factKey struct {
		kind    string
		move    string
		version shunt.Offset
		node    string
	}

	numbered struct {
		shunt.Fact
		cursor uint64
	}
)

var _ shunt.Facts = (*Facts)(nil)

// haltDomains is the number of failure domains whose stops halt a move everywhere. One domain alone may have a
// fault of its own.
const haltDomains = 2

// NewFacts returns an empty set of the given node.
func NewFacts(self shunt.Member) *Facts { return &Facts{self: self} }

// Halted implements shunt.Facts: the node's own stop counts for the node itself, a halt or stops in two
// failure domains for everybody.
func (s *Facts) Halted(move string, version shunt.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.facts[factKey{kind: shunt.FactStop, move: move, version: version, node: s.self.Control}]; ok {
		return true
	}
	return s.haltedEverywhere(move, version)
}

// HaltedEverywhere reports whether the facts halt the move on every node.
func (s *Facts) HaltedEverywhere(move string, version shunt.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.haltedEverywhere(move, version)
}

// Add implements shunt.Facts.
func (s *Facts) Add(f shunt.Fact) { s.Merge([]shunt.Fact{f}) }

// Merge adds facts of other nodes and reports whether any was new.
func (s *Facts) Merge(facts []shunt.Fact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.facts == nil {
		s.facts = make(map[factKey]numbered)
	}
	news := false
	for _, f := range facts {
		k := factKey{kind: f.Kind, move: f.Move, version: f.Version, node: f.Node}
		if s.keep != nil && !s.keep(f.Move, f.Version) {
			continue
		}
		if old, ok := s.facts[k]; ok && !earlier(&f, &old.Fact) {
			continue
		}
		s.cursor++
		s.facts[k] = numbered{Fact: f, cursor: s.cursor}
		news = true
	}
	if news && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return news
}

// List implements shunt.Facts. The order is fixed by the facts themselves.
func (s *Facts) List() []shunt.Fact {
	list, _ := s.Since(0)
	return list
}

// Since returns the facts added after a cursor and the cursor to ask with next.
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

// Of returns the facts of a move as published at an offset.
func (s *Facts) Of(move string, version shunt.Offset) []shunt.Fact {
	return slices.DeleteFunc(s.List(), func(f shunt.Fact) bool { return f.Move != move || f.Version != version })
}

// Prune drops the facts that keep refuses, and refuses them from now on, so that nodes do not send dropped
// facts to each other for ever. Keep must refuse the facts of moves that are deleted or ended at the node's
// configuration, must accept versions above the node's offset, and must not block: it is called under the
// set's lock, usually over an immutable configuration.
func (s *Facts) Prune(keep func(move string, version shunt.Offset) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = keep
	for k := range s.facts {
		if !keep(k.move, k.version) {
			delete(s.facts, k)
		}
	}
}

func (s *Facts) haltedEverywhere(move string, version shunt.Offset) bool {
	domains := make(map[string]struct{})
	for k, f := range s.facts {
		if k.move != move || k.version != version {
			continue
		}
		if k.kind == shunt.FactHalt {
			return true
		}
		domains[f.Domain] = struct{}{}
	}
	return len(domains) >= haltDomains
}

// earlier orders facts with the same key, so that every node keeps the same one.
func earlier(a, b *shunt.Fact) bool {
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reason, b.Reason)) < 0
}

func compareFacts(a, b shunt.Fact) int {
	return cmp.Or(cmp.Compare(a.Move, b.Move), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Node, b.Node))
}
