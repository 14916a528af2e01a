package count

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Set holds the counters of many incarnations. Its zero value is empty. It is not safe for concurrent use.
	Set struct {
		live   map[NodeKey]*incarnation
		base   map[Key]*Values
		folded map[string]uint64 // by control address: highest incarnation in the base
		ended  []NodeInfo        // folded incarnations that ended without a last report
	}

	incarnation struct {
		info  NodeInfo
		cells map[Key]*Values
	}

	// NodeInfo says where and when an incarnation was last heard.
	NodeInfo struct {
		NodeKey
		Domain  string    `json:"domain"`
		HeardAt time.Time `json:"heardAt"`          // time of its newest report, by its own clock
		Rate    float64   `json:"rate"`             // as last reported
		Last    bool      `json:"last,omitempty"`   // nothing is missing: it reported all before it stopped
		EndedAt time.Time `json:"endedAt,omitzero"` // when its end became known, zero while it lives
	}

	// Merged is the sum of the counters of a service over the incarnations that a collector knows.
	Merged struct {
		Service string     `json:"service"`
		At      time.Time  `json:"at"`
		Cells   []Cell     `json:"cells"` // in no order
		Nodes   []NodeInfo `json:"nodes"` // live incarnations, and ended ones with something missing
	}
)

// maxEnded bounds the list of ended incarnations. At 53 failures a day over the fleet it holds months.
const maxEnded = 10_000

// Merge takes in a report. Repeated, reordered and late reports have no effect beyond the maximum of their
// values; a report of an incarnation that is already in the base has none at all. It returns whether the
// report changed anything.
func (s *Set) Merge(r Report) bool {
	if r.Incarnation <= s.folded[r.Node] {
		return false
	}
	changed := s.incarnation(r.NodeKey).merge(&r)
	if r.Final {
		s.fold(r.NodeKey)
		return true
	}
	return changed
}

// Merged returns the sum of a service's counters. An empty service means all.
func (s *Set) Merged(service string, now time.Time) Merged {
	sum := make(map[Key]*Values)
	add := func(cells map[Key]*Values) {
		for k, v := range cells {
			if service == "" || k.Service == service {
				addTo(sum, k, v)
			}
		}
	}
	add(s.base)
	m := Merged{Service: service, At: now, Nodes: slices.Clone(s.ended)}
	for _, in := range s.live {
		add(in.cells)
		m.Nodes = append(m.Nodes, in.info)
	}
	m.Cells = listCells(sum)
	slices.SortFunc(m.Nodes, func(a, b NodeInfo) int { return a.compare(b.NodeKey) })
	return m
}

// Join returns the counters of several collectors as one. Each key of each node must come from one collector
// only, which holds when each collector serves one failure domain.
func Join(parts ...Merged) Merged {
	var all Merged
	sum := make(map[Key]*Values)
	for _, p := range parts {
		all.Service = p.Service
		if all.At.IsZero() || p.At.Before(all.At) {
			all.At = p.At
		}
		all.Nodes = append(all.Nodes, p.Nodes...)
		for i := range p.Cells {
			addTo(sum, p.Cells[i].Key, &p.Cells[i].Values)
		}
	}
	all.Cells = listCells(sum)
	return all
}

// Unknown bounds the calls that entered at an incarnation and are in none of its reports: the most calls that it
// reported for any one second, times the time from its last report until its end became known, plus one flush
// interval for calls that it counted but reported late. This holds unless its rate exceeded all earlier ones
// just before it ended. The bound is 0 for a live incarnation and after a last report. The calls are not
// bounded when the incarnation ended before any report.
func (n *NodeInfo) Unknown(flush time.Duration) (calls uint64, bounded bool) {
	if n.Last || n.EndedAt.IsZero() {
		return 0, true
	}
	if n.HeardAt.IsZero() {
		return 0, false
	}
	span := max(0, n.EndedAt.Sub(n.HeardAt)) + flush
	return uint64(math.Ceil(n.Rate * span.Seconds())), true
}

// fold moves an incarnation, and all earlier ones of the same node, into the base.
func (s *Set) fold(node NodeKey) {
	if s.base == nil {
		s.base, s.folded = make(map[Key]*Values), make(map[string]uint64)
	}
	for k, in := range s.live {
		if k.Node != node.Node || k.Incarnation > node.Incarnation {
			continue
		}
		for key, v := range in.cells {
			addTo(s.base, key, v)
		}
		if !in.info.Last {
			s.ended = append(s.ended, in.info)
		}
		delete(s.live, k)
	}
	if over := len(s.ended) - maxEnded; over > 0 {
		s.ended = slices.Delete(s.ended, 0, over)
	}
	s.folded[node.Node] = node.Incarnation
}

func (s *Set) incarnation(node NodeKey) *incarnation {
	if s.live == nil {
		s.live = make(map[NodeKey]*incarnation)
	}
	in := s.live[node]
	if in == nil {
		in = newIncarnation(node)
		s.live[node] = in
	}
	return in
}

func newIncarnation(node NodeKey) *incarnation {
	return &incarnation{info: NodeInfo{NodeKey: node}, cells: make(map[Key]*Values)}
}

// merge takes in a report and returns whether it changed anything.
func (in *incarnation) merge(r *Report) bool {
	changed := in.hear(r)
	for i := range r.Cells {
		c := &r.Cells[i]
		known := in.cells[c.Key]
		if known == nil {
			known = &Values{}
			in.cells[c.Key] = known
		}
		if known.merge(&c.Values) {
			changed = true
		}
	}
	return changed
}

// joined returns the maximum of two views of one incarnation.
func (in *incarnation) joined(other *incarnation) *incarnation {
	all := newIncarnation(in.info.NodeKey)
	for _, part := range []*incarnation{in, other} {
		r := part.report(in.info.NodeKey)
		all.merge(&r)
	}
	return all
}

// hear takes in what a report says of the incarnation itself. The earliest end counts, since calls that
// entered later would belong to another incarnation.
func (in *incarnation) hear(r *Report) bool {
	info := in.info
	info.Domain = cmp.Or(info.Domain, r.Domain)
	info.Last = info.Last || r.Last
	if r.At.After(info.HeardAt) {
		info.HeardAt, info.Rate = r.At, r.Rate
	}
	if info.EndedAt.IsZero() || (!r.EndedAt.IsZero() && r.EndedAt.Before(info.EndedAt)) {
		info.EndedAt = r.EndedAt
	}
	changed := info != in.info
	in.info = info
	return changed
}

func (k NodeKey) compare(other NodeKey) int {
	return cmp.Or(cmp.Compare(k.Node, other.Node), cmp.Compare(k.Incarnation, other.Incarnation))
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Service, o.Service), cmp.Compare(k.Version, o.Version), cmp.Compare(k.Route, o.Route),
		cmp.Compare(k.Domain, o.Domain), cmp.Compare(k.Side, o.Side))
}

func sortedCells(m map[Key]*Values) []Cell {
	cells := make([]Cell, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), Key.compare) {
		cells = append(cells, Cell{Key: k, Values: *m[k]})
	}
	return cells
}

func listCells(m map[Key]*Values) []Cell {
	cells := make([]Cell, 0, len(m))
	for k, v := range m {
		cells = append(cells, Cell{Key: k, Values: *v})
	}
	return cells
}

func addTo(sum map[Key]*Values, k Key, v *Values) {
	if sum[k] == nil {
		sum[k] = &Values{}
	}
	sum[k].add(v)
}
