package meshd

import (
	"sync"
	"sync/atomic"
	"time"

	"tanagershunt.example/shunt/ewma"
	"tanagershunt.example/shunt/place"
)

const (
	// peerOutcomeWeight is the weight of one outcome in the moving failure rate of a node, and peerOutcomeHalfLife the age of
	// the latest outcome at which the rate has half its value. Without outcomes nothing else corrects it, since a server with
	// failures gets no requests while others have room.
	peerOutcomeWeight   = 0.1
	peerOutcomeHalfLife = 5 * time.Second
	// A server counts as slow when this node has at least slowMinRequests requests pending there and their mean age
	// exceeds slowFactor times the latency its node last reported; the mean age then replaces that latency.
	slowFactor      = 4
	slowMinRequests = 4
	// coldSendWindow is the period in which requests sent to a cold server are counted.
	coldSendWindow = time.Second
)

type (
	// peerNode is the state of a node of the mesh, including this one: its entry, its last load report and the recent
	// outcomes of requests sent to it.
	peerNode struct {
		rank       uint64         // order among the candidates of this sender
		generation *atomic.Uint64 // of the view, incremented when the node becomes reachable or unreachable; may be nil

		mu          sync.Mutex
		entry       nodeEntry
		entryAt     time.Time // when the entry was read
		coldUntil   time.Time
		load        loadReport
		loadAt      time.Time
		pending     map[int]time.Time // start times of this node's requests without a response
		lastRequest int
		pace        place.Pace
		slowness    float64 // see place.Candidate.Slowness
		failureRate float64 // moving share of attempts that failed at the server, at failureAt
		failureAt   time.Time
		reached     bool // an attempt or a connection has succeeded
		unreachable bool // the last attempt got no response, see call.attempt for the exceptions
		// unreachableSince is when the node became unreachable.
		unreachableSince time.Time
		pausedUntil      time.Time // no requests are sent before
		coldSends        []time.Time
	}

	// loadReport is the load of a server as reported by its node with a response.
	loadReport struct {
		running, limit, queued int
		latency                time.Duration
		coldFor                time.Duration
		// pace and meanPace are 0 if the server tells no pace, see shunt.ServerResponse.Pace.
		pace, meanPace float64
		// routeWork is the usual service time of the request's route at the server, 0 if unknown or without a pace.
		routeWork time.Duration
	}
)

func (p *peerNode) currentEntry() nodeEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry
}

// domain returns the failure domain of the node.
func (p *peerNode) domain() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry.Domain
}

// entryAndTime returns the node's entry and when it was read.
func (p *peerNode) entryAndTime() (nodeEntry, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry, p.entryAt
}

// indexed returns the node's entry, whether the node may exist, and since when it is unreachable, or zero if it is not.
// It may exist if it has been reached, or no attempt has shown it as unreachable.
func (p *peerNode) indexed() (e nodeEntry, exists bool, unreachableSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unreachable {
		return p.entry, true, time.Time{}
	}
	return p.entry, p.reached, p.unreachableSince
}

// setReachable records whether the node is reachable. The caller must hold the lock.
func (p *peerNode) setReachable(reachable bool) {
	changed := p.unreachable == reachable || reachable && !p.reached
	p.unreachable, p.reached = !reachable, p.reached || reachable
	if changed && p.generation != nil {
		p.generation.Add(1)
	}
}

// update replaces the node's entry, unless the new one was written before it.
func (p *peerNode) update(e nodeEntry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.isOlder(p.entry) {
		return
	}
	if e.Started != p.entry.Started || e.Born != p.entry.Born || e.Server != p.entry.Server {
		p.unreachable, p.pausedUntil, p.failureRate = false, time.Time{}, 0
		p.load, p.loadAt = loadReport{}, time.Time{}
		p.pace, p.slowness = place.Pace{}, 0
	}
	if e.Sequence > p.entry.Sequence && !e.Leaving {
		p.pausedUntil = time.Time{} // see leftServerPause
	}
	p.entry, p.entryAt = e, now
	p.coldUntil = now.Add(time.Duration(e.ColdMS) * time.Millisecond)
}

// isUnreachable reports whether the last attempt at the node showed it as unreachable, and no later attempt or
// connection has succeeded.
func (p *peerNode) isUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable
}

// markReachable clears the unreachable state, so that requests are sent to the node again.
func (p *peerNode) markReachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setReachable(true)
}

// candidate returns the input of package place and the node's address. It reports false while the node is unreachable or
// paused.
func (p *peerNode) candidate(now time.Time, domain string) (c place.Candidate, addr string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachable || now.Before(p.pausedUntil) {
		return place.Candidate{}, "", false
	}
	c = place.Candidate{
		Local: p.entry.Domain == domain, Slots: p.entry.Slots, Pending: len(p.pending),
		Success: 1 - p.currentFailureRate(now), Age: now.Sub(p.loadAt), ColdFor: max(p.coldUntil.Sub(now), 0),
	}
	if !p.loadAt.IsZero() {
		c.Running, c.Queued, c.Work = p.load.running, p.load.queued, p.load.latency
		c.Pace, c.Slowness = float32(p.pace.Now(now)), float32(p.slowness)
	}
	if age := p.meanPendingAge(now); len(p.pending) >= slowMinRequests && age > slowFactor*c.Work && c.Work > 0 {
		c.Work, c.Pace = age, 0 // the server hangs, or the pace is outdated
	}
	if c.ColdFor > 0 {
		for len(p.coldSends) > 0 && now.Sub(p.coldSends[0]) > coldSendWindow {
			p.coldSends = p.coldSends[1:]
		}
		c.Recent = len(p.coldSends)
	}
	return c, p.entry.Calls, true
}

// meanPendingAge returns the mean age of this node's pending requests. When a server slows down or hangs, it exceeds
// the expected latency before any response arrives.
func (p *peerNode) meanPendingAge(now time.Time) time.Duration {
	var total time.Duration
	for _, since := range p.pending {
		total += now.Sub(since)
	}
	return total / time.Duration(max(len(p.pending), 1))
}

// startRequest records a pending request and returns its number.
func (p *peerNode) startRequest(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = make(map[int]time.Time)
	}
	p.lastRequest++
	p.pending[p.lastRequest] = now
	if now.Before(p.coldUntil) {
		p.coldSends = append(p.coldSends, now)
	}
	return p.lastRequest
}

// endRequest records the end of an attempt. Reachable is false if the node counts as unreachable by the rule in
// call.attempt, and failed is true if its server failed. The outcome counts for the failure rate only with
// countOutcome. It reports whether the node has become unreachable.
func (p *peerNode) endRequest(
	number int,
	now time.Time,
	load *loadReport,
	reachable, failed, countOutcome bool,
) (becameUnreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, number)
	if load != nil {
		p.load, p.loadAt = *load, now
		if load.pace > 0 {
			p.pace.Report(load.pace, load.meanPace, now)
		}
		if load.coldFor > 0 {
			p.coldUntil = now.Add(load.coldFor)
		}
	}
	if !reachable {
		if becameUnreachable = !p.unreachable; becameUnreachable {
			p.unreachableSince = now
		}
		p.setReachable(false)
		return becameUnreachable
	}
	p.setReachable(true)
	if !countOutcome {
		return false
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := p.currentFailureRate(now)
	p.failureRate, p.failureAt = rate+peerOutcomeWeight*(outcome-rate), now
	return false
}

// currentFailureRate returns the failure rate with the decay since the latest outcome. The caller must hold the lock.
func (p *peerNode) currentFailureRate(now time.Time) float64 {
	return p.failureRate * ewma.Weight(now.Sub(p.failureAt), peerOutcomeHalfLife)
}

// observeSlowness records the server's usual service time relative to that of all servers for the same route.
func (p *peerNode) observeSlowness(ratio float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slowness == 0 {
		p.slowness = ratio
		return
	}
	p.slowness += meanWeight * (ratio - p.slowness)
}

// pause stops requests to the server for a while, after its node refused one regardless of the load.
func (p *peerNode) pause(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := now.Add(d); until.After(p.pausedUntil) {
		p.pausedUntil = until
	}
}
