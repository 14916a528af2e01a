package meshd

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/duty"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/usage"
)

const (
	// maxRenewMS is the longest interval between two renewals if windows are longer. It bounds the time without a holder.
	maxRenewMS = 5000
	// collectAfter is the time after a window's end at which its counts are first asked for: nodes send them within
	// usagePollInterval, and clocks differ by some milliseconds.
	collectAfter = 800 * time.Millisecond
	// settleAfter is the time after a window's end at which it is settled with what is known. It leaves 6 of 10 s for the
	// report, which includes a change of the holder in most cases.
	settleAfter = 4 * time.Second
	// collectInterval is the pause between two collections of one window.
	collectInterval = 400 * time.Millisecond
	// collectTimeout bounds the collection from all failure domains.
	collectTimeout = 700 * time.Millisecond
	// postInterval is how often a node checks whether there is a report to post, and minPostSpacing the time between two
	// calls. Five calls a second clear a backlog of six windows and are a tenth of what is usually allowed.
	postInterval   = 100 * time.Millisecond
	minPostSpacing = 200 * time.Millisecond
	// postTimeout bounds a call, which also ends with the lease. The platform may be slow.
	postTimeout = 2500 * time.Millisecond
	// postBackoff is the pause after a call without success.
	postBackoff = 300 * time.Millisecond
	// giveUpAfter is the time of calls without success after which the holder releases the duty: it may be cut off from
	// the cloud alone.
	giveUpAfter = 4 * time.Second
)

// domainSum is the sum of a failure domain, or false if no collecting node has answered.
type domainSum struct {
	usage.Sum
	domain   string
	answered bool
}

// settle settles the next window that has ended, if this node holds the duty.
func (d *dutyRunner) settle(ctx context.Context) {
	known, _, holding := d.seat.Known()
	if !holding {
		return
	}
	now := d.usage.time.Now()
	window, ended := usage.NextWindow(d.usage.windows, max(known.Settled, d.ledger.Newest()), now, d.lateness)
	age := now.Sub(d.usage.windows.End(window))
	if !ended || age < collectAfter || d.clock.Since(d.asked) < collectInterval {
		return
	}
	d.asked = d.clock.Now()
	sums := d.collect(ctx, window)
	report := usage.Report{Window: window, Counts: make(map[string]int64)}
	sources, missing, silent := 0, 0, 0
	for _, s := range sums {
		sources += s.Sources
		missing += s.Missing
		if !s.answered {
			silent++
		}
		for tenant, n := range s.Counts {
			report.Counts[tenant] += n
		}
	}
	if missing+silent > 0 && age < settleAfter {
		return
	}
	at := d.topicEnd()
	record, ok := d.seat.Renewal()
	// The window may have been settled during the collection, by an append of this node that got no answer.
	if !ok || window <= max(record.Settled, d.ledger.Newest()) || !d.append(ctx, at, duty.Renew, record, &report) {
		return
	}
	d.meter.increment("side_usage_windows_settled_total")
	entry := log.WithFields(log.Fields{
		"window": window, "tenants": len(report.Counts), "requests": report.Requests(), "processes": sources,
		"nodes_missing": missing, "domains_missing": silent, "after_end": now.Sub(d.usage.windows.End(window)),
		"token": record.Token,
	})
	if silent > 0 || float64(missing) > d.tolerance*float64(len(d.view.nodeAddresses())) {
		d.meter.increment("side_usage_windows_incomplete_total")
		entry.Warn("usage window settled; counts of nodes are missing")
		return
	}
	entry.Info("usage window settled")
}

// collect returns the sums of a window of all failure domains.
func (d *dutyRunner) collect(ctx context.Context, window int64) []domainSum {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	domains := d.view.domains()
	sums := make([]domainSum, len(domains))
	var wg sync.WaitGroup
	for i, domain := range domains {
		wg.Go(func() { sums[i] = d.collectDomain(ctx, domain, window) })
	}
	wg.Wait()
	return sums
}

// collectDomain asks the collecting nodes of a failure domain, in turn, until one has the counts of all nodes. It returns the
// most complete answer.
func (d *dutyRunner) collectDomain(ctx context.Context, domain string, window int64) domainSum {
	best := domainSum{domain: domain}
	for _, addr := range d.usage.collectors(domain) {
		s := domainSum{domain: domain, answered: true}
		if addr == d.usage.control {
			s.Sum = d.usage.sum(ctx, window)
		} else if err := d.peers.Call(
			ctx, addr, feedService, feedService+".UsageSum", UsageSumArgs{window}, &s.Sum,
		); err != nil {
			log.WithError(err).WithFields(log.Fields{"node": addr, "window": window}).Debug("cannot collect usage")
			continue
		}
		if !best.answered || s.Requests() > best.Requests() {
			best = s
		}
		if s.Missing == 0 {
			return s
		}
	}
	return best
}

// postLoop posts settled reports until ctx ends.
func (d *dutyRunner) postLoop(ctx context.Context) {
	ticker := d.clock.NewTicker(postInterval)
	defer ticker.Stop()
	var next time.Time
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		if d.clock.Now().Before(next) {
			continue
		}
		if posted, pause := d.post(ctx); posted {
			next = d.clock.Now().Add(pause)
		}
	}
}

// post posts the next settled report, if this node holds the duty. It returns the pause before the next call.
func (d *dutyRunner) post(ctx context.Context) (posted bool, pause time.Duration) {
	report, ok := d.ledger.Pending(d.usage.time.Now(), d.usage.windows, d.lateness)
	if !ok {
		return false, 0
	}
	token, left, ok := d.seat.MayCall(d.now())
	if !ok {
		return false, 0
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, postTimeout))
	defer cancel()
	began := d.clock.Now()
	d.ledger.Posted(report.Window)
	outcome, err := d.cloud.ReportUsage(ctx, shunt.DutyCall{
		Holder: d.node, Token: uint64(token),
		Proceed: func() bool { return d.seat.StillHeld(token, d.now()) },
	}, report.Window, report.Counts)
	d.meter.increment(`side_usage_reports_total{outcome="` + outcome.String() + `"}`)
	entry := log.WithFields(log.Fields{
		"window": report.Window, "token": token, "outcome": outcome.String(), "requests": report.Requests(),
		"after_end": d.usage.time.Now().Sub(d.usage.windows.End(report.Window)), "took": d.clock.Since(began),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	switch outcome {
	case shunt.CloudAccepted:
		d.ledger.Accept(report.Window)
		d.seat.Accepted()
		d.failed = postFailures{}
		entry.Info("usage reported")
		return true, d.spacing
	case shunt.CloudStaleToken:
		d.seat.Rejected(token)
		entry.Warn("usage report rejected: a higher token was seen")
		return true, d.spacing
	case shunt.CloudTooMany, shunt.CloudUnavailable, shunt.CloudUnknown:
	}
	entry.Warn("usage not reported")
	if outcome != shunt.CloudTooMany {
		d.countFailure()
	}
	return true, max(d.spacing, postBackoff)
}

// countFailure releases the duty after giveUpAfter of calls without success.
func (d *dutyRunner) countFailure() {
	now := d.clock.Now()
	if d.failed.count == 0 {
		d.failed.since = now
	}
	d.failed.count++
	if d.failed.count > 1 && now.Sub(d.failed.since) >= giveUpAfter {
		log.WithFields(log.Fields{"duty": d.name, "calls": d.failed.count}).Warn("cloud out of reach; releasing duty")
		d.seat.Release(d.now(), false)
		d.failed = postFailures{}
	}
}

// stop makes the node release the duty.
func (d *dutyRunner) stop() {
	if d != nil {
		d.seat.Release(d.now(), true)
	}
}

// state describes the duty to operators.
func (d *dutyRunner) state() []opapi.MeshDuty {
	if d == nil {
		return nil
	}
	r, since, holding := d.seat.Known()
	s := opapi.MeshDuty{
		Name: d.name, Holder: r.Node, Address: r.Address, Token: uint64(r.Token), Term: r.Term, Released: r.Released,
		Holding: holding, SeenMS: (d.now().Steady - since.Steady).Milliseconds(),
	}
	for _, w := range d.ledger.States() {
		s.Windows = append(s.Windows, opapi.MeshUsageWindow(w))
	}
	return []opapi.MeshDuty{s}
}
