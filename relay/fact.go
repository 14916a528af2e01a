package relay

import (
	"slices"
	"sync"
	"sync/atomic"

	"tanagershunt.example/shunt"
)

// maxFacts bounds the facts kept; the oldest go first. A move has at most one halt and one stop per failure
// domain, so this is enough for 200 moves halted at once in 44 failure domains.
const maxFacts = 10000

// stopsToHalt is the number of failure domains whose stops halt a move everywhere.
const stopsToHalt = 2

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
		domain string // of stops
	}

	// facts is the set of facts known, in the order in which they became known.
	facts struct {
		id     uint64
		self   string
		halted atomic.Pointer[map[moveKey]struct{}]

		mu      sync.Mutex
		list    []shunt.Fact
		dropped int // facts dropped before list
		known   map[factKey]struct{}
		stops   map[moveKey]int // failure domains with a stop
		own     map[moveKey]struct{}
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

// addFacts stores facts and wakes children. Facts that did not come from the parent are passed up to it.
func (h *Hub) addFacts(list []shunt.Fact, up bool) {
	added := h.facts.add(list)
	if len(added) == 0 {
		return
	}
	if up {
		h.up.addFacts(added)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake()
}

func (f *facts) init(self shunt.Member) {
	f.id, f.self = self.Incarnation, self.Control
	f.known = make(map[factKey]struct{})
	f.stops = make(map[moveKey]int)
	f.own = make(map[moveKey]struct{})
	f.halted.Store(&map[moveKey]struct{}{})
}

func (f *facts) add(list []shunt.Fact) []shunt.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var added []shunt.Fact
	for _, x := range list {
		if f.addOne(x) {
			added = append(added, x)
		}
	}
	if len(added) > 0 {
		f.publish()
	}
	return added
}

func (f *facts) addOne(x shunt.Fact) bool {
	move := moveKey{move: x.Move, version: x.Version}
	key := factKey{moveKey: move, kind: x.Kind}
	if x.Kind == shunt.FactStop {
		key.domain = x.Domain
		if _, ok := f.own[move]; x.Node == f.self && !ok {
			f.own[move] = struct{}{}
			f.publish() // the failure domain may have a stop already
		}
	}
	if _, ok := f.known[key]; ok {
		return false
	}
	f.known[key] = struct{}{}
	if x.Kind == shunt.FactStop {
		f.stops[move]++
	}
	f.list = append(f.list, x)
	if len(f.list) > maxFacts {
		f.drop(f.list[0])
		f.list = f.list[1:]
		f.dropped++
	}
	return true
}

func (f *facts) drop(x shunt.Fact) {
	move := moveKey{move: x.Move, version: x.Version}
	key := factKey{moveKey: move, kind: x.Kind}
	if x.Kind == shunt.FactStop {
		key.domain = x.Domain
		f.stops[move]--
		if f.stops[move] == 0 {
			delete(f.stops, move)
		}
	}
	delete(f.known, key)
	delete(f.own, move)
}

func (f *facts) publish() {
	halted := make(map[moveKey]struct{})
	for _, x := range f.list {
		move := moveKey{move: x.Move, version: x.Version}
		if x.Kind == shunt.FactHalt || f.stops[move] >= stopsToHalt {
			halted[move] = struct{}{}
		}
	}
	for move := range f.own {
		halted[move] = struct{}{}
	}
	f.halted.Store(&halted)
}

// since returns the facts after a cursor; all of them when the cursor belongs to another list.
func (f *facts) since(c FactCursor) ([]shunt.Fact, FactCursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := FactCursor{List: f.id, Number: f.dropped + len(f.list)}
	start := 0
	if c.List == f.id {
		start = min(max(c.Number-f.dropped, 0), len(f.list))
	}
	return slices.Clone(f.list[start:]), next
}
