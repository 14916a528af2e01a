// Package route matches requests to routes and selects the service for a request.
package route

import (
	"slices"
	"strings"
	"sync"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/tenant"
)

type (
	// Table is the routing table of a configuration. Its routes do not change; its entries hold the state of the
	// round-robin selection.
	Table struct {
		config  *shunt.MeshConfig
		hosts   map[string][]*Entry // longest prefix first
		tenants *tenant.Directory   // nil if the configuration has no tenants
	}

	// Entry is a route with the state of its weighted round-robin selection.
	Entry struct {
		shunt.MeshRoute
		mu      sync.Mutex
		credits []int
	}
)

// New builds the routing table of a configuration.
func New(c *shunt.MeshConfig) *Table { return (*Table)(nil).Next(c) }

// Next builds the routing table of the configuration that follows. It keeps the directory of tenants if that is
// unchanged. The receiver may be nil.
func (t *Table) Next(c *shunt.MeshConfig) *Table {
	var previous *tenant.Directory
	if t != nil {
		previous = t.tenants
	}
	t = &Table{config: c, hosts: make(map[string][]*Entry), tenants: tenant.New(c.Tenants, previous)}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &Entry{MeshRoute: r, credits: make([]int, len(r.Parts))})
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Config returns the configuration from which the table was built.
func (t *Table) Config() *shunt.MeshConfig { return t.config }

// Tenants returns the directory of tenants, or nil if the configuration has none.
func (t *Table) Tenants() *tenant.Directory { return t.tenants }

// Match returns the route of the host with the longest matching path prefix, or nil if there is none.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// NextService returns the service for the next request by smooth weighted round-robin, so that each service gets its
// share even over few requests: every call adds each weight to its service's credit and subtracts the sum of the
// weights from the highest credit.
func (e *Entry) NextService() string {
	if len(e.Parts) == 1 {
		return e.Parts[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total, highest := 0, 0
	for i, p := range e.Parts {
		e.credits[i] += p.Weight
		total += p.Weight
		if e.credits[i] > e.credits[highest] {
			highest = i
		}
	}
	e.credits[highest] -= total
	return e.Parts[highest].Service
}
