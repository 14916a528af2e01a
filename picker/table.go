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
	// RampTime is the time over which a server's weight rises after the server or its failure domain returned to
	// service.
	RampTime = 60 * time.Second
	// SpillThreshold is the utilization (load divided by capacity) of the local failure domain above which remote
	// domains are considered.
	SpillThreshold = 0.8
	// fullSpillAt is the utilization of the local failure domain at which remote domains are considered for every
	// request.
	fullSpillAt = 1.0

	// EjectThreshold is the number of consecutive failures after which a server is ejected.
	EjectThreshold = 5
	// MinEjection is the duration of the first ejection. It doubles with each consecutive ejection.
	MinEjection = 5 * time.Second
	// MaxEjection is the maximum duration of an ejection.
	MaxEjection = 5 * time.Minute

	// minRamp is the smallest ramp factor. It is above 0 because utilization and spillShare divide by the ramp.
	minRamp = 0.01
	// loadHalfLife is the time in which a reported load decays by half. Without decay, a server that once reported
	// full load would never be tried again.
	loadHalfLife = 2 * time.Second
	minOtherLoad = 0.1 // requests; a smaller remainder counts as none
	// Entries unused for entryTTL are removed. entryTTL exceeds MaxEjection, so that no ejection is lost. Ejections
	// further apart than this are not consecutive.
	entryTTL        = 10 * time.Minute
	removalInterval = time.Minute
)

type (
	// Table implements shunt.Picker for the servers that one node calls. Entries without requests in flight that are
	// unused for entryTTL are removed by removeUnused, which bounds its memory.
	Table struct {
		clock  clockwork.Clock
		domain string

		mu          sync.Mutex
		random      *rand.Rand
		servers     map[string]*serverState
		domainSince map[string]time.Time // start of the ramp by failure domain
		lastRemoval time.Time
	}

	// Entry is the state of one server, for diagnostics.
	Entry struct {
		Control      string
		InFlight     int
		Reported     shunt.Load
		Failures     int // consecutive
		EjectedUntil time.Time
		Ejections    int // consecutive
	}

	serverState struct {
		incarnation  uint64
		lastUsed     time.Time
		inFlight     int
		otherLoad    float64 // estimated number of other nodes' requests at reportedAt
		reported     shunt.Load
		reportedAt   time.Time
		failures     int
		ejections    int
		ejectedUntil time.Time
	}

	candidate struct {
		member *shunt.Member
		server *serverState
		load   float64 // expected number of requests including the next one
		limit  float64
		ramp   float64
	}
)

// New returns a Table for a node in the given failure domain. The source need not be safe for concurrent use.
func New(clock clockwork.Clock, domain string, source rand.Source) *Table {
	return &Table{
		clock: clock, domain: domain, random: rand.New(source), lastRemoval: clock.Now(),
		servers: make(map[string]*serverState), domainSince: make(map[string]time.Time),
	}
}

// SetDomainSince sets when a failure domain was last returned to service. Its servers ramp up from that time.
func (t *Table) SetDomainSince(domain string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clock.Since(since) >= RampTime {
		delete(t.domainSince, domain)
		return
	}
	t.domainSince[domain] = since
}

// Pick implements shunt.Picker. It returns false if no member remains after leaving out those in skip and the ejected
// ones. At most half of the members count as ejected.
func (t *Table) Pick(members []shunt.Member, skip []string) (shunt.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.removeUnused(now)
	var localDomain, remoteDomains []candidate
	for _, c := range t.availableCandidates(members, now) {
		switch {
		case slices.Contains(skip, c.member.Control):
		case c.member.Domain == t.domain:
			localDomain = append(localDomain, c)
		default:
			remoteDomains = append(remoteDomains, c)
		}
	}
	c, ok := t.choose(localDomain, remoteDomains)
	if !ok {
		return shunt.Member{}, false
	}
	c.server.lastUsed = now
	return *c.member, true
}

// Started implements shunt.Picker.
func (t *Table) Started(control string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(control, t.clock.Now())
	s.inFlight++
}

// Finished implements shunt.Picker. A shed response does not count as a failure, but raises the load estimate. A
// sample without information about the server (Ignore) only ends the attempt.
func (t *Table) Finished(control string, sample shunt.Sample, load *shunt.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := t.stateOf(control, now)
	s.recordLoad(now, load)
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case sample.Ignore:
	case sample.Shed:
		s.recordShed(now)
	case sample.Failed:
		s.recordFailure(now)
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
			EjectedUntil: s.ejectedUntil, Ejections: s.ejections,
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

func (t *Table) stateOf(control string, now time.Time) *serverState {
	s := t.servers[control]
	if s == nil {
		s = &serverState{}
		t.servers[control] = s
	}
	s.lastUsed = now
	return s
}

// removeUnused removes the entries of servers that have not been used for entryTTL, and the start times of completed
// domain ramps.
func (t *Table) removeUnused(now time.Time) {
	if now.Sub(t.lastRemoval) < removalInterval {
		return
	}
	t.lastRemoval = now
	for control, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > entryTTL {
			delete(t.servers, control)
		}
	}
	for domain, since := range t.domainSince {
		if now.Sub(since) >= RampTime {
			delete(t.domainSince, domain)
		}
	}
}
