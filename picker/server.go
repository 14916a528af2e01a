package picker

import (
	"math"
	"time"

	"tanagershunt.example/shunt"
)

// report takes over the load that an answer carried. The own requests in flight are part of it.
func (s *server) report(now time.Time, load *shunt.Load) {
	if load == nil {
		return
	}
	s.reported, s.reportedAt = *load, now
	s.others = max(float64(load.InFlight+load.Queued-s.inFlight), 0)
}

// shed raises the load to at least the limit, and further with each refusal.
func (s *server) shed(now time.Time) {
	others := s.decayed(now)
	s.reportedAt = now
	s.others = max(others, float64(max(s.reported.Limit, 1))) + 1
}

// fail counts a failure. Failures during an ejection are those of requests sent before it.
func (s *server) fail(now time.Time) {
	if now.Before(s.until) {
		return
	}
	if s.failures++; s.failures < EjectAfter {
		return
	}
	if now.Sub(s.until) > keep {
		s.ejections = 0
	}
	s.failures = 0
	s.until = now.Add(min(EjectBase<<min(s.ejections, 10), EjectMax))
	s.ejections++
}

// decayed returns the estimate of other nodes' requests at a time. A small rest counts as none: it would
// decide between idle servers for as long as it lasts.
func (s *server) decayed(now time.Time) float64 {
	if s.others == 0 {
		return 0
	}
	rest := s.others * math.Exp2(-now.Sub(s.reportedAt).Seconds()/loadHalfLife.Seconds())
	if rest < leastLoad {
		return 0
	}
	return rest
}

// restart forgets what was learned of an earlier process at the same address.
func (s *server) restart(incarnation uint64) {
	*s = server{incarnation: incarnation, used: s.used, inFlight: s.inFlight}
}

// limit returns the reported concurrency limit. Before the first report it is 1 for a server in its ramp,
// whose limit has started at 1, and the announced slots otherwise.
func (s *server) limit(m *shunt.Member, ramp float64) float64 {
	switch {
	case s.reported.Limit > 0:
		return float64(s.reported.Limit)
	case ramp < 1:
		return 1
	default:
		return float64(max(m.Slots, 1))
	}
}
