// Package tenant decides to which tenant a request belongs and how tenants share a server that is short of room. A tenant
// is a customer whose requests carry a key. The package does no I/O; the time is passed in.
package tenant

import (
	"maps"
	"slices"

	"tanagershunt.example/shunt"
)

type (
	// Tenant is the tenant of a request. The zero value stands for requests without a tenant.
	Tenant struct {
		Name     string
		Priority int // 0 is the highest
	}

	// Directory maps keys to tenants. It does not change. A nil Directory is that of a configuration without tenants.
	//
	// Keys are looked up by their SHA-256 hash. The time of a lookup therefore depends neither on the number of tenants
	// nor on how much of a key is correct: a caller cannot choose a key whose hash shares a prefix with that of another.
	Directory struct {
		specs map[string]shunt.TenantSpec
		keys  map[shunt.KeyHash]Tenant
	}
)

// New returns the directory of a configuration's tenants, or nil if specs is nil. The previous directory is returned if
// its tenants are the same; it may be nil. A key of several tenants belongs to the first of them by name, so that all
// nodes agree.
func New(specs map[string]shunt.TenantSpec, previous *Directory) *Directory {
	if specs == nil {
		return nil
	}
	if previous != nil && maps.EqualFunc(specs, previous.specs, equalSpecs) {
		return previous
	}
	d := &Directory{specs: specs, keys: make(map[shunt.KeyHash]Tenant, len(specs))}
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		for _, key := range specs[name].Keys {
			if _, taken := d.keys[key]; !taken {
				d.keys[key] = Tenant{Name: name, Priority: specs[name].Priority}
			}
		}
	}
	return d
}

func equalSpecs(a, b shunt.TenantSpec) bool {
	return a.Priority == b.Priority && slices.Equal(a.Keys, b.Keys)
}

// Lookup returns the tenant to which a key belongs.
func (d *Directory) Lookup(key string) (Tenant, bool) {
	if d == nil || key == "" {
		return Tenant{}, false
	}
	t, ok := d.keys[shunt.HashKey(key)]
	return t, ok
}

// ByName returns the tenant of a name.
func (d *Directory) ByName(name string) (Tenant, bool) {
	if d == nil {
		return Tenant{}, false
	}
	spec, ok := d.specs[name]
	return Tenant{Name: name, Priority: spec.Priority}, ok
}

// Len returns the number of tenants.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.specs)
}
