// Package place chooses the server for a request by the time and traffic that it is expected to cost. It does
// no input or output.
package place

import (
	"math"
	"time"
)

const (
	// reportLife is the age at which a report of load counts half.
	reportLife = 300 * time.Millisecond
	// unknownWork is the expected time at a server of which nothing is known yet, as a part of that at a server
	// of mean speed. It is low so that a new server gets requests and shows its speed.
	unknownWork = 0.6
	// leastSuccess bounds the weight of a server that fails.
	leastSuccess = 0.1
	// farPerKilobyte is what a kilobyte sent to another failure domain costs, as a part of the value of a request
	// that is answered in time. Traffic between failure domains is the dearest resource of the users.
	farPerKilobyte = 0.09
	// farTime is the time of the longer way.
	farTime = 3 * time.Millisecond
	// leastPatience is the shortest wait for which a sender prefers no other server.
	leastPatience = 8 * time.Millisecond
	// nearlyFull is the expected wait at a server that is all but full, as a part of a request's time.
	nearlyFull = 0.1
	// leastAim bounds the aim of requests that are already late.
	leastAim = 20 * time.Millisecond
	// longestWait bounds the search for the wait that a sender accepts.
	longestWait = 4 * time.Second
	// overhead is the size of the headers of a request and its answer between nodes.
	overhead = 900
	kilobyte = 1024
)

type (
	// Candidate is what is known of a server that may run the request.
	Candidate struct {
		Addr      string
		Near      bool // in the sender's failure domain
		Slots     int
		Running   int // as the server's node last reported
		Queued    int
		Age       time.Duration // of the report
		Mine      int           // requests of this sender that have no answer yet
		Work      time.Duration // mean time of a request there, 0 when unknown
		Success   float64       // share of recent requests that did not fail
		ColdFor   time.Duration // time for which the server remains cold
		ColdRate  float64       // requests a second that it bears while cold
		Recent    int           // requests of this sender there in the last second
		Senders   int           // nodes that share a cold server's rate
		Estimated time.Duration // wait that the server's node named in a refusal just now
	}

	// Request is what matters of a request.
	Request struct {
		Work  time.Duration // expected, at a server of mean speed
		Aim   time.Duration // time left until an answer loses value
		Bytes int           // of the request and its expected answer
	}

	// Choice is the best server.
	Choice struct {
		Index    int
		Cost     float64       // expected loss, as a part of the value of a request that is answered in time
		Patience time.Duration // wait there beyond which another server is expected to be better, 0 for none
	}
)

// Choose returns the cheapest candidate, or false when there is none. Draw is uniform in [0, 1); it decides
// between servers whose cost is alike, so that senders with the same reports spread.
func Choose(list []Candidate, r Request, draw float64) (Choice, bool) {
	if len(list) == 0 {
		return Choice{}, false
	}
	best, second := -1, -1
	costs := make([]float64, len(list))
	start := int(draw * float64(len(list)))
	for n := range list {
		i := (start + n) % len(list)
		costs[i] = Cost(&list[i], r)
		switch {
		case best < 0 || costs[i] < costs[best]:
			best, second = i, best
		case second < 0 || costs[i] < costs[second]:
			second = i
		}
	}
	c := Choice{Index: best, Cost: costs[best]}
	if second >= 0 {
		c.Patience = max(waitFor(&list[best], r, costs[second]), leastPatience)
	}
	return c, true
}

// Cost is the expected loss when a server gets the request: of value through a late answer or a failure, and of
// traffic between failure domains.
func Cost(c *Candidate, r Request) float64 {
	return weigh(c, r, waitAt(c, r))
}

func weigh(c *Candidate, r Request, wait time.Duration) float64 {
	took := wait + workAt(c, r)
	if !c.Near {
		took += farTime
	}
	success := max(c.Success, leastSuccess)
	cost := success*late(took, r.Aim) + 1 - success
	if !c.Near {
		cost += farPerKilobyte * float64(r.Bytes+overhead) / kilobyte
	}
	return cost
}

// late is the expected loss of value of an answer that is expected after some time. The times of requests spread
// widely: one that is expected at half of its aim may be late, and one that is expected at the aim is so as often as
// not. Beyond that the loss grows on, since the answer may not come before the deadline.
func late(took, aim time.Duration) float64 {
	const (
		early, earlyLoss = 0.4, 0.04
		sure, sureLoss   = 1.4, 0.94
		beyond           = 0.3
	)
	x := float64(took) / float64(max(aim, leastAim))
	switch {
	case x <= early:
		return earlyLoss * x / early
	case x <= sure:
		return earlyLoss + (sureLoss-earlyLoss)*(x-early)/(sure-early)
	default:
		return sureLoss + beyond*(x-sure)
	}
}

// waitFor returns the wait at a server at which its cost reaches a bound.
func waitFor(c *Candidate, r Request, bound float64) time.Duration {
	low, high := time.Duration(0), longestWait
	for high-low > time.Millisecond {
		if mid := (low + high) / 2; weigh(c, r, mid) < bound {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func workAt(c *Candidate, r Request) time.Duration {
	if c.Work > 0 {
		return c.Work
	}
	return time.Duration(unknownWork * float64(r.Work))
}

// coldWait estimates the wait at a cold server, which starts requests at a bounded rate only: from its node's last
// report while that is recent, else from the sender's fair share of the rate. The node refuses what exceeds the whole.
func coldWait(c *Candidate) time.Duration {
	if c.Age < reportLife {
		wait := time.Duration(float64(c.Queued+1) / c.ColdRate * float64(time.Second))
		return min(wait, c.ColdFor)
	}
	if fair := c.ColdRate / float64(max(c.Senders, 1)); float64(c.Recent) >= max(fair, 1) {
		return c.ColdFor
	}
	return 0
}

// waitAt estimates the wait from the last report, which fades, and from what this sender has sent since.
func waitAt(c *Candidate, r Request) time.Duration {
	if c.Estimated > 0 {
		return c.Estimated
	}
	if c.ColdFor > 0 && c.ColdRate > 0 {
		return coldWait(c)
	}
	slots := float64(max(c.Slots, 1))
	fade := math.Exp2(-float64(c.Age) / float64(reportLife))
	busy := max(float64(c.Running+c.Queued)*fade, float64(c.Mine))
	over := busy + 1 - slots
	if over <= 0 {
		// A server that is nearly full is likely to be full when the request arrives.
		used := busy / slots
		return time.Duration(nearlyFull * used * used * used * float64(workAt(c, r)))
	}
	return time.Duration(over / slots * float64(workAt(c, r)))
}
