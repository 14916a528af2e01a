package sched

import (
	"cmp"
	"time"
)

// precedes reports whether a starts before b.
//
// Requests that can still meet their latency target start first: an answer after the latency target is worth only a
// fraction of its value to the caller, and a backlog of late requests would make every following one late as well. Next
// are those of a starved tenant, whatever its priority; tenant.Shares limits how many there are. The priority of the
// tenant and then that of the route come before nesting, because a route of lower priority may have many nested requests.
// A request without a tenant has the highest priority of a tenant: a server's call has no tenant, and its parent holds a
// slot elsewhere until it ends. At equal priority a nested request starts first, for the same reason; then a request of a
// tenant with less recent work; then the one whose latest start time is earlier. That time is TargetAt - Work, or
// Deadline - Work if the request can no longer meet its latency target; nested requests always use TargetAt.
func precedes(now time.Time, a, b *Request) bool {
	aInTime, bInTime := a.canMeetTarget(now), b.canMeetTarget(now)
	if aInTime != bInTime {
		return aInTime
	}
	if a.rank.Starved != b.rank.Starved {
		return a.rank.Starved
	}
	if c := cmp.Or(cmp.Compare(a.TenantPriority, b.TenantPriority), cmp.Compare(a.Priority, b.Priority)); c != 0 {
		return c < 0
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	if a.rank.Level != b.rank.Level {
		return a.rank.Level < b.rank.Level
	}
	if aInTime {
		return a.TargetAt.Add(-a.Work).Before(b.TargetAt.Add(-b.Work))
	}
	return a.Deadline.Add(-a.Work).Before(b.Deadline.Add(-b.Work))
}

// canMeetTarget reports whether the request can still meet its latency target. In an overload each request starts as
// late as it may; where service times vary, about half would end late unless more than the mean, LongWork, has to fit. The
// target of a nested request is ignored, because its parent waits for the answer up to the deadline.
func (a *Request) canMeetTarget(now time.Time) bool {
	return a.Nested || !now.Add(max(a.Work, a.LongWork)).After(a.TargetAt)
}
