package side

import (
	"sync"
	"time"

	"tanagershunt.example/shunt/place"
)

const (
	// successWeight is the weight of one outcome in the moving share of successes.
	successWeight = 0.1
	// slowFactor is how many times as old as the time of a request this node's unanswered ones must be on average to
	// show that the server has become slow, and slowSample how many they must be.
	slowFactor = 4
	slowSample = 4
	// recentSpan is the span in which sends to a cold server are counted.
	recentSpan = time.Second
)

type (
	// peerNode is a node as this one sees it: its entry, its last report of load and how it answered.
	peerNode struct {
		mu       sync.Mutex
		entry    entry
		toldAt   time.Time // when the entry was read
		coldTill time.Time
		report   loadReport
		reported time.Time
		mine     map[int]time.Time // requests of this node that have no answer yet, and since when
		next     int
		failing  float64   // moving share of attempts that failed at the server
		lost     bool      // the node was not reached
		until    time.Time // nothing is sent before
		sent     []time.Time
	}

	// loadReport is the load on a server as its node told it with an answer.
	loadReport struct {
		running, limit, queued int
		work                   time.Duration
		cold                   time.Duration
	}
)

func (p *peerNode) get() entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry
}

// told returns the node's entry and when it was read.
func (p *peerNode) told() (entry, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entry, p.toldAt
}

func (p *peerNode) set(e entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Started != p.entry.Started || e.Born != p.entry.Born || e.Server != p.entry.Server {
		p.lost, p.until, p.failing = false, time.Time{}, 0
		p.report, p.reported = loadReport{}, time.Time{}
	}
	p.entry, p.toldAt = e, now
	p.coldTill = now.Add(time.Duration(e.ColdMS) * time.Millisecond)
}

// isLost reports whether the node was not reached and has not been since.
func (p *peerNode) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// found records that the node was reached again.
func (p *peerNode) found() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = false
}

// candidate returns what place needs to know. It reports false while the node is lost or left alone.
func (p *peerNode) candidate(now time.Time, domain string) (place.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost || now.Before(p.until) {
		return place.Candidate{}, false
	}
	c := place.Candidate{
		Addr: p.entry.Calls, Near: p.entry.Domain == domain, Slots: p.entry.Slots, Mine: len(p.mine),
		Success: 1 - p.failing, Age: now.Sub(p.reported), ColdFor: max(p.coldTill.Sub(now), 0),
	}
	if !p.reported.IsZero() {
		c.Running, c.Queued, c.Work = p.report.running, p.report.queued, p.report.work
	}
	if age := p.age(now); len(p.mine) >= slowSample && age > slowFactor*c.Work && c.Work > 0 {
		c.Work = age
	}
	if c.ColdFor > 0 {
		for len(p.sent) > 0 && now.Sub(p.sent[0]) > recentSpan {
			p.sent = p.sent[1:]
		}
		c.Recent = len(p.sent)
	}
	return c, true
}

// age returns the mean age of this node's requests that have no answer yet. It exceeds the time of a request where a
// server has become slow or hangs, before any answer tells.
func (p *peerNode) age(now time.Time) time.Duration {
	var age time.Duration
	for _, since := range p.mine {
		age += now.Sub(since)
	}
	return age / time.Duration(max(len(p.mine), 1))
}

// started counts a request and returns the number by which it ends.
func (p *peerNode) started(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mine == nil {
		p.mine = make(map[int]time.Time)
	}
	p.next++
	p.mine[p.next] = now
	if now.Before(p.coldTill) {
		p.sent = append(p.sent, now)
	}
	return p.next
}

// ended counts an attempt's end. Reached says whether the node answered; failed whether its server failed. It reports
// whether the node is lost since then.
func (p *peerNode) ended(number int, now time.Time, r *loadReport, reached, failed, counts bool) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.mine, number)
	if r != nil {
		p.report, p.reported = *r, now
		if r.cold > 0 {
			p.coldTill = now.Add(r.cold)
		}
	}
	if !reached {
		lost = !p.lost
		p.lost = true
		return lost
	}
	p.lost = false
	if !counts {
		return false
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	p.failing += successWeight * (outcome - p.failing)
	return false
}

// avoid leaves the server alone for a while after its node has refused a request whatever the load is.
func (p *peerNode) avoid(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := now.Add(d); until.After(p.until) {
		p.until = until
	}
}
