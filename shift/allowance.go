package shift

import (
	"time"

	"tanagershunt.example/shunt"
)

const (
	// usedShare and usedSlack are the parts of a bound that nodes use. The rest covers requests that one node counts
	// and the other does not, for example because a server never answered.
	usedShare = 0.97
	usedSlack = 0.95
	// sampleShare and sampleSlack are the parts of the allowance that the trial may use outside its load test, evenly over
	// its time.
	sampleShare = 0.1
	sampleSlack = 0.7
	// usualDrain is the usual time from the takeover to the completion. The requests from the takeover to the deadline are
	// reserved, but at most takeoverShare of what the node may send by the deadline.
	usualDrain    = 400 * time.Millisecond
	takeoverShare = 0.9
)

type (
	// Bound limits the requests to a new version until the deadline of its move: Share of all requests to the service,
	// plus Slack requests.
	Bound struct {
		Share float64
		Slack float64
	}

	// Allowance bounds what one node sends to the new version by what it has sent to the service since the order of the
	// move. If every node keeps to its part, the sum keeps to the bound at any time, whatever the nodes know of each
	// other and whenever a fault shows. It is not safe for concurrent use.
	Allowance struct {
		order          shunt.Position
		rounding       float64
		total, exposed int
	}
)

// Begin starts the counts of a move, unless they belong to it already. Part of a request is rounded up with a
// probability of that part: rounding is uniform in [0, 1). Otherwise nodes with few requests would add up to none.
func (a *Allowance) Begin(order shunt.Position, rounding float64) {
	if a.order != order {
		*a = Allowance{order: order, rounding: rounding}
	}
}

// Add counts a request that reached a server or may have reached it.
func (a *Allowance) Add() { a.total++ }

// Take counts a request that is about to be sent to the new version, and returns false if the bound does not allow it.
// The bound is this node's part of that of the mesh. The deadline of the move, within, and the time that has elapsed are
// counted from the order.
func (a *Allowance) Take(stage Stage, b Bound, elapsed, within time.Duration) bool {
	if float64(a.exposed+1) > a.limit(stage, b, elapsed, within)+a.rounding {
		return false
	}
	a.exposed++
	return true
}

// Return takes back a request that did not reach a server.
func (a *Allowance) Return() { a.exposed-- }

// Total returns the number of requests to all versions.
func (a *Allowance) Total() int { return a.total }

// Exposed returns the number of requests to the new version, with those that are being sent.
func (a *Allowance) Exposed() int { return a.exposed }

// limit returns how many requests the new version may get by now. Before the takeover it leaves what the takeover is
// expected to need.
func (a *Allowance) limit(stage Stage, b Bound, elapsed, within time.Duration) float64 {
	share, slack := usedShare*b.Share, usedSlack*b.Slack
	now := share*float64(a.total) + slack
	if stage == Takeover || elapsed <= 0 {
		return now
	}
	perSecond := float64(a.total) / elapsed.Seconds()
	atDeadline := share * perSecond * within.Seconds()
	takeover := perSecond * (completeLead(within) + usualDrain).Seconds()
	before := atDeadline + slack - min(takeover, takeoverShare*atDeadline)
	if stage == Sample {
		part := elapsed.Seconds() / within.Seconds()
		before = min(before, sampleShare*share*float64(a.total)+sampleSlack*slack*part)
	}
	return min(now, before)
}
