// Package canary decides from counters whether a new version is worse than the old one.
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

// Rules for comparisons that have no old version beside the new one at the time.
const (
	quantile     = 0.95 // of the old version's latencies; slower ones are slow
	minHistory   = 50   // latencies of the old version before the test of latency begins
	soloRatio    = 50   // requests to the new version per request to the old from which it counts as alone
	soloCap      = 3    // largest factor of a window: a common fault must last to be held against the version
	soloFailures = 0.02 // least failure rate held against a version that is alone
	coldFailures = 0.10 // least failure rate held against servers in their ramp
	soloSlow     = 0.20 // least rate of calls slower than twice the quantile
	soloMultiple = 3    // multiple of the old version's rate that is tolerated
	twice        = 2    // buckets that double a latency
	allRoutes    = "(all)"
)

type (
	// Config sets a Test. Zero fields mean the defaults.
	Config struct {
		FalseAlarm  float64 // probability that a version as good as the old one is ever called bad
		Routes      int     // routes of the service, over which FalseAlarm is divided
		WindowCap   float64 // largest factor of evidence in one window
		Tolerance   float64 // odds ratio of failures that is tolerated
		SlowFactor  float64 // odds ratio of slow calls that is tolerated
		MinRequests uint64  // requests to the new version in a step
	}

	// Counts are one version's calls in a window.
	Counts struct {
		Requests uint64 // that ran or may have run
		Failures uint64
		Latency  count.Hist
	}

	// Sample is the growth of the counters of a route and a failure domain in one window. Old and New hold calls
	// to warm servers only.
	Sample struct {
		Route  string
		Domain string
		Old    Counts
		New    Counts
		Cold   Counts // of the new version, to servers in their ramp
	}

	// Test weighs windows of counters. It has no clock and is not safe for concurrent use.
	Test struct {
		cfg    Config
		routes []*route // in order of appearance
		whole  route    // all routes together, compared route by route
		step   step
	}

	step struct {
		begun      time.Time
		minObserve time.Duration
		requests   uint64
	}

	// observed is one window of a route.
	observed struct {
		total            Sample // over failure domains
		failures, slow   window
		limit            float64 // largest factor the window may contribute
		oldSlow, newSlow uint64
	}

	route struct {
		name     string
		failures process
		slow     process
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
	return &Test{cfg: cfg, whole: route{name: allRoutes}}
}

// BeginStep starts the count of requests and time that a step needs. The evidence goes on.
func (t *Test) BeginStep(at time.Time, minObserve time.Duration) {
	t.step = step{begun: at, minObserve: minObserve}
}

// Observe takes in one window. Windows must not overlap. A window should be short against the time between
// steps, since requests are compared within a window only.
func (t *Test) Observe(at time.Time, samples []Sample) {
	byRoute := make(map[string][]Sample)
	for _, s := range samples {
		byRoute[s.Route] = append(byRoute[s.Route], s)
	}
	var failures, slow window
	limit := t.cfg.WindowCap
	for _, s := range samples {
		group := byRoute[s.Route]
		if group == nil {
			continue
		}
		delete(byRoute, s.Route)
		r := t.route(s.Route)
		o := r.observe(group, &t.cfg)
		r.failures.update(at, &o.failures, o.limit)
		r.slow.update(at, &o.slow, o.limit)
		failures.join(&o.failures)
		slow.join(&o.slow)
		limit = min(limit, o.limit)
		t.whole.tally(&o)
		t.step.requests += o.total.New.Requests
	}
	t.whole.failures.update(at, &failures, limit)
	t.whole.slow.update(at, &slow, limit)
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

// limit returns the logarithm of the evidence from which the i-th route is bad. All routes together, i below 0,
// have half of the false-alarm rate, since most faults are in all of them. The configured routes share nine
// tenths of the other half equally; routes that appear beyond them share the rest.
func (t *Test) limit(i int) float64 {
	share := 1.0
	switch j := float64(i - t.cfg.Routes + 1); {
	case i < 0:
	case j > 0:
		share = 0.1 / (j * (j + 1))
	default:
		share = 0.9 / float64(t.cfg.Routes)
	}
	const tests, halves = 2, 2
	return -math.Log(t.cfg.FalseAlarm * share / (tests * halves))
}

// observe weighs a window of one route and adds it to the route's totals.
func (r *route) observe(samples []Sample, cfg *Config) observed {
	bucket, known := r.threshold()
	o := observed{limit: cfg.WindowCap}
	for i := range samples {
		o.total.Old.add(&samples[i].Old)
		o.total.New.add(&samples[i].New)
		o.total.Cold.add(&samples[i].Cold)
	}
	fresh := &o.total.New
	if o.total.Old.Requests*soloRatio < fresh.Requests {
		o.limit = soloCap
		o.failures.absolute(r.tolerated(soloFailures), fresh.Requests, fresh.Failures)
		if known {
			o.slow.absolute(soloSlow, fresh.Latency.Total(), fresh.Latency.Above(bucket+twice))
		}
	} else {
		for _, s := range strata(samples) {
			o.failures.conditional(s.Old.Requests, s.Old.Failures, s.New.Requests, s.New.Failures, cfg.Tolerance)
			if known {
				oldSlow, newSlow := s.Old.Latency.Above(bucket), s.New.Latency.Above(bucket)
				o.slow.conditional(s.Old.Latency.Total(), oldSlow, s.New.Latency.Total(), newSlow, cfg.SlowFactor)
			}
		}
	}
	if cold := &o.total.Cold; cold.Requests > 0 {
		o.failures.absolute(r.tolerated(coldFailures), cold.Requests, cold.Failures)
	}
	if known {
		o.oldSlow, o.newSlow = o.total.Old.Latency.Above(bucket), fresh.Latency.Above(bucket)
	}
	r.tally(&o)
	return o
}

// threshold returns the last bucket of the old version that is not slow. It depends on earlier windows only,
// which keeps the evidence valid.
func (r *route) threshold() (int, bool) {
	if r.old.Latency.Total() < minHistory {
		return 0, false
	}
	return r.old.Latency.Quantile(quantile)
}

// tolerated returns the rate of failures that is not held against a version without an old one beside it.
func (r *route) tolerated(least float64) float64 {
	if r.old.Requests < minHistory {
		return max(least, soloFailures*soloMultiple)
	}
	return min(0.5, max(least, soloMultiple*upper(r.old.Requests, r.old.Failures)))
}

func (r *route) tally(o *observed) {
	r.oldSlow += o.oldSlow
	r.newSlow += o.newSlow
	r.old.add(&o.total.Old)
	r.new.add(&o.total.New)
	r.new.add(&Counts{Requests: o.total.Cold.Requests, Failures: o.total.Cold.Failures})
}

// strata returns the samples that have both versions, and the sum of the others as one. A failure domain with
// its own faults then speaks against a version only if the versions share no failure domain.
func strata(samples []Sample) []Sample {
	both := make([]Sample, 0, len(samples)+1)
	var rest Sample
	for i := range samples {
		if samples[i].Old.Requests > 0 && samples[i].New.Requests > 0 {
			both = append(both, samples[i])
			continue
		}
		rest.Old.add(&samples[i].Old)
		rest.New.add(&samples[i].New)
	}
	return slices.Clip(append(both, rest))
}

func (c *Counts) add(o *Counts) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}
