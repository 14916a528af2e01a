package trial

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// Names in every trial.
const (
	service = "trial"
	oldName = "old"
	newName = "new"
	nodes   = Domains
)

// Delays of the system around the decision.
const (
	reportEvery = 5 // seconds between the reports of a node to its collector
	stepLag     = 3 // seconds until nodes act on a record
)

type (
	// world is the traffic and the nodes of one trial, in steps of one second.
	world struct {
		c          *Case
		rng        *rand.Rand
		clock      *clockwork.FakeClock
		start      time.Time
		log        *mlog.Log
		ledger     *Ledger
		nodes      [nodes]*node
		collectors [Domains]*count.Collector
		seen       []state.MoveStatus // by second, for the delay of records
		firstStep  time.Time
		tally      Result
	}

	// node is one node: an entry for calls with its own counters, facts and guard.
	node struct {
		self   shunt.Member
		table  *count.Table
		facts  *move.Facts
		guard  *move.Guard
		cursor uint64
	}

	// fleet is the directory and the source of merged counters of a controller.
	fleet struct{ *world }
)

var (
	routeNames  = names("route", 100)
	domainNames = names("domain", Domains)
)

func newWorld(c *Case, seed uint64) *world {
	start := time.Date(2025, 3, 1, 9, 0, 0, 0, time.UTC)
	clock := clockwork.NewFakeClockAt(start)
	w := &world{
		c:     c,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		clock: clock,
		start: start,
		log:   mlog.New(clock, mlog.Limits{}),
	}
	spec := conf.Move{
		Service: service, From: oldName, To: newName, Deadline: start.Add(c.Deadline), Hold: conf.Duration(Hold),
	}
	// The entry stands for the publish record, which a trial does not need.
	version, err := w.log.Append(context.Background(), shunt.StreamConfig, []byte("{}"))
	if err != nil {
		panic(err) // an empty in-memory log without faults takes an append
	}
	w.ledger = NewLedger(w.log, "trial", version, spec, start)
	for d := range w.collectors {
		w.collectors[d] = count.NewCollector(w.log, clock, domain(d))
	}
	for i := range w.nodes {
		w.nodes[i] = w.node(i)
	}
	return w
}

func (w *world) node(i int) *node {
	n := &node{self: shunt.Member{
		Control: fmt.Sprintf("10.0.0.%d:1", i), Domain: domain(i % Domains), Incarnation: uint64(w.start.UnixNano()),
	}}
	n.table = count.NewTable(n.self, w.clock)
	n.facts = move.NewFacts(n.self)
	n.guard = move.NewGuard(n.self, w.clock, w.ledger, n.table, n.facts, func(string) int { return w.c.Routes })
	return n
}

// second runs one second of traffic and reports.
func (w *world) second(at int, guards bool) {
	w.clock.Advance(time.Second)
	status := w.ledger.Status()
	if len(status.Steps) > 0 && w.firstStep.IsZero() {
		w.firstStep = status.Steps[0].At
	}
	w.seen = append(w.seen, status)
	w.traffic(w.seen[max(0, at-stepLag)])
	for i, n := range w.nodes {
		if guards {
			n.guard.Check()
		}
		if (at+i)%reportEvery == 0 {
			r := n.table.Snapshot(n.cursor)
			n.cursor = r.Cursor
			w.collectors[i%Domains].Ingest(r)
		}
	}
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			n.facts.Merge(other.facts.List())
		}
	}
}

// traffic draws the calls of one second.
func (w *world) traffic(status state.MoveStatus) {
	now := w.clock.Now()
	var shares [nodes]float64
	var highest float64
	for i, n := range w.nodes {
		shares[i] = status.Share(now)
		if n.facts.Halted(status.Name, status.Version) {
			shares[i] = 0
		}
		highest = max(highest, shares[i])
	}
	w.tally.share(now, highest)
	calls := int(w.c.Rate + math.Sqrt(w.c.Rate)*w.rng.NormFloat64() + 0.5)
	for range calls {
		i := w.rng.IntN(nodes)
		w.call(w.nodes[i], shares[i], now)
	}
}

func (w *world) call(n *node, share float64, now time.Time) {
	m := Moment{Now: now.Sub(w.start), Share: share, Server: w.rng.IntN(Servers), Route: w.route()}
	m.New = w.rng.Float64() < share
	m.Domain = m.Server % Domains
	if w.c.Uneven && m.New && w.rng.Float64() < 0.7 {
		m.Domain = 0
	}
	if !w.firstStep.IsZero() {
		m.Since = now.Sub(w.firstStep)
	}
	e := w.c.Effect(m)
	cold := w.c.Cold && m.New && m.Now < move.Ramp
	if cold {
		e.Slow, e.Refused = 4, 0.1
	}
	c := shunt.Call{
		Service: service, Route: routeNames[m.Route], Version: oldName, Domain: domainNames[m.Domain],
		At: now, RequestID: "trial", Warm: !cold, Outcome: w.outcome(&e),
	}
	c.Latency = time.Duration(float64(baseDelay) * max(1, e.Slow) * math.Exp(0.5*w.rng.NormFloat64()))
	if m.New {
		c.Version = newName
		w.tally.received(now, e.Bad)
	}
	n.table.Sent(c)
}

func (w *world) outcome(e *Effect) shunt.Outcome {
	switch {
	case w.rng.Float64() < e.Refused:
		return shunt.OutcomeNotRun
	case w.rng.Float64() < baseFail+e.Fail:
		return shunt.OutcomeFailed
	default:
		return shunt.OutcomeOK
	}
}

// route draws a route; the later half of the routes gets a tenth of the requests.
func (w *world) route() int {
	half := w.c.Routes / 2
	if half > 0 && w.rng.Float64() < 0.1 {
		return half + w.rng.IntN(w.c.Routes-half)
	}
	return w.rng.IntN(max(1, half))
}

// Merged implements move.Counters.
func (f fleet) Merged(_ context.Context, name string) (count.Merged, []string, error) {
	parts := make([]count.Merged, 0, Domains)
	for _, c := range f.collectors {
		parts = append(parts, c.Merged(name))
	}
	return count.Join(parts...), nil, nil
}

// Servers implements shunt.Directory.
func (f fleet) Servers(_, version string) []shunt.Member {
	list := make([]shunt.Member, Servers)
	for i := range list {
		list[i] = shunt.Member{
			Control: fmt.Sprintf("10.1.0.%d:1", i), Domain: domain(i % Domains), Service: service, Version: version,
			Slots: 10, Ready: true, ReadySince: f.start.Add(-time.Hour),
		}
		if version == newName && f.c.Cold {
			list[i].ReadySince = f.start
		}
	}
	return list
}

// Holders implements shunt.Directory. Node 0 holds every role.
func (f fleet) Holders(string, string, int) []shunt.Member { return []shunt.Member{f.nodes[0].self} }

// Lookup implements shunt.Directory.
func (f fleet) Lookup(string) (shunt.Member, bool) { return shunt.Member{}, false }

// Domains implements shunt.Directory.
func (f fleet) Domains() []string { return []string{domain(0), domain(1), domain(2)} }

// Self implements shunt.Directory.
func (f fleet) Self() shunt.Member { return f.nodes[0].self }

func domain(i int) string { return domainNames[i] }

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}
