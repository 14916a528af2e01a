package sched

import "time"

const (
	// DefaultWork is the expected service time without observations.
	DefaultWork = 50 * time.Millisecond
	// estimateWeight is the weight of one response in the mean.
	estimateWeight = 0.1
	// probeInterval is the time without a response after which one of the requests that the mean excludes is let through. It
	// is also the time between two of them.
	probeInterval = time.Second
)

type (
	// Estimate is the expected service time of one route's requests at a server: a moving mean of those that ran. A request
	// that could not end in that time before its deadline is refused. Since only requests that run correct the mean, one of
	// them is let through as a probe once in probeInterval if no response arrives otherwise. The zero value is ready to use.
	// It is not safe for concurrent use.
	Estimate struct {
		mean       time.Duration
		observedAt time.Time
		// excludedSince is when the mean first excluded a request since the last response or probe, zero if it did not.
		excludedSince time.Time
	}

	// Observation is a response of the server.
	Observation struct {
		Took time.Duration
		// Censored is set if the server gave up at the deadline, so that the request would have taken longer than Took.
		Censored bool
		Probe    bool // the request was a probe
	}
)

// Mean returns the expected service time, DefaultWork without observations.
func (e *Estimate) Mean() time.Duration {
	if e.mean == 0 {
		return DefaultWork
	}
	return e.mean
}

// ObservedAt returns the time of the latest response, zero if there was none.
func (e *Estimate) ObservedAt() time.Time { return e.observedAt }

// Expect returns the service time to expect of a request that has the given time until its deadline. For a probe it is the
// one of a route without observations. ReturnProbe must be called if the probe does not run.
func (e *Estimate) Expect(left time.Duration, now time.Time) (work time.Duration, probe bool) {
	work = e.Mean()
	switch {
	case requiredTime(work) <= left:
		return work, false
	case e.excludedSince.IsZero():
		e.excludedSince = now
		return work, false
	case now.Sub(e.excludedSince) < probeInterval:
		return work, false
	}
	e.excludedSince = now
	return min(work, DefaultWork), true
}

// ReturnProbe takes back a probe that was refused for another reason than its expected service time. The next request may
// be the probe instead.
func (e *Estimate) ReturnProbe(now time.Time) { e.excludedSince = now.Add(-probeInterval) }

// Observe records a response. That of a probe replaces a longer mean, whose observations are older than probeInterval.
func (e *Estimate) Observe(o Observation, now time.Time) {
	e.observedAt, e.excludedSince = now, time.Time{}
	switch {
	case o.Censored && o.Took < e.mean:
		// The work takes longer than Took, which does not contradict the mean.
	case e.mean == 0, o.Probe && o.Took < e.mean:
		e.mean = o.Took
	default:
		e.mean += time.Duration(float64(estimateWeight) * float64(o.Took-e.mean))
	}
}
