package sched

import "time"

// before reports whether a goes before b.
//
// Nested requests go first: a parent holds a slot elsewhere until they end. Then come those that can still meet
// their aim, since an answer after it is worth a fraction only; a backlog of late requests would otherwise make
// every later one late as well. Among equals the more urgent route goes first, then the earlier time at which
// the request has to start.
func before(now time.Time, a, b *Ask) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	aTimely, bTimely := a.timely(now), b.timely(now)
	if aTimely != bTimely {
		return aTimely
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if aTimely {
		return a.AimAt.Add(-a.Work).Before(b.AimAt.Add(-b.Work))
	}
	return a.Deadline.Add(-a.Work).Before(b.Deadline.Add(-b.Work))
}

func (a *Ask) timely(now time.Time) bool { return !now.Add(a.Work).After(a.AimAt) }
