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
		step   step
	}

	step struct {
		begun      time.Time
		minObserve time.Duration
		requests   uint64
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
	return &Test{cfg: cfg}
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
	for _, s := range samples {
		if group := byRoute[s.Route]; group != nil {
			delete(byRoute, s.Route)
			t.step.requests += t.route(s.Route).observe(at, group, &t.cfg)
		}
	}
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

// limit returns the logarithm of the evidence from which the i-th route is bad. The configured routes share
// nine tenths of the false-alarm rate equally; routes that appear beyond them share the rest.
func (t *Test) limit(i int) float64 {
	share := 0.9 / float64(t.cfg.Routes)
	if j := float64(i - t.cfg.Routes + 1); j > 0 {
		share = 0.1 / (j * (j + 1))
	}
	const tests = 2
	return -math.Log(t.cfg.FalseAlarm * share / tests)
}

// observe adds a window of one route and returns the requests to the new version's warm servers.
func (r *route) observe(at time.Time, samples []Sample, cfg *Config) uint64 {
	bucket, known := r.threshold()
	var total Sample
	for i := range samples {
		total.Old.add(&samples[i].Old)
		total.New.add(&samples[i].New)
		total.Cold.add(&samples[i].Cold)
	}
	var failures, slow window
	limit := cfg.WindowCap
	if total.Old.Requests*soloRatio < total.New.Requests {
		limit = soloCap
		failures.absolute(r.tolerated(r.old.Failures, soloFailures), total.New.Requests, total.New.Failures)
		if known {
			slow.absolute(soloSlow, total.New.Requests, total.New.Latency.Above(bucket+twice))
		}
	} else {
		for _, s := range strata(samples) {
			failures.conditional(s.Old.Requests, s.Old.Failures, s.New.Requests, s.New.Failures, cfg.Tolerance)
			if known {
				oldSlow, newSlow := s.Old.Latency.Above(bucket), s.New.Latency.Above(bucket)
				slow.conditional(s.Old.Latency.Total(), oldSlow, s.New.Latency.Total(), newSlow, cfg.SlowFactor)
			}
		}
	}
	failures.absolute(r.tolerated(r.old.Failures, coldFailures), total.Cold.Requests, total.Cold.Failures)
	r.failures.update(at, &failures, limit)
	r.slow.update(at, &slow, limit)
	r.tally(&total, bucket, known)
	return total.New.Requests
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
func (r *route) tolerated(failures uint64, least float64) float64 {
	if r.old.Requests < minHistory {
		return max(least, soloFailures*soloMultiple)
	}
	return min(0.5, max(least, soloMultiple*upper(r.old.Requests, failures)))
}

func (r *route) tally(total *Sample, bucket int, known bool) {
	if known {
		r.oldSlow += total.Old.Latency.Above(bucket)
		r.newSlow += total.New.Latency.Above(bucket)
	}
	r.old.add(&total.Old)
	r.new.add(&total.New)
	r.new.add(&Counts{Requests: total.Cold.Requests, Failures: total.Cold.Failures})
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
