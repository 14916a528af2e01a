// Package picker chooses servers for attempts by load, failure domain, ramp and recent failures.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

const (
	// RampTime is the time over which a server's weight rises after it or its failure domain came back.
	RampTime = 60 * time.Second
	// SpillAt is the load of the own failure domain from which other domains are used.
	SpillAt = 0.8
	// spillFull is the load at which every request considers other domains.
	spillFull = 1.0

	// EjectAfter is the number of consecutive failures that eject a server.
	EjectAfter = 5
	// EjectBase is the time of the first ejection. It doubles with each ejection in a row.
	EjectBase = 5 * time.Second
	// EjectMax is the longest ejection.
	EjectMax = 5 * time.Minute

	// rampFloor is the least weight of a server, so that a service of only new servers is served.
	rampFloor = 0.01
	// loadHalfLife is the time in which a reported load loses half of its weight. Without decay a server
	// that once reported full would never be tried again.
	loadHalfLife = 2 * time.Second
	leastLoad    = 0.1
	// keep is how long an unused entry stays. It is longer than EjectMax, so that no ejection is forgotten.
	keep       = 10 * time.Minute
	sweepEvery = time.Minute
)

type (
	// Table implements shunt.Picker for the servers that one node calls. Its memory is bounded by the
	// servers called within the last 10 minutes.
	Table struct {
		clock  clockwork.Clock
		domain string

		mu      sync.Mutex
		random  *rand.Rand
		servers map[string]*server
		since   map[string]time.Time // by failure domain
		swept   time.Time
	}

	// Entry is the state of one server, for dumps.
	Entry struct {
		Control      string
		InFlight     int
		Reported     shunt.Load
		Failures     int // consecutive
		EjectedUntil time.Time
		Ejections    int // in a row
	}

	server struct {
		incarnation uint64
		used        time.Time
		inFlight    int
		others      float64 // load by other nodes when it was last reported
		reported    shunt.Load
		reportedAt  time.Time
		failures    int
		ejections   int
		until       time.Time // end of the ejection
	}

	candidate struct {
		member *shunt.Member
		server *server
		load   float64 // expected requests including the next one
		limit  float64
		ramp   float64
	}
)

// New returns a Table for a node of a failure domain. The source need not be safe for concurrent use.
func New(clock clockwork.Clock, domain string, source rand.Source) *Table {
	return &Table{
		clock: clock, domain: domain, random: rand.New(source), swept: clock.Now(),
		servers: make(map[string]*server), since: make(map[string]time.Time),
	}
}

// SetDomainSince sets when a failure domain was last brought back into service. Its servers are ramped
// from that time on.
func (t *Table) SetDomainSince(domain string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clock.Since(since) >= RampTime {
		delete(t.since, domain)
		return
	}
	t.since[domain] = since
}

// Pick implements shunt.Picker. It returns false when every candidate was tried or is ejected.
func (t *Table) Pick(members []shunt.Member, skip []string) (shunt.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.sweep(now)
	var own, others []candidate
	for _, c := range t.usable(members, now) {
		switch {
		case slices.Contains(skip, c.member.Control):
		case c.member.Domain == t.domain:
			own = append(own, c)
		default:
			others = append(others, c)
		}
	}
	c, ok := t.choose(own, others)
	if !ok {
		return shunt.Member{}, false
	}
	c.server.used = now
	return *c.member, true
}

// Started implements shunt.Picker.
func (t *Table) Started(control string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(control, t.clock.Now())
	s.inFlight++
}

// Finished implements shunt.Picker. A refusal because of load (Shed) is no failure, but raises the load. An
// answer that says nothing of the server (Ignore) only ends the attempt.
func (t *Table) Finished(control string, sample shunt.Sample, load *shunt.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := t.server(control, now)
	s.report(now, load)
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case sample.Ignore:
	case sample.Shed:
		s.shed(now)
	case sample.Failed:
		s.fail(now)
	default:
		s.failures = 0
	}
}

// Entries returns the state of all servers, sorted by control address.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Entry, 0, len(t.servers))
	for control, s := range t.servers {
		list = append(list, Entry{
			Control: control, InFlight: s.inFlight, Reported: s.reported, Failures: s.failures,
			EjectedUntil: s.until, Ejections: s.ejections,
		})
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Control < b.Control {
			return -1
		}
		return 1
	})
	return list
}

func (t *Table) server(control string, now time.Time) *server {
	s := t.servers[control]
	if s == nil {
		s = &server{}
		t.servers[control] = s
	}
	s.used = now
	return s
}

// sweep drops the entries of servers that have not been used for a while.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for control, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.used) > keep {
			delete(t.servers, control)
		}
	}
	for domain, since := range t.since {
		if now.Sub(since) >= RampTime {
			delete(t.since, domain)
		}
	}
}
