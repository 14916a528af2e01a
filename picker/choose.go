package picker

import (
	"slices"
	"time"

	"tanagershunt.example/shunt"
)

// availableCandidates returns the members that are not ejected. At most half of the members stay ejected; beyond
// that, those whose ejection ends first are included.
func (t *Table) availableCandidates(members []shunt.Member, now time.Time) []candidate {
	list := make([]candidate, 0, len(members))
	var ejected []candidate
	for i := range members {
		c := t.newCandidate(&members[i], now)
		if now.Before(c.server.ejectedUntil) {
			ejected = append(ejected, c)
			continue
		}
		list = append(list, c)
	}
	if excess := len(ejected) - len(members)/2; excess > 0 {
		slices.SortStableFunc(ejected, func(a, b candidate) int {
			return a.server.ejectedUntil.Compare(b.server.ejectedUntil)
		})
		list = append(list, ejected[:excess]...)
	}
	return list
}

func (t *Table) newCandidate(m *shunt.Member, now time.Time) candidate {
	s := t.servers[m.Control]
	switch {
	case s == nil:
		s = &serverState{incarnation: m.Incarnation, lastUsed: now}
		t.servers[m.Control] = s
	case m.Incarnation > s.incarnation && s.incarnation != 0:
		s.restart(m.Incarnation)
	case s.incarnation == 0:
		s.incarnation = m.Incarnation
	}
	ramp := t.ramp(m, now)
	return candidate{
		member: m, server: s, ramp: ramp, limit: s.limit(m, ramp),
		load: s.decayedLoad(now) + float64(s.inFlight) + 1,
	}
}

// ramp returns the factor, from minRamp to 1, by which a server's normal traffic is multiplied, based on the time
// since the server or its failure domain returned to service.
func (t *Table) ramp(m *shunt.Member, now time.Time) float64 {
	since := m.ReadySince
	if d := t.domainSince[m.Domain]; d.After(since) {
		since = d
	}
	return min(max(float64(now.Sub(since))/float64(RampTime), minRamp), 1)
}

// choose picks the better of two servers of the local failure domain. Above SpillThreshold, with a probability that
// rises with the domain's utilization, it compares that server with the best of two remote servers and picks the one
// with the lower utilization.
func (t *Table) choose(localDomain, remoteDomains []candidate) (candidate, bool) {
	switch {
	case len(localDomain) == 0 && len(remoteDomains) == 0:
		return candidate{}, false
	case len(remoteDomains) == 0:
		return t.bestOfTwo(localDomain), true
	case len(localDomain) == 0:
		return t.bestOfTwo(remoteDomains), true
	}
	local := t.bestOfTwo(localDomain)
	if t.random.Float64() >= spillShare(localDomain) {
		return local, true
	}
	if remote := t.bestOfTwo(remoteDomains); remote.utilization() < local.utilization() {
		return remote, true
	}
	return local, true
}

// spillShare returns the share of requests for which remote failure domains are considered: 0 up to SpillThreshold,
// then rising linearly with the local utilization up to 1 at fullSpillAt. A hard threshold makes the load oscillate
// more, because a node learns of other nodes' load only from responses to its own calls. The share is not smoothed: the
// added delay would increase the oscillation, as smoothing over 1 s did.
func spillShare(localDomain []candidate) float64 {
	load, capacity := 1.0, 0.0
	for _, c := range localDomain {
		load += c.load - 1
		capacity += c.limit * c.ramp
	}
	return min(max((load/capacity-SpillThreshold)/(fullSpillAt-SpillThreshold), 0), 1)
}

// bestOfTwo draws two different servers with probabilities in proportion to their limits and returns the one with
// the lower load relative to its limit. A server is considered with probability ramp divided by the highest ramp in the
// list, so that a server that is still ramping up does not get every request merely because it is idle.
func (t *Table) bestOfTwo(list []candidate) candidate {
	list = t.sampleByRamp(list)
	i := t.drawIndex(list, -1)
	if len(list) == 1 {
		return list[i]
	}
	j := t.drawIndex(list, i)
	if list[j].load/list[j].limit < list[i].load/list[i].limit {
		return list[j]
	}
	return list[i]
}

// sampleByRamp keeps each candidate with probability ramp divided by the highest ramp in the list.
func (t *Table) sampleByRamp(list []candidate) []candidate {
	maxRamp := 0.0
	for _, c := range list {
		maxRamp = max(maxRamp, c.ramp)
	}
	kept := make([]candidate, 0, len(list))
	for _, c := range list {
		if c.ramp >= maxRamp || t.random.Float64() < c.ramp/maxRamp {
			kept = append(kept, c)
		}
	}
	return kept
}

// drawIndex returns a random index other than except, with probabilities in proportion to the limits.
func (t *Table) drawIndex(list []candidate, except int) int {
	total := 0.0
	for i, c := range list {
		if i != except {
			total += c.limit
		}
	}
	x, last := t.random.Float64()*total, 0
	for i, c := range list {
		if i == except {
			continue
		}
		if last = i; x < c.limit {
			return i
		}
		x -= c.limit
	}
	return last
}

// utilization returns the load divided by the product of limit and ramp.
func (c candidate) utilization() float64 { return c.load / (c.limit * c.ramp) }
