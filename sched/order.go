package sched

import "time"

// before reports whether a goes before b.
//
// Requests that can still meet their aim go first, since an answer after it is worth a fraction only; a backlog of
// late requests would otherwise make every later one late as well. Then the more urgent route goes first, also
// before nested requests of a less urgent one, of which there may be many. Among equals a nested request goes first,
// whose parent holds a slot elsewhere until it ends, then the earlier time at which the request has to start.
func before(now time.Time, a, b *Ask) bool {
	aTimely, bTimely := a.timely(now), b.timely(now)
	if aTimely != bTimely {
		return aTimely
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	if aTimely {
		return a.AimAt.Add(-a.Work).Before(b.AimAt.Add(-b.Work))
	}
	return a.Deadline.Add(-a.Work).Before(b.Deadline.Add(-b.Work))
}

// timely reports whether a request can still meet its aim. A nested one has none that counts: its parent waits for it
// as long as it can.
func (a *Ask) timely(now time.Time) bool { return a.Nested || !now.Add(a.Work).After(a.AimAt) }
