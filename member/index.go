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
	// index is an immutable view of the table for the hot path.
	index struct {
		services map[string]servers
		domains  map[string][]string // control addresses of live members, sorted
		names    []string            // failure domains, sorted
		holders  *sync.Map           // holderKey to []shunt.Member
	}

	// servers holds the ready members of a service, ordered by version.
	servers struct {
		all      []shunt.Member
		versions map[string][]shunt.Member // parts of all
	}

	holderKey struct {
		role   string
		domain string
		n      int
	}

	ranked struct {
		control string
		weight  uint64
	}
)

// Servers implements shunt.Directory. Failure domains that are out are left out always; suspected members
// and those in unreachable failure domains only while others remain.
func (t *Table) Servers(service, version string) []shunt.Member {
	s := t.index.Load().services[service]
	if version == "" {
		return s.all
	}
	return s.versions[version]
}

// Holders implements shunt.Directory.
func (t *Table) Holders(role, domain string, n int) []shunt.Member {
	ix := t.index.Load()
	key := holderKey{role: role, domain: domain, n: n}
	if ms, ok := ix.holders.Load(key); ok {
		return ms.([]shunt.Member)
	}
	ms := t.lookupAll(rank(role, ix.candidates(domain), n))
	ix.holders.Store(key, ms)
	return ms
}

// Live returns the control addresses of the live members of a failure domain, sorted. The slice must not
// be modified.
func (t *Table) Live(domain string) []string { return t.index.Load().domains[domain] }

// Domains implements shunt.Directory.
func (t *Table) Domains() []string { return t.index.Load().names }

// SetOut sets the failure domains that operators have taken out of service.
func (t *Table) SetOut(domains []string) { t.setDomains(t.out, domains) }

// SetUnreachable sets the failure domains that this node cannot reach.
func (t *Table) SetUnreachable(domains []string) { t.setDomains(t.unreachable, domains) }

// Unreachable returns the failure domains that this node cannot reach, sorted.
func (t *Table) Unreachable() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.unreachable))
}

// Rank orders members for one child by rendezvous hashing, so that children spread evenly over parents.
func Rank(child string, controls []string) []string {
	return rank("parent of "+child, controls, len(controls))
}

func (t *Table) setDomains(set map[string]bool, domains []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	want := make(map[string]bool, len(domains))
	for _, d := range domains {
		want[d] = true
	}
	if maps.Equal(set, want) {
		return
	}
	ch := newTouched()
	for d := range set {
		ch.domains[d] = struct{}{}
	}
	clear(set)
	maps.Copy(set, want)
	for s := range t.services {
		ch.services[s] = struct{}{}
	}
	for _, d := range domains {
		ch.domains[d] = struct{}{}
	}
	t.publish(ch)
}

// publish replaces the parts of the index that changed and wakes those that wait for a change.
func (t *Table) publish(ch touched) {
	if len(ch.services) == 0 && len(ch.domains) == 0 {
		return
	}
	old := t.index.Load()
	ix := &index{services: maps.Clone(old.services), domains: maps.Clone(old.domains), holders: &sync.Map{}}
	if ix.services == nil {
		ix.services = make(map[string]servers)
		ix.domains = make(map[string][]string)
	}
	for s := range ch.services {
		if ms := t.ready(s); len(ms) > 0 {
			ix.services[s] = newServers(ms)
		} else {
			delete(ix.services, s)
		}
	}
	for d := range ch.domains {
		if live, known := t.live(d); known {
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

func (t *Table) ready(service string) []shunt.Member {
	var best, rest []shunt.Member
	for _, e := range t.services[service] {
		switch {
		case !e.Ready || e.Status > shunt.StatusSuspect || t.out[e.Domain]:
		case e.Status == shunt.StatusSuspect || t.unreachable[e.Domain]:
			rest = append(rest, e.Member)
		default:
			best = append(best, e.Member)
		}
	}
	if len(best) == 0 {
		return rest
	}
	return best
}

func (t *Table) live(domain string) (live []string, known bool) {
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

func newServers(ms []shunt.Member) servers {
	slices.SortFunc(ms, func(a, b shunt.Member) int {
		if c := strings.Compare(a.Version, b.Version); c != 0 {
			return c
		}
		return strings.Compare(a.Control, b.Control)
	})
	s := servers{all: ms, versions: make(map[string][]shunt.Member)}
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

func rank(role string, controls []string, n int) []string {
	rs := make([]ranked, 0, len(controls))
	for _, c := range controls {
		rs = append(rs, ranked{control: c, weight: hash(role, c)})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
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

func newTouched() touched {
	return touched{services: make(map[string]struct{}), domains: make(map[string]struct{})}
}

func (ch touched) add(m shunt.Member) {
	ch.domains[m.Domain] = struct{}{}
	if m.Service != "" {
		ch.services[m.Service] = struct{}{}
	}
}
