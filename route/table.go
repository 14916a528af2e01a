// Package route finds the route of a request and the service for it.
package route

import (
	"slices"
	"strings"
	"sync"

	"tanagershunt.example/shunt"
)

type (
	// Table is an immutable configuration prepared for look-ups.
	Table struct {
		config *shunt.MeshConfig
		hosts  map[string][]*Entry // longest prefix first
	}

	// Entry is one route with the state of its weighted choice.
	Entry struct {
		shunt.MeshRoute
		mu     sync.Mutex
		credit []int
	}
)

// New prepares a configuration.
func New(c *shunt.MeshConfig) *Table {
	t := &Table{config: c, hosts: make(map[string][]*Entry)}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &Entry{MeshRoute: r, credit: make([]int, len(r.Parts))})
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Entry) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Config returns the configuration.
func (t *Table) Config() *shunt.MeshConfig { return t.config }

// Match returns the route of the host whose prefix is the longest that begins the path, or nil.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Service returns the service for the next request. Over any few requests each service gets its weight's
// share: every choice adds all weights to the credits and takes their sum from the highest.
func (e *Entry) Service() string {
	if len(e.Parts) == 1 {
		return e.Parts[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total, best := 0, 0
	for i, p := range e.Parts {
		e.credit[i] += p.Weight
		total += p.Weight
		if e.credit[i] > e.credit[best] {
			best = i
		}
	}
	e.credit[best] -= total
	return e.Parts[best].Service
}
