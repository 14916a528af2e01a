package picker

import (
	"slices"
	"time"

	"tanagershunt.example/shunt"
)

// usable returns the members that are not ejected. At most half of them stay ejected, those whose ejection
// ends last.
func (t *Table) usable(members []shunt.Member, now time.Time) []candidate {
	list := make([]candidate, 0, len(members))
	var ejected []candidate
	for i := range members {
		c := t.candidate(&members[i], now)
		if now.Before(c.server.until) {
			ejected = append(ejected, c)
			continue
		}
		list = append(list, c)
	}
	if excess := len(ejected) - len(members)/2; excess > 0 {
		slices.SortStableFunc(ejected, func(a, b candidate) int { return a.server.until.Compare(b.server.until) })
		list = append(list, ejected[:excess]...)
	}
	return list
}

func (t *Table) candidate(m *shunt.Member, now time.Time) candidate {
	s := t.servers[m.Control]
	switch {
	case s == nil:
		s = &server{incarnation: m.Incarnation, used: now}
		t.servers[m.Control] = s
	case m.Incarnation > s.incarnation && s.incarnation != 0:
		s.restart(m.Incarnation)
	case s.incarnation == 0:
		s.incarnation = m.Incarnation
	}
	ramp := t.ramp(m, now)
	return candidate{
		member: m, server: s, ramp: ramp, limit: s.limit(m, ramp),
		load: s.decayed(now) + float64(s.inFlight) + 1,
	}
}

// ramp returns the share of its full weight that a server has, by the time since it or its domain came back.
func (t *Table) ramp(m *shunt.Member, now time.Time) float64 {
	since := m.ReadySince
	if d := t.since[m.Domain]; d.After(since) {
		since = d
	}
	return min(max(float64(now.Sub(since))/float64(RampTime), rampFloor), 1)
}

// choose takes the better of two servers of the own domain, unless the domain is loaded: then, with a
// probability that rises with its load, the better of two servers elsewhere if that one is less loaded.
func (t *Table) choose(own, others []candidate) (candidate, bool) {
	switch {
	case len(own) == 0 && len(others) == 0:
		return candidate{}, false
	case len(others) == 0:
		return t.best(own), true
	case len(own) == 0:
		return t.best(others), true
	}
	local := t.best(own)
	if t.random.Float64() >= spillShare(own) {
		return local, true
	}
	if remote := t.best(others); remote.pressure() < local.pressure() {
		return remote, true
	}
	return local, true
}

// spillShare returns the share of requests that leaves the own domain: 0 up to SpillAt, then rising in
// proportion to the load up to spillFull. A switch at a threshold swings further, because nodes know each
// other's load only from their own calls. Smoothing the share over 1 s made the swing larger as well.
func spillShare(own []candidate) float64 {
	load, capacity := 1.0, 0.0
	for _, c := range own {
		load += c.load - 1
		capacity += c.limit * c.ramp
	}
	return min(max((load/capacity-SpillAt)/(spillFull-SpillAt), 0), 1)
}

// best draws two different servers by limit and returns the one with the lower load. A server takes part
// with the probability of its ramp relative to the largest one, so its share stays in proportion to the ramp
// although it is the least loaded of all.
func (t *Table) best(list []candidate) candidate {
	list = t.thin(list)
	i := t.draw(list, -1)
	if len(list) == 1 {
		return list[i]
	}
	j := t.draw(list, i)
	if list[j].load/list[j].limit < list[i].load/list[i].limit {
		return list[j]
	}
	return list[i]
}

func (t *Table) thin(list []candidate) []candidate {
	top := 0.0
	for _, c := range list {
		top = max(top, c.ramp)
	}
	kept := make([]candidate, 0, len(list))
	for _, c := range list {
		if c.ramp >= top || t.random.Float64() < c.ramp/top {
			kept = append(kept, c)
		}
	}
	return kept
}

// draw returns a random index other than except, with probabilities in proportion to the limits.
func (t *Table) draw(list []candidate, except int) int {
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

// pressure is the load in relation to what the server may take during its ramp.
func (c candidate) pressure() float64 { return c.load / (c.limit * c.ramp) }
