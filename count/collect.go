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

// Limits and intervals of a Collector.
const (
	// FlushInterval is the interval at which a collector appends its reports to the log.
	FlushInterval = 10 * time.Second
	// FoldDelay is the time for which late reports of an ended incarnation are accepted before it is folded.
	FoldDelay = 10 * time.Minute

	maxEntriesPerRead = 500
	finalFlushTimeout = 2 * time.Second
)

type (
	// Collector merges the reports of the nodes of one failure domain. Its durable state is reduced from the
	// counts stream; reports not yet appended are kept separately in memory. Two collectors of one failure domain
	// are harmless: both append maxima, and only the first fold of an incarnation in the stream takes effect.
	Collector struct {
		log    shunt.Log
		clock  clockwork.Clock
		domain string

		mu          sync.Mutex
		durable     CounterSet               // reduced from the stream up to offset
		unconfirmed map[NodeKey]*incarnation // reports and end times that have not been read back from the stream
		toFold      map[NodeKey]struct{}     // incarnations to fold
		offset      shunt.Offset
	}
)

// NewCollector returns a collector of a failure domain that has not read the counts stream yet.
func NewCollector(l shunt.Log, clock clockwork.Clock, domain string) *Collector {
	return &Collector{
		log:         l,
		clock:       clock,
		domain:      domain,
		unconfirmed: make(map[NodeKey]*incarnation),
		toFold:      make(map[NodeKey]struct{}),
	}
}

// Ingest merges a node's report. The first report of a later incarnation ends the earlier ones of the same node.
func (c *Collector) Ingest(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Incarnation <= c.durable.folded[r.Node] {
		return
	}
	isNew := !c.has(r.NodeKey)
	c.stage(r)
	if isNew {
		c.endEarlier(r.Node)
	}
}

// MarkDead records that membership declared an incarnation dead; repeated calls have no effect. MarkDead must be called
// on a new collector for all dead members in membership, because the previous collector may have failed before it
// appended the reports of those incarnations.
func (c *Collector) MarkDead(node string, incarnation uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation > c.durable.folded[node] {
		k := NodeKey{Node: node, Incarnation: incarnation}
		c.stage(Report{NodeKey: k, Domain: c.domain, EndedAt: at})
	}
}

// Merged returns the merged counters of a service over the failure domain's nodes, including reports that are not
// durable yet.
func (c *Collector) Merged(service string) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	merged := CounterSet{base: c.durable.base, ended: c.durable.ended, unfolded: maps.Clone(c.durable.unfolded)}
	if merged.unfolded == nil {
		merged.unfolded = make(map[NodeKey]*incarnation)
	}
	for k, in := range c.unconfirmed {
		if durable := merged.unfolded[k]; durable != nil {
			in = in.union(durable)
		}
		merged.unfolded[k] = in
	}
	return merged.Merged(service, now)
}

// Recover reads the counts stream up to its head. It does not load a checkpoint; call Restore first. Without it, a cell
// that appears only in truncated entries is missing until it is appended again, which may never happen for a node that
// has ended.
func (c *Collector) Recover(ctx context.Context) error {
	for {
		c.mu.Lock()
		from := c.offset + 1
		c.mu.Unlock()
		batch, err := c.log.Read(ctx, shunt.StreamCounts, from, maxEntriesPerRead, 0)
		var truncated *shunt.TruncatedError
		if errors.As(err, &truncated) {
			// The reports in the retained entries are cumulative, so at most cells without a retained entry are lost.
			c.skipTo(truncated.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("recover counters of %s: %w", c.domain, err)
		}
		c.reduce(batch.Entries)
		if len(batch.Entries) == 0 {
			return nil
		}
	}
}

// Flush reads the stream to its head, then appends all reports that are not durable yet in one batch. Appended
// reports are dropped from memory only once they have been read back, so that an append of unknown outcome can be
// repeated safely.
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

// Run flushes every FlushInterval until the context ends, and once more at the end.
func (c *Collector) Run(ctx context.Context) {
	ticker := c.clock.NewTicker(FlushInterval)
	defer ticker.Stop()
	for {
		if err := c.Flush(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("domain", c.domain).Warn("failed to flush counters to the log")
		}
		select {
		case <-ctx.Done():
			c.flushFinal(ctx)
			return
		case <-ticker.Chan():
		}
	}
}

// flushFinal appends the reports that a stopping collector still holds in memory.
func (c *Collector) flushFinal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	if err := c.Flush(ctx); err != nil {
		log.WithError(err).WithField("domain", c.domain).Warn("failed to flush final counters to the log")
	}
}

// pending returns the reports to append: those not durable yet, and a final one with all cells for each
// incarnation that ended at least FoldDelay ago.
func (c *Collector) pending(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, in := range c.durable.unfolded {
		end := in.info.EndedAt
		if in.info.Last {
			end = in.info.HeardAt
		}
		if !end.IsZero() && now.Sub(end) >= FoldDelay {
			c.stage(in.report(k))
			c.toFold[k] = struct{}{}
		}
	}
	reports := make([]Report, 0, len(c.unconfirmed))
	for k, in := range c.unconfirmed {
		r := in.report(k)
		_, r.Final = c.toFold[k]
		reports = append(reports, r)
	}
	return reports
}

// stage merges a report into the reports that are not durable yet.
func (c *Collector) stage(r Report) {
	in := c.unconfirmed[r.NodeKey]
	if in == nil {
		in = newIncarnation(r.NodeKey)
		c.unconfirmed[r.NodeKey] = in
	}
	in.merge(&r)
}

func (c *Collector) has(k NodeKey) bool {
	_, unconfirmed := c.unconfirmed[k]
	return unconfirmed || c.durable.unfolded[k] != nil
}

// endEarlier marks all incarnations of a node but the newest as ended at the start time of the newest.
func (c *Collector) endEarlier(node string) {
	known := make(map[NodeKey]struct{})
	var newest uint64
	add := func(k NodeKey) {
		if k.Node == node {
			known[k] = struct{}{}
			newest = max(newest, k.Incarnation)
		}
	}
	for k := range c.durable.unfolded {
		add(k)
	}
	for k := range c.unconfirmed {
		add(k)
	}
	for k := range known {
		if k.Incarnation < newest {
			c.stage(Report{NodeKey: k, Domain: c.domain, EndedAt: time.Unix(0, int64(newest))})
		}
	}
}

func (c *Collector) skipTo(first shunt.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = max(c.offset, first-1)
}
