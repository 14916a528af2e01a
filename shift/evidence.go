package shift

import (
	"slices"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

// recentWindows is the number of observations over which failures are summed up.
const recentWindows = 6

type (
	// Tally holds what one node's backend server answered since a move began, by route. It only grows.
	Tally struct {
		Order   int64                 `json:"order"`
		Version string                `json:"version"`
		Routes  map[string]RouteTally `json:"routes"`
	}

	// RouteTally is the part of a route.
	RouteTally struct {
		Answers  uint64            `json:"n"`
		Failures uint64            `json:"bad"`
		Latency  map[string]uint64 `json:"ms"` // number by bucket of count.Hist
	}

	// Evidence compares the versions of a service from the tallies of all nodes.
	Evidence struct {
		test    *canary.Test
		last    map[string]map[string]counts // by node and route
		answers uint64
		recent  [recentWindows]counts // of the new version, latest observations
		next    int
	}

	counts struct {
		requests, failures uint64
		latency            count.Hist
	}
)

// NewEvidence returns evidence without observations.
func NewEvidence(routes int) *Evidence {
	return &Evidence{
		test: canary.NewTest(canary.Config{Routes: routes, MinRequests: minTrial}),
		last: make(map[string]map[string]counts),
	}
}

// Observe takes in the growth of the tallies, which are given by node, since the last call.
func (e *Evidence) Observe(at time.Time, r *Record, tallies map[string]*Tally) {
	recent := &e.recent[e.next]
	*recent = counts{}
	e.next = (e.next + 1) % recentWindows
	samples := make(map[string]*canary.Sample)
	var names []string
	for node, t := range tallies {
		if t.Order != r.Order || t.Version != r.From && t.Version != r.Target {
			continue
		}
		for name, route := range t.Routes {
			grown, ok := e.grown(node, name, route)
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
				add(&s.New, grown)
				e.answers += grown.requests
				recent.requests += grown.requests
				recent.failures += grown.failures
				continue
			}
			add(&s.Old, grown)
		}
	}
	slices.Sort(names)
	list := make([]canary.Sample, 0, len(names))
	for _, name := range names {
		list = append(list, *samples[name])
	}
	e.test.Observe(at, list)
}

// grown returns what was added to a node's tally of a route. A tally that shrank belongs to a restarted node
// and counts from zero.
func (e *Evidence) grown(node, name string, r RouteTally) (counts, bool) {
	now := counts{requests: r.Answers, failures: r.Failures}
	for key, n := range r.Latency {
		if b, ok := bucket(key); ok {
			now.latency[b] += n
		}
	}
	if e.last[node] == nil {
		e.last[node] = make(map[string]counts)
	}
	before := e.last[node][name]
	e.last[node][name] = now
	if now.requests < before.requests || now.failures < before.failures {
		before = counts{}
	}
	grown := counts{requests: now.requests - before.requests, failures: now.failures - before.failures}
	for i := range now.latency {
		if now.latency[i] >= before.latency[i] {
			grown.latency[i] = now.latency[i] - before.latency[i]
		}
	}
	return grown, grown.requests > 0
}

// Verdict returns what the evidence says, the answers of the new version so far, and its failures and answers of
// late.
func (e *Evidence) Verdict() (kind canary.Kind, answers, recentFailures, recent uint64) {
	kind = canary.Undecided
	if e.test.Bad() {
		kind = canary.Bad
	}
	for _, c := range e.recent {
		recentFailures += c.failures
		recent += c.requests
	}
	return kind, e.answers, recentFailures, recent
}

func add(to *canary.Counts, c counts) {
	to.Requests += c.requests
	to.Failures += c.failures
	for i, n := range c.latency {
		to.Latency[i] += n
	}
}
