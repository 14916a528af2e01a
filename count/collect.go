package count

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// Timing of a collector.
const (
	FlushEvery = 10 * time.Second
	// FoldAfter is how long an ended incarnation waits for late reports before it is folded.
	FoldAfter = 10 * time.Minute

	readLimit = 500
	lastFlush = 2 * time.Second
)

type (
	// Collector gathers the reports of the nodes of one failure domain. Its durable state is a reduction of
	// the counts stream; reports not yet appended are kept beside it. Two collectors of one failure domain
	// are harmless: both append maxima, and the first fold of an incarnation in the stream counts.
	Collector struct {
		log    shunt.Log
		clock  clockwork.Clock
		domain string

		mu      sync.Mutex
		durable Set                      // reduction of the stream up to offset
		fresh   map[NodeKey]*incarnation // reports and ends not yet read back from the stream
		final   map[NodeKey]struct{}     // incarnations to fold
		offset  shunt.Offset
	}
)

// NewCollector returns a collector of a failure domain that has read nothing yet.
func NewCollector(l shunt.Log, clock clockwork.Clock, domain string) *Collector {
	return &Collector{
		log: l, clock: clock, domain: domain, fresh: make(map[NodeKey]*incarnation), final: make(map[NodeKey]struct{}),
	}
}

// Ingest takes in a node's report. A report of a later incarnation ends the earlier ones of the same node.
func (c *Collector) Ingest(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Incarnation <= c.durable.folded[r.Node] {
		return
	}
	first := !c.knows(r.NodeKey)
	c.stage(r)
	if first {
		c.endEarlier(r.Node)
	}
}

// Died takes in the death of an incarnation as membership found it; repetitions have no effect. A collector that
// takes the role must be told all deaths that membership knows, because its predecessor may have lost the
// incarnation's reports with its memory.
func (c *Collector) Died(node string, incarnation uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation > c.durable.folded[node] {
		k := NodeKey{Node: node, Incarnation: incarnation}
		c.stage(Report{NodeKey: k, Domain: c.domain, EndedAt: at})
	}
}

// Merged returns the merged counters of a service over the failure domain's nodes, with reports that are not
// durable yet.
func (c *Collector) Merged(service string) Merged {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	view := Set{base: c.durable.base, ended: c.durable.ended, live: maps.Clone(c.durable.live)}
	if view.live == nil {
		view.live = make(map[NodeKey]*incarnation)
	}
	for k, in := range c.fresh {
		if durable := view.live[k]; durable != nil {
			in = in.joined(durable)
		}
		view.live[k] = in
	}
	return view.Merged(service, now)
}

// Recover reads the counts stream up to its head. It must succeed once before the first Flush.
func (c *Collector) Recover(ctx context.Context) error {
	for {
		c.mu.Lock()
		from := c.offset + 1
		c.mu.Unlock()
		b, err := c.log.Read(ctx, shunt.StreamCounts, from, readLimit, 0)
		var truncated *shunt.TruncatedError
		if errors.As(err, &truncated) {
			// The entries dropped are in a checkpoint, or lost; what is retained is cumulative.
			c.skip(truncated.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("recover counters of %s: %w", c.domain, err)
		}
		c.reduce(b.Entries)
		if len(b.Entries) == 0 {
			return nil
		}
	}
}

// Flush reads the stream to its head, then appends what is not durable yet in one batch. What was appended is
// dropped from memory only once it has been read back, so that an append of unknown outcome is repeated
// without harm.
func (c *Collector) Flush(ctx context.Context) error {
	if err := c.Recover(ctx); err != nil {
		return err
	}
	now := c.clock.Now()
	entries, err := Encode(c.domain, now, c.pending(now))
	if err != nil || len(entries) == 0 {
		return err
	}
	if _, err := c.log.Append(ctx, shunt.StreamCounts, entries...); err != nil {
		return fmt.Errorf("append counters of %s: %w", c.domain, err)
	}
	return c.Recover(ctx)
}

// Run flushes every FlushEvery until the context ends, and once more at the end.
func (c *Collector) Run(ctx context.Context) {
	ticker := c.clock.NewTicker(FlushEvery)
	defer ticker.Stop()
	for {
		if err := c.Flush(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("domain", c.domain).Warn("counters are not durable")
		}
		select {
		case <-ctx.Done():
			c.flushLast(ctx)
			return
		case <-ticker.Chan():
		}
	}
}

// flushLast appends what a stopping collector still has in memory.
func (c *Collector) flushLast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
	defer cancel()
	if err := c.Flush(ctx); err != nil {
		log.WithError(err).WithField("domain", c.domain).Warn("last counters are not durable")
	}
}

// pending returns the reports to append: those not durable, and a final one with all cells for each
// incarnation that ended FoldAfter ago.
func (c *Collector) pending(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, in := range c.durable.live {
		end := in.info.EndedAt
		if in.info.Last {
			end = in.info.HeardAt
		}
		if !end.IsZero() && now.Sub(end) >= FoldAfter {
			c.stage(in.report(k))
			c.final[k] = struct{}{}
		}
	}
	reports := make([]Report, 0, len(c.fresh))
	for k, in := range c.fresh {
		r := in.report(k)
		_, r.Final = c.final[k]
		reports = append(reports, r)
	}
	return reports
}

// stage merges a report into what is not durable yet.
func (c *Collector) stage(r Report) {
	in := c.fresh[r.NodeKey]
	if in == nil {
		in = newIncarnation(r.NodeKey)
		c.fresh[r.NodeKey] = in
	}
	in.merge(&r)
}

func (c *Collector) knows(k NodeKey) bool {
	_, fresh := c.fresh[k]
	return fresh || c.durable.live[k] != nil
}

// endEarlier ends all incarnations of a node but the newest, at the newest one's start.
func (c *Collector) endEarlier(node string) {
	known := make(map[NodeKey]struct{})
	var newest uint64
	note := func(k NodeKey) {
		if k.Node == node {
			known[k] = struct{}{}
			newest = max(newest, k.Incarnation)
		}
	}
	for k := range c.durable.live {
		note(k)
	}
	for k := range c.fresh {
		note(k)
	}
	for k := range known {
		if k.Incarnation < newest {
			c.stage(Report{NodeKey: k, Domain: c.domain, EndedAt: time.Unix(0, int64(newest))})
		}
	}
}

func (c *Collector) skip(first shunt.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = max(c.offset, first-1)
}
