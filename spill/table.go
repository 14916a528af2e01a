// Package spill decides how many requests of a failure domain's callers may leave for servers of other failure domains:
// for each service and domain a rate that rises slowly while the own domain is short and the other has room, and falls
// fast. It does no I/O; the time is passed in. docs/design/spillover.md describes the decision.
package spill

import (
	"slices"
	"sync"
	"time"
)

const (
	// stepInterval is the minimum time between two updates of the rates.
	stepInterval = 10 * time.Millisecond
	// maxStep bounds the time that one update covers, so that a sender that was idle does not start with a burst.
	maxStep = 250 * time.Millisecond
	// changeInterval is the minimum time between two reported changes for a service and domain.
	changeInterval = 5 * time.Second
)

// States of a service and domain.
const (
	Closed State = "closed" // no requests may leave
	Open   State = "open"   // the own domain is short, or was a moment ago, and the other one has room
	Full   State = "full"   // the own domain is short, and so is the other one
)

// Reasons for which a request leaves.
const (
	ReasonShort   Reason = "short"   // the servers of the own domain are full
	ReasonRefused Reason = "refused" // nodes of the own domain have refused this request
	ReasonFailed  Reason = "failed"  // no server of the own domain can be used
	ReasonAbsent  Reason = "absent"  // the service has no servers in the own domain
)

type (
	// State describes the permission of a service's requests to leave for a domain.
	State string

	// Reason is why a request left.
	Reason string

	// Table holds the decisions of one sender. Home is its failure domain.
	Table struct {
		Home string
		// Changed is called when the decision for a service and domain has changed, at most once per changeInterval for
		// each. It may be nil.
		Changed func(Change)

		mu       sync.Mutex
		services map[string]*service
	}

	// Domain is what the entries of the mesh tell of a service in a failure domain. It is listed even if none of its
	// servers can be used.
	Domain struct {
		Name  string
		Slots int // of the servers that can be used
		Nodes int // that send requests
	}

	// Request holds the properties of a request that determine whether it may leave.
	Request struct {
		Priority int // of its route, 0 is the highest
		Bytes    int // of the request and its expected answer
	}

	// Outcome is the result of a request that was sent to a server's node.
	Outcome struct {
		Domain  string
		Refused bool // for lack of room
		Late    bool // answered after its latency target
		// Running, Queued, Limit and Work are the load that the node reported, with a Limit of 0 if it reported none.
		Running, Queued, Limit int
		Work                   time.Duration
		// Latency is the time of the exchange without the time that the other node took, 0 if unknown.
		Latency time.Duration
	}

	// Change is a changed decision for a service and domain, with its reasons.
	Change struct {
		Service, Domain string
		State           State
		Rate            float64       // requests per second that may leave for the domain
		Part            float64       // slots for requests that no server of the own domain can run
		Share           float64       // of this sender's requests that may leave for any domain
		MinValue        float64       // per kilobyte, below which requests stay
		Used, Missed    float64       // load of the own domain per slot; share of requests late or refused there
		RemoteUsed      float64       // load of the other domain per slot, as last reported
		RemoteAge       time.Duration // of the newest report
		Latency         time.Duration
	}

	// Decision tells for one request which domains it may leave for. The zero value permits all.
	Decision struct {
		table    *Table
		service  *service
		value    float64
		reason   Reason
		domains  []Domain
		stranded bool // no server of the own domain can run the request
	}
)

// Decide returns the decision for a request. The domains are those of the service; the slice must not be modified.
func (t *Table) Decide(name string, domains []Domain, r Request, now time.Time) Decision {
	local := slices.IndexFunc(domains, func(d Domain) bool { return d.Name == t.Home })
	if local < 0 {
		return Decision{reason: ReasonAbsent}
	}
	d := Decision{
		table: t, reason: ReasonShort, value: valuePerKilobyte(r), domains: domains,
	}
	if domains[local].Slots == 0 {
		d = d.Strand()
	}
	t.mu.Lock()
	d.service = t.service(name)
	d.service.count(d.value)
	changes := d.service.step(domains, t.Home, now)
	t.mu.Unlock()
	if t.Changed != nil {
		for _, c := range changes {
			t.Changed(c)
		}
	}
	return d
}

// Strand returns the decision for the case that no server of the own domain can run the request, although the entries
// name some.
func (d Decision) Strand() Decision {
	d.stranded, d.reason = true, ReasonFailed
	return d
}

// Allows reports whether the request may leave for a domain.
func (d Decision) Allows(domain string) bool {
	if d.table == nil {
		return true
	}
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	s := d.service
	target := s.domains[domain]
	if target == nil || d.stranded {
		return target != nil && target.allowsStranded()
	}
	return target.tokens >= 1 && d.value >= s.minValue
}

// Latency returns the additional latency of requests to a domain, or 0 if it is unknown.
func (d Decision) Latency(domain string) time.Duration {
	if d.table == nil {
		return 0
	}
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	if target := d.service.domains[domain]; target != nil {
		return target.latency.get()
	}
	return 0
}

// Leave records that the request leaves for a domain and returns the reason. Refused is set if nodes of the own domain
// have refused it before. Done must be called when the attempt has ended.
func (d Decision) Leave(domain string, refused bool) Reason {
	if d.table == nil {
		return d.reason
	}
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	if target := d.service.domains[domain]; target != nil {
		target.tokens--
		target.inFlight++
	}
	if refused && !d.stranded {
		return ReasonRefused
	}
	return d.reason
}

// Done records that an attempt in another domain has ended.
func (d Decision) Done(domain string) {
	if d.table == nil {
		return
	}
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	if target := d.service.domains[domain]; target != nil {
		target.inFlight--
	}
}

// Observe records the outcome of a request.
func (t *Table) Observe(name string, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if o.Domain == t.Home {
		s.home.observe(o, now)
		return
	}
	s.domain(o.Domain).observe(o, now)
}

// service returns the state of a service. The caller must hold the lock.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		if t.services == nil {
			t.services = make(map[string]*service)
		}
		s = &service{name: name, domains: make(map[string]*target)}
		t.services[name] = s
	}
	return s
}
