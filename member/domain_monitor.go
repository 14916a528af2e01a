package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	// RoleReader is the role of the nodes that read the log and link failure domains.
	RoleReader = "reader"
	// ReadersPerDomain is the number of readers of a failure domain.
	ReadersPerDomain = 2
	// maxProbedReaders is the number of a failure domain's readers and next-ranked members that are probed. The
	// failure domain counts as unreachable only if none of them answers.
	maxProbedReaders = 5
)

type (
	// DomainEvent records that a whole failure domain became unreachable or reachable again. Taking a failure domain
	// out of service does not create an event, because that is a configuration change.
	DomainEvent struct {
		Domain      string
		Unreachable bool
		At          time.Time
	}

	// domainMonitor holds a reader's observations of the other failure domains.
	domainMonitor struct {
		lastAnswer  map[string]time.Time // time of the last answer; before the first, the start of observation
		unreachable map[string]bool
		events      []DomainEvent
	}
)

// maxDomainEvents limits the events kept for the state dump.
const maxDomainEvents = 100

// DomainEvents returns the newest domain events, oldest first.
func (d *Detector) DomainEvents() []DomainEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.domains.events)
}

// probeDomains probes the other failure domains if this node is a reader of its own. Other nodes receive the
// result from their parent.
func (d *Detector) probeDomains(ctx context.Context) {
	self := d.table.Self()
	if !d.isReader(self.Domain) {
		events := d.domains.events
		d.domains = newDomainMonitor()
		d.domains.events = events
		return
	}
	var others []string
	for _, name := range d.table.Domains() {
		if name != self.Domain {
			others = append(others, name)
		}
	}
	start := d.clock.Now()
	answers := d.probeDomainReaders(ctx, others)
	now := d.clock.Now()
	if now.Sub(start) > 2*ProbeInterval {
		d.domains.reset(now) // this process was paused during the probes
		return
	}
	eventCount := len(d.domains.events)
	for i, name := range others {
		d.domains.observe(name, answers[i], now)
	}
	if len(d.domains.events) == eventCount && len(d.domains.unreachable) == 0 && len(d.table.Unreachable()) == 0 {
		return
	}
	var unreachable []string
	for name := range d.domains.unreachable {
		unreachable = append(unreachable, name)
	}
	d.table.SetUnreachable(unreachable)
}

// probeDomainReaders probes the given failure domains concurrently and reports which of them answered.
func (d *Detector) probeDomainReaders(ctx context.Context, names []string) []bool {
	answers := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { answers[i] = d.probeDomain(ctx, name) })
	}
	wg.Wait()
	return answers
}

// probeDomain probes the preferred reader first, and the others only if it does not answer.
func (d *Detector) probeDomain(ctx context.Context, name string) bool {
	readers := d.table.RoleHolders(RoleReader, name, maxProbedReaders)
	if len(readers) == 0 {
		return false
	}
	if reply, ok := d.ping(ctx, readers[0]); ok {
		d.table.Merge(reply.Member)
		return true
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, PingTimeout)
	defer cancel()
	answers := make(chan bool, len(readers))
	for _, r := range readers[1:] {
		go func() {
			_, ok := d.ping(ctx, r)
			answers <- ok
		}()
	}
	for range readers[1:] {
		if <-answers {
			return true
		}
	}
	return false
}

func (d *Detector) isReader(domain string) bool {
	for _, m := range d.table.RoleHolders(RoleReader, domain, ReadersPerDomain) {
		if m.Control == d.table.self {
			return true
		}
	}
	return false
}

func newDomainMonitor() domainMonitor {
	return domainMonitor{lastAnswer: make(map[string]time.Time), unreachable: make(map[string]bool)}
}

func (m *domainMonitor) observe(name string, answered bool, now time.Time) {
	last, observed := m.lastAnswer[name]
	if answered || !observed {
		m.lastAnswer[name] = now
	}
	switch {
	case answered && m.unreachable[name]:
		delete(m.unreachable, name)
		m.addEvent(DomainEvent{Domain: name, At: now})
	case !answered && observed && !m.unreachable[name] && now.Sub(last) >= SuspicionTimeout:
		m.unreachable[name] = true
		m.addEvent(DomainEvent{Domain: name, Unreachable: true, At: now})
	}
}

func (m *domainMonitor) addEvent(e DomainEvent) {
	m.events = append(m.events, e)
	if len(m.events) > maxDomainEvents {
		m.events = slices.Clone(m.events[1:])
	}
	log.WithFields(log.Fields{
		"domain": e.Domain, "unreachable": e.Unreachable, "operator": false,
	}).Warn("failure domain reachability changed")
}

// reset restarts the observation of every failure domain after a pause of this process.
func (m *domainMonitor) reset(now time.Time) {
	for name := range m.lastAnswer {
		m.lastAnswer[name] = now
	}
}
