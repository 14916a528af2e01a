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

// Timeouts and intervals of failure detection.
const (
	// ProbeInterval is the time between two probe rounds of a detector.
	ProbeInterval = time.Second
	// PingTimeout bounds a direct probe. The sum of PingTimeout and IndirectTimeout is below ProbeInterval, so that
	// both probes fit into one round.
	PingTimeout = 400 * time.Millisecond
	// IndirectTimeout bounds the indirect probes, which start after an unanswered direct probe and run concurrently.
	IndirectTimeout = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspected member has to refute the suspicion.
	SuspicionTimeout = 3 * time.Second
	// UncorroboratedSuspicionTimeout replaces SuspicionTimeout when helpers were asked and none answered. The cause is
	// then as likely this node's own network, and others can only refute the suspicion once that works again.
	UncorroboratedSuspicionTimeout = 5 * SuspicionTimeout
	// DigestMismatchLimit is how long the tables of probed members must differ from this one before their entries are
	// fetched, because changes in transit make tables differ briefly. Comparing with each probed member merges
	// groups that list each other only in part, such as many nodes that started at the same time.
	DigestMismatchLimit = 2 * time.Second
	// maxIndirectHelpers is the number of members asked to probe one that did not answer.
	maxIndirectHelpers = 3
	// roundsPerDeadProbe is the number of rounds between probes of members declared dead. Without them, the
	// halves of a partitioned failure domain would never discover each other again.
	roundsPerDeadProbe = 5
	// roundsPerExpiry is the number of rounds between removals of expired tombstones.
	roundsPerExpiry = 60
)

type (
	// Detector probes the members of its own failure domain and, if this node is a reader, the readers of the other
	// failure domains. RunRound runs one round; Run calls it every ProbeInterval.
	Detector struct {
		table            *Table
		transport        Transport
		clock            clockwork.Clock
		rng              *rand.Rand
		clockDifferences clockTracker

		mu            sync.Mutex
		round         int
		nextRound     time.Time // scheduled start of the next round
		probeOrder    []string
		suspicions    map[string]suspicion
		domains       domainMonitor
		pauses        int
		mismatchSince time.Time // since when the tables of probed members differ
	}

	suspicion struct {
		member       shunt.Member
		since        time.Time
		corroborated bool
	}
)

// NewDetector returns a detector. The seed determines the order of probes.
func NewDetector(table *Table, transport Transport, clock clockwork.Clock, seed uint64) *Detector {
	return &Detector{
		table:      table,
		transport:  transport,
		clock:      clock,
		rng:        rand.New(rand.NewPCG(seed, hash("detector", table.self))),
		suspicions: make(map[string]suspicion),
		domains:    newDomainMonitor(),
	}
}

// Run probes until the context ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.RunRound(ctx)
		d.mu.Lock()
		wait := d.nextRound.Sub(d.clock.Now())
		d.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-d.clock.After(wait):
		}
	}
}

// RunRound runs one round: it declares members dead whose suspicion time has passed and probes the next member, and a
// reader also probes the other failure domains. In some rounds it also probes a dead member or removes expired
// tombstones.
func (d *Detector) RunRound(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	start := d.clock.Now()
	if !d.nextRound.IsZero() && start.Sub(d.nextRound) > ProbeInterval {
		d.handlePause(start)
	}
	d.round++
	if d.round%roundsPerExpiry == 0 {
		d.table.Expire()
	}
	d.expireSuspicions(start)
	d.probeNext(ctx)
	if d.round%roundsPerDeadProbe == 0 {
		d.probeDead(ctx)
	}
	d.probeDomains(ctx)
	d.nextRound = start.Add(ProbeInterval)
	if now := d.clock.Now(); d.nextRound.Before(now) {
		d.nextRound = now
	}
}

// ClockDifference returns the median difference between the clocks of recently probed members and this
// node's clock, and the number of samples.
func (d *Detector) ClockDifference() (time.Duration, int) { return d.clockDifferences.median() }

// PauseCount returns how often this process was paused for longer than ProbeInterval.
func (d *Detector) PauseCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses
}

// handlePause is called after this process was paused. It restarts all suspicions, because the members had no
// chance to refute them here. Other nodes may have declared this one dead and removed it meanwhile, so it
// announces itself with a new sequence.
func (d *Detector) handlePause(now time.Time) {
	d.pauses++
	log.WithFields(log.Fields{"lag": now.Sub(d.nextRound).String()}).
		Warn("process was paused; restarting suspicion timeouts")
	for control, s := range d.suspicions {
		s.since = now
		d.suspicions[control] = s
	}
	d.domains.reset(now)
	d.table.Update(func(*shunt.Member) {})
}

func (d *Detector) expireSuspicions(now time.Time) {
	for control, s := range d.suspicions {
		m, ok := d.table.Lookup(control)
		if !ok || m.Newer(s.member) || m.Status == shunt.StatusDead {
			delete(d.suspicions, control)
			continue
		}
		if now.Sub(s.since) < s.timeout() {
			continue
		}
		delete(d.suspicions, control)
		if d.table.SetDetectedStatus(s.member, shunt.StatusDead) {
			log.WithFields(log.Fields{"member": control, "domain": m.Domain}).Info("member declared dead")
		}
	}
}

func (d *Detector) probeNext(ctx context.Context) {
	target, ok := d.nextTarget()
	if !ok {
		return
	}
	start := d.clock.Now()
	if reply, answered := d.ping(ctx, target); answered {
		d.table.Merge(reply.Member)
		d.compareDigest(reply)
		return
	}
	m, reached, helperAnswered := d.probeIndirect(ctx, target)
	if reached {
		d.table.Merge(m)
		return
	}
	if d.clock.Since(start) > 2*ProbeInterval || ctx.Err() != nil {
		return // the result is not valid: this process was paused during the probe, or the detector is shutting down
	}
	d.suspect(target, helperAnswered || len(d.livePeers(target.Control)) == 0)
}

// suspect marks a member as suspected. Corroborated means that a helper answered but did not reach it either, or
// that there are no other live members to ask.
func (d *Detector) suspect(target shunt.Member, corroborated bool) {
	d.table.SetDetectedStatus(target, shunt.StatusSuspect)
	m, ok := d.table.Lookup(target.Control)
	if !ok || m.Incarnation != target.Incarnation || m.Sequence != target.Sequence {
		return // refuted or replaced meanwhile
	}
	if _, exists := d.suspicions[m.Control]; exists {
		return
	}
	d.suspicions[m.Control] = suspicion{member: m, since: d.clock.Now(), corroborated: corroborated}
	log.WithFields(log.Fields{"member": m.Control, "domain": m.Domain}).Info("member suspected")
}

// nextTarget returns the member to probe: round robin over a shuffled order, which bounds the time until a
// member is probed, whereas independent random choices would not.
func (d *Detector) nextTarget() (shunt.Member, bool) {
	for range 2 {
		for len(d.probeOrder) > 0 {
			control := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			m, ok := d.table.Lookup(control)
			if ok && m.Status != shunt.StatusDead && control != d.table.self {
				return m, true
			}
		}
		d.probeOrder = d.otherMembers(false)
		d.rng.Shuffle(
			len(d.probeOrder),
			func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] },
		)
	}
	return shunt.Member{}, false
}

// probeDead probes one member that was declared dead. If it is alive, it refutes that.
func (d *Detector) probeDead(ctx context.Context) {
	dead := d.otherMembers(true)
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

// otherMembers returns the sorted control addresses of the other members of the failure domain: those declared
// dead, or all that are not.
func (d *Detector) otherMembers(dead bool) []string {
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
	d.clockDifferences.add(sent, d.clock.Now(), reply.Time)
	d.table.Merge(reply.View) // refutes a false status of this node in the other's table
	return reply, true
}

// compareDigest reports a probed member as mismatched once the tables of probed members have differed from this
// one for DigestMismatchLimit.
func (d *Detector) compareDigest(reply PingReply) {
	now := d.clock.Now()
	switch {
	case reply.Digest == d.table.Digest(d.table.Self().Domain):
		d.mismatchSince = time.Time{}
	case d.mismatchSince.IsZero():
		d.mismatchSince = now
	case now.Sub(d.mismatchSince) >= DigestMismatchLimit:
		d.mismatchSince = time.Time{}
		select {
		case d.table.mismatched <- reply.Member.Control:
		default:
		}
	}
}

// probeIndirect asks other members to probe the target. Answered reports whether at least one of them answered.
func (d *Detector) probeIndirect(ctx context.Context, target shunt.Member) (m shunt.Member, reached, answered bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, IndirectTimeout)
	defer cancel()
	helpers := d.helpers(target.Control)
	replies := make(chan IndirectReply, len(helpers))
	failed := make(chan struct{}, len(helpers))
	for _, helper := range helpers {
		go func() {
			reply, err := d.transport.Indirect(ctx, helper, IndirectArgs{Target: target, Timeout: PingTimeout})
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
			answered = true
			if r.Reached {
				return r.Member, true, true
			}
		}
	}
	return shunt.Member{}, false, answered
}

func (s suspicion) timeout() time.Duration {
	if s.corroborated {
		return SuspicionTimeout
	}
	return UncorroboratedSuspicionTimeout
}

func (d *Detector) helpers(target string) []string {
	peers := d.livePeers(target)
	d.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxIndirectHelpers)]
}

func (d *Detector) livePeers(target string) []string {
	var peers []string
	for _, control := range d.table.Live(d.table.Self().Domain) {
		if control != target && control != d.table.self {
			peers = append(peers, control)
		}
	}
	return peers
}
