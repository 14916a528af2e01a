package meshd

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/usage"
)

const (
	// usagePollInterval is how often a node checks whether a window has ended.
	usagePollInterval = 250 * time.Millisecond
	// usageSendInterval is the time between two messages with changed counts to a collecting node. A killed node loses
	// what it has counted since the last one. If half of the nodes are killed at once, that is 2.5% of a window of 5 s on
	// average, half of the usual tolerance; with messages each second it would be all of it.
	usageSendInterval = 500 * time.Millisecond
	// usageCallTimeout bounds the calls between nodes for usage.
	usageCallTimeout = 500 * time.Millisecond
	// collectorCount is the number of nodes of a failure domain that have all its counts.
	collectorCount = 2
)

var errNoUsage = errors.New("node has no usage to report")

type (
	// usageNode counts the requests at this node and sends the counts to the collecting nodes of its failure domain. It
	// also collects, if other nodes send to it. A nil usageNode counts nothing.
	usageNode struct {
		clock   clockwork.Clock
		time    *usage.Clock
		windows usage.Windows
		view    *MeshView
		peers   *peer.Pool
		meter   *Meter
		self    usage.Source
		domain  string
		control string // address of this node's feed

		counter   usage.Counter
		collector usage.Collector

		mu      sync.Mutex
		targets map[string]*usageTarget // by address of the feed
		// byDomain holds the collecting nodes, as of the view's generation listedAt.
		byDomain map[string][]string
		listedAt uint64
	}

	// usageTarget is what a collecting node is known to have.
	usageTarget struct {
		version uint64 // of the counter
		final   int64
		sentAt  time.Time
		busy    bool
	}

	// UsageMissingArgs asks a collecting node for the counts of which another one knows less.
	UsageMissingArgs struct {
		Window int64
		Totals []usage.SourceTotal
	}

	// UsageMissingReply holds these counts.
	UsageMissingReply struct{ Sources []usage.SourceCounts }

	// UsageSumArgs asks a collecting node for the sum of its failure domain.
	UsageSumArgs struct{ Window int64 }
)

// begin counts a request of a tenant that is about to be written to the server, and returns a function that corrects the
// count if the server did not run it.
func (u *usageNode) begin(tenant string) (notRun func()) {
	if u == nil || tenant == "" {
		return func() {}
	}
	window := u.counter.Begin(tenant, u.windows.At(u.time.Now()))
	return func() { u.counter.NotRun(tenant, window) }
}

// run sends counts until ctx ends.
func (u *usageNode) run(ctx context.Context) {
	ticker := u.clock.NewTicker(usagePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			u.send(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// send sends the counts to the collecting nodes that lack some of them, at most once in usageSendInterval or when a window
// has ended.
func (u *usageNode) send(ctx context.Context) {
	current := u.windows.At(u.time.Now())
	if u.time.Reliable() {
		u.counter.Finalize(current - 1)
	}
	u.meter.add("side_usage_counts_dropped_total", int(u.counter.TakeDropped()))
	targets := u.collectors(u.domain)
	u.forgetTargets(targets)
	for _, addr := range targets {
		t, since := u.reserve(addr)
		if t == nil {
			continue
		}
		m := usage.Message{Source: u.self, Wall: u.time.Wall()}
		var version uint64
		m.Windows, version, m.Final = u.counter.Changes(since)
		if addr == u.control {
			err := u.collector.Merge(m, current)
			u.sent(t, version, m.Final, err)
			u.time.Estimate()
			continue
		}
		go u.sendTo(ctx, addr, t, m, version)
	}
}

// flush sends what the collecting nodes lack before the node stops.
func (u *usageNode) flush(ctx context.Context) {
	if u == nil {
		return
	}
	current := u.windows.At(u.time.Now())
	u.counter.Finalize(current)
	var wg sync.WaitGroup
	for _, addr := range u.collectors(u.domain) {
		m := usage.Message{Source: u.self, Wall: u.time.Wall()}
		var version uint64
		m.Windows, version, m.Final = u.counter.Changes(0)
		wg.Go(func() { u.sendTo(ctx, addr, &usageTarget{}, m, version) })
	}
	wg.Wait()
}

// collectors returns the feed addresses of the nodes that collect for a failure domain. The slice must not be modified. The
// lists are computed again after a change of the view, which takes a look at each node of the mesh.
func (u *usageNode) collectors(domain string) []string {
	generation := u.view.generation.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byDomain == nil || u.listedAt != generation {
		u.byDomain, u.listedAt = u.view.firstFeeds(collectorCount), generation
	}
	return u.byDomain[domain]
}

// firstFeeds returns, by failure domain, the feed addresses of the first n nodes in the order of liveEntries.
func (v *MeshView) firstFeeds(n int) map[string][]string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	first := make(map[string][]nodeEntry)
	for _, p := range v.peers {
		e := p.currentEntry()
		if e.Control == "" || e.Stopping || p.isUnreachable() {
			continue
		}
		list := first[e.Domain]
		i, _ := slices.BinarySearchFunc(list, e, compareLinks)
		if i < n {
			list = slices.Insert(list, i, e)
			first[e.Domain] = list[:min(len(list), n)]
		}
	}
	feeds := make(map[string][]string, len(first))
	for domain, list := range first {
		for _, e := range list {
			feeds[domain] = append(feeds[domain], e.Control)
		}
	}
	return feeds
}

// forgetTargets forgets nodes that do not collect any more. They may lack counts when they do so again.
func (u *usageNode) forgetTargets(current []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := make(map[string]*usageTarget, len(current))
	for _, addr := range current {
		if kept[addr] = u.targets[addr]; kept[addr] == nil {
			kept[addr] = &usageTarget{}
		}
	}
	u.targets = kept
}

// reserve returns a collecting node, and the version of the counts that it has, if it is to be sent something now.
func (u *usageNode) reserve(addr string) (t *usageTarget, since uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t = u.targets[addr]
	now := u.clock.Now()
	version, final := u.counter.Position()
	ended := final > t.final
	changed := version > t.version && now.Sub(t.sentAt) >= usageSendInterval
	first := t.sentAt.IsZero() // a process that has just started needs the true time
	if t.busy || !ended && !changed && !first {
		return nil, 0
	}
	t.busy, t.sentAt = true, now
	return t, t.version
}

// sent records the result of a message.
func (u *usageNode) sent(t *usageTarget, version uint64, final int64, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.busy = false
	if err == nil {
		t.version, t.final = version, final
	}
}

func (u *usageNode) sendTo(ctx context.Context, addr string, t *usageTarget, m usage.Message, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, usageCallTimeout)
	defer cancel()
	var reply usage.Reply
	began := u.clock.Now()
	err := u.peers.Call(ctx, addr, feedService, feedService+".Usage", m, &reply)
	if err == nil {
		u.time.Adopt(reply.Now, reply.Clocks, u.clock.Since(began))
		if reply.Rejected != "" {
			err = errors.New(reply.Rejected)
		}
	}
	if err != nil {
		u.meter.increment("side_usage_send_failures_total")
		log.WithError(err).WithField("node", addr).Debug("cannot send usage counts")
	}
	u.sent(t, version, m.Final, err)
}

// sum returns the sum of this node's failure domain, after it has obtained what the other collecting node knows more.
func (u *usageNode) sum(ctx context.Context, window int64) usage.Sum {
	ctx, cancel := context.WithTimeout(ctx, usageCallTimeout/2)
	defer cancel()
	for _, addr := range u.collectors(u.domain) {
		if addr == u.control {
			continue
		}
		args, reply := UsageMissingArgs{window, u.collector.Totals(window)}, UsageMissingReply{}
		if err := u.peers.Call(ctx, addr, feedService, feedService+".UsageMissing", args, &reply); err != nil {
			log.WithError(err).WithField("node", addr).Debug("cannot compare usage counts")
			continue
		}
		for _, s := range reply.Sources {
			if err := u.collector.Merge(usage.Message{
				Source: s.Source, Final: s.Final, Windows: []usage.WindowCounts{{Window: window, Tenants: s.Tenants}},
			}, u.windows.At(u.time.Now())); err != nil {
				log.WithError(err).WithField("node", addr).Warn("usage counts rejected")
			}
		}
	}
	var live []string
	for _, e := range u.view.liveEntries(u.domain) {
		live = append(live, e.Calls)
	}
	return u.collector.Sum(window, live)
}

// Usage takes the usage counts of a process.
func (f *Feed) Usage(m usage.Message, reply *usage.Reply) error {
	u := f.usage
	if u == nil {
		return errNoUsage
	}
	u.time.Sample(m.Address, m.Wall)
	reply.Now, reply.Clocks = u.time.Estimate()
	if err := u.collector.Merge(m, u.windows.At(u.time.Now())); err != nil {
		reply.Rejected = err.Error()
	}
	return nil
}

// UsageMissing returns the counts of which another collecting node knows less.
func (f *Feed) UsageMissing(args UsageMissingArgs, reply *UsageMissingReply) error {
	if f.usage == nil {
		return errNoUsage
	}
	reply.Sources = f.usage.collector.Missing(args.Window, args.Totals)
	return nil
}

// UsageSum returns the sum of a window over this node's failure domain.
func (f *Feed) UsageSum(args UsageSumArgs, reply *usage.Sum) error {
	if f.usage == nil {
		return errNoUsage
	}
	*reply = f.usage.sum(context.Background(), args.Window)
	return nil
}
