package admit

import (
	"math"
	"slices"
	"time"

	"tanagershunt.example/shunt"
)

const (
	growBelow = 2 // times the warm figure
	cutAbove  = 3
	coldAbove = 4
	coldRun   = 5 // consecutive responses above coldAbove that mean a cold server

	// slowMemory is the number of responses over which the ordinary share of slow ones is averaged.
	slowMemory = 1024
	// minSamples is the least number of responses that change the limit by their latency. With 8 responses of
	// which 30% are of a slow route, the quartile exceeds three times the warm figure in 1% of windows, with 16
	// in 0.03%.
	minSamples = 16
	// maxSamples bounds the responses kept of one window; the newest replace the oldest.
	maxSamples = 64

	// stallTime is how long latency must withhold growth before half the limit is tried.
	stallTime = 30 * time.Second
	// riseEvery and rise bound the upward drift of the warm figure to 25% in 10 s.
	riseEvery = 10 * time.Second
	rise      = 1.25
)

type (
	// learner holds the limit and what it was learned from.
	//
	// The warm figure is a slow average of the lower quartiles of windows in full use. It falls by a quarter of the
	// difference when a window is faster, which happens while a server warms up; and whenever the limit has
	// grown by half it is measured again in a trial window at half the limit. It rises only on evidence that the
	// limiter's own concurrency isn't the cause: a window at limit 1, or, when latency has withheld growth
	// for stallTime, a trial window at half the limit, and never above the quartile of that window. It then
	// rises by at most 25% in 10 s. So a general rise of latency, for instance of a service further down,
	// locks the limit neither at 1 nor at its present value: a rise by the factor k at limit 1 is learned
	// after about 10 s * log(k/2)/log(1.25). Latency that the limit itself causes never raises the figure,
	// so the limit doesn't creep beyond what the server bears.
	//
	// Lower quartiles are compared, because overload slows all responses, while routes that are slow by nature
	// slow only their own. Where about a quarter of the responses are several times faster than the rest, the
	// quartile is unstable and the limit stays lower than necessary.
	learner struct {
		limit     int
		warm      float64 // nanoseconds, 0 when unknown
		raised    time.Time
		slowShare float64 // share of ordinary responses above coldAbove
		slowRun   int
		slowest   uint64 // newest sequence in the run
		cutAt     uint64 // newest sequence at the last cut: refusals of older requests do not cut again

		since    time.Time // begin of the window
		from     uint64    // newest sequence when the limit last changed: older requests met another load
		samples  []float64
		count    int
		full     int
		failed   int
		stalled  time.Time // since when latency withholds growth, zero when it does not
		trial    int       // limit to return to after a trial, 0 when none runs
		withheld bool      // whether the trial was begun because latency withheld growth
		measured int       // limit at the last trial for having grown
	}

	observation struct {
		at       time.Time
		sequence uint64
		newest   uint64
		full     bool
		sample   shunt.Sample
		slots    int
		window   time.Duration
	}
)

func newLearner(now time.Time) learner { return learner{limit: 1, measured: 1, since: now} }

func (e *learner) observe(o observation) {
	if o.sample.Shed {
		e.shed(o)
		return
	}
	latency := float64(o.sample.Latency)
	if e.cold(o, latency) {
		e.cut(o, 1)
		return
	}
	if o.sequence <= e.from {
		return
	}
	e.record(o, latency)
	if e.limit > 1 && e.count >= minSamples && e.count%8 == 0 && e.overloaded() {
		e.cut(o, e.limit/2)
		return
	}
	if e.count >= max(minSamples, 2*e.limit) && o.at.Sub(e.since) >= o.window {
		e.finish(o)
	}
}

// shed halves the limit, once for all requests that were running at the time of the cut.
func (e *learner) shed(o observation) {
	if o.sequence > e.cutAt {
		e.cut(o, e.limit/2)
	}
}

// cold counts consecutive slow responses. A fast response ends the run only when its request started after
// all slow ones of the run: otherwise requests that started before the server became cold would hide it.
func (e *learner) cold(o observation, latency float64) bool {
	if e.warm == 0 {
		return false
	}
	slow := latency > coldAbove*e.warm
	if e.limit > 1 { // at limit 1 the server may be cold, which says nothing of ordinary responses
		e.learnSlow(slow)
	}
	if !slow {
		if o.sequence > e.slowest {
			e.slowRun = 0
		}
		return false
	}
	e.slowRun++
	e.slowest = max(e.slowest, o.sequence)
	if e.slowRun < e.coldRun() {
		return false
	}
	e.slowRun = 0
	return e.limit > 1
}

func (e *learner) learnSlow(slow bool) {
	share := 0.0
	if slow {
		share = 1
	}
	e.slowShare += (share - e.slowShare) / slowMemory
}

// coldRun returns the run of slow responses that means a cold server: 5, or as many as happen by chance
// once in a million when slow responses are ordinary, at most 64.
func (e *learner) coldRun() int {
	if e.slowShare <= 0 {
		return coldRun
	}
	n := math.Ceil(math.Log(1e-6) / math.Log(min(e.slowShare, 0.99)))
	return int(min(max(n, coldRun), 64))
}

func (e *learner) record(o observation, latency float64) {
	e.count++
	if o.full {
		e.full++
	}
	if o.sample.Failed {
		e.failed++
		if latency <= e.warm { // a fast failure says nothing about latency
			return
		}
	}
	if len(e.samples) < maxSamples {
		e.samples = append(e.samples, latency)
		return
	}
	e.samples[e.count%maxSamples] = latency
}

func (e *learner) overloaded() bool {
	return e.failed*2 >= e.count || e.warm > 0 && e.quartile() > cutAbove*e.warm
}

// finish ends a window: it learns from it, and grows the limit when the window allows it.
func (e *learner) finish(o observation) {
	m, inUse := e.quartile(), e.full*2 >= e.count
	failing := e.failed*8 > e.count
	defer e.begin(o.at)
	if m == 0 || failing {
		return
	}
	if e.trial > 0 {
		e.endTrial(o, m)
		return
	}
	if inUse || e.limit == 1 {
		e.learn(o.at, m)
	}
	switch {
	case m > growBelow*e.warm:
		e.stall(o)
	case inUse && e.limit < o.slots:
		e.stalled = time.Time{}
		e.limit++
		e.from = o.newest
		e.remeasure(o)
	default:
		e.stalled = time.Time{}
	}
}

// remeasure begins a trial window at half the limit whenever the limit has grown by half. The warm figure of a
// server that warms up is outdated by then, and too high a figure would let the limit pass what it bears.
func (e *learner) remeasure(o observation) {
	if 2*e.limit < 3*e.measured {
		return
	}
	e.measured = e.limit
	e.try(o, false)
}

// try begins a trial window at half the limit. Requests admitted before it don't count.
func (e *learner) try(o observation, withheld bool) {
	e.trial, e.withheld = e.limit, withheld
	e.limit /= 2
	e.from = o.newest
}

func (e *learner) learn(now time.Time, m float64) {
	switch {
	case e.warm == 0:
		e.warm, e.raised = m, now
	case m < e.warm:
		e.warm = blend(e.warm, m, 0.25)
	case e.limit == 1:
		e.raise(now, m)
	}
}

func (e *learner) raise(now time.Time, m float64) {
	if now.Sub(e.raised) < riseEvery {
		return
	}
	e.warm, e.raised = min(m, e.warm*rise), now
}

// stall begins a trial window at half the limit when latency has withheld growth for stallTime.
func (e *learner) stall(o observation) {
	switch {
	case e.limit == 1:
	case e.stalled.IsZero():
		e.stalled = o.at
	case o.at.Sub(e.stalled) >= stallTime:
		e.try(o, true)
	}
}

// endTrial returns to the limit before the trial. A faster window sets the warm figure, a slower one raises
// it when latency had withheld growth.
func (e *learner) endTrial(o observation, m float64) {
	e.limit = min(e.trial, o.slots)
	e.from = o.newest
	e.trial, e.stalled = 0, time.Time{}
	e.warm = min(e.warm, m)
	if e.withheld && m > e.warm {
		e.raise(o.at, m)
		e.stalled = o.at.Add(riseEvery - stallTime) // the next trial may follow after riseEvery
	}
}

func (e *learner) cut(o observation, limit int) {
	e.limit = max(limit, 1)
	e.measured = e.limit
	e.cutAt, e.from = o.newest, o.newest
	e.trial, e.stalled = 0, time.Time{}
	e.begin(o.at)
}

func (e *learner) begin(now time.Time) {
	e.since = now
	e.samples = e.samples[:0]
	e.count, e.full, e.failed = 0, 0, 0
}

// quartile returns the lower quartile of the window's latencies.
func (e *learner) quartile() float64 {
	if len(e.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.samples))
	return sorted[len(sorted)/4]
}

// blend moves an average towards a value; an average of 0 is unknown and takes the value.
func blend(average, value, share float64) float64 {
	if average == 0 {
		return value
	}
	return average + (value-average)*share
}
