package admit

import (
	"math"
	"slices"
	"time"

	"tanagershunt.example/shunt"
)

const (
	// Latencies as multiples of the baseline. The first two apply to the lower quartile of a window, the third to a
	// single response.
	growthLatencyRatio = 2 // above it the limit does not grow
	cutLatencyRatio    = 3 // above it the limit is halved
	coldLatencyRatio   = 4 // above it a response counts as slow

	// minColdRun is the minimum number of consecutive slow responses that mean a cold server.
	minColdRun = 5

	// slowShareWindow is the inverse of the weight of one response in the exponential moving average of the share of
	// slow responses.
	slowShareWindow = 1024
	// minSamples is the minimum number of responses in a window before its lower quartile or its failures may change
	// the limit. The detection of a cold server does not depend on it. If 30% of the responses come from a slow
	// route, the lower quartile exceeds three times the baseline in 1% of windows of 8 responses, and in 0.03% of
	// windows of 16.
	minSamples = 16
	// maxSamples is the maximum number of latencies kept per window; later ones overwrite earlier ones.
	maxSamples = 64

	// growthStallTimeout is how long latency must prevent growth before half the limit is tried.
	growthStallTimeout = 30 * time.Second
	// baselineRaiseInterval and baselineRaiseFactor limit increases of the baseline to 25% in 10 s.
	baselineRaiseInterval = 10 * time.Second
	baselineRaiseFactor   = 1.25
)

type (
	// adaptiveLimit adjusts the concurrency limit to the observed latency.
	//
	// The baseline is an estimate of the latency without overload. It is derived from the lower quartiles of trial
	// windows, windows at limit 1, and windows in which at least half of the requests ran while the limit was
	// reached. It falls by a quarter of the difference when a window is faster, as it is while a server warms up,
	// and to the quartile of a faster trial window. Each time the limit has grown by half, the baseline is measured
	// again in a trial window at half the limit. It rises only when the limiter's own concurrency is unlikely to be
	// the cause: after a window at limit 1 or, when latency has prevented growth for growthStallTimeout, after a
	// trial window at half the limit. It never exceeds the quartile of that window and rises by at most 25% in 10 s.
	// A general increase of latency, for instance in a downstream service, therefore does not keep the limit from
	// growing again: an increase by the factor k at limit 1 is absorbed after about 10 s * log(k/2)/log(1.25).
	// Latency caused by the limiter's own concurrency raises the baseline only if half the limit still overloads the
	// server.
	//
	// Lower quartiles are compared because overload slows all responses, while a slow route slows only its own. If
	// about a quarter of the responses are several times faster than the rest, the quartile is unstable and the
	// limit stays lower than necessary.
	adaptiveLimit struct {
		limit            int
		baseline         float64 // baseline latency in nanoseconds, 0 if unknown
		baselineRaisedAt time.Time
		slowShare        float64 // usual share of responses above coldLatencyRatio
		slowRun          int     // consecutive slow responses
		slowRunSequence  uint64  // newest sequence among the consecutive slow responses
		cutSequence      uint64  // newest sequence at the last cut; shed responses to older requests do not cut again

		windowStart      time.Time // start of the current window
		changeSequence   uint64    // newest sequence when the limit changed; older requests are not sampled
		samples          []float64
		sampleCount      int
		atLimitCount     int // responses whose request ran while the limit was reached
		failedCount      int
		stalledSince     time.Time // since when latency has prevented growth, zero if it does not
		preTrialLimit    int       // limit to restore after the trial, 0 if no trial is in progress
		stallTrial       bool      // whether the trial began because latency prevented growth
		growthTrialLimit int       // limit at the last growth trial or after the last cut
	}

	observation struct {
		at       time.Time
		sequence uint64
		newest   uint64
		atLimit  bool // the limit was reached while the request ran
		sample   shunt.Sample
		slots    int
		window   time.Duration
	}
)

func newAdaptiveLimit(now time.Time) adaptiveLimit {
	return adaptiveLimit{limit: 1, growthTrialLimit: 1, windowStart: now}
}

func (a *adaptiveLimit) observe(o observation) {
	if o.sample.Shed {
		a.handleShed(o)
		return
	}
	latency := float64(o.sample.Latency)
	if a.detectCold(o, latency) {
		a.cutLimit(o, 1)
		return
	}
	if o.sequence <= a.changeSequence { // the request ran under another limit
		return
	}
	a.addSample(o, latency)
	// The check runs once per 8 responses, because it sorts the samples.
	if a.limit > 1 && a.sampleCount >= minSamples && a.sampleCount%8 == 0 && a.shouldCut() {
		a.cutLimit(o, a.limit/2)
		return
	}
	if a.sampleCount >= max(minSamples, 2*a.limit) && o.at.Sub(a.windowStart) >= o.window {
		a.finishWindow(o)
	}
}

// handleShed halves the limit, once for all requests that were in flight at the time of the cut.
func (a *adaptiveLimit) handleShed(o observation) {
	if o.sequence > a.cutSequence {
		a.cutLimit(o, a.limit/2)
	}
}

// detectCold counts consecutive slow responses and, if the limit is above 1, reports whether the server has become
// cold. A fast response resets the count only if its request started after all slow ones counted: requests that
// started before the server became cold would otherwise hide the change.
func (a *adaptiveLimit) detectCold(o observation, latency float64) bool {
	if a.baseline == 0 {
		return false
	}
	slow := latency > coldLatencyRatio*a.baseline
	if a.limit > 1 { // at limit 1 the server may be cold, so its responses are not typical
		a.updateSlowShare(slow)
	}
	if !slow {
		if o.sequence > a.slowRunSequence {
			a.slowRun = 0
		}
		return false
	}
	a.slowRun++
	a.slowRunSequence = max(a.slowRunSequence, o.sequence)
	if a.slowRun < a.coldRunLength() {
		return false
	}
	a.slowRun = 0
	return a.limit > 1
}

func (a *adaptiveLimit) updateSlowShare(slow bool) {
	share := 0.0
	if slow {
		share = 1
	}
	a.slowShare += (share - a.slowShare) / slowShareWindow
}

// coldRunLength returns the number of consecutive slow responses that mean a cold server: 5 or, if slow responses
// are common, as many as occur by chance once in a million, at most 64.
func (a *adaptiveLimit) coldRunLength() int {
	if a.slowShare <= 0 {
		return minColdRun
	}
	// The cap of 0.99 keeps the logarithm below 0.
	n := math.Ceil(math.Log(1e-6) / math.Log(min(a.slowShare, 0.99)))
	return int(min(max(n, minColdRun), 64))
}

func (a *adaptiveLimit) addSample(o observation, latency float64) {
	a.sampleCount++
	if o.atLimit {
		a.atLimitCount++
	}
	if o.sample.Failed {
		a.failedCount++
		if latency <= a.baseline { // a fast failure has no meaningful latency
			return
		}
	}
	if len(a.samples) < maxSamples {
		a.samples = append(a.samples, latency)
		return
	}
	a.samples[a.sampleCount%maxSamples] = latency
}

// shouldCut reports whether at least half of the responses failed or the lower quartile of their latencies exceeds
// cutLatencyRatio times the baseline.
func (a *adaptiveLimit) shouldCut() bool {
	return a.failedCount*2 >= a.sampleCount || a.baseline > 0 && a.lowerQuartile() > cutLatencyRatio*a.baseline
}

// finishWindow ends a trial, or updates the baseline and then raises the limit or checks for a stall. A window in
// which more than an eighth of the responses failed changes nothing.
func (a *adaptiveLimit) finishWindow(o observation) {
	// The limit is in use if at least half of the responses belong to requests that ran while it was reached.
	quartile, limitInUse := a.lowerQuartile(), a.atLimitCount*2 >= a.sampleCount
	failing := a.failedCount*8 > a.sampleCount
	defer a.startWindow(o.at)
	if quartile == 0 || failing {
		return
	}
	if a.preTrialLimit > 0 {
		a.finishTrial(o, quartile)
		return
	}
	if limitInUse || a.limit == 1 {
		a.updateBaseline(o.at, quartile)
	}
	switch {
	case quartile > growthLatencyRatio*a.baseline:
		a.checkStall(o)
	case limitInUse && a.limit < o.slots:
		a.stalledSince = time.Time{}
		a.limit++
		a.changeSequence = o.newest
		a.startGrowthTrial(o)
	default:
		a.stalledSince = time.Time{}
	}
}

// startGrowthTrial begins a trial window at half the limit each time the limit has grown by half. If the server is
// warming up, the baseline is outdated by then, and too high a baseline would let the limit exceed the server's
// capacity.
func (a *adaptiveLimit) startGrowthTrial(o observation) {
	if 2*a.limit < 3*a.growthTrialLimit {
		return
	}
	a.growthTrialLimit = a.limit
	a.startTrial(o, false)
}

// startTrial begins a trial window at half the limit. Requests admitted before it are not counted.
func (a *adaptiveLimit) startTrial(o observation, stalled bool) {
	a.preTrialLimit, a.stallTrial = a.limit, stalled
	a.limit /= 2
	a.changeSequence = o.newest
}

func (a *adaptiveLimit) updateBaseline(now time.Time, quartile float64) {
	switch {
	case a.baseline == 0:
		a.baseline, a.baselineRaisedAt = quartile, now
	case quartile < a.baseline:
		a.baseline = movingAverage(a.baseline, quartile, 0.25) // by a quarter of the difference
	case a.limit == 1:
		a.raiseBaseline(now, quartile)
	}
}

func (a *adaptiveLimit) raiseBaseline(now time.Time, quartile float64) {
	if now.Sub(a.baselineRaisedAt) < baselineRaiseInterval {
		return
	}
	a.baseline, a.baselineRaisedAt = min(quartile, a.baseline*baselineRaiseFactor), now
}

// checkStall begins a trial window at half the limit when latency has prevented growth for growthStallTimeout.
func (a *adaptiveLimit) checkStall(o observation) {
	switch {
	case a.limit == 1:
	case a.stalledSince.IsZero():
		a.stalledSince = o.at
	case o.at.Sub(a.stalledSince) >= growthStallTimeout:
		a.startTrial(o, true)
	}
}

// finishTrial restores the limit from before the trial. A faster window lowers the baseline to its quartile, a slower
// one raises it if latency had prevented growth.
func (a *adaptiveLimit) finishTrial(o observation, quartile float64) {
	a.limit = min(a.preTrialLimit, o.slots)
	a.changeSequence = o.newest
	a.preTrialLimit, a.stalledSince = 0, time.Time{}
	a.baseline = min(a.baseline, quartile)
	if a.stallTrial && quartile > a.baseline {
		a.raiseBaseline(o.at, quartile)
		// The next trial may follow after baselineRaiseInterval.
		a.stalledSince = o.at.Add(baselineRaiseInterval - growthStallTimeout)
	}
}

func (a *adaptiveLimit) cutLimit(o observation, limit int) {
	a.limit = max(limit, 1)
	a.growthTrialLimit = a.limit
	a.cutSequence, a.changeSequence = o.newest, o.newest
	a.preTrialLimit, a.stalledSince = 0, time.Time{}
	a.startWindow(o.at)
}

func (a *adaptiveLimit) startWindow(now time.Time) {
	a.windowStart = now
	a.samples = a.samples[:0]
	a.sampleCount, a.atLimitCount, a.failedCount = 0, 0, 0
}

// lowerQuartile returns the lower quartile of the window's latencies, 0 if there are none.
func (a *adaptiveLimit) lowerQuartile() float64 {
	if len(a.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(a.samples))
	return sorted[len(sorted)/4]
}

// movingAverage adds a value to an exponential moving average. An average of 0 is unknown and is set to the value.
func movingAverage(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + (value-average)*weight
}
