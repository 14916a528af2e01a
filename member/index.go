package member

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagershunt.example/shunt"
)

type (
	// index is an immutable snapshot of the table for lookups on the request path.
	index struct {
		services map[string]readyServers
		domains  map[string][]string // control addresses of live members, sorted
		names    []string            // failure domains, sorted
		holders  *sync.Map           // holderKey to []shunt.Member
	}

	// readyServers holds the ready members of a service, ordered by version.
	readyServers struct {
		all      []shunt.Member
		versions map[string][]shunt.Member // subslices of all
	}

	holderKey struct {
		role   string
		domain string
		n      int
	}

	weightedControl struct {
		control string
		weight  uint64
	}
)

// Servers implements shunt.Directory. It always omits members that are leaving, dead or not ready, and those in failure
// domains that are out of service. It omits suspected members and those in unreachable failure domains if the service
// has other members, of whichever version.
func (t *Table) Servers(service, version string) []shunt.Member {
	s := t.index.Load().services[service]
	if version == "" {
		return s.all
	}
	return s.versions[version]
}

// RoleHolders implements shunt.Directory. It returns the n highest-ranked live members for a role.
func (t *Table) RoleHolders(role, domain string, n int) []shunt.Member {
	ix := t.index.Load()
	key := holderKey{role: role, domain: domain, n: n}
	if ms, ok := ix.holders.Load(key); ok {
		return ms.([]shunt.Member)
	}
	ms := t.lookupAll(rankControls(role, ix.candidates(domain), n))
	ix.holders.Store(key, ms)
	return ms
}

// Live returns the control addresses of the live members, alive or suspected, of a failure domain, sorted. The slice
// must not be modified.
func (t *Table) Live(domain string) []string { return t.index.Load().domains[domain] }

// Domains implements shunt.Directory.
func (t *Table) Domains() []string { return t.index.Load().names }

// SetOutOfService sets the failure domains that operators have taken out of service.
func (t *Table) SetOutOfService(domains []string) { t.setDomains(t.outOfService, domains) }

// SetUnreachable sets the failure domains that this node cannot reach.
func (t *Table) SetUnreachable(domains []string) { t.setDomains(t.unreachable, domains) }

// Unreachable returns the failure domains that this node cannot reach, sorted.
func (t *Table) Unreachable() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.unreachable))
}

// Rank orders addresses by rendezvous hashing for a key, such as a child's address. This distributes children evenly
// over parents.
func Rank(key string, controls []string) []string {
	return rankControls("parent of "+key, controls, len(controls))
}

func (t *Table) setDomains(set map[string]bool, domains []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := make(map[string]bool, len(domains))
	for _, d := range domains {
		wanted[d] = true
	}
	if maps.Equal(set, wanted) {
		return
	}
	changes := newChangeSet()
	for d := range set {
		changes.domains[d] = struct{}{}
	}
	clear(set)
	maps.Copy(set, wanted)
	for s := range t.services {
		changes.services[s] = struct{}{}
	}
	for _, d := range domains {
		changes.domains[d] = struct{}{}
	}
	t.updateIndex(changes)
}

// updateIndex replaces the changed parts of the index and wakes all callers that wait for a change.
func (t *Table) updateIndex(changes changeSet) {
	if len(changes.services) == 0 && len(changes.domains) == 0 {
		return
	}
	old := t.index.Load()
	ix := &index{services: maps.Clone(old.services), domains: maps.Clone(old.domains), holders: &sync.Map{}}
	if ix.services == nil {
		ix.services = make(map[string]readyServers)
		ix.domains = make(map[string][]string)
	}
	for s := range changes.services {
		if ms := t.readyMembers(s); len(ms) > 0 {
			ix.services[s] = newReadyServers(ms)
		} else {
			delete(ix.services, s)
		}
	}
	for d := range changes.domains {
		if live, known := t.liveControls(d); known {
			ix.domains[d] = live
		} else {
			delete(ix.domains, d)
		}
	}
	ix.names = slices.Sorted(maps.Keys(ix.domains))
	t.index.Store(ix)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) readyMembers(service string) []shunt.Member {
	var preferred, fallback []shunt.Member
	for _, e := range t.services[service] {
		switch {
		case !e.Ready || e.Status > shunt.StatusSuspect || t.outOfService[e.Domain]:
		case e.Status == shunt.StatusSuspect || t.unreachable[e.Domain]:
			fallback = append(fallback, e.Member)
		default:
			preferred = append(preferred, e.Member)
		}
	}
	if len(preferred) == 0 {
		return fallback
	}
	return preferred
}

func (t *Table) liveControls(domain string) (live []string, known bool) {
	for control, e := range t.domains[domain] {
		known = true
		if e.Status <= shunt.StatusSuspect {
			live = append(live, control)
		}
	}
	slices.Sort(live)
	return live, known
}

func (t *Table) lookupAll(controls []string) []shunt.Member {
	ms := make([]shunt.Member, 0, len(controls))
	for _, c := range controls {
		if m, ok := t.Lookup(c); ok {
			ms = append(ms, m)
		}
	}
	return ms
}

func (ix *index) candidates(domain string) []string {
	if domain != "" {
		return ix.domains[domain]
	}
	var all []string
	for _, controls := range ix.domains {
		all = append(all, controls...)
	}
	return all
}

func newReadyServers(ms []shunt.Member) readyServers {
	slices.SortFunc(ms, func(a, b shunt.Member) int {
		if c := strings.Compare(a.Version, b.Version); c != 0 {
			return c
		}
		return strings.Compare(a.Control, b.Control)
	})
	s := readyServers{all: ms, versions: make(map[string][]shunt.Member)}
	for start := 0; start < len(ms); {
		end := start
		for end < len(ms) && ms[end].Version == ms[start].Version {
			end++
		}
		s.versions[ms[start].Version] = ms[start:end:end]
		start = end
	}
	return s
}

func rankControls(role string, controls []string, n int) []string {
	rs := make([]weightedControl, 0, len(controls))
	for _, c := range controls {
		rs = append(rs, weightedControl{control: c, weight: hash(role, c)})
	}
	slices.SortFunc(rs, func(a, b weightedControl) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return strings.Compare(a.control, b.control)
	})
	if n < len(rs) {
		rs = rs[:n]
	}
	out := make([]string, 0, len(rs))
	for _, r := range rs {
		out = append(out, r.control)
	}
	return out
}

func hash(role, control string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(role)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(control)
	return d.Sum64()
}

func newChangeSet() changeSet {
	return changeSet{services: make(map[string]struct{}), domains: make(map[string]struct{})}
}

func (changes changeSet) add(m shunt.Member) {
	changes.domains[m.Domain] = struct{}{}
	if m.Service != "" {
		changes.services[m.Service] = struct{}{}
	}
}
