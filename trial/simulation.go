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
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/state"
)

// Names and node count of all trials.
const (
	serviceName = "trial"
	oldVersion  = "old"
	newVersion  = "new"
	nodeCount   = Domains
)

// Delays of the simulated system.
const (
	reportSeconds      = 5 // between the reports of a node to its collector
	propagationSeconds = 3 // until nodes apply a record
)

type (
	// simulation is the traffic and the nodes of one trial, advanced in steps of one second.
	simulation struct {
		trialCase      *Case
		rng            *rand.Rand
		clock          *clockwork.FakeClock
		start          time.Time
		log            *memlog.Log
		moveState      *MoveState
		nodes          [nodeCount]*node
		collectors     [Domains]*count.Collector
		statusBySecond []state.MoveStatus // nodes apply it propagationSeconds later
		firstStep      time.Time
		result         Result
	}

	// node sends calls and has its own counters, facts and guard.
	node struct {
		self   shunt.Member
		table  *count.Table
		facts  *move.Facts
		guard  *move.Guard
		cursor uint64
	}

	// fleet is the directory and the counter source of a controller.
	fleet struct{ *simulation }
)

var (
	routeNames  = numberedNames("route", 100)
	domainNames = numberedNames("domain", Domains)
)

func newSimulation(c *Case, seed uint64) *simulation {
	start := time.Date(2025, 3, 1, 9, 0, 0, 0, time.UTC)
	clock := clockwork.NewFakeClockAt(start)
	sim := &simulation{
		trialCase: c,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		clock:     clock,
		start:     start,
		log:       memlog.New(clock, memlog.Limits{}),
	}
	spec := conf.Move{
		Service:  serviceName,
		From:     oldVersion,
		To:       newVersion,
		Deadline: start.Add(c.Deadline),
		Hold:     conf.Duration(Hold),
	}
	// This entry takes the offset of the publish record, whose content a trial does not need.
	version, err := sim.log.Append(context.Background(), shunt.StreamConfig, []byte("{}"))
	if err != nil {
		panic(err) // the in-memory log injects no faults here
	}
	sim.moveState = NewMoveState(sim.log, "trial", version, spec, start)
	for d := range sim.collectors {
		sim.collectors[d] = count.NewCollector(sim.log, clock, domainName(d))
	}
	for i := range sim.nodes {
		sim.nodes[i] = sim.newNode(i)
	}
	return sim
}

func (sim *simulation) newNode(i int) *node {
	n := &node{self: shunt.Member{
		Control:     fmt.Sprintf("10.0.0.%d:1", i),
		Domain:      domainName(i % Domains),
		Incarnation: uint64(sim.start.UnixNano()),
	}}
	n.table = count.NewTable(n.self, sim.clock)
	n.facts = move.NewFacts(n.self)
	n.guard = move.NewGuard(
		n.self,
		sim.clock,
		sim.moveState,
		n.table,
		n.facts,
		func(string) int { return sim.trialCase.Routes },
	)
	return n
}

// runSecond simulates one second of traffic and reports. The nodes' guards are checked if guards is set.
func (sim *simulation) runSecond(second int, guards bool) {
	sim.clock.Advance(time.Second)
	status := sim.moveState.Status()
	if len(status.Steps) > 0 && sim.firstStep.IsZero() {
		sim.firstStep = status.Steps[0].At
	}
	sim.statusBySecond = append(sim.statusBySecond, status)
	sim.simulateTraffic(sim.statusBySecond[max(0, second-propagationSeconds)])
	for i, n := range sim.nodes {
		if guards {
			n.guard.Check()
		}
		if (second+i)%reportSeconds == 0 {
			r := n.table.Snapshot(n.cursor)
			n.cursor = r.Cursor
			sim.collectors[i%Domains].Ingest(r)
		}
	}
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			n.facts.Merge(other.facts.List())
		}
	}
}

// simulateTraffic draws and sends the calls of one second.
func (sim *simulation) simulateTraffic(status state.MoveStatus) {
	now := sim.clock.Now()
	var shares [nodeCount]float64
	var highest float64
	for i, n := range sim.nodes {
		shares[i] = status.Share(now)
		if n.facts.Halted(status.Name, status.Version) {
			shares[i] = 0
		}
		highest = max(highest, shares[i])
	}
	sim.result.recordHighestShare(now, highest)
	calls := int(sim.trialCase.Rate + math.Sqrt(sim.trialCase.Rate)*sim.rng.NormFloat64() + 0.5)
	for range calls {
		i := sim.rng.IntN(nodeCount)
		sim.simulateCall(sim.nodes[i], shares[i], now)
	}
}

func (sim *simulation) simulateCall(n *node, share float64, now time.Time) {
	call := Call{Now: now.Sub(sim.start), Share: share, Server: sim.rng.IntN(Servers), Route: sim.drawRoute()}
	call.New = sim.rng.Float64() < share
	call.Domain = call.Server % Domains
	if sim.trialCase.Uneven && call.New && sim.rng.Float64() < 0.7 {
		call.Domain = 0
	}
	if !sim.firstStep.IsZero() {
		call.Since = now.Sub(sim.firstStep)
	}
	e := sim.trialCase.Effect(call)
	cold := sim.trialCase.Cold && call.New && call.Now < move.WarmUpTime
	if cold {
		e.Slow, e.Refused = 4, 0.1
	}
	c := shunt.Call{
		Service: serviceName, Route: routeNames[call.Route], Version: oldVersion, Domain: domainNames[call.Domain],
		At: now, RequestID: "trial", Warm: !cold, Outcome: sim.drawOutcome(&e),
	}
	c.Latency = time.Duration(float64(baseLatency) * max(1, e.Slow) * math.Exp(0.5*sim.rng.NormFloat64()))
	if call.New {
		c.Version = newVersion
		sim.result.recordRequest(now, e.Bad)
	}
	n.table.Sent(c)
}

func (sim *simulation) drawOutcome(e *Effect) shunt.Outcome {
	switch {
	case sim.rng.Float64() < e.Refused:
		return shunt.OutcomeNotRun
	case sim.rng.Float64() < usualFailureRate+e.Fail:
		return shunt.OutcomeFailed
	default:
		return shunt.OutcomeOK
	}
}

// drawRoute draws a route. The second half of the routes gets a tenth of the requests.
func (sim *simulation) drawRoute() int {
	half := sim.trialCase.Routes / 2
	if half > 0 && sim.rng.Float64() < 0.1 {
		return half + sim.rng.IntN(sim.trialCase.Routes-half)
	}
	return sim.rng.IntN(max(1, half))
}

// Merged implements move.Counters.
func (f fleet) Merged(_ context.Context, name string) (count.Totals, []string, error) {
	parts := make([]count.Totals, 0, Domains)
	for _, c := range f.collectors {
		parts = append(parts, c.Merged(name))
	}
	return count.SumTotals(parts...), nil, nil
}

// Servers implements shunt.Directory.
func (f fleet) Servers(_, version string) []shunt.Member {
	list := make([]shunt.Member, Servers)
	for i := range list {
		list[i] = shunt.Member{
			Control:    fmt.Sprintf("10.1.0.%d:1", i),
			Domain:     domainName(i % Domains),
			Service:    serviceName,
			Version:    version,
			Slots:      10,
			Ready:      true,
			ReadySince: f.start.Add(-time.Hour),
		}
		if version == newVersion && f.trialCase.Cold {
			list[i].ReadySince = f.start
		}
	}
	return list
}

// RoleHolders implements shunt.Directory. Node 0 holds all roles.
func (f fleet) RoleHolders(string, string, int) []shunt.Member {
	return []shunt.Member{f.nodes[0].self}
}

// Lookup implements shunt.Directory.
func (f fleet) Lookup(string) (shunt.Member, bool) { return shunt.Member{}, false }

// Domains implements shunt.Directory.
func (f fleet) Domains() []string { return []string{domainName(0), domainName(1), domainName(2)} }

// Self implements shunt.Directory.
func (f fleet) Self() shunt.Member { return f.nodes[0].self }

func domainName(i int) string { return domainNames[i] }

func numberedNames(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}
