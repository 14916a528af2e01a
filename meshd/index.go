package meshd

import (
	"cmp"
	"slices"
	"time"

	"tanagershunt.example/shunt/spill"
)

const (
	// maxLocalCandidates, maxRemoteCandidates and drawnCandidates bound the nodes that are compared for a request, in the
	// sender's failure domain and in the others. The first two sets are the same for each request of a sender, so that
	// connections are reused and load reports are recent, and differ between senders, so that each server is in
	// as many. From each of the rest, drawnCandidates nodes are drawn for each request.
	maxLocalCandidates  = 32
	maxRemoteCandidates = 16
	drawnCandidates     = 4
	// absentAfter is how long a node that this process has never reached may be out of reach before it counts as absent.
	// It exceeds the time that a restart of the node's instance takes.
	absentAfter = 15 * time.Second
)

type (
	// meshIndex is a summary of the entries and the reachability of the nodes. It does not change; requests read it
	// without a lock.
	meshIndex struct {
		generation uint64                    // of the view from which it was built
		nodes      int                       // entries, also of nodes that are stopping or out of reach
		rank       int                       // of this node among them, by address
		live       []string                  // addresses of the nodes that are reachable and not stopping
		domains    []string                  // failure domains of the nodes that are not stopping, sorted
		services   []string                  // services of the nodes that are not stopping, sorted
		versions   map[string][]versionState // by service
		eligible   map[serviceVersion]*eligibleNodes
		// capacity is what spillover needs to know of the failure domains. It is nil without spillover.
		capacity map[serviceVersion][]spill.Domain
	}

	serviceVersion struct{ service, version string }

	// versionState is what the entries show of a version of a service.
	versionState struct {
		version string
		first   versionStart // the earliest start, of a node that may exist if there is one
		oldest  versionStart // the earliest start, whether its node may exist or not
		// absentFrom is when the last of the version's nodes counts as absent. It is set if none may exist.
		absentFrom time.Time
	}

	// versionStart is the start of a version at a node.
	versionStart struct {
		addr   string
		since  int64
		exists bool // whether the node may exist
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
		generation: generation,
		nodes:      len(v.peers),
		live:       make([]string, 0, len(v.peers)),
		versions:   make(map[string][]versionState),
		eligible:   make(map[serviceVersion]*eligibleNodes),
	}
	groups := make(map[serviceVersion][]indexedNode)
	var capacity capacityCount
	domains, services := make(map[string]bool), make(map[string]bool)
	for addr, p := range v.peers {
		if addr < v.self {
			ix.rank++
		}
		e, exists, unreachableSince := p.indexed()
		if e.Service != "" && e.Version != "" {
			ix.addVersion(e, exists, unreachableSince)
		}
		if e.Stopping {
			continue
		}
		if unreachableSince.IsZero() {
			ix.live = append(ix.live, addr)
		}
		domains[e.Domain] = true
		if v.spillover {
			capacity.add(e, unreachableSince.IsZero(), v.evacuated[e.Domain])
		}
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
	ix.capacity = capacity.list()
	ix.domains, ix.services = sortedKeys(domains), sortedKeys(services)
	return ix
}

// addVersion adds the version of a node's entry to the versions of its service.
func (ix *meshIndex) addVersion(e nodeEntry, exists bool, unreachableSince time.Time) {
	start := versionStart{e.Calls, e.Since, exists}
	absentFrom := unreachableSince.Add(absentAfter)
	versions := ix.versions[e.Service]
	i := slices.IndexFunc(versions, func(s versionState) bool { return s.version == e.Version })
	if i < 0 {
		ix.versions[e.Service] = append(versions, versionState{e.Version, start, start, absentFrom})
		return
	}
	s := &versions[i]
	if start.before(s.first) {
		s.first = start
	}
	if start.isOlder(s.oldest) {
		s.oldest = start
	}
	if absentFrom.After(s.absentFrom) {
		s.absentFrom = absentFrom
	}
}

// baseline returns the version of a service that serves when there is no move: the one that was deployed first. Versions
// without a node that may exist come last.
//
// With an order to move to the version that results, an older one counts until its nodes have been out of reach for
// absentAfter. A node that has just started has reached no other node, and the servers of the new version start with the
// order: a restart of the old version's nodes must not put the new one in service without a trial.
func (ix *meshIndex) baseline(service, ordered string, now time.Time) string {
	versions := ix.versions[service]
	if len(versions) == 0 {
		return ""
	}
	best := versions[0]
	for _, s := range versions[1:] {
		if s.first.before(best.first) {
			best = s
		}
	}
	if best.version != ordered {
		return best.version
	}
	for _, s := range versions {
		if !s.first.exists && now.Before(s.absentFrom) && s.oldest.isOlder(best.oldest) {
			best = s
		}
	}
	return best.version
}

// before reports whether a start goes before another one in the choice of the version in service.
func (s versionStart) before(other versionStart) bool {
	if s.exists != other.exists {
		return s.exists
	}
	return s.isOlder(other)
}

func (s versionStart) isOlder(other versionStart) bool {
	return cmp.Or(compareStarts(s.since, other.since), cmp.Compare(s.addr, other.addr)) < 0
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
