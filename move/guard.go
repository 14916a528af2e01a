package move

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/state"
)

const (
	// GuardInterval is the interval at which a node evaluates its own counters.
	GuardInterval = time.Second
	// guardFalseAlarm is the probability per move that a node stops a good version. Stops in two failure domains
	// halt a move, so it must be low enough for 21,000 nodes: with 1e-6, some node does so in 2% of moves.
	guardFalseAlarm = 1e-6
	// guardWindowCap is the largest factor by which one window may increase the evidence against the new version. It
	// is larger than that of a controller (canary.DefaultWindowCap), because a single node sends few requests to the
	// new version.
	guardWindowCap = 1e4
)

type (
	// Lister provides the moves of the current configuration.
	Lister interface {
		Moves() []state.MoveStatus
	}

	// Snapshotter provides a node's own counters; count.Table implements it.
	Snapshotter interface {
		Snapshot(since uint64) count.Report
	}

	// Guard evaluates a node's own counters and stops the node's traffic to a new version that they show to be
	// bad, without waiting for the log or other nodes.
	Guard struct {
		self     shunt.Member
		clock    clockwork.Clock
		moves    Lister
		counts   Snapshotter
		facts    shunt.Facts
		routes   func(service string) int
		cursor   uint64
		trackers map[moveKey]*moveTracker
	}

	moveKey struct {
		name          string
		publishOffset shunt.Offset
	}

	// moveTracker holds the counters, the statistical test and the pending append of one move. stepCount is the number
	// of steps at the last call of BeginStep.
	moveTracker struct {
		deltas    CounterDeltas
		test      *canary.Test
		stepCount int
		started   bool
		pending   pendingAppend
	}
)

// NewGuard returns a guard. Routes returns the number of routes of a service.
func NewGuard(
	self shunt.Member, clock clockwork.Clock, moves Lister, counts Snapshotter, facts shunt.Facts,
	routes func(service string) int,
) *Guard {
	return &Guard{
		self: self, clock: clock, moves: moves, counts: counts, facts: facts, routes: routes,
		trackers: make(map[moveKey]*moveTracker),
	}
}

// Run calls Check every GuardInterval until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(GuardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.Check()
		}
	}
}

// Check evaluates the calls since the previous check. It is not safe for concurrent use.
func (g *Guard) Check() {
	now := g.clock.Now()
	report := g.counts.Snapshot(g.cursor)
	g.cursor = report.Cursor
	current := make(map[moveKey]*moveTracker)
	for _, m := range g.moves.Moves() {
		if !reversible(&m, now) {
			continue
		}
		k := moveKey{name: m.Name, publishOffset: m.Version}
		tracker := g.trackers[k]
		if tracker == nil {
			tracker = &moveTracker{test: canary.NewTest(canary.Config{
				FalseAlarm: guardFalseAlarm, WindowCap: guardWindowCap, Routes: g.routes(m.Spec.Service),
			})}
		}
		current[k] = tracker
		g.checkMove(&m, tracker, report.Cells, now)
	}
	g.trackers = current
}

func (g *Guard) checkMove(m *state.MoveStatus, tracker *moveTracker, cells []count.Cell, now time.Time) {
	tracker.test.Observe(now, tracker.deltas.Next(now, filterService(cells, m.Spec.Service), m.Spec.From, m.Spec.To))
	if !tracker.test.Bad() || g.facts.Halted(m.Name, m.Version) {
		return
	}
	v := tracker.test.Verdict(now)
	f := shunt.Fact{
		Kind: shunt.FactStop, Move: m.Name, Version: m.Version,
		Node: g.self.Control, Domain: g.self.Domain, Reason: v.Text(), At: now,
	}
	log.WithFields(log.Fields{"move": m.Name, "reason": f.Reason}).
		Warn("new version is bad according to local counters; stopping requests to it")
	g.facts.Add(f)
}

// reversible reports whether a move may be sending traffic to its new version and can still be rolled back.
func reversible(m *state.MoveStatus, now time.Time) bool {
	return m.Open() || (m.Phase == state.PhaseCompleted && !now.After(m.CompletedAt.Add(holdPeriod(&m.Spec))))
}

func filterService(cells []count.Cell, service string) []count.Cell {
	list := make([]count.Cell, 0, len(cells))
	for _, c := range cells {
		if c.Service == service {
			list = append(list, c)
		}
	}
	return list
}
