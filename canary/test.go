// Package canary tests from request counters whether a new version is worse than the old one.
package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagershunt.example/shunt/count"
)

// Defaults of Config.
const (
	DefaultFalseAlarm = 0.01
	DefaultWindowCap  = 100
	DefaultTolerance  = 1.25
	DefaultSlowFactor = 1.5
)

// Parameters of the latency test, and of the tests without comparison for windows with too few requests to the old
// version.
const (
	slowQuantile          = 0.95 // quantile of the old version's latencies above which a request is slow
	minHistory            = 50   // requests to the old version required to use its latencies or failure rate
	uncomparedRatio       = 50   // new requests per old request above which there is no comparison
	uncomparedWindowCap   = 3    // largest factor of a window, so that only frequent failures over several windows count
	uncomparedFailureRate = 0.02 // minimum tolerated failure rate without comparison
	coldFailureRate       = 0.10 // minimum tolerated failure rate of cold servers, while they warm up
	uncomparedSlowRate    = 0.20 // tolerated rate of requests slower than twice the quantile
	rateMultiple          = 3    // tolerated multiple of the old version's failure rate
	bucketsPerDoubling    = 2    // latency buckets per doubling
	allRoutes             = "(all)"
)

type (
	// Config configures a Test. Zero fields mean the defaults.
	Config struct {
		FalseAlarm  float64 // probability that a version as good as the old one is ever found bad
		Routes      int     // routes of the service, among which FalseAlarm is divided
		WindowCap   float64 // largest factor by which one window increases the evidence
		Tolerance   float64 // tolerated odds ratio of failures
		SlowFactor  float64 // tolerated odds ratio of slow requests
		SlowMargin  int     // latency buckets above the old version's quantile that are not slow either
		SlowShare   float64 // minimum share of slow requests of the new version, below which it is not bad for them
		MinRequests uint64  // minimum number of requests to the new version in a step
	}

	// Counts are the requests to one version in a window.
	Counts struct {
		Requests uint64 // that ran or may have run
		Failures uint64
		Latency  count.Histogram
	}

	// Sample is the increase of the counters of a route and a failure domain in one window. Old and New contain
	// requests to warm servers only.
	Sample struct {
		Route  string
		Domain string
		Old    Counts
		New    Counts
		Cold   Counts // of the new version, to cold servers, while they warm up
	}

	// Test is a sequential test on windows of counters. It has no clock and is not safe for concurrent use.
	Test struct {
		cfg    Config
		routes []*route // in order of first appearance
		// all combines the routes: versions are compared within each route, and the log likelihood ratios of a window
		// are summed over the routes.
		all  route
		step step
	}

	// step is a stage of a move with a fixed share of requests.
	step struct {
		startedAt  time.Time
		minObserve time.Duration
		requests   uint64
	}

	// routeWindow is one window of a route.
	routeWindow struct {
		total            Sample // sum over failure domains
		failures, slow   logRatios
		maxFactor        float64 // largest factor by which the window may increase the evidence
		oldSlow, newSlow uint64
	}

	route struct {
		name     string
		failures eProcess
		slow     eProcess
		old, new Counts // totals
		oldSlow  uint64
		newSlow  uint64
	}
)

// NewTest returns a test without evidence.
func NewTest(cfg Config) *Test {
	cfg.FalseAlarm = cmp.Or(cfg.FalseAlarm, DefaultFalseAlarm)
	cfg.Routes = max(cfg.Routes, 1)
	cfg.WindowCap = cmp.Or(cfg.WindowCap, DefaultWindowCap)
	cfg.Tolerance = cmp.Or(cfg.Tolerance, DefaultTolerance)
	cfg.SlowFactor = cmp.Or(cfg.SlowFactor, DefaultSlowFactor)
	return &Test{cfg: cfg, all: route{name: allRoutes}}
}

// BeginStep resets the requests and the observation time of the step. The evidence is kept.
func (t *Test) BeginStep(at time.Time, minObserve time.Duration) {
	t.step = step{startedAt: at, minObserve: minObserve}
}

// Observe adds one window. Windows must not overlap. A window should be short compared with the time between steps:
// requests are compared only within a window, and the share of the new version must be constant in it.
func (t *Test) Observe(at time.Time, samples []Sample) {
	byRoute := make(map[string][]Sample)
	for _, s := range samples {
		byRoute[s.Route] = append(byRoute[s.Route], s)
	}
	var failures, slow logRatios
	maxFactor := t.cfg.WindowCap
	for _, s := range samples {
		routeSamples := byRoute[s.Route]
		if routeSamples == nil {
			continue
		}
		delete(byRoute, s.Route)
		r := t.route(s.Route)
		o := r.observe(routeSamples, &t.cfg)
		r.failures.update(at, &o.failures, o.maxFactor)
		r.slow.update(at, &o.slow, o.maxFactor)
		failures.join(&o.failures)
		slow.join(&o.slow)
		maxFactor = min(maxFactor, o.maxFactor)
		t.all.addTotals(&o)
		t.step.requests += o.total.New.Requests
	}
	t.all.failures.update(at, &failures, maxFactor)
	t.all.slow.update(at, &slow, maxFactor)
}

func (t *Test) route(name string) *route {
	for _, r := range t.routes {
		if r.name == name {
			return r
		}
	}
	r := &route{name: name}
	t.routes = append(t.routes, r)
	return r
}

// alarmLevel returns the logarithm of the evidence at which the i-th route is bad. All routes combined, i < 0, get half
// of the false-alarm rate, because most faults affect all routes. The configured routes share nine tenths of the other
// half equally; further routes share the rest.
func (t *Test) alarmLevel(i int) float64 {
	share := 1.0
	switch j := float64(i - t.cfg.Routes + 1); {
	case i < 0:
	case j > 0:
		share = 0.1 / (j * (j + 1))
	default:
		share = 0.9 / float64(t.cfg.Routes)
	}
	const tests, scopes = 2, 2 // failures and slow calls; single routes and all combined
	return -math.Log(t.cfg.FalseAlarm * share / (tests * scopes))
}

// observe computes the likelihood ratios of a window of one route and adds the window to the route's totals.
func (r *route) observe(samples []Sample, cfg *Config) routeWindow {
	quantile, hasThreshold := r.threshold()
	bucket := quantile + cfg.SlowMargin
	o := routeWindow{maxFactor: cfg.WindowCap}
	for i := range samples {
		o.total.Old.add(&samples[i].Old)
		o.total.New.add(&samples[i].New)
		o.total.Cold.add(&samples[i].Cold)
	}
	newTotal := &o.total.New
	if o.total.Old.Requests*uncomparedRatio < newTotal.Requests {
		o.maxFactor = uncomparedWindowCap
		o.failures.addAbsolute(r.toleratedRate(uncomparedFailureRate), newTotal.Requests, newTotal.Failures)
		if hasThreshold {
			o.slow.addAbsolute(
				uncomparedSlowRate,
				newTotal.Latency.Total(),
				newTotal.Latency.CountAbove(quantile+max(cfg.SlowMargin, bucketsPerDoubling)),
			)
		}
	} else {
		for _, s := range strata(samples) {
			o.failures.addConditional(s.Old.Requests, s.Old.Failures, s.New.Requests, s.New.Failures, cfg.Tolerance)
			if hasThreshold {
				oldSlow, newSlow := s.Old.Latency.CountAbove(bucket), s.New.Latency.CountAbove(bucket)
				o.slow.addConditional(s.Old.Latency.Total(), oldSlow, s.New.Latency.Total(), newSlow, cfg.SlowFactor)
			}
		}
	}
	if cold := &o.total.Cold; cold.Requests > 0 {
		o.failures.addAbsolute(r.toleratedRate(coldFailureRate), cold.Requests, cold.Failures)
	}
	if hasThreshold {
		o.oldSlow, o.newSlow = o.total.Old.Latency.CountAbove(bucket), newTotal.Latency.CountAbove(bucket)
	}
	r.addTotals(&o)
	return o
}

// threshold returns the highest latency bucket that is not slow, by the old version's latencies. It depends only on
// earlier windows, which keeps the evidence valid.
func (r *route) threshold() (int, bool) {
	if r.old.Latency.Total() < minHistory {
		return 0, false
	}
	return r.old.Latency.Quantile(slowQuantile)
}

// toleratedRate returns the failure rate that is tolerated without a comparison with the old version.
func (r *route) toleratedRate(minRate float64) float64 {
	if r.old.Requests < minHistory {
		return max(minRate, uncomparedFailureRate*rateMultiple)
	}
	return min(0.5, max(minRate, rateMultiple*upperBound(r.old.Requests, r.old.Failures)))
}

func (r *route) addTotals(o *routeWindow) {
	r.oldSlow += o.oldSlow
	r.newSlow += o.newSlow
	r.old.add(&o.total.Old)
	r.new.add(&o.total.New)
	r.new.add(&Counts{Requests: o.total.Cold.Requests, Failures: o.total.Cold.Failures})
}

// strata returns the samples with requests to both versions, and the sum of the others as one sample. So versions are
// compared within a failure domain where possible. Only requests from domains with a single version are compared across
// domains, where a fault of one domain can count against a version.
func strata(samples []Sample) []Sample {
	paired := make([]Sample, 0, len(samples)+1)
	var remainder Sample
	for i := range samples {
		if samples[i].Old.Requests > 0 && samples[i].New.Requests > 0 {
			paired = append(paired, samples[i])
			continue
		}
		remainder.Old.add(&samples[i].Old)
		remainder.New.add(&samples[i].New)
	}
	return slices.Clip(append(paired, remainder))
}

func (c *Counts) add(o *Counts) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}
