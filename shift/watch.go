package shift

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// usualErrorShare is the share of errors that counts as usual, whatever the old version's. Services fail 0.1 to 1% of
	// their requests, and faults to be found begin at 5%.
	usualErrorShare = 0.02
	// usualMultiple is the multiple of the old version's share of errors that is usual, and faultMultiple the multiple of the
	// usual share for which the sequential test is most sensitive.
	usualMultiple = 1.5
	faultMultiple = 2
	// dependencyErrors is the number of errors that a request to another service without an answer may cause: a server
	// may make several calls.
	dependencyErrors = 2
	// maxUsualShare is the usual share above which a version in use is not judged by its errors.
	maxUsualShare = 0.25
	// closeScore is the logarithm of the likelihood ratio at which a version in use is closed. With the usual share of errors
	// it is exceeded less than once in e^7 = 1,100 tests, and far less often with half of it. At 5% it takes some 460
	// requests, which are 23 errors.
	closeScore = 7
	// maxScoreStep limits the score of one observation, so that a single burst of errors does not close a version.
	maxScoreStep = 3
	// watchFactor and minWatch determine how long a version is watched after the completion: a service with 20 requests per
	// second needs a minute for the 50 failures after which a version that fails 5% must not be used.
	watchFactor = 4
	minWatch    = 2 * time.Minute
)

const (
	// maxChance and maxSlowChance are the probabilities of a chance result above which the errors and the slow requests of
	// the sample are no evidence. They are tested twice in a move.
	maxChance     = 0.0005
	maxSlowChance = 0.001
	// sampleErrorShare is the least share of errors that a version as good as the old one may have in the sample, and
	// sampleTolerance the multiple of the old version's share that it may have.
	sampleErrorShare = 0.01
	sampleTolerance  = 1.25
	// minSampleErrors and minSampleSlow are the minimum numbers of errors and of slow requests for which a sample is bad.
	minSampleErrors = 4
	minSampleSlow   = 3
	// sampleSlowShare is the least share of slow requests that a version as good as the old one may have, and slowTolerance
	// the multiple of the old version's share. The old version's slow requests are taken for extraSlow more than were
	// counted. Below badSlowShare a version is not bad. It is small, since the slow requests of the takeover have no
	// answers when the totals are tested, and the others have.
	sampleSlowShare = 0.002
	slowTolerance   = 1.5
	extraSlow       = 2
	badSlowShare    = 0.02
)

type (
	// errorWatch is a sequential test (CUSUM) of a version's errors on one route. It needs no old version beside the new one.
	errorWatch struct {
		score float64
		nodes map[string]counts // since the score was last 0, without latencies
	}
)

// IsWatched reports whether a new version is still watched at a time after the completion of its move.
func IsWatched(sinceComplete, within time.Duration) bool {
	return sinceComplete < max(watchFactor*within, minWatch)
}

// observe adds the requests of one observation, by node, of which a share usual may be errors.
func (w *errorWatch) observe(nodes map[string]counts, usual float64) {
	var sum counts
	for _, c := range nodes {
		sum.requests += c.requests
		sum.errors += c.errors
	}
	if sum.requests == 0 {
		return
	}
	errors := float64(sum.errors)
	w.score += min(maxScoreStep, errors*math.Log(faultMultiple)+
		(float64(sum.requests)-errors)*math.Log((1-faultMultiple*usual)/(1-usual)))
	if w.score <= 0 {
		*w = errorWatch{}
		return
	}
	if w.nodes == nil {
		w.nodes = make(map[string]counts)
	}
	for node, c := range nodes {
		total := w.nodes[node]
		total.requests += c.requests
		total.errors += c.errors
		w.nodes[node] = total
	}
}

// isFailing reports whether the errors are too many and come from most servers.
func (w *errorWatch) isFailing() bool { return w.score >= closeScore && isSpread(w.nodes) }

// isSpread reports whether most of the servers have errors, or as many as errors of all servers alike would have.
func isSpread(nodes map[string]counts) bool {
	var errors uint64
	servers := 0
	for _, c := range nodes {
		errors += c.errors
		if c.errors > 0 && float64(c.errors) >= usualErrorShare*float64(c.requests) {
			servers++
		}
	}
	return 2*servers > min(len(nodes), int(min(errors, math.MaxInt32)))
}

// usualErrors returns the share of errors that is usual for a version in use, given the requests to other services during
// an observation.
func (e *Evidence) usualErrors(o others) float64 {
	unanswered := float64(o.unanswered) / float64(max(o.requests, 1))
	return max(usualErrorShare, usualMultiple*e.oldErrorShare()) + dependencyErrors*unanswered
}

func (e *Evidence) oldErrorShare() float64 {
	return float64(e.old.errors) / float64(max(e.old.requests, 1))
}

// watchErrors adds an observation of the new version to the sequential tests of its routes and of all routes together.
func (e *Evidence) watchErrors(w *window) {
	usual := e.usualErrors(w.others)
	if usual > maxUsualShare {
		return
	}
	all := make(map[string]counts)
	for route, nodes := range w.routes {
		e.watched(route).observe(nodes, usual)
		for node, c := range nodes {
			sum := all[node]
			sum.requests += c.requests
			sum.errors += c.errors
			all[node] = sum
		}
	}
	e.allRoutes.observe(all, usual)
}

func (e *Evidence) watched(route string) *errorWatch {
	w := e.watches[route]
	if w == nil {
		w = &errorWatch{}
		e.watches[route] = w
	}
	return w
}

// Worse reports whether the new version has clearly more errors or slow requests than the old one in all that was counted
// since the order. It is a test for single moments, as before the switch and the completion: unlike the sequential test of
// package canary it needs no windows with both versions, so it also holds for a node that has received all counts at
// once, after a restart.
func (e *Evidence) Worse() bool {
	share := max(sampleErrorShare, sampleTolerance*e.oldErrorShare())
	unanswered := float64(e.others.unanswered) / float64(max(e.others.requests, 1))
	var sum counts
	for _, c := range e.newByNode {
		sum.requests += c.requests
		sum.errors += c.errors
	}
	if sum.errors >= minSampleErrors && isSpread(e.newByNode) &&
		chance(sum.requests, sum.errors, share+dependencyErrors*unanswered) < maxChance {
		return true
	}
	oldSlow, oldRequests, newSlow, newRequests := uint64(0), uint64(0), uint64(0), uint64(0)
	for _, t := range e.totals {
		bucket, ok := t.Old.Latency.Quantile(slowQuantile)
		if !ok {
			continue
		}
		oldSlow += t.Old.Latency.CountAbove(bucket + slowMargin)
		oldRequests += t.Old.Latency.Total()
		newSlow += t.New.Latency.CountAbove(bucket + slowMargin)
		newRequests += t.New.Latency.Total()
	}
	slow := float64(oldSlow+extraSlow) / float64(max(oldRequests, 1))
	return oldRequests >= minOldRequests && newSlow >= minSampleSlow &&
		float64(newSlow) >= badSlowShare*float64(newRequests) &&
		chance(newRequests, newSlow, max(sampleSlowShare, slowTolerance*slow)) < maxSlowChance
}

// chance returns the probability of x or more events in n requests if each has one with the given probability.
func chance(n, x uint64, share float64) float64 {
	if x == 0 || share >= 1 {
		return 1
	}
	return distuv.Binomial{N: float64(n), P: share}.Survival(float64(x) - 1)
}
