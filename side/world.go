// Package side is the node beside a backend server on a platform that keeps what must last: it takes callers'
// requests, sends them to the nodes of suitable servers, and admits requests to its own server.
package side

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/shift"
)

type (
	// entry is what a node tells the others of its backend server. It is a record of the members topic.
	entry struct {
		Calls    string `json:"calls"`   // address of the node for calls, identifies the entry
		Control  string `json:"control"` // address of the node's feed
		Link     int    `json:"link"`    // megabits a second of the node's link
		Domain   string `json:"domain"`
		Service  string `json:"service"`
		Server   string `json:"server"` // identifier
		Born     int64  `json:"born"`
		Sequence int64  `json:"seq"`
		Version  string `json:"version"`
		Since    int64  `json:"since"` // start of the first server of this version here, milliseconds since the epoch
		Slots    int    `json:"slots"`
		Leaving  bool   `json:"leaving,omitempty"`
		ColdMS   int64  `json:"coldMs,omitempty"`
		Started  int64  `json:"started"` // start of the node, nanoseconds since the epoch
		Stopping bool   `json:"stopping,omitempty"`
	}

	// World is what a node believes of the mesh. Methods may be called concurrently. Its lock is never held while
	// another lock of this package is taken, but for those of peers.
	World struct {
		clock clockwork.Clock
		table atomic.Pointer[route.Table]

		meshAt     atomic.Int64  // offset of the latest record read of the mesh topic
		seenMesh   atomic.Int64  // the same of the node that is furthest
		seenConfig atomic.Uint64 // newest version of the configuration that a node has told of
		configured chan struct{} // closed once a configuration is in force

		mu     sync.RWMutex
		out    map[string]bool // failure domains that the operator has taken out
		orders map[string]shunt.ShiftOrder
		heard  map[string]time.Time // when an order was first seen, by service
		moves  map[string]*moveState
		peers  map[string]*peerNode // by address for calls
		tally  map[string]map[string]*shift.Tally
	}

	moveState struct {
		shift.Record
		since time.Time // when this node learned of the phase
	}
)

// NewWorld returns a world without knowledge.
func NewWorld(c clockwork.Clock) *World {
	return &World{
		clock:      c,
		configured: make(chan struct{}),
		out:        make(map[string]bool),
		orders:     make(map[string]shunt.ShiftOrder),
		heard:      make(map[string]time.Time),
		moves:      make(map[string]*moveState),
		peers:      make(map[string]*peerNode),
		tally:      make(map[string]map[string]*shift.Tally),
	}
}

// Table returns the configuration in force, or nil when none is known yet.
func (w *World) Table() *route.Table { return w.table.Load() }

// AwaitTable returns the configuration in force. While none is known it waits for a time.
func (w *World) AwaitTable(ctx context.Context, d time.Duration) *route.Table {
	if t := w.Table(); t != nil || d <= 0 {
		return t
	}
	select {
	case <-w.configured:
	case <-w.clock.After(d):
	case <-ctx.Done():
	}
	return w.Table()
}

// SetConfig puts a configuration in force unless it is older than the current one. Versions never fall while the
// process lives, whatever the store hands out.
func (w *World) SetConfig(c *shunt.MeshConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.table.Load(); old != nil && old.Config().Version >= c.Version {
		return
	}
	if w.table.Swap(route.New(c)) == nil {
		close(w.configured)
	}
	log.WithFields(log.Fields{
		"version": c.Version, "routes": len(c.Routes), "services": len(c.Services),
	}).Info("configuration in force")
}

// SetOut records that the operator has taken a failure domain out or back.
func (w *World) SetOut(domain string, out bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out[domain] == out {
		return
	}
	w.out[domain] = out
	log.WithFields(log.Fields{"failure_domain": domain, "out": out}).Info("failure domain changed")
}

// Out reports whether the operator has taken a failure domain out.
func (w *World) Out(domain string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.out[domain]
}

// SetOrder records the operator's order to move a service's traffic.
func (w *World) SetOrder(o shunt.ShiftOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.orders[o.Service]; ok && old.Offset >= o.Offset {
		return
	}
	w.orders[o.Service] = o
	w.heard[o.Service] = w.clock.Now()
	log.WithFields(log.Fields{
		"service": o.Service, "version": o.Target, "within": o.Within, "order": o.Offset,
	}).Info("move ordered")
}

// setMove records how far a service's move is.
func (w *World) setMove(service string, r shift.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.moves[service]
	if old != nil && (old.Order > r.Order || old.Order == r.Order && old.Phase == r.Phase) {
		return
	}
	w.moves[service] = &moveState{Record: r, since: w.clock.Now()}
	log.WithFields(log.Fields{
		"service": service, "from": r.From, "version": r.Target, "phase": r.Phase, "order": r.Order, "reason": r.Why,
	}).Info("move changed")
}

func (w *World) setTally(service, node string, t *shift.Tally) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tally[service] == nil {
		w.tally[service] = make(map[string]*shift.Tally)
	}
	w.tally[service][node] = t
}

// setEntry records what a node tells of its server. The latest record of an address holds.
func (w *World) setEntry(e entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.peers[e.Calls]
	if p == nil {
		p = &peerNode{}
		w.peers[e.Calls] = p
	}
	p.set(e, w.clock.Now())
}

// entryOf returns the entry of an address.
func (w *World) entryOf(calls string) (entry, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	p, ok := w.peers[calls]
	if !ok {
		return entry{}, false
	}
	return p.get(), true
}

// nodes returns the addresses of all nodes that neither stop nor are lost, sorted.
func (w *World) nodes() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	list := make([]string, 0, len(w.peers))
	for addr, p := range w.peers {
		if !p.get().Stopping && !p.isLost() {
			list = append(list, addr)
		}
	}
	slices.Sort(list)
	return list
}

// baseline returns the version that serves when there is no move: that which was there first. A server that took the
// place of one of its version counts from that one's start.
func (w *World) baseline(service string) string {
	var oldest entry
	for _, p := range w.peers {
		e := p.get()
		if e.Service != service || e.Version == "" {
			continue
		}
		if oldest.Version == "" || cmp.Or(cmp.Compare(e.Since, oldest.Since), cmp.Compare(e.Calls, oldest.Calls)) < 0 {
			oldest = e
		}
	}
	return oldest.Version
}

// version returns the version that a request to a service should meet, whether it is the new version of a trial,
// and whether that is to be tried on a single server.
func (w *World) version(service string, draw, share float64) (version string, trial, focus bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	m := w.moves[service]
	if m == nil {
		return w.baseline(service), false, false
	}
	if o, ok := w.orders[service]; ok && o.Offset == m.Order && share > 0 {
		share, focus = shift.Share(w.clock.Since(w.heard[service]), o.Within, share)
	}
	v := m.Version(draw, share)
	trial = m.Phase == shift.Trial && v == m.Target
	return v, trial, trial && focus
}

// otherVersion returns the version that serves when a node says that the given one does not: it knows of a later phase
// of the move.
func (w *World) otherVersion(service, version string) string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	m := w.moves[service]
	switch {
	case m == nil:
		return version
	case version == m.Target:
		return m.From
	default:
		return m.Target
	}
}

// allows reports whether servers of a version may run a service's requests.
func (w *World) allows(service, version string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if m := w.moves[service]; m != nil {
		return m.Allows(version)
	}
	return version == w.baseline(service)
}

// servers returns the peers that may run requests of a service's version.
func (w *World) servers(service, version string) []*peerNode {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []*peerNode
	for _, p := range w.peers {
		e := p.get()
		if e.Service == service && e.Version == version && !e.Leaving && !e.Stopping && e.Server != "" &&
			!w.out[e.Domain] {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peerNode) int { return cmp.Compare(a.get().Calls, b.get().Calls) })
	return list
}

// spec returns what the configuration says of a service.
func (w *World) spec(service string) shunt.ServiceSpec {
	t := w.table.Load()
	if t == nil {
		return shunt.ServiceSpec{}
	}
	return t.Config().Services[service]
}

// setOutOnly records the failure domains that the operator has taken out, when all are known.
func (w *World) setOutOnly(out map[string]bool) {
	w.mu.RLock()
	var back []string
	for domain, is := range w.out {
		if is && !out[domain] {
			back = append(back, domain)
		}
	}
	w.mu.RUnlock()
	for _, domain := range back {
		w.SetOut(domain, false)
	}
	for domain, is := range out {
		w.SetOut(domain, is)
	}
}

// read records how far the mesh topic was read.
func (w *World) read(offset int64) { raise(&w.meshAt, offset) }

// known returns the version of the configuration and how far the mesh topic was read.
func (w *World) known() (config uint64, mesh int64) {
	if t := w.table.Load(); t != nil {
		config = t.Config().Version
	}
	return config, w.meshAt.Load()
}

// seen records what another node knows.
func (w *World) seen(config uint64, mesh int64) {
	raise(&w.seenMesh, mesh)
	for old := w.seenConfig.Load(); config > old; old = w.seenConfig.Load() {
		if w.seenConfig.CompareAndSwap(old, config) {
			return
		}
	}
}

func (w *World) behindConfig() bool {
	config, _ := w.known()
	return config < w.seenConfig.Load()
}

func (w *World) behindMesh() bool { return w.meshAt.Load() < w.seenMesh.Load() }

// live returns the entries of the nodes of a failure domain that neither stop nor are lost, those with
// the fastest links first, then by address.
func (w *World) live(domain string) []entry {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []entry
	for _, p := range w.peers {
		if e := p.get(); e.Domain == domain && !e.Stopping && !p.isLost() {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Calls, b.Calls))
	})
	return list
}

// domains returns the failure domains of all nodes that do not stop, sorted.
func (w *World) domains() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []string
	for _, p := range w.peers {
		if e := p.get(); !e.Stopping && !slices.Contains(list, e.Domain) {
			list = append(list, e.Domain)
		}
	}
	slices.Sort(list)
	return list
}

// services returns the services of all nodes that do not stop.
func (w *World) services() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []string
	for _, p := range w.peers {
		if e := p.get(); !e.Stopping && e.Service != "" && !slices.Contains(list, e.Service) {
			list = append(list, e.Service)
		}
	}
	return list
}

func raise(to *atomic.Int64, v int64) {
	for old := to.Load(); v > old; old = to.Load() {
		if to.CompareAndSwap(old, v) {
			return
		}
	}
}
