// Package meshd implements the node daemon on the platform. Each node serves one local backend server and keeps its
// state in the platform's durable store. It routes callers' requests to the nodes of suitable servers, and admits
// requests to the local backend server.
package meshd

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/shift"
)

type (
	// MeshView is a node's view of the mesh. Its methods are safe for concurrent use. While its lock is held, no other
	// lock of this package is taken except those of peers.
	MeshView struct {
		clock clockwork.Clock
		table atomic.Pointer[route.Table]
		// tenantsSince is nil before the first configuration.
		tenantsSince atomic.Pointer[tenantsSince]
		resume       resumeWatch
		// self and domain are the address and the failure domain of this node, which order the candidates.
		self, domain string
		// spillover is set before the node starts if the index must hold the capacity of the failure domains.
		spillover bool

		generation atomic.Uint64 // incremented by each change that the index depends on
		indexed    atomic.Pointer[meshIndex]

		meshPosition      maxPosition   // of the latest record read from the mesh topic
		peerMeshPosition  maxPosition   // highest meshPosition reported by any node
		peerConfigVersion atomic.Uint64 // newest configuration version reported by any node
		configured        chan struct{} // closed once a configuration is in force

		mu        sync.RWMutex
		evacuated map[string]bool // failure domains that the operator has taken out of service
		orders    map[string]shunt.ShiftOrder
		orderedAt map[string]time.Time   // when an order was first read, by service
		seen      map[string]*seenOrders // what is known of the positions of a service's orders
		// begunBefore has the orders of the moves that had begun when this node started, by service.
		begunBefore map[string]begunMove
		moves       map[string]*moveState
		peers       map[string]*peerNode // by address as in nodeEntry.Calls, including this node
		tallies     map[string]map[string]*shift.AnswerCounts
		// allowances holds what this node has sent since the order of a service's move.
		allowances map[string]*shift.Allowance
		halted     map[string]shunt.Position // order of the move whose new version is halted, by service
		// restoredAt is when the latest restore of the store was noticed, zero if none was, and restoredEra the era that it
		// has begun.
		restoredAt  time.Time
		restoredEra int64
	}

	moveState struct {
		shift.Record
		at shunt.Position // of the record in the mesh topic
		// replacedAt is when a record that is older than this one was read at a later position, zero if none was.
		replacedAt time.Time
		phaseSince time.Time // when this node learned of the phase
		// learnedComplete is set if the move was complete when this node learned of it.
		learnedComplete bool
	}
)

// NewMeshView returns an empty MeshView.
func NewMeshView(c clockwork.Clock) *MeshView {
	return &MeshView{
		clock:      c,
		configured: make(chan struct{}),
		evacuated:  make(map[string]bool),
		orders:     make(map[string]shunt.ShiftOrder),
		orderedAt:  make(map[string]time.Time),
		seen:       make(map[string]*seenOrders),

		begunBefore: make(map[string]begunMove),
		moves:       make(map[string]*moveState),
		peers:       make(map[string]*peerNode),
		tallies:     make(map[string]map[string]*shift.AnswerCounts),
		allowances:  make(map[string]*shift.Allowance),
		halted:      make(map[string]shunt.Position),
	}
}

// Table returns the configuration in force, or nil before the first one.
func (v *MeshView) Table() *route.Table { return v.table.Load() }

// AwaitTable returns the configuration in force. If there is none yet, it waits for one up to the given time.
func (v *MeshView) AwaitTable(ctx context.Context, d time.Duration) *route.Table {
	if t := v.Table(); t != nil || d <= 0 {
		return t
	}
	select {
	case <-v.configured:
	case <-v.clock.After(d):
	case <-ctx.Done():
	}
	return v.Table()
}

// SetConfig puts a configuration in force if it is newer than the current one. The version never decreases during
// the life of the process, whatever the store returns.
func (v *MeshView) SetConfig(c *shunt.MeshConfig) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.table.Load()
	if old != nil && old.Config().Version >= c.Version {
		return
	}
	table := old.Next(c)
	v.recordTenants(table)
	v.table.Store(table)
	if old == nil {
		close(v.configured)
	}
	fields := log.Fields{"version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}
	if tenants := table.Tenants(); tenants != nil {
		fields["tenants"] = tenants.Len()
	}
	log.WithFields(fields).Info("configuration in force")
}

// SetEvacuated records whether the operator has taken a failure domain out of service.
func (v *MeshView) SetEvacuated(domain string, out bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.evacuated[domain] == out {
		return
	}
	v.evacuated[domain] = out
	v.generation.Add(1)
	log.WithFields(log.Fields{"failure_domain": domain, "out": out}).Info("failure domain evacuation changed")
}

// IsEvacuated reports whether the operator has taken a failure domain out of service.
func (v *MeshView) IsEvacuated(domain string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuated[domain]
}

// setTally records the response counts of a node, unless later ones are known: counts that decrease are taken for those of
// a restarted node and added to the evidence once more.
func (v *MeshView) setTally(service, node string, t *shift.AnswerCounts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.tallies[service][node]; old != nil && t.IsOlder(old) {
		return
	}
	if v.tallies[service] == nil {
		v.tallies[service] = make(map[string]*shift.AnswerCounts)
	}
	v.tallies[service][node] = t
}

// setEntry records the entry of a node. The latest entry of an address, in the order in which they were written, replaces
// earlier ones.
func (v *MeshView) setEntry(e nodeEntry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[e.Calls]
	if p == nil {
		p = &peerNode{generation: &v.generation, rank: xxhash.Sum64String(v.self + e.Calls)}
		v.peers[e.Calls] = p
	}
	p.update(e, v.clock.Now())
	v.generation.Add(1)
}

// lookupEntry returns the entry of an address.
func (v *MeshView) lookupEntry(nodeAddr string) (nodeEntry, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	p, ok := v.peers[nodeAddr]
	if !ok {
		return nodeEntry{}, false
	}
	return p.currentEntry(), true
}

// allNodes returns the addresses of all nodes with an entry, in no order.
func (v *MeshView) allNodes() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Collect(maps.Keys(v.peers))
}

// nodeAddresses returns the addresses of all nodes that are reachable and not stopping, in no order. The slice must not be
// modified.
func (v *MeshView) nodeAddresses() []string { return v.index().live }

// rank returns the number of nodes that have an entry, and of those whose addresses come before this node's. Nodes out
// of reach are included: they may be reachable for others, and what they did before counts for a while.
func (v *MeshView) rank() (before, nodes int) {
	ix := v.index()
	return ix.rank, ix.nodes
}

// baselineVersion returns the version that serves when there is no move: the one that was deployed first. A server that
// replaced another of the same version counts from the start of the earlier one. Versions of which no node has ever been
// reached come last, so that the entry of a node that does not exist cannot take a service out of use. No lock of the
// view may be held.
func (v *MeshView) baselineVersion(service string) string {
	ix := v.index()
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.baselineOf(ix, service)
}

// baselineOf returns the version of an index that serves when there is no move. The caller must hold the lock.
func (v *MeshView) baselineOf(ix *meshIndex, service string) string {
	return ix.baseline(service, v.orders[service].Target, v.clock.Now())
}

// compareStarts compares two start times. An unknown one, 0, comes last.
func compareStarts(a, b int64) int {
	switch {
	case a == b:
		return 0
	case a == 0:
		return 1
	case b == 0:
		return -1
	}
	return cmp.Compare(a, b)
}

// otherVersion returns the other version of a move. It is used when a node has refused the given version. A node
// does so if its own state of the move does not allow the version, for example because it has read a later phase than
// this node.
func (v *MeshView) otherVersion(service, version string) versionChoice {
	v.mu.RLock()
	defer v.mu.RUnlock()
	m := v.moves[service]
	switch {
	case m == nil:
		return versionChoice{version: version}
	case version == m.Target:
		return versionChoice{version: m.From}
	default:
		return versionChoice{version: m.Target, offer: shift.Offer{Stage: shift.Takeover, Share: 1}}
	}
}

// allowsVersion reports whether servers of a version may run requests of a service.
func (v *MeshView) allowsVersion(service, version string) bool {
	baseline := v.baselineVersion(service)
	v.mu.RLock()
	defer v.mu.RUnlock()
	if m := v.moves[service]; m != nil {
		return m.Allows(version) && (version != m.Target || !v.isHalted(service, m))
	}
	return version == baseline
}

// candidates returns the nodes that are compared for a request to a service's version. All of them are returned if all
// is set, sorted by address. The slice must not be modified.
func (v *MeshView) candidates(service, version string, all bool) []*peerNode {
	e := v.index().eligible[serviceVersion{service, version}]
	switch {
	case e == nil:
		return nil
	case all:
		return e.all
	}
	return e.candidates(rand.IntN)
}

// serviceSpec returns the configuration of a service, and whether the configuration in force has the service.
func (v *MeshView) serviceSpec(service string) (shunt.ServiceSpec, bool) {
	t := v.table.Load()
	if t == nil {
		return shunt.ServiceSpec{}, false
	}
	spec, ok := t.Config().Services[service]
	return spec, ok
}

// replaceEvacuated replaces the set of failure domains that the operator has taken out of service.
func (v *MeshView) replaceEvacuated(evacuated map[string]bool) {
	v.mu.RLock()
	var returned []string
	for domain, out := range v.evacuated {
		if out && !evacuated[domain] {
			returned = append(returned, domain)
		}
	}
	v.mu.RUnlock()
	for _, domain := range returned {
		v.SetEvacuated(domain, false)
	}
	for domain, out := range evacuated {
		v.SetEvacuated(domain, out)
	}
}

// liveEntries returns the entries of a failure domain's nodes that are reachable and not stopping, those with the
// fastest links first, then by address.
func (v *MeshView) liveEntries(domain string) []nodeEntry {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []nodeEntry
	for _, p := range v.peers {
		if e := p.currentEntry(); e.Domain == domain && !e.Stopping && !p.isUnreachable() {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareLinks)
	return list
}

// compareLinks orders nodes by their links, the fastest first, then by address.
func compareLinks(a, b nodeEntry) int {
	return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Calls, b.Calls))
}

// controlAddresses returns the addresses of the feeds of the nodes with servers of a service's version, without this
// node.
func (v *MeshView) controlAddresses(service, version string) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []string
	for _, p := range v.peers {
		e := p.currentEntry()
		if e.Service == service && e.Version == version && e.Calls != v.self && e.Control != "" && !e.Stopping {
			list = append(list, e.Control)
		}
	}
	return list
}

// domains returns the failure domains of all nodes that are not stopping, sorted. The slice must not be modified.
func (v *MeshView) domains() []string { return v.index().domains }

// services returns the services of all nodes that are not stopping, sorted. The slice must not be modified.
func (v *MeshView) services() []string { return v.index().services }
