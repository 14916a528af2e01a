package side

import "sync"

const (
	// nestedAfter is the number of requests of a route from which its callers say something.
	nestedAfter = 100
	// nestedShare is the share of a route's requests below which a service counts as one that does not make them.
	nestedShare = 0.02
)

// callerTable learns which routes servers call for requests that they are running. Callers' own requests enter the
// mesh beside servers of every service, those of servers only beside the services that make them. Nothing in a
// request tells the two apart. Its zero value is ready to use.
type callerTable struct {
	mu     sync.Mutex
	routes map[string]map[string]int // requests by the service beside which they entered
}

// nested counts a request and reports whether its route's requests come from some of the services only.
func (t *callerTable) nested(route, caller string, services []string) bool {
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
	if total < nestedAfter {
		return false
	}
	for _, service := range services {
		if float64(counts[service]) < nestedShare*float64(total) {
			return true
		}
	}
	return false
}
