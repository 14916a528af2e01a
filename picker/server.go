package picker

import (
	"math"
	"time"

	"tanagershunt.example/shunt"
)

// recordLoad stores the load reported in a response. The report includes this node's own requests in flight.
func (s *serverState) recordLoad(now time.Time, load *shunt.Load) {
	if load == nil {
		return
	}
	s.reported, s.reportedAt = *load, now
	s.otherLoad = max(float64(load.InFlight+load.Queued-s.inFlight), 0)
}

// recordShed raises the load estimate to above the last reported limit, and by one more with each shed response.
func (s *serverState) recordShed(now time.Time) {
	otherLoad := s.decayedLoad(now)
	s.reportedAt = now
	s.otherLoad = max(otherLoad, float64(max(s.reported.Limit, 1))) + 1
}

// recordFailure counts a failure. Failures during an ejection do not extend it, because they belong to requests sent
// before it.
func (s *serverState) recordFailure(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	if s.failures++; s.failures < EjectThreshold {
		return
	}
	if now.Sub(s.ejectedUntil) > entryTTL {
		s.ejections = 0
	}
	s.failures = 0
	// min(s.ejections, 10) keeps the shift from overflowing.
	s.ejectedUntil = now.Add(min(MinEjection<<min(s.ejections, 10), MaxEjection))
	s.ejections++
}

// decayedLoad returns the estimated number of other nodes' requests at the given time. A small remainder counts as
// none; otherwise it would decide between idle servers for as long as it lasts.
func (s *serverState) decayedLoad(now time.Time) float64 {
	if s.otherLoad == 0 {
		return 0
	}
	remainder := s.otherLoad * math.Exp2(-now.Sub(s.reportedAt).Seconds()/loadHalfLife.Seconds())
	if remainder < minOtherLoad {
		return 0
	}
	return remainder
}

// restart discards the measurements of an earlier process at the same address.
func (s *serverState) restart(incarnation uint64) {
	*s = serverState{incarnation: incarnation, lastUsed: s.lastUsed, inFlight: s.inFlight}
}

// limit returns the reported concurrency limit. Before the first report it is 1 for a server in its ramp, which may
// have just started with limit 1, and otherwise the number of announced slots.
func (s *serverState) limit(m *shunt.Member, ramp float64) float64 {
	switch {
	case s.reported.Limit > 0:
		return float64(s.reported.Limit)
	case ramp < 1:
		return 1
	default:
		return float64(max(m.Slots, 1))
	}
}
