package shift

import (
	"slices"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

// recentObservations is the number of observations that count as recent. They span 1.2 s at one every 200 ms.
const recentObservations = 6

type (
	// AnswerCounts counts the requests sent to one node's backend server since the start of a move, by route, including
	// those without an answer. The counts never decrease.
	AnswerCounts struct {
		Order   int64                  `json:"order"`
		Version string                 `json:"version"`
		Routes  map[string]RouteCounts `json:"routes"`
	}

	// RouteCounts counts the requests of one route.
	RouteCounts struct {
		Answers  uint64            `json:"n"`
		Failures uint64            `json:"bad"`
		Latency  map[string]uint64 `json:"ms"` // requests by bucket of count.Histogram
	}

	// Evidence compares the versions of a service by the AnswerCounts of all nodes.
	Evidence struct {
		test        *canary.Test
		last        map[string]map[string]counts // by node and route
		newRequests uint64                       // to the new version, with or without an answer
		recent      [recentObservations]counts   // of the new version, a ring of the latest observations
		next        int
	}

	counts struct {
		requests, failures uint64
		latency            count.Histogram
	}
)

// NewEvidence returns evidence without observations.
func NewEvidence(routes int) *Evidence {
	return &Evidence{
		test: canary.NewTest(canary.Config{Routes: routes, MinRequests: minTrialRequests}),
		last: make(map[string]map[string]counts),
	}
}

// Observe adds the increase of the counts, keyed by node, since the previous call.
func (e *Evidence) Observe(at time.Time, r *Record, tallies map[string]*AnswerCounts) {
	recent := &e.recent[e.next]
	*recent = counts{}
	e.next = (e.next + 1) % recentObservations
	samples := make(map[string]*canary.Sample)
	var names []string
	for node, t := range tallies {
		if t.Order != r.Order || t.Version != r.From && t.Version != r.Target {
			continue
		}
		for name, route := range t.Routes {
			growth, ok := e.growth(node, name, route)
			if !ok {
				continue
			}
			s := samples[name]
			if s == nil {
				s = &canary.Sample{Route: name}
				samples[name] = s
				names = append(names, name)
			}
			if t.Version == r.Target {
				addCounts(&s.New, growth)
				e.newRequests += growth.requests
				recent.requests += growth.requests
				recent.failures += growth.failures
				continue
			}
			addCounts(&s.Old, growth)
		}
	}
	slices.Sort(names)
	sorted := make([]canary.Sample, 0, len(names))
	for _, name := range names {
		sorted = append(sorted, *samples[name])
	}
	e.test.Observe(at, sorted)
}

// growth returns the increase of a node's counts of a route since the previous call, and false if there were no new
// requests. Counts that decreased belong to a restarted node; their increase is measured from zero.
func (e *Evidence) growth(node, name string, r RouteCounts) (counts, bool) {
	current := counts{requests: r.Answers, failures: r.Failures}
	for key, n := range r.Latency {
		if b, ok := parseBucket(key); ok {
			current.latency[b] += n
		}
	}
	if e.last[node] == nil {
		e.last[node] = make(map[string]counts)
	}
	previous := e.last[node][name]
	e.last[node][name] = current
	if current.requests < previous.requests || current.failures < previous.failures {
		previous = counts{}
	}
	growth := counts{requests: current.requests - previous.requests, failures: current.failures - previous.failures}
	for i := range current.latency {
		if current.latency[i] >= previous.latency[i] {
			growth.latency[i] = current.latency[i] - previous.latency[i]
		}
	}
	return growth, growth.requests > 0
}

// Verdict returns Bad or Undecided, the number of requests to the new version, and the failures and requests among the
// recent observations.
func (e *Evidence) Verdict() (kind canary.Kind, requests, recentFailures, recent uint64) {
	kind = canary.Undecided
	if e.test.Bad() {
		kind = canary.Bad
	}
	for _, c := range e.recent {
		recentFailures += c.failures
		recent += c.requests
	}
	return kind, e.newRequests, recentFailures, recent
}

func addCounts(sum *canary.Counts, c counts) {
	sum.Requests += c.requests
	sum.Failures += c.failures
	for i, n := range c.latency {
		sum.Latency[i] += n
	}
}
