package shift

import (
	"maps"
	"slices"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

const (
	// recentObservations is the number of observations that count as recent. They span 1.2 s at one every 200 ms.
	recentObservations = 6
	// windowObservations is the number of observations that the comparison of the versions takes as one window. In a
	// shorter one, the few requests to the new version often have none to the old one beside them.
	windowObservations = 3
	// slowMargin is the number of latency buckets above the old version's 95th percentile that are not slow: a factor
	// of 2.8, since servers differ in speed by about 3 and the old version's load is on the faster ones.
	slowMargin = 3
	// slowShare is the minimum share of slow requests for which a version is bad. The load test makes a few slow.
	slowShare = 0.08
	// slowQuantile is the quantile of the old version's latencies above which a request is slow, with slowMargin.
	slowQuantile = 0.95
	// minOldRequests is the minimum number of requests to the old version for which its latencies or its recent failures
	// are used.
	minOldRequests = 50
	// A version in use is failing at once if at least minErrors of a route's recent responses, and maxErrorShare of them, are
	// errors, on more than half of its servers; a server has errors if they are serverErrorShare of its responses. It
	// is not if over maxUnanswered of the requests to other services get no answer at its nodes: errors of a server may be
	// due to its calls. Errors in the answers of other services are no such sign, since those may call this one.
	minErrors        = 15
	maxErrorShare    = 0.2
	serverErrorShare = 0.1
	maxUnanswered    = 0.05
)

type (
	// AnswerCounts counts the requests sent to one node's backend server since the start of a move, by route, including
	// those without an answer. The counts never decrease.
	AnswerCounts struct {
		// Started is the start of the node's process as in its entry, and Sent counts the times that it has sent the counts.
		// Both are 0 from nodes of earlier versions.
		Started int64                  `json:"started,omitempty"`
		Sent    uint64                 `json:"sent,omitempty"`
		Order   int64                  `json:"order"`
		Era     int64                  `json:"era,omitempty"` // of the offset Order, 0 from nodes of earlier versions
		Version string                 `json:"version"`
		Routes  map[string]RouteCounts `json:"routes"`
		// Others counts the requests that the node has received from callers for other services, among them the calls of
		// its own server, and OthersUnanswered those that no server answered.
		Others           uint64 `json:"others,omitempty"`
		OthersUnanswered uint64 `json:"othersUnanswered,omitempty"`
	}

	// Answer is the outcome of a request that a server ran or may have run.
	Answer struct {
		Failed  bool // no response, or one with an error
		Error   bool // the response is an error of the server other than a timeout
		Latency time.Duration
	}

	// RouteCounts counts the requests of one route.
	RouteCounts struct {
		Answers  uint64            `json:"n"`
		Failures uint64            `json:"bad"`
		Errors   uint64            `json:"err,omitempty"` // failures in which the server's response is an error
		Latency  map[string]uint64 `json:"ms"`            // requests by bucket of count.Histogram
	}

	// Evidence compares the versions of a service by the AnswerCounts of all nodes.
	Evidence struct {
		test        *canary.Test
		last        map[string]map[string]counts // by node and route
		newRequests uint64                       // to the new version, with or without an answer
		old         counts                       // totals of the old version, without latencies
		recent      [recentObservations]window   // of the new version, a ring of the latest observations
		next        int
		pending     map[string]*canary.Sample // of the current window, by route
		pendingFor  int                       // observations in the current window
		lastOthers  map[string]others         // by node

		// Totals since the order, and the sequential tests of the new version's errors.
		totals    map[string]*canary.Sample // by route
		newByNode map[string]counts         // of the new version, without latencies
		others    others
		oldRecent [recentObservations]counts // of the old version, a ring like recent
		watches   map[string]*errorWatch     // by route
		allRoutes errorWatch
	}

	counts struct {
		requests, failures, errors uint64
		latency                    count.Histogram
	}

	// window is one observation of the new version.
	window struct {
		routes map[string]map[string]counts // by route and node, without latencies
		others others
	}

	others struct{ requests, unanswered uint64 }
)

// NewEvidence returns evidence without observations.
func NewEvidence(routes int) *Evidence {
	return &Evidence{
		test: canary.NewTest(canary.Config{
			Routes: routes, MinRequests: minTrialRequests, SlowMargin: slowMargin, SlowShare: slowShare,
		}),
		last: make(map[string]map[string]counts), lastOthers: make(map[string]others),
		totals: make(map[string]*canary.Sample), newByNode: make(map[string]counts),
		watches: make(map[string]*errorWatch),
	}
}

// Observe adds the increase of the counts, keyed by node, since the previous call.
func (e *Evidence) Observe(at time.Time, r *Record, tallies map[string]*AnswerCounts) {
	recent := &e.recent[e.next]
	*recent = window{routes: make(map[string]map[string]counts)}
	oldRecent := &e.oldRecent[e.next]
	*oldRecent = counts{}
	e.next = (e.next + 1) % recentObservations
	if e.pending == nil {
		e.pending = make(map[string]*canary.Sample)
	}
	for node, t := range tallies {
		if !t.Position().Is(r.Position()) || t.Version != r.From && t.Version != r.Target {
			continue
		}
		if t.Version == r.Target {
			recent.others.add(e.othersGrowth(node, t))
		}
		for name, route := range t.Routes {
			growth, ok := e.growth(node, name, route)
			if !ok {
				continue
			}
			s := e.pending[name]
			if s == nil {
				s = &canary.Sample{Route: name}
				e.pending[name] = s
			}
			total := e.totals[name]
			if total == nil {
				total = &canary.Sample{Route: name}
				e.totals[name] = total
			}
			if t.Version == r.Target {
				addCounts(&s.New, growth)
				addCounts(&total.New, growth)
				e.newRequests += growth.requests
				recent.add(name, node, growth)
				sum := e.newByNode[node]
				sum.add(growth)
				e.newByNode[node] = sum
				continue
			}
			addCounts(&s.Old, growth)
			addCounts(&total.Old, growth)
			e.old.add(growth)
			oldRecent.add(growth)
		}
	}
	e.others.add(recent.others)
	e.watchErrors(recent)
	if e.pendingFor++; e.pendingFor < windowObservations {
		return
	}
	sorted := make([]canary.Sample, 0, len(e.pending))
	for _, name := range slices.Sorted(maps.Keys(e.pending)) {
		sorted = append(sorted, *e.pending[name])
	}
	e.test.Observe(at, sorted)
	e.pending, e.pendingFor = nil, 0
}

// growth returns the increase of a node's counts of a route since the previous call, and false if there were no new
// requests. Counts that decreased belong to a restarted node; their increase is measured from zero.
func (e *Evidence) growth(node, name string, r RouteCounts) (counts, bool) {
	current := counts{requests: r.Answers, failures: r.Failures, errors: r.Errors}
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
	growth := counts{
		requests: current.requests - previous.requests, failures: current.failures - previous.failures,
		errors: current.errors - min(previous.errors, current.errors),
	}
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
	for _, w := range e.recent {
		for _, nodes := range w.routes {
			for _, c := range nodes {
				recentFailures += c.failures
				recent += c.requests
			}
		}
	}
	return kind, e.newRequests, recentFailures, recent
}

// OldFailureShare returns the share of the requests to the old version that failed, of all or of the recent ones,
// whichever is larger: a failure that both versions share may have begun a moment ago.
func (e *Evidence) OldFailureShare() float64 {
	var recent counts
	for _, c := range e.oldRecent {
		recent.add(c)
	}
	share := float64(e.old.failures) / float64(max(e.old.requests, 1))
	if recent.requests < minOldRequests {
		return share
	}
	return max(share, float64(recent.failures)/float64(recent.requests))
}

// Text describes the comparison of the versions.
func (e *Evidence) Text(now time.Time) string {
	v := e.test.Verdict(now)
	return v.Text()
}

// Failing reports whether the new version fails by itself, without a comparison with the old one. It is meant for a
// version that is in use: common failures of the services that it calls, overload and faults of single servers are left
// out.
func (e *Evidence) Failing() bool {
	var dependencies others
	routes := make(map[string]map[string]counts)
	for _, w := range e.recent {
		dependencies.add(w.others)
		for route, nodes := range w.routes {
			if routes[route] == nil {
				routes[route] = make(map[string]counts)
			}
			for node, c := range nodes {
				sum := routes[route][node]
				sum.requests += c.requests
				sum.errors += c.errors
				routes[route][node] = sum
			}
		}
	}
	if float64(dependencies.unanswered) > maxUnanswered*float64(dependencies.requests) {
		return false
	}
	if e.allRoutes.isFailing() {
		return true
	}
	for route, nodes := range routes {
		if e.watched(route).isFailing() {
			return true
		}
		var total counts
		failing := 0
		for _, c := range nodes {
			total.requests += c.requests
			total.errors += c.errors
			if c.errors > 0 && float64(c.errors) >= serverErrorShare*float64(c.requests) {
				failing++
			}
		}
		if total.errors >= minErrors && float64(total.errors) >= maxErrorShare*float64(total.requests) &&
			2*failing > len(nodes) {
			return true
		}
	}
	return false
}

func (e *Evidence) othersGrowth(node string, t *AnswerCounts) others {
	current := others{requests: t.Others, unanswered: t.OthersUnanswered}
	previous := e.lastOthers[node]
	e.lastOthers[node] = current
	if current.requests < previous.requests || current.unanswered < previous.unanswered {
		previous = others{}
	}
	return others{
		requests: current.requests - previous.requests, unanswered: current.unanswered - previous.unanswered,
	}
}

func (w *window) add(route, node string, c counts) {
	if w.routes[route] == nil {
		w.routes[route] = make(map[string]counts)
	}
	w.routes[route][node] = counts{requests: c.requests, failures: c.failures, errors: c.errors}
}

// add adds counts without latencies.
func (c *counts) add(other counts) {
	c.requests += other.requests
	c.failures += other.failures
	c.errors += other.errors
}

func (o *others) add(other others) {
	o.requests += other.requests
	o.unanswered += other.unanswered
}

func addCounts(sum *canary.Counts, c counts) {
	sum.Requests += c.requests
	sum.Failures += c.failures
	for i, n := range c.latency {
		sum.Latency[i] += n
	}
}
