package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

const (
	topReaders = 5
	// cursorsKept is the number of former parents whose cursors are kept for a return to them.
	cursorsKept = 8
)

type (
	// parents is what a node remembers of the nodes that it fetched from. Hub.mu guards it.
	parents struct {
		failed  map[string]failure
		cursors map[string]*cursors
		order   []string // addresses in cursors, the oldest first
	}

	failure struct {
		count int
		until time.Time
		stale bool // the node answered, but has lost touch with the log
	}

	// cursors is the position of a node in another node's lists.
	cursors struct {
		members  member.Cursor
		facts    FactCursor
		lost     uint64 // links: what the other reader answered last
		caughtUp bool
		differ   time.Time // since when the digests of the own failure domain differ
	}
)

// roleOf returns the node's role among the live members of its failure domain.
func (h *Hub) roleOf() Role {
	domain := h.self.Domain
	if holds(h.table.Holders(member.RoleReader, domain, member.Readers), h.self.Control) {
		return RoleReader
	}
	if holds(h.relays(), h.self.Control) {
		return RoleRelay
	}
	return RoleLeaf
}

// relays returns the relays of the own failure domain: the square root of its size gives relays and
// readers about the same number of children.
func (h *Hub) relays() []shunt.Member {
	n := len(h.table.Live(h.self.Domain))
	return h.table.Holders("relay", h.self.Domain, int(math.Ceil(math.Sqrt(float64(n)))))
}

// candidates returns the nodes to fetch from, the preferred first, and apart from them those that serve only
// when none of the first answers: they are no readers or relays themselves and may depend on this node.
func (h *Hub) candidates(role Role) (list, rest []string) {
	readers := controls(h.table.Holders(member.RoleReader, h.self.Domain, topReaders))
	active := readers[:min(len(readers), member.Readers)]
	if role == RoleLeaf {
		relays := slices.DeleteFunc(controls(h.relays()), func(c string) bool { return slices.Contains(active, c) })
		list = append(list, member.Rank(h.self.Control, relays)...)
	}
	list = append(list, member.Rank(h.self.Control, active)...)
	rest = append(slices.Clone(readers[len(active):]), h.opts.Seeds...)
	return slices.DeleteFunc(list, h.isSelf), slices.DeleteFunc(rest, h.isSelf)
}

// pickParent returns the first candidate that is neither failing nor stale; when all that answer are stale, as in
// an outage of the log, the preferred one of them; and when none answers the one whose pause ends first.
func (h *Hub) pickParent(role Role) (string, error) {
	list, rest := h.candidates(role)
	if len(list)+len(rest) == 0 {
		return "", errNoParent
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	fresh := func(c string) bool { return !h.parents.failed[c].until.After(now) }
	answers := func(c string) bool { return fresh(c) || h.parents.failed[c].stale }
	best := slices.IndexFunc(list, fresh)
	if best < 0 {
		best = slices.IndexFunc(list, answers)
	}
	if best < 0 {
		list = append(list, rest...)
		best = slices.IndexFunc(list, fresh)
	}
	if best < 0 {
		first := slices.MinFunc(list, func(a, b string) int {
			return h.parents.failed[a].until.Compare(h.parents.failed[b].until)
		})
		best = slices.Index(list, first)
	}
	parent := list[best]
	if h.parent != parent {
		h.parent = parent
		h.up.notify() // a new parent has to learn what the former one was told
	}
	return parent, nil
}

// avoid keeps a node from being picked for some time.
func (h *Hub) avoid(control string, pause time.Duration, stale bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.parents.failed[control]
	if f.stale = stale; !stale {
		f.count++
	}
	f.until = h.clock.Now().Add(pause)
	h.parents.failed[control] = f
}

// trust forgets former failures of a node.
func (h *Hub) trust(control string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.parents.failed, control)
}

func (h *Hub) failures(control string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parents.failed[control].count
}

// follow keeps the node in its role and starts the loops of a new one when the role changes.
func (h *Hub) follow(ctx context.Context) {
	for ctx.Err() == nil {
		role := h.roleOf()
		h.mu.Lock()
		h.role = role
		if role == RoleReader {
			h.parent = ""
		}
		h.mu.Unlock()
		roleCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if role == RoleReader {
				h.read(roleCtx)
			} else {
				h.poll(roleCtx)
			}
		}()
		h.untilRoleChanges(ctx, role)
		cancel()
		<-done
	}
}

func (h *Hub) untilRoleChanges(ctx context.Context, role Role) {
	for ctx.Err() == nil {
		changed := h.table.Changed()
		if h.roleOf() != role {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func newParents() parents {
	return parents{failed: make(map[string]failure), cursors: make(map[string]*cursors)}
}

// cursor returns the position in another node's lists.
func (p *parents) cursor(control string) *cursors {
	if c, ok := p.cursors[control]; ok {
		return c
	}
	if len(p.order) >= cursorsKept {
		delete(p.cursors, p.order[0])
		p.order = p.order[1:]
	}
	c := &cursors{}
	p.cursors[control] = c
	p.order = append(p.order, control)
	return c
}

func controls(ms []shunt.Member) []string {
	list := make([]string, 0, len(ms))
	for _, m := range ms {
		list = append(list, m.Control)
	}
	return list
}

func holds(ms []shunt.Member, control string) bool {
	return slices.ContainsFunc(ms, func(m shunt.Member) bool { return m.Control == control })
}
