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
	// maxReaderCandidates is the maximum number of reader candidates per failure domain: the active readers, then the
	// next-ranked members in case the readers fail.
	maxReaderCandidates = 5
	// maxCursors is the number of polled nodes whose cursors are kept in case they are selected as parent again.
	maxCursors = 8
)

type (
	// parentHistory holds failures and cursors of the nodes polled so far. Hub.mu guards it.
	parentHistory struct {
		failed  map[string]parentFailure
		cursors map[string]*syncCursor
		order   []string // keys of cursors, oldest first
	}

	parentFailure struct {
		count int
		until time.Time
		stale bool // the node answers, but its configuration is stale
	}

	// syncCursor is the position of a node in another node's lists.
	syncCursor struct {
		members         member.Cursor
		facts           FactCursor
		unreachableHash uint64 // for links: FetchReply.Lost of the last reply
		caughtUp        bool
		mismatchSince   time.Time // since when the digests differ
	}
)

// currentRole returns the node's role among the live members of its failure domain.
func (h *Hub) currentRole() Role {
	domain := h.self.Domain
	if containsControl(h.table.RoleHolders(member.RoleReader, domain, member.ReadersPerDomain), h.self.Control) {
		return RoleReader
	}
	if containsControl(h.relayMembers(), h.self.Control) {
		return RoleRelay
	}
	return RoleLeaf
}

// relayMembers returns the relay nodes of this failure domain. Their number is the square root of its size n, so a
// relay node has about sqrt(n) children and each of the two readers about half as many.
func (h *Hub) relayMembers() []shunt.Member {
	n := len(h.table.Live(h.self.Domain))
	return h.table.RoleHolders("relay", h.self.Domain, int(math.Ceil(math.Sqrt(float64(n)))))
}

// parentCandidates returns the nodes to poll in order of preference. fallback holds the next-ranked reader candidates
// and the seeds. They are polled only if no preferred node responds, because they may be children of this node and
// polling them could form a loop.
func (h *Hub) parentCandidates(role Role) (preferred, fallback []string) {
	readers := controlAddresses(h.table.RoleHolders(member.RoleReader, h.self.Domain, maxReaderCandidates))
	active := readers[:min(len(readers), member.ReadersPerDomain)]
	if role == RoleLeaf {
		relayNodes := slices.DeleteFunc(
			controlAddresses(h.relayMembers()),
			func(c string) bool { return slices.Contains(active, c) },
		)
		preferred = append(preferred, member.Rank(h.self.Control, relayNodes)...)
	}
	preferred = append(preferred, member.Rank(h.self.Control, active)...)
	fallback = append(slices.Clone(readers[len(active):]), h.opts.Seeds...)
	return slices.DeleteFunc(preferred, h.isSelf), slices.DeleteFunc(fallback, h.isSelf)
}

// pickParent returns the first candidate that is neither failing nor stale. If all responsive ones are stale, as in
// an outage of the log, it returns the preferred one of them; if no preferred candidate responds, the first available
// fallback; if there is none, the candidate whose backoff ends first.
func (h *Hub) pickParent(role Role) (string, error) {
	candidates, fallback := h.parentCandidates(role)
	if len(candidates)+len(fallback) == 0 {
		return "", errNoParent
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	available := func(c string) bool { return !h.parents.failed[c].until.After(now) }
	responsive := func(c string) bool { return available(c) || h.parents.failed[c].stale }
	best := slices.IndexFunc(candidates, available)
	if best < 0 {
		best = slices.IndexFunc(candidates, responsive)
	}
	if best < 0 {
		candidates = append(candidates, fallback...)
		best = slices.IndexFunc(candidates, available)
	}
	if best < 0 {
		first := slices.MinFunc(candidates, func(a, b string) int {
			return h.parents.failed[a].until.Compare(h.parents.failed[b].until)
		})
		best = slices.Index(candidates, first)
	}
	parent := candidates[best]
	if h.parent != parent {
		h.parent = parent
		h.reports.notify() // the new parent needs the confirmations sent to the former one
	}
	return parent, nil
}

// markUnavailable makes pickParent prefer other nodes until the duration has passed. stale means that the node answers,
// but with an outdated configuration.
func (h *Hub) markUnavailable(control string, duration time.Duration, stale bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := h.parents.failed[control]
	if failed.stale = stale; !stale {
		failed.count++
	}
	failed.until = h.clock.Now().Add(duration)
	h.parents.failed[control] = failed
}

// clearFailures resets the failures of a node.
func (h *Hub) clearFailures(control string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.parents.failed, control)
}

func (h *Hub) failureCount(control string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parents.failed[control].count
}

// runRole runs the loops of the node's role, and restarts them when the role changes.
func (h *Hub) runRole(ctx context.Context) {
	for ctx.Err() == nil {
		role := h.currentRole()
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
				h.runReader(roleCtx)
			} else {
				h.runChild(roleCtx)
			}
		}()
		h.waitRoleChange(ctx, role)
		cancel()
		<-done
	}
}

func (h *Hub) waitRoleChange(ctx context.Context, role Role) {
	for ctx.Err() == nil {
		changed := h.table.Changed()
		if h.currentRole() != role {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func newParents() parentHistory {
	return parentHistory{failed: make(map[string]parentFailure), cursors: make(map[string]*syncCursor)}
}

// cursor returns the position in another node's lists, a new one if there is none.
func (p *parentHistory) cursor(control string) *syncCursor {
	if cur, ok := p.cursors[control]; ok {
		return cur
	}
	if len(p.order) >= maxCursors {
		delete(p.cursors, p.order[0])
		p.order = p.order[1:]
	}
	cur := &syncCursor{}
	p.cursors[control] = cur
	p.order = append(p.order, control)
	return cur
}

func controlAddresses(members []shunt.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Control)
	}
	return list
}

func containsControl(members []shunt.Member, control string) bool {
	return slices.ContainsFunc(members, func(m shunt.Member) bool { return m.Control == control })
}
