package meshd

import (
	"cmp"
	"slices"
)

const (
	// maxLocalCandidates, maxRemoteCandidates and drawnCandidates bound the nodes that are compared for a request, in the
	// sender's failure domain and in the others. The first two sets are the same for each request of a sender, so that
	// connections are reused and load reports are recent, and differ between senders, so that each server is in
	// as many. From each of the rest, drawnCandidates nodes are drawn for each request.
	maxLocalCandidates  = 32
	maxRemoteCandidates = 16
	drawnCandidates     = 4
)

type (
	// meshIndex is a summary of the entries and the reachability of the nodes. It does not change; requests read it
	// without a lock.
	meshIndex struct {
		generation uint64   // of the view from which it was built
		live       []string // addresses of the nodes that are reachable and not stopping
		domains    []string // failure domains of the nodes that are not stopping, sorted
		services   []string // services of the nodes that are not stopping, sorted
		baselines  map[string]baseline
		eligible   map[serviceVersion]*eligibleNodes
	}

	serviceVersion struct{ service, version string }

	// baseline is the version of a service that serves when there is no move, with the entry that decides it.
	baseline struct {
		version, addr string
		since         int64
		exists        bool // whether the node of the entry may exist
	}

	// eligibleNodes are the nodes whose servers may run requests of a service's version.
	eligibleNodes struct {
		all           []*peerNode // sorted by address
		local, remote []*peerNode // in and out of the sender's failure domain, in an order of the sender's own
	}

	indexedNode struct {
		peer  *peerNode
		addr  string
		local bool
	}
)

// index returns the index of the current entries. It is built again after a change. No lock of the view may be held.
func (v *MeshView) index() *meshIndex {
	generation := v.generation.Load()
	if ix := v.indexed.Load(); ix != nil && ix.generation == generation {
		return ix
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	ix := v.buildIndex(generation)
	v.indexed.Store(ix)
	return ix
}

// buildIndex builds the index. The caller must hold the lock.
func (v *MeshView) buildIndex(generation uint64) *meshIndex {
	ix := &meshIndex{
		generation: generation, live: make([]string, 0, len(v.peers)), baselines: make(map[string]baseline),
		eligible: make(map[serviceVersion]*eligibleNodes),
	}
	groups := make(map[serviceVersion][]indexedNode)
	domains, services := make(map[string]bool), make(map[string]bool)
	for addr, p := range v.peers {
		e, exists, unreachable := p.indexed()
		if e.Service != "" && e.Version != "" {
			candidate := baseline{e.Version, addr, e.Since, exists}
			if oldest, ok := ix.baselines[e.Service]; !ok || candidate.before(oldest) {
				ix.baselines[e.Service] = candidate
			}
		}
		if e.Stopping {
			continue
		}
		if !unreachable {
			ix.live = append(ix.live, addr)
		}
		domains[e.Domain] = true
		if e.Service == "" {
			continue
		}
		services[e.Service] = true
		if !e.Leaving && e.Server != "" && !v.evacuated[e.Domain] {
			key := serviceVersion{e.Service, e.Version}
			groups[key] = append(groups[key], indexedNode{p, addr, e.Domain == v.domain})
		}
	}
	for key, nodes := range groups {
		ix.eligible[key] = newEligibleNodes(nodes)
	}
	ix.domains, ix.services = sortedKeys(domains), sortedKeys(services)
	return ix
}

// before reports whether a baseline goes before another one of the same service.
func (b baseline) before(other baseline) bool {
	if b.exists != other.exists {
		return b.exists
	}
	return cmp.Or(compareStarts(b.since, other.since), cmp.Compare(b.addr, other.addr)) < 0
}

func newEligibleNodes(nodes []indexedNode) *eligibleNodes {
	e := &eligibleNodes{all: make([]*peerNode, 0, len(nodes))}
	slices.SortFunc(nodes, func(a, b indexedNode) int { return cmp.Compare(a.addr, b.addr) })
	for _, n := range nodes {
		e.all = append(e.all, n.peer)
	}
	slices.SortFunc(nodes, func(a, b indexedNode) int { return cmp.Compare(a.peer.rank, b.peer.rank) })
	for _, n := range nodes {
		if n.local {
			e.local = append(e.local, n.peer)
		} else {
			e.remote = append(e.remote, n.peer)
		}
	}
	return e
}

// candidates returns the nodes that are compared for one request. The function draw returns a random number from 0 to
// n-1. The slice must not be modified.
func (e *eligibleNodes) candidates(draw func(n int) int) []*peerNode {
	if len(e.local) <= maxLocalCandidates+drawnCandidates && len(e.remote) <= maxRemoteCandidates+drawnCandidates {
		return e.all
	}
	list := make([]*peerNode, 0, maxLocalCandidates+maxRemoteCandidates+2*drawnCandidates)
	list = appendCandidates(list, e.local, maxLocalCandidates, draw)
	return appendCandidates(list, e.remote, maxRemoteCandidates, draw)
}

// appendCandidates appends the first nodes, and some that are drawn from the others. One may be drawn twice.
func appendCandidates(list, nodes []*peerNode, first int, draw func(n int) int) []*peerNode {
	if len(nodes) <= first+drawnCandidates {
		return append(list, nodes...)
	}
	list = append(list, nodes[:first]...)
	for range drawnCandidates {
		list = append(list, nodes[first+draw(len(nodes)-first)])
	}
	return list
}

func sortedKeys(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for key := range set {
		list = append(list, key)
	}
	slices.Sort(list)
	return list
}
