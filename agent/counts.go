package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/member"
)

const (
	roleCollector = "collector"
	countsService = "Counts"
	countsPurpose = "counts"

	// reportEvery is the interval at which a node sends its counters to its failure domain's collector.
	reportEvery = 5 * time.Second
	// countsTimeout bounds one call to a collector.
	countsTimeout = 2 * time.Second
)

type (
	// accounts sends the node's counters to the collector of its failure domain, and is that collector
	// while the node holds the role.
	accounts struct {
		table   *member.Table
		counts  *count.Table
		caller  member.Caller
		clock   clockwork.Clock
		log     shunt.Log
		mu      sync.Mutex
		holding *count.Collector
		ready   bool // the collector has read the stream

		sentTo string // collector that has all counters up to cursor
		cursor uint64
	}

	// CountsArgs is the request of Counts.Merged.
	CountsArgs struct{ Service string }

	// countsRPC is the net/rpc service Counts.
	countsRPC struct{ accounts *accounts }
)

// Report is the net/rpc method Counts.Report.
func (r *countsRPC) Report(report count.Report, _ *struct{}) error {
	c, err := r.accounts.collector()
	if err != nil {
		return err
	}
	c.Ingest(report)
	return nil
}

// Merged is the net/rpc method Counts.Merged.
func (r *countsRPC) Merged(args CountsArgs, reply *count.Merged) error {
	c, err := r.accounts.collector()
	if err != nil {
		return err
	}
	*reply = c.Merged(args.Service)
	return nil
}

// run reports and collects until the context ends, then sends the last counters.
func (a *accounts) run(ctx context.Context) {
	t := a.clock.NewTicker(reportEvery)
	defer t.Stop()
	var deaths member.Cursor
	var flushed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		a.hold(ctx)
		if err := a.send(ctx, false); err != nil {
			log.WithError(err).Debug("counters not sent")
		}
		deaths = a.tellDeaths(deaths)
		if a.clock.Since(flushed) >= count.FlushEvery {
			flushed = a.clock.Now()
			a.flush(ctx)
		}
	}
}

// close sends the last counters of a graceful stop. A node that is the last of its failure domain collects
// them itself.
func (a *accounts) close(ctx context.Context) {
	err := a.send(ctx, true)
	if errors.Is(err, errNotCollector) {
		err = a.collectOwn(ctx)
	}
	if err != nil {
		log.WithError(err).Warn("last counters not sent")
	}
	a.flush(ctx)
}

func (a *accounts) collectOwn(ctx context.Context) error {
	report := a.counts.Snapshot(0)
	report.Last = true
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.take(ctx); err != nil {
		return err
	}
	a.holding.Ingest(report)
	return nil
}

// hold takes up or lays down the role of collector.
func (a *accounts) hold(ctx context.Context) {
	self := a.table.Self()
	holder, ok := a.holder(self.Domain)
	if !ok || holder.Control != self.Control {
		// What was collected so far goes to the log before the role is left.
		a.flush(ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holding, a.ready = nil, false
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.take(ctx); err != nil {
		log.WithError(err).Warn("collector can't read the counts stream yet")
	}
}

// take makes this node the collector. The caller holds a.mu.
func (a *accounts) take(ctx context.Context) error {
	if a.holding == nil {
		a.holding = count.NewCollector(a.log, a.clock, a.table.Self().Domain)
	}
	if a.ready {
		return nil
	}
	if err := a.holding.Recover(ctx); err != nil {
		return err
	}
	a.ready = true
	return nil
}

func (a *accounts) holder(domain string) (shunt.Member, bool) {
	holders := a.table.Holders(roleCollector, domain, 1)
	if len(holders) == 0 {
		return shunt.Member{}, false
	}
	return holders[0], true
}

// collector returns the collector that this node is. It takes reports even before it has read the stream.
func (a *accounts) collector() (*count.Collector, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holding == nil {
		return nil, errNotCollector
	}
	return a.holding, nil
}

func (a *accounts) send(ctx context.Context, last bool) error {
	self := a.table.Self()
	holder, ok := a.holder(self.Domain)
	if !ok {
		return errNotCollector
	}
	if holder.Control != a.sentTo {
		a.sentTo, a.cursor = holder.Control, 0
	}
	report := a.counts.Snapshot(a.cursor)
	report.Last = last
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	if holder.Control == self.Control {
		if err := (&countsRPC{a}).Report(report, nil); err != nil {
			return err
		}
	} else if err := a.caller.Call(
		ctx, holder.Control, countsPurpose, countsService+".Report", report, &struct{}{},
	); err != nil {
		return err
	}
	a.cursor = report.Cursor
	return nil
}

func (a *accounts) flush(ctx context.Context) {
	a.mu.Lock()
	c, ready := a.holding, a.ready
	a.mu.Unlock()
	if c == nil || !ready {
		return
	}
	if err := c.Flush(ctx); err != nil {
		log.WithError(err).Warn("counters not appended to the log")
	}
}

// tellDeaths tells the collector of members of the failure domain that died since a cursor.
func (a *accounts) tellDeaths(since member.Cursor) member.Cursor {
	c, err := a.collector()
	if err != nil {
		return member.Cursor{}
	}
	delta := a.table.Since(member.Query{Cursor: since, Domain: a.table.Self().Domain})
	for _, m := range delta.Members {
		if m.Status == shunt.StatusDead {
			c.Died(m.Control, m.Incarnation, a.clock.Now())
		}
	}
	return delta.Next
}

// Merged implements move.Counters over the collectors of all failure domains.
func (a *accounts) Merged(ctx context.Context, service string) (count.Merged, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	domains := a.table.Domains()
	parts := make([]count.Merged, len(domains))
	errs := make([]error, len(domains))
	var wg sync.WaitGroup
	for i, d := range domains {
		wg.Go(func() { parts[i], errs[i] = a.mergedOf(ctx, d, service) })
	}
	wg.Wait()
	var missing []string
	for i, err := range errs {
		if err != nil {
			missing = append(missing, domains[i])
		}
	}
	return count.Join(parts...), missing, nil
}

func (a *accounts) mergedOf(ctx context.Context, domain, service string) (count.Merged, error) {
	var merged count.Merged
	holder, ok := a.holder(domain)
	if !ok {
		return merged, errNotCollector
	}
	args := CountsArgs{Service: service}
	if holder.Control == a.table.Self().Control {
		return merged, (&countsRPC{a}).Merged(args, &merged)
	}
	err := a.caller.Call(ctx, holder.Control, countsPurpose, countsService+".Merged", args, &merged)
	return merged, err
}
