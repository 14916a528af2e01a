package meshd

import (
	"sync"
	"time"

	"tanagershunt.example/shunt/ewma"
	"tanagershunt.example/shunt/sched"
)

const (
	// meanWeight is the weight of one response in a moving mean other than that of the latency.
	meanWeight = 0.1
	// routeOutcomeWeight is the weight of one response in the moving failure rate of a route.
	routeOutcomeWeight = 0.04
	// workWeight is the weight of one response in the long-term mean of the service time, after the first responses,
	// which have equal weights.
	workWeight = 0.02
	// serverWorkHalfLife is the age at which the earlier responses have half their weight in that mean at the server's node,
	// and meshWorkHalfLife at a sender, whose mean is over all servers.
	serverWorkHalfLife = 5 * time.Second
	meshWorkHalfLife   = time.Minute
)

type (
	// routeStatsTable holds the latency, response size and failure rate observed for each route. In Inbound the latency
	// is the service time on the local backend server; in Outbound it is the latency seen by the sender, which includes
	// the queue and the network. The zero value is ready to use.
	routeStatsTable struct {
		mu     sync.Mutex
		routes map[string]*routeStats
	}

	routeStats struct {
		latency       sched.Estimate
		responseBytes int
		failureRate   float64
		nested        bool // servers call the route; kept with spillover only
		// work is the long-term mean of the service time: in Inbound on the local backend server, in Outbound the mean
		// over all servers at their usual pace. It is kept only for servers that tell a pace.
		work      ewma.Mean
		workCount int
	}
)

func (t *routeStatsTable) observeLatency(route string, o sched.Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(route).latency.Observe(o, now)
}

func (t *routeStatsTable) observeResponseBytes(route string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	if e.responseBytes == 0 {
		e.responseBytes = n
		return
	}
	e.responseBytes += int(meanWeight * float64(n-e.responseBytes))
}

func (t *routeStatsTable) observeOutcome(route string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.failureRate += routeOutcomeWeight * (outcome - e.failureRate)
}

// failureRate returns the share of a route's recent responses that were failures, over all servers.
func (t *routeStatsTable) failureRate(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.failureRate
	}
	return 0
}

// observeWork records a service time and returns the long-term mean.
func (t *routeStatsTable) observeWork(
	route string, took, halfLife time.Duration, now time.Time,
) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	e.workCount++
	e.work.Observe(float64(max(took, 1)), max(workWeight, 1/float64(e.workCount)), halfLife, now)
	return time.Duration(e.work.Value())
}

// usualWork returns the long-term mean of the service time, or 0 without observations.
func (t *routeStatsTable) usualWork(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return time.Duration(e.work.Value())
	}
	return 0
}

func (t *routeStatsTable) entry(route string) *routeStats {
	if t.routes == nil {
		t.routes = make(map[string]*routeStats)
	}
	e := t.routes[route]
	if e == nil {
		e = &routeStats{}
		t.routes[route] = e
	}
	return e
}

// expectedLatency returns the mean latency of a route, or sched.DefaultWork without observations. Outbound passes it as
// place.Request.Work, though it includes the queue and the network.
func (t *routeStatsTable) expectedLatency(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.latency.Mean()
	}
	return sched.DefaultWork
}

// expectWithin returns the latency to expect of a request that has the given time until its deadline, and whether it is a
// probe, see sched.Estimate.
func (t *routeStatsTable) expectWithin(
	route string, left time.Duration, now time.Time,
) (latency time.Duration, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(route).latency.Expect(left, now)
}

// returnProbe takes back a probe that did not run.
func (t *routeStatsTable) returnProbe(route string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(route).latency.ReturnProbe(now)
}

// sinceObserved returns the age of the latest observation in expectedLatency, or 0 without observations.
func (t *routeStatsTable) sinceObserved(route string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil && !e.latency.ObservedAt().IsZero() {
		return now.Sub(e.latency.ObservedAt())
	}
	return 0
}

// expectedResponseBytes returns the mean response size of a route.
func (t *routeStatsTable) expectedResponseBytes(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.responseBytes
	}
	return 0
}

// setNested records whether servers call a route, and isNested reports it.
func (t *routeStatsTable) setNested(route string, nested bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(route).nested = nested
}

func (t *routeStatsTable) isNested(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.routes[route]
	return e != nil && e.nested
}
