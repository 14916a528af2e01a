package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// maxClockSamples is the number of newest clock samples whose median is reported.
const maxClockSamples = 31

type (
	// PingArgs is the request of Probe.Ping.
	PingArgs struct {
		From shunt.Member // the caller's entry
		View shunt.Member // the caller's entry of the member that it probes
	}

	// PingReply is the response of Probe.Ping.
	PingReply struct {
		Member shunt.Member // the answering member's entry
		View   shunt.Member // its entry of the caller
		Digest uint64       // its digest of its failure domain
		Time   time.Time    // its clock
	}

	// IndirectArgs is the request of Probe.Indirect.
	IndirectArgs struct {
		Target  shunt.Member
		Timeout time.Duration
	}

	// IndirectReply is the response of Probe.Indirect.
	IndirectReply struct {
		Reached bool
		Member  shunt.Member // the target's entry when it was reached
	}

	// Transport carries probes.
	Transport interface {
		Ping(ctx context.Context, control string, args PingArgs) (PingReply, error)
		Indirect(ctx context.Context, via string, args IndirectArgs) (IndirectReply, error)
	}

	// Probe is the RPC service with the methods Probe.Ping and Probe.Indirect.
	Probe struct {
		table     *Table
		transport Transport
		clock     clockwork.Clock
	}

	// clockTracker holds the newest differences between other members' clocks and this one's.
	clockTracker struct {
		mu      sync.Mutex
		samples []time.Duration
		next    int
	}
)

// NewProbe returns the service that answers probes for a table's own member.
func NewProbe(table *Table, transport Transport, clock clockwork.Clock) *Probe {
	return &Probe{table: table, transport: transport, clock: clock}
}

// Ping answers a direct probe. It first merges the caller's entry of this member, so that a suspicion is refuted
// in the reply.
func (p *Probe) Ping(args PingArgs, reply *PingReply) error {
	p.table.Merge(args.From, args.View)
	reply.Member = p.table.Self()
	reply.View, _ = p.table.Lookup(args.From.Control)
	reply.Digest = p.table.Digest(reply.Member.Domain)
	reply.Time = p.clock.Now()
	return nil
}

// Indirect probes a member on behalf of another one. Reached is false when the target did not answer.
func (p *Probe) Indirect(args IndirectArgs, reply *IndirectReply) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, min(args.Timeout, IndirectTimeout))
	defer cancel()
	pingReply, err := p.transport.Ping(ctx, args.Target.Control, PingArgs{From: p.table.Self(), View: args.Target})
	if err != nil {
		reply.Reached = false
		return nil //nolint:nilerr // an unanswered probe is the result, not a failure of this call
	}
	reply.Reached, reply.Member = true, pingReply.Member
	return nil
}

func (t *clockTracker) add(sent, received, remote time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	offset := remote.Sub(sent.Add(received.Sub(sent) / 2))
	if len(t.samples) < maxClockSamples {
		t.samples = append(t.samples, offset)
		return
	}
	t.samples[t.next] = offset
	t.next = (t.next + 1) % maxClockSamples
}

func (t *clockTracker) median() (time.Duration, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.samples) == 0 {
		return 0, 0
	}
	s := slices.Sorted(slices.Values(t.samples))
	return s[len(s)/2], len(s)
}
