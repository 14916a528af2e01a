package usage

import (
	"maps"
	"slices"
	"sync"
)

type (
	// Count is the count of a tenant's requests in one window at one process. Both numbers only grow, so that messages may
	// be repeated, lost and reordered.
	Count struct {
		Begun  int64 // requests written to the backend server
		NotRun int64 // of these, those that it did not run
	}

	// TenantCount is the count of one tenant.
	TenantCount struct {
		Tenant string
		Count
	}

	// WindowCounts are counts of one window.
	WindowCounts struct {
		Window  int64
		Tenants []TenantCount
	}

	// Counter counts the requests at one process. It is safe for concurrent use; its zero value is ready to use.
	Counter struct {
		Kept Kept

		mu      sync.Mutex
		windows map[int64]map[string]*versionedCount
		version uint64 // number of changes
		final   int64  // windows up to this one get no more requests
		dropped uint64
	}

	versionedCount struct {
		Count
		version uint64 // of the last change
	}
)

func (c Count) net() int64 { return max(c.Begun-c.NotRun, 0) }

func (c *Count) merge(o Count) {
	c.Begun, c.NotRun = max(c.Begun, o.Begun), max(c.NotRun, o.NotRun)
}

// Begin counts a request that is written to the server, and returns the window in which it was counted, for NotRun. A window
// that is final already gets no more requests: the next one does.
func (c *Counter) Begin(tenant string, window int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	window = max(window, c.final+1)
	c.change(tenant, window, func(v *Count) { v.Begun++ })
	return window
}

// NotRun corrects the count of a request that the server did not run.
func (c *Counter) NotRun(tenant string, window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.change(tenant, window, func(v *Count) { v.NotRun++ })
}

func (c *Counter) change(tenant string, window int64, change func(*Count)) {
	if c.windows == nil {
		c.windows = make(map[int64]map[string]*versionedCount)
	}
	w := c.windows[window]
	if w == nil {
		w = make(map[string]*versionedCount)
		c.windows[window] = w
		dropOldest(c.windows, c.Kept)
	}
	v := w[tenant]
	if v == nil {
		if len(w) >= maxTenants || len(tenant) > maxNameLength {
			c.dropped++
			return
		}
		v = &versionedCount{}
		w[tenant] = v
	}
	c.version++
	v.version = c.version
	change(&v.Count)
}

// dropOldest keeps the newest windows.
func dropOldest[V any](windows map[int64]V, kept Kept) {
	for int64(len(windows)) > kept.count() {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
}

// Finalize makes the windows up to the given one final.
func (c *Counter) Finalize(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.final = max(c.final, window)
}

// Changes returns the counts that have changed since a version, the current version, and the last final window.
func (c *Counter) Changes(since uint64) (changes []WindowCounts, version uint64, final int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		var tenants []TenantCount
		for tenant, v := range c.windows[window] {
			if v.version > since {
				tenants = append(tenants, TenantCount{tenant, v.Count})
			}
		}
		if len(tenants) > 0 {
			changes = append(changes, WindowCounts{window, tenants})
		}
	}
	return changes, c.version, c.final
}

// Position returns the version of the counts and the last final window.
func (c *Counter) Position() (version uint64, final int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.final
}

// TakeDropped returns the number of counts that were dropped, since the last call, because a window had too many tenants.
func (c *Counter) TakeDropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	c.dropped = 0
	return n
}
