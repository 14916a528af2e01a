package meshd

import "sync"

const (
	// nestedMinRequests is the number of requests to a route from which the origin of its requests is evaluated.
	nestedMinRequests = 100
	// nestedMaxShare is the share of a route's requests below which a service counts as not calling the route.
	nestedMaxShare = 0.02
)

// callerStats detects the routes that servers call while they run a request. Requests of external callers enter the
// mesh at nodes of every service, and nested requests only at nodes of the services that make them. Nothing in a
// request distinguishes the two. The zero value is ready to use.
type callerStats struct {
	mu     sync.Mutex
	routes map[string]map[string]int // requests by service of the node at which they entered
}

// record counts a request and reports whether the route is called by only some of the services, so that its requests
// count as nested.
func (t *callerStats) record(route, caller string, services []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.routes[route]
	if counts == nil {
		if t.routes == nil {
			t.routes = make(map[string]map[string]int)
		}
		counts = make(map[string]int)
		t.routes[route] = counts
	}
	counts[caller]++
	total := 0
	for _, n := range counts {
		total += n
	}
	if total < nestedMinRequests {
		return false
	}
	for _, service := range services {
		if float64(counts[service]) < nestedMaxShare*float64(total) {
			return true
		}
	}
	return false
}
