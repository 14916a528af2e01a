// Package place selects the server for a request by expected latency, failures and traffic between failure domains.
// It does no I/O.
package place

import (
	"math"
	"time"

	"tanagershunt.example/shunt/ewma"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 300 * time.Millisecond
	// idleWeight is the weight, in recent reports, of the assumption that the servers of a side are idle. With few
	// reports it prevails.
	idleWeight = 4
	// workHalfLife is the age of the latest report at which what it says of a slow server's service time has half its weight.
	// A server that is left out because it was slow would otherwise never get the request that shows it is not.
	workHalfLife = 10 * time.Second
	// unknownWorkRatio is the service time assumed for a server without measurements, as a fraction of Request.Work. It
	// is below 1 so that a new server gets requests and its service time can be measured.
	unknownWorkRatio = 0.6
	// minSuccess is the lower bound of the success rate used for the cost.
	minSuccess = 0.1
	// remoteCostPerKilobyte is the cost of a kilobyte sent to another failure domain, relative to the value of a
	// request that is answered in time. At 0.09, a request of about 11 KiB, headers and answer included, costs as much
	// as a lost one. It is set high because traffic between failure domains is the most expensive resource of the users
	// of the mesh.
	remoteCostPerKilobyte = 0.09
	// remoteLatency is the additional latency of a request to another failure domain.
	remoteLatency = 3 * time.Millisecond
	// minAcceptedWait is the lower bound of the wait that a sender accepts before it prefers another server.
	minAcceptedWait = 8 * time.Millisecond
	// nearlyFullWaitRatio is the expected wait, relative to the service time, as the utilization of the slots approaches
	// 1.
	nearlyFullWaitRatio = 0.1
	// minTarget is the lower bound of the remaining latency target. It avoids a division by a value near or below zero
	// for requests that are late or nearly late.
	minTarget = 20 * time.Millisecond
	// maxSearchedWait is the upper bound in the search for the wait that a sender accepts.
	maxSearchedWait = 4 * time.Second
	// headerBytes is the size of the headers of a request and its answer between nodes.
	headerBytes = 900
	kilobyte    = 1024
)

type (
	// Candidate is the sender's view of a server that may run the request.
	Candidate struct {
		Local    bool // in the sender's failure domain
		Slots    int
		Running  int // in the last report of the server's node
		Queued   int
		Age      time.Duration // of the report
		Pending  int           // requests of this sender without an answer
		Work     time.Duration // mean service time, 0 if unknown
		Success  float64       // success rate of recent requests
		ColdFor  time.Duration // remaining time of its cold start
		ColdRate float64       // requests per second that it accepts during its cold start
		Recent   int           // requests sent to it by this sender in the last second
		Senders  int           // nodes that share the cold rate
		// Typical is the load per slot that is assumed where the report is old. Choose sets it to the mean of the recent
		// reports from servers on the same side, in or out of the sender's failure domain.
		Typical float64
		// Estimated is the wait that the server's node reported with a recent refusal, 1 ms if it reported none; 0
		// without a recent refusal.
		Estimated time.Duration
		// Pace is how long work takes at the server now, relative to its usual time. It is 0 if the server tells none.
		Pace float32
		// Slowness is the server's usual service time relative to that of all servers for the same routes, 0 if unknown.
		// It is used only with a Pace.
		Slowness float32
		// Distance is the additional latency of requests to another failure domain, 0 for remoteLatency.
		Distance time.Duration
	}

	// Request holds the properties of a request that determine the cost.
	Request struct {
		Work time.Duration // expected latency at an average server, including queueing and network time
		// Service is the usual service time of the route, mean over all servers, 0 if unknown. It is used only at servers
		// with a Pace.
		Service time.Duration
		Target  time.Duration // remaining time of the latency target
		Bytes   int           // of the request and its expected answer
		// RemoteCost is the cost of a kilobyte sent to another failure domain, 0 for remoteCostPerKilobyte.
		RemoteCost float64
	}

	// Choice is the selected server.
	Choice struct {
		Index   int
		Cost    float64       // expected loss relative to the value of a request that is answered in time
		MaxWait time.Duration // wait above which another server is cheaper, at least minAcceptedWait; 0 if there is no other
	}
)

// Choose returns the candidate with the lowest cost, or false if there are no candidates. The draw, uniform in [0, 1),
// breaks ties between servers of equal cost, so that senders with the same load reports do not all choose the same.
func Choose(candidates []Candidate, r Request, draw float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	setTypicalLoad(candidates)
	cheapest, second := -1, -1
	costs := make([]float64, len(candidates))
	start := int(draw * float64(len(candidates)))
	for n := range candidates {
		i := (start + n) % len(candidates)
		costs[i] = cost(&candidates[i], &r)
		switch {
		case cheapest < 0 || costs[i] < costs[cheapest]:
			cheapest, second = i, cheapest
		case second < 0 || costs[i] < costs[second]:
			second = i
		}
	}
	c := Choice{Index: cheapest, Cost: costs[cheapest]}
	if second >= 0 {
		c.MaxWait = max(waitAtCost(&candidates[cheapest], &r, costs[second]), minAcceptedWait)
	}
	return c, true
}

// setTypicalLoad sets Typical. With many servers each one is called seldom, so that most reports are old; without it a full
// failure domain looks idle.
func setTypicalLoad(candidates []Candidate) {
	var load, weight [2]float64
	side := func(c *Candidate) int {
		if c.Local {
			return 0
		}
		return 1
	}
	for i := range candidates {
		c := &candidates[i]
		w := reportWeight(c)
		load[side(c)] += w * float64(c.Running+c.Queued) / float64(max(c.Slots, 1))
		weight[side(c)] += w
	}
	for i := range candidates {
		n := side(&candidates[i])
		candidates[i].Typical = load[n] / (weight[n] + idleWeight)
	}
}

// reportWeight returns the weight of a candidate's load report.
func reportWeight(c *Candidate) float64 { return math.Exp2(-float64(c.Age) / float64(reportHalfLife)) }

// Cost returns the expected loss if the request is sent to the candidate. It consists of the value lost by a late
// answer or a failure, and of the cost of traffic between failure domains.
func Cost(c *Candidate, r Request) float64 {
	return cost(c, &r)
}

func cost(c *Candidate, r *Request) float64 {
	return costAfter(c, r, expectedWait(c, r))
}

func costAfter(c *Candidate, r *Request, wait time.Duration) float64 {
	latency := wait + expectedServiceTime(c, r)
	if !c.Local {
		latency += distance(c)
	}
	success := max(c.Success, minSuccess)
	cost := success*latenessLoss(latency, r.Target) + 1 - success
	if !c.Local {
		cost += remoteCost(r) * float64(r.Bytes+headerBytes) / kilobyte
	}
	return cost
}

func distance(c *Candidate) time.Duration {
	if c.Distance > 0 {
		return c.Distance
	}
	return remoteLatency
}

func remoteCost(r *Request) float64 {
	if r.RemoteCost > 0 {
		return r.RemoteCost
	}
	return remoteCostPerKilobyte
}

// latenessLoss returns the expected loss of value for an expected latency. Latencies vary widely: a request expected
// at half of its target may be late, and one expected at the target is late about half of the time. Above that the
// loss keeps growing, because the answer may miss the deadline. The loss is piecewise linear in the ratio of latency to
// target.
func latenessLoss(latency, target time.Duration) float64 {
	const (
		onTimeRatio, onTimeLoss = 0.4, 0.04
		missedRatio, missLoss   = 1.4, 0.94
		overdueSlope            = 0.3
	)
	ratio := float64(latency) / float64(max(target, minTarget))
	switch {
	case ratio <= onTimeRatio:
		return onTimeLoss * ratio / onTimeRatio
	case ratio <= missedRatio:
		return onTimeLoss + (missLoss-onTimeLoss)*(ratio-onTimeRatio)/(missedRatio-onTimeRatio)
	default:
		return missLoss + overdueSlope*(ratio-missedRatio)
	}
}

// waitAtCost returns the wait at which the cost of a candidate reaches the limit.
func waitAtCost(c *Candidate, r *Request, limit float64) time.Duration {
	low, high := time.Duration(0), maxSearchedWait
	for high-low > time.Millisecond {
		if mid := (low + high) / 2; costAfter(c, r, mid) < limit {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// expectedServiceTime returns the expected service time of the request at the server. Candidate.Work is a mean over all
// routes, whose work may differ by a factor of four, so it is used only without a pace.
func expectedServiceTime(c *Candidate, r *Request) time.Duration {
	if c.Pace > 0 && r.Service > 0 {
		return pacedServiceTime(c, r)
	}
	if c.Work > 0 {
		return agedWork(c, r)
	}
	return time.Duration(unknownWorkRatio * float64(r.Work))
}

// agedWork returns the mean service time that the server reported. Above that of an average server it approaches this with
// the age of the report.
func agedWork(c *Candidate, r *Request) time.Duration {
	excess := c.Work - r.Work
	if excess <= 0 || c.Age <= 0 {
		return c.Work
	}
	return r.Work + time.Duration(float64(excess)*ewma.Weight(c.Age, workHalfLife))
}

func pacedServiceTime(c *Candidate, r *Request) time.Duration {
	work := float64(r.Service) * float64(c.Pace)
	if c.Slowness > 0 {
		work *= float64(c.Slowness)
	}
	return time.Duration(work)
}

// queuedServiceTime returns the expected service time of the requests that run or wait at the server. With a pace, the
// service time of the request itself differs from it.
func queuedServiceTime(c *Candidate, r *Request) time.Duration {
	if c.Pace > 0 && c.Work > 0 {
		return agedWork(c, r)
	}
	return expectedServiceTime(c, r)
}

// expectedColdWait estimates the wait at a cold server, which starts requests at a limited rate: from the last report
// of its node while that is recent, otherwise from the sender's equal share of the rate. The node refuses requests that
// exceed the total rate.
func expectedColdWait(c *Candidate) time.Duration {
	if c.Age < reportHalfLife {
		wait := time.Duration(float64(c.Queued+1) / c.ColdRate * float64(time.Second))
		return min(wait, c.ColdFor)
	}
	if share := c.ColdRate / float64(max(c.Senders, 1)); float64(c.Recent) >= max(share, 1) {
		return c.ColdFor
	}
	return 0
}

// expectedWait returns the wait reported with a recent refusal, or else expectedColdWait for a cold server. Otherwise
// it estimates the wait from the last load report, whose weight decays with age, and from the unanswered requests of
// this sender.
func expectedWait(c *Candidate, r *Request) time.Duration {
	if c.Estimated > 0 {
		return c.Estimated
	}
	if c.ColdFor > 0 && c.ColdRate > 0 {
		return expectedColdWait(c)
	}
	slots := float64(max(c.Slots, 1))
	weight := reportWeight(c)
	busy := max(float64(c.Running+c.Queued)*weight+c.Typical*slots*(1-weight), float64(c.Pending))
	excess := busy + 1 - slots
	if excess <= 0 {
		// All slots of a highly utilized server may be busy by the time the request arrives.
		utilization := busy / slots
		return time.Duration(
			nearlyFullWaitRatio * utilization * utilization * utilization * float64(queuedServiceTime(c, r)),
		)
	}
	return time.Duration(excess / slots * float64(queuedServiceTime(c, r)))
}
