package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// Times of the failure detection.
const (
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval = time.Second
	// PingTimeout bounds a direct probe. With IndirectTimeout it stays below ProbeInterval.
	PingTimeout = 400 * time.Millisecond
	// IndirectTimeout bounds the indirect probes, which run at the same time.
	IndirectTimeout = 500 * time.Millisecond
	// SuspicionTime is how long a suspected member has to refute the suspicion.
	SuspicionTime = 3 * time.Second
	// LoneSuspicionTime replaces SuspicionTime when no helper answered: the cause is then as likely this
	// node's own network, and others can only refute once it works again.
	LoneSuspicionTime = 5 * SuspicionTime
	// DifferTime is how long probed members must have other entries before they are fetched: changes on
	// their way make tables differ for a moment. Comparing with members probed in turn joins groups that
	// know each other only in part, such as many nodes that started at the same time.
	DifferTime = 2 * time.Second
	// indirectProbes is the number of members asked to probe one that did not answer.
	indirectProbes = 3
	// reviveEvery is the number of rounds between probes of members declared dead. Without them, the halves
	// of a failure domain that was partitioned would never find each other again.
	reviveEvery = 5
	// expireEvery is the number of rounds between removals of old tombstones.
	expireEvery = 60
)

type (
	// Detector probes the members of its own failure domain and the readers of the others. Tick runs one
	// round; Run calls it every ProbeInterval.
	Detector struct {
		table     *Table
		transport Transport
		clock     clockwork.Clock
		rng       *rand.Rand
		clocks    clocks

		mu        sync.Mutex
		round     int
		due       time.Time // when the next round should start
		order     []string
		suspected map[string]suspicion
		domains   domains
		pauses    int
		differ    time.Time // since when probed members have other entries of the failure domain
	}

	suspicion struct {
		member    shunt.Member
		since     time.Time
		witnessed bool
	}
)

// NewDetector returns a detector. The seed determines the order of probes.
func NewDetector(table *Table, transport Transport, clock clockwork.Clock, seed uint64) *Detector {
	return &Detector{
		table:     table,
		transport: transport,
		clock:     clock,
		rng:       rand.New(rand.NewPCG(seed, hash("detector", table.self))),
		suspected: make(map[string]suspicion),
		domains:   newDomains(),
	}
}

// Run probes until the context ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.Tick(ctx)
		d.mu.Lock()
		wait := d.due.Sub(d.clock.Now())
		d.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-d.clock.After(wait):
		}
	}
}

// Tick runs one round: it judges members whose suspicion time is over and probes the next one.
func (d *Detector) Tick(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	start := d.clock.Now()
	if !d.due.IsZero() && start.Sub(d.due) > ProbeInterval {
		d.resume(start)
	}
	d.round++
	if d.round%expireEvery == 0 {
		d.table.Expire()
	}
	d.judge(start)
	d.probeNext(ctx)
	if d.round%reviveEvery == 0 {
		d.probeDead(ctx)
	}
	d.probeDomains(ctx)
	d.due = start.Add(ProbeInterval)
	if now := d.clock.Now(); d.due.Before(now) {
		d.due = now
	}
}

// ClockDifference returns the median difference between the clocks of members probed lately and this
// node's clock, and the number of samples behind it.
func (d *Detector) ClockDifference() (time.Duration, int) { return d.clocks.median() }

// Pauses returns how often this process did not run for longer than a probe interval.
func (d *Detector) Pauses() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses
}

// resume is called when this process was paused: suspicions that it held say nothing of the members, which
// had no chance to refute them here. Others may have declared this node dead meanwhile and forgotten it, so
// it announces itself with a new sequence.
func (d *Detector) resume(now time.Time) {
	d.pauses++
	log.WithFields(log.Fields{"lag": now.Sub(d.due).String()}).Warn("process was paused, suspicions restart")
	for control, s := range d.suspected {
		s.since = now
		d.suspected[control] = s
	}
	d.domains.restart(now)
	d.table.Update(func(*shunt.Member) {})
}

func (d *Detector) judge(now time.Time) {
	for control, s := range d.suspected {
		m, ok := d.table.Lookup(control)
		if !ok || m.Newer(s.member) || m.Status == shunt.StatusDead {
			delete(d.suspected, control)
			continue
		}
		if now.Sub(s.since) < s.time() {
			continue
		}
		delete(d.suspected, control)
		if d.table.Judge(s.member, shunt.StatusDead) {
			log.WithFields(log.Fields{"member": control, "domain": m.Domain}).Info("member declared dead")
		}
	}
}

func (d *Detector) probeNext(ctx context.Context) {
	target, ok := d.next()
	if !ok {
		return
	}
	start := d.clock.Now()
	if reply, answered := d.ping(ctx, target); answered {
		d.table.Merge(reply.Member)
		d.compare(reply)
		return
	}
	m, reached, asked := d.indirect(ctx, target)
	if reached {
		d.table.Merge(m)
		return
	}
	if d.clock.Since(start) > 2*ProbeInterval || ctx.Err() != nil {
		return // this process was paused during the probe
	}
	d.suspect(target, asked || len(d.others(target.Control)) == 0)
}

// suspect marks a member as suspected. Witnessed says that a helper answered and did not reach it either.
func (d *Detector) suspect(target shunt.Member, witnessed bool) {
	d.table.Judge(target, shunt.StatusSuspect)
	m, ok := d.table.Lookup(target.Control)
	if !ok || m.Incarnation != target.Incarnation || m.Sequence != target.Sequence {
		return // refuted or replaced meanwhile
	}
	if _, already := d.suspected[m.Control]; already {
		return
	}
	d.suspected[m.Control] = suspicion{member: m, since: d.clock.Now(), witnessed: witnessed}
	log.WithFields(log.Fields{"member": m.Control, "domain": m.Domain}).Info("member suspected")
}

// next returns the member to probe: round robin over a shuffled order, which bounds the time until a
// member is probed, whereas independent random choices would not.
func (d *Detector) next() (shunt.Member, bool) {
	for range 2 {
		for len(d.order) > 0 {
			control := d.order[0]
			d.order = d.order[1:]
			m, ok := d.table.Lookup(control)
			if ok && m.Status != shunt.StatusDead && control != d.table.self {
				return m, true
			}
		}
		d.order = d.members(false)
		d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return shunt.Member{}, false
}

// probeDead probes one member that was declared dead. One that lives refutes that.
func (d *Detector) probeDead(ctx context.Context) {
	dead := d.members(true)
	if len(dead) == 0 {
		return
	}
	target, ok := d.table.Lookup(dead[d.rng.IntN(len(dead))])
	if !ok {
		return
	}
	if reply, answered := d.ping(ctx, target); answered {
		d.table.Merge(reply.Member)
	}
}

// members returns the control addresses of the other members of the failure domain, sorted: those declared
// dead or all others.
func (d *Detector) members(dead bool) []string {
	self := d.table.Self()
	d.table.mu.RLock()
	defer d.table.mu.RUnlock()
	var controls []string
	for control, e := range d.table.domains[self.Domain] {
		if control != self.Control && (e.Status == shunt.StatusDead) == dead {
			controls = append(controls, control)
		}
	}
	slices.Sort(controls)
	return controls
}

func (d *Detector) ping(ctx context.Context, target shunt.Member) (PingReply, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, PingTimeout)
	defer cancel()
	sent := d.clock.Now()
	reply, err := d.transport.Ping(ctx, target.Control, PingArgs{From: d.table.Self(), View: target})
	if err != nil || reply.Member.Control != target.Control {
		return PingReply{}, false
	}
	d.clocks.add(sent, d.clock.Now(), reply.Time)
	d.table.Merge(reply.View) // refutes what the other node wrongly believes of this one
	return reply, true
}

// compare tells when the tables of probed members stay different from this one.
func (d *Detector) compare(reply PingReply) {
	now := d.clock.Now()
	switch {
	case reply.Digest == d.table.Digest(d.table.Self().Domain):
		d.differ = time.Time{}
	case d.differ.IsZero():
		d.differ = now
	case now.Sub(d.differ) >= DifferTime:
		d.differ = time.Time{}
		select {
		case d.table.differing <- reply.Member.Control:
		default:
		}
	}
}

// indirect asks other members to probe the target. Asked reports whether at least one of them answered.
func (d *Detector) indirect(ctx context.Context, target shunt.Member) (m shunt.Member, reached, asked bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, IndirectTimeout)
	defer cancel()
	helpers := d.helpers(target.Control)
	replies := make(chan IndirectReply, len(helpers))
	failed := make(chan struct{}, len(helpers))
	for _, via := range helpers {
		go func() {
			reply, err := d.transport.Indirect(ctx, via, IndirectArgs{Target: target, Timeout: PingTimeout})
			if err != nil {
				failed <- struct{}{}
				return
			}
			replies <- reply
		}()
	}
	for range helpers {
		select {
		case <-failed:
		case r := <-replies:
			asked = true
			if r.Reached {
				return r.Member, true, true
			}
		}
	}
	return shunt.Member{}, false, asked
}

func (s suspicion) time() time.Duration {
	if s.witnessed {
		return SuspicionTime
	}
	return LoneSuspicionTime
}

func (d *Detector) helpers(target string) []string {
	hs := d.others(target)
	d.rng.Shuffle(len(hs), func(i, j int) { hs[i], hs[j] = hs[j], hs[i] })
	return hs[:min(len(hs), indirectProbes)]
}

func (d *Detector) others(target string) []string {
	var hs []string
	for _, control := range d.table.Live(d.table.Self().Domain) {
		if control != target && control != d.table.self {
			hs = append(hs, control)
		}
	}
	return hs
}
