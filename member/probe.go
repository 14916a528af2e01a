package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// clockSamples is the number of newest clock samples whose median is reported.
const clockSamples = 31

type (
	// PingArgs is the request of Probe.Ping.
	PingArgs struct {
		From shunt.Member // the asker's entry
		View shunt.Member // what the asker believes of the member that it asks
	}

	// PingReply is the response of Probe.Ping.
	PingReply struct {
		Member shunt.Member // the answering member's entry
		View   shunt.Member // what it believes of the asker
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

	// clocks holds the newest differences between other members' clocks and this one's.
	clocks struct {
		mu      sync.Mutex
		samples []time.Duration
		next    int
	}
)

// NewProbe returns the service that answers probes for a table's own member.
func NewProbe(table *Table, transport Transport, clock clockwork.Clock) *Probe {
	return &Probe{table: table, transport: transport, clock: clock}
}

// Ping answers a direct probe. The asker's view of this member is merged first, so that a suspicion is
// refuted in the answer.
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
	pong, err := p.transport.Ping(ctx, args.Target.Control, PingArgs{From: p.table.Self(), View: args.Target})
	if err != nil {
		reply.Reached = false
		return nil //nolint:nilerr // an unanswered probe is the result, not a failure of this call
	}
	reply.Reached, reply.Member = true, pong.Member
	return nil
}

func (c *clocks) add(sent, received, theirs time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := theirs.Sub(sent.Add(received.Sub(sent) / 2))
	if len(c.samples) < clockSamples {
		c.samples = append(c.samples, d)
		return
	}
	c.samples[c.next] = d
	c.next = (c.next + 1) % clockSamples
}

func (c *clocks) median() (time.Duration, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.samples) == 0 {
		return 0, 0
	}
	s := slices.Sorted(slices.Values(c.samples))
	return s[len(s)/2], len(s)
}
