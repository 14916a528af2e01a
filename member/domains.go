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
	// Readers is the number of readers of a failure domain.
	Readers = 2
	// topReaders is the number of a failure domain's readers that must all be silent before it counts as
	// unreachable.
	topReaders = 5
)

type (
	// DomainEvent says that a whole failure domain became unreachable or reachable again. The cause is
	// never an operator: a failure domain taken out of service is configuration.
	DomainEvent struct {
		Domain      string
		Unreachable bool
		At          time.Time
	}

	// domains is what a reader knows of the other failure domains.
	domains struct {
		answered map[string]time.Time // last answer; the start of observation before the first
		lost     map[string]bool
		events   []DomainEvent
	}
)

// maxEvents bounds the events kept for the state dump.
const maxEvents = 100

// Events returns the newest domain events, oldest first.
func (d *Detector) Events() []DomainEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.domains.events)
}

// probeDomains probes the other failure domains when this node is a reader of its own. Other nodes learn
// the result from their parent.
func (d *Detector) probeDomains(ctx context.Context) {
	self := d.table.Self()
	if !d.isReader(self.Domain) {
		events := d.domains.events
		d.domains = newDomains()
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
	answers := d.reach(ctx, others)
	now := d.clock.Now()
	if now.Sub(start) > 2*ProbeInterval {
		d.domains.restart(now) // this process was paused during the probes
		return
	}
	before := len(d.domains.events)
	for i, name := range others {
		d.domains.observe(name, answers[i], now)
	}
	if len(d.domains.events) == before && len(d.domains.lost) == 0 && len(d.table.Unreachable()) == 0 {
		return
	}
	var lost []string
	for name := range d.domains.lost {
		lost = append(lost, name)
	}
	d.table.SetUnreachable(lost)
}

// reach probes the given failure domains at the same time and reports which answered.
func (d *Detector) reach(ctx context.Context, names []string) []bool {
	answers := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { answers[i] = d.reachDomain(ctx, name) })
	}
	wg.Wait()
	return answers
}

// reachDomain probes the best reader first and the others only when it is silent.
func (d *Detector) reachDomain(ctx context.Context, name string) bool {
	readers := d.table.Holders(RoleReader, name, topReaders)
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
	for _, m := range d.table.Holders(RoleReader, domain, Readers) {
		if m.Control == d.table.self {
			return true
		}
	}
	return false
}

func newDomains() domains {
	return domains{answered: make(map[string]time.Time), lost: make(map[string]bool)}
}

func (ds *domains) observe(name string, answered bool, now time.Time) {
	last, seen := ds.answered[name]
	if answered || !seen {
		ds.answered[name] = now
	}
	switch {
	case answered && ds.lost[name]:
		delete(ds.lost, name)
		ds.event(DomainEvent{Domain: name, At: now})
	case !answered && seen && !ds.lost[name] && now.Sub(last) >= SuspicionTime:
		ds.lost[name] = true
		ds.event(DomainEvent{Domain: name, Unreachable: true, At: now})
	}
}

func (ds *domains) event(e DomainEvent) {
	ds.events = append(ds.events, e)
	if len(ds.events) > maxEvents {
		ds.events = slices.Clone(ds.events[1:])
	}
	log.WithFields(log.Fields{
		"domain": e.Domain, "unreachable": e.Unreachable, "operator": false,
	}).Warn("failure domain reachability changed")
}

// restart gives every failure domain a new observation period after a pause of this process.
func (ds *domains) restart(now time.Time) {
	for name := range ds.answered {
		ds.answered[name] = now
	}
}
