package relay

import (
	"slices"
	"sync"
	"sync/atomic"

	"tanagershunt.example/shunt"
)

// maxFacts limits the facts kept; the oldest are removed first. A move has at most one halt, and one stop per failure
// domain: 45 facts with 44 failure domains, or 9,000 for 200 halted moves.
const maxFacts = 10000

// stopDomainsToHalt is the number of failure domains with a stop at which a move is halted on all nodes. A halt
// applies on all nodes, a stop of fewer failure domains only on the node that added it.
const stopDomainsToHalt = 2

type (
	// FactCursor is a position in a node's list of facts.
	FactCursor struct {
		List   uint64
		Number int
	}

	moveKey struct {
		move    string
		version shunt.Offset
	}

	factKey struct {
		moveKey
		kind   string
		domain string // set for stops only
	}

	// factStore holds the facts received, in order of arrival.
	factStore struct {
		listID uint64
		self   string
		halted atomic.Pointer[map[moveKey]struct{}]

		mu          sync.Mutex
		list        []shunt.Fact
		dropped     int // facts removed from the front of list
		present     map[factKey]struct{}
		stopDomains map[moveKey]int      // number of failure domains with a stop
		localStops  map[moveKey]struct{} // moves stopped by this node
	}
)

var _ shunt.Facts = (*Hub)(nil)

// Halted implements shunt.Facts.
func (h *Hub) Halted(move string, version shunt.Offset) bool {
	_, ok := (*h.facts.halted.Load())[moveKey{move: move, version: version}]
	return ok
}

// Add implements shunt.Facts.
func (h *Hub) Add(f shunt.Fact) { h.addFacts([]shunt.Fact{f}, true) }

// List implements shunt.Facts.
func (h *Hub) List() []shunt.Fact {
	h.facts.mu.Lock()
	defer h.facts.mu.Unlock()
	return slices.Clone(h.facts.list)
}

// addFacts stores facts and wakes the polls of children. Forward is set for facts added by this node or reported by a
// child; they are reported to the parent.
func (h *Hub) addFacts(facts []shunt.Fact, forward bool) {
	added := h.facts.add(facts)
	if len(added) == 0 {
		return
	}
	if forward {
		h.reports.addFacts(added)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyChanged()
}

func (f *factStore) init(self shunt.Member) {
	f.listID, f.self = self.Incarnation, self.Control
	f.present = make(map[factKey]struct{})
	f.stopDomains = make(map[moveKey]int)
	f.localStops = make(map[moveKey]struct{})
	f.halted.Store(&map[moveKey]struct{}{})
}

func (f *factStore) add(facts []shunt.Fact) []shunt.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var added []shunt.Fact
	for _, fact := range facts {
		if f.insert(fact) {
			added = append(added, fact)
		}
	}
	if len(added) > 0 {
		f.updateHalted()
	}
	return added
}

func (f *factStore) insert(fact shunt.Fact) bool {
	move := moveKey{move: fact.Move, version: fact.Version}
	key := factKey{moveKey: move, kind: fact.Kind}
	if fact.Kind == shunt.FactStop {
		key.domain = fact.Domain
		if _, ok := f.localStops[move]; fact.Node == f.self && !ok {
			f.localStops[move] = struct{}{}
			f.updateHalted() // the stop of the failure domain may be stored already
		}
	}
	if _, ok := f.present[key]; ok {
		return false
	}
	f.present[key] = struct{}{}
	if fact.Kind == shunt.FactStop {
		f.stopDomains[move]++
	}
	f.list = append(f.list, fact)
	if len(f.list) > maxFacts {
		f.remove(f.list[0])
		f.list = f.list[1:]
		f.dropped++
	}
	return true
}

func (f *factStore) remove(fact shunt.Fact) {
	move := moveKey{move: fact.Move, version: fact.Version}
	key := factKey{moveKey: move, kind: fact.Kind}
	if fact.Kind == shunt.FactStop {
		key.domain = fact.Domain
		f.stopDomains[move]--
		if f.stopDomains[move] == 0 {
			delete(f.stopDomains, move)
		}
	}
	delete(f.present, key)
	delete(f.localStops, move)
}

func (f *factStore) updateHalted() {
	halted := make(map[moveKey]struct{})
	for _, fact := range f.list {
		move := moveKey{move: fact.Move, version: fact.Version}
		if fact.Kind == shunt.FactHalt || f.stopDomains[move] >= stopDomainsToHalt {
			halted[move] = struct{}{}
		}
	}
	for move := range f.localStops {
		halted[move] = struct{}{}
	}
	f.halted.Store(&halted)
}

// since returns the facts after a cursor, or all of them if the cursor belongs to another list.
func (f *factStore) since(c FactCursor) ([]shunt.Fact, FactCursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := FactCursor{List: f.listID, Number: f.dropped + len(f.list)}
	start := 0
	if c.List == f.listID {
		start = min(max(c.Number-f.dropped, 0), len(f.list))
	}
	return slices.Clone(f.list[start:]), next
}
