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

	// reportInterval is the interval at which a node sends its counters to the collector of its failure domain.
	reportInterval = 5 * time.Second
	// countsTimeout limits one call to a collector.
	countsTimeout = 2 * time.Second
)

type (
	// counterReporter sends the node's counters to the collector of its failure domain, and runs that
	// collector while the node holds the role.
	counterReporter struct {
		table     *member.Table
		counters  *count.Table
		peers     member.Caller
		clock     clockwork.Clock
		log       shunt.Log
		mu        sync.Mutex
		collector *count.Collector
		recovered bool // the collector has read the counts stream

		sending    sync.Mutex // held while counters are sent, by run or by close
		reportedTo string     // control address of the collector that has received all counters up to cursor
		cursor     uint64
	}

	// CountsArgs is the request of Counts.Merged.
	CountsArgs struct{ Service string }

	// countsRPC is the net/rpc service Counts.
	countsRPC struct{ reporter *counterReporter }
)

// Report is the net/rpc method Counts.Report.
func (s *countsRPC) Report(report count.Report, _ *struct{}) error {
	c, err := s.reporter.activeCollector()
	if err != nil {
		return err
	}
	c.Ingest(report)
	return nil
}

// Merged is the net/rpc method Counts.Merged.
func (s *countsRPC) Merged(args CountsArgs, reply *count.Totals) error {
	c, err := s.reporter.activeCollector()
	if err != nil {
		return err
	}
	*reply = c.Merged(args.Service)
	return nil
}

// run reports and collects counters until the context ends. close sends the final counters.
func (r *counterReporter) run(ctx context.Context) {
	t := r.clock.NewTicker(reportInterval)
	defer t.Stop()
	var deaths member.Cursor
	var flushed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		r.updateRole(ctx)
		if err := r.send(ctx, false); err != nil {
			log.WithError(err).Debug("failed to send counters to the collector")
		}
		deaths = r.reportDeaths(deaths)
		if r.clock.Since(flushed) >= count.FlushInterval {
			flushed = r.clock.Now()
			r.flush(ctx)
		}
	}
}

// close sends the final counters during a graceful stop. The last node of a failure domain collects them
// itself.
func (r *counterReporter) close(ctx context.Context) {
	err := r.send(ctx, true)
	if errors.Is(err, errNotCollector) {
		err = r.collectLocally(ctx)
	}
	if err != nil {
		log.WithError(err).Warn("failed to send final counters to the collector")
	}
	r.flush(ctx)
}

func (r *counterReporter) collectLocally(ctx context.Context) error {
	report := r.counters.Snapshot(0)
	report.Last = true
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.startCollector(ctx); err != nil {
		return err
	}
	r.collector.Ingest(report)
	return nil
}

// updateRole starts the collector if this node holds the role, and stops it otherwise.
func (r *counterReporter) updateRole(ctx context.Context) {
	self := r.table.Self()
	holder, ok := r.collectorOf(self.Domain)
	if !ok || holder.Control != self.Control {
		// Append the collected counters to the log before stopping the collector.
		r.flush(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.collector, r.recovered = nil, false
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.startCollector(ctx); err != nil {
		log.WithError(err).Warn("failed to read the counts stream; collector does not append yet")
	}
}

// startCollector makes this node the collector of its failure domain. The caller must hold r.mu.
func (r *counterReporter) startCollector(ctx context.Context) error {
	if r.collector == nil {
		r.collector = count.NewCollector(r.log, r.clock, r.table.Self().Domain)
	}
	if r.recovered {
		return nil
	}
	if err := r.collector.Recover(ctx); err != nil {
		return err
	}
	r.recovered = true
	return nil
}

func (r *counterReporter) collectorOf(domain string) (shunt.Member, bool) {
	holders := r.table.RoleHolders(roleCollector, domain, 1)
	if len(holders) == 0 {
		return shunt.Member{}, false
	}
	return holders[0], true
}

// activeCollector returns the collector that runs on this node. It accepts reports even before it has read the
// counts stream.
func (r *counterReporter) activeCollector() (*count.Collector, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.collector == nil {
		return nil, errNotCollector
	}
	return r.collector, nil
}

// send sends the counters that have changed since the last call. Close may call it while run does.
func (r *counterReporter) send(ctx context.Context, last bool) error {
	r.sending.Lock()
	defer r.sending.Unlock()
	self := r.table.Self()
	holder, ok := r.collectorOf(self.Domain)
	if !ok {
		return errNotCollector
	}
	if holder.Control != r.reportedTo {
		r.reportedTo, r.cursor = holder.Control, 0
	}
	report := r.counters.Snapshot(r.cursor)
	report.Last = last
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	if holder.Control == self.Control {
		if err := (&countsRPC{r}).Report(report, nil); err != nil {
			return err
		}
	} else if err := r.peers.Call(
		ctx, holder.Control, countsPurpose, countsService+".Report", report, &struct{}{},
	); err != nil {
		return err
	}
	r.cursor = report.Cursor
	return nil
}

func (r *counterReporter) flush(ctx context.Context) {
	r.mu.Lock()
	c, recovered := r.collector, r.recovered
	r.mu.Unlock()
	if c == nil || !recovered {
		return
	}
	if err := c.Flush(ctx); err != nil {
		log.WithError(err).Warn("failed to append counters to the log")
	}
}

// reportDeaths reports members of the failure domain that died after the cursor to the local collector. It returns the
// next cursor. Without a local collector it returns the zero cursor, so that a new collector gets all deaths.
func (r *counterReporter) reportDeaths(since member.Cursor) member.Cursor {
	c, err := r.activeCollector()
	if err != nil {
		return member.Cursor{}
	}
	delta := r.table.ChangesSince(member.Query{Cursor: since, Domain: r.table.Self().Domain})
	for _, m := range delta.Members {
		if m.Status == shunt.StatusDead {
			c.MarkDead(m.Control, m.Incarnation, r.clock.Now())
		}
	}
	return delta.Next
}

// Merged implements move.Counters by querying the collectors of all failure domains. The second
// result lists the failure domains whose counters could not be fetched.
func (r *counterReporter) Merged(ctx context.Context, service string) (count.Totals, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	domains := r.table.Domains()
	results := make([]count.Totals, len(domains))
	errs := make([]error, len(domains))
	var wg sync.WaitGroup
	for i, d := range domains {
		wg.Go(func() { results[i], errs[i] = r.fetchMerged(ctx, d, service) })
	}
	wg.Wait()
	var missing []string
	for i, err := range errs {
		if err != nil {
			missing = append(missing, domains[i])
		}
	}
	return count.SumTotals(results...), missing, nil
}

func (r *counterReporter) fetchMerged(ctx context.Context, domain, service string) (count.Totals, error) {
	var merged count.Totals
	holder, ok := r.collectorOf(domain)
	if !ok {
		return merged, errNotCollector
	}
	args := CountsArgs{Service: service}
	if holder.Control == r.table.Self().Control {
		return merged, (&countsRPC{r}).Merged(args, &merged)
	}
	err := r.peers.Call(ctx, holder.Control, countsPurpose, countsService+".Merged", args, &merged)
	return merged, err
}
