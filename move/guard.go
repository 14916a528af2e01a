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
	// GuardEvery is the interval at which a node weighs its own counters.
	GuardEvery = time.Second
	// guardFalseAlarm is the false-alarm rate of one node. Stops of two failure domains halt a move, so the
	// rate must be small over 21,000 nodes: together they stay at 2%.
	guardFalseAlarm = 1e-6
	// guardWindowCap is larger than a controller's, because one node sees few requests to the new version.
	guardWindowCap = 1e4
)

type (
	// Moves gives the moves of the current configuration.
	Moves interface {
		Moves() []state.MoveStatus
	}

	// Snapshotter gives a node's own counters; count.Table implements it.
	Snapshotter interface {
		Snapshot(since uint64) count.Report
	}

	// Guard watches a node's own counters and stops the node's traffic to a new version that is bad on this
	// evidence alone, without waiting for the log or for other nodes.
	Guard struct {
		self    shunt.Member
		clock   clockwork.Clock
		moves   Moves
		counts  Snapshotter
		facts   shunt.Facts
		routes  func(service string) int
		cursor  uint64
		watched map[watchKey]*watch
	}

	watchKey struct {
		name    string
		version shunt.Offset
	}

	// watch is the observation of one move.
	watch struct {
		window Window
		test   *canary.Test
		steps  int
		begun  bool
		await  await
	}
)

// NewGuard returns a guard. Routes returns the number of routes of a service.
func NewGuard(
	self shunt.Member, clock clockwork.Clock, moves Moves, counts Snapshotter, facts shunt.Facts,
	routes func(service string) int,
) *Guard {
	return &Guard{
		self: self, clock: clock, moves: moves, counts: counts, facts: facts, routes: routes,
		watched: make(map[watchKey]*watch),
	}
}

// Run checks every GuardEvery until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(GuardEvery)
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

// Check weighs the calls since the last check. It is not safe for concurrent use.
func (g *Guard) Check() {
	now := g.clock.Now()
	report := g.counts.Snapshot(g.cursor)
	g.cursor = report.Cursor
	current := make(map[watchKey]*watch)
	for _, m := range g.moves.Moves() {
		if !watching(&m, now) {
			continue
		}
		k := watchKey{name: m.Name, version: m.Version}
		w := g.watched[k]
		if w == nil {
			w = &watch{test: canary.NewTest(canary.Config{
				FalseAlarm: guardFalseAlarm, WindowCap: guardWindowCap, Routes: g.routes(m.Spec.Service),
			})}
		}
		current[k] = w
		g.weigh(&m, w, report.Cells, now)
	}
	g.watched = current
}

func (g *Guard) weigh(m *state.MoveStatus, w *watch, cells []count.Cell, now time.Time) {
	w.test.Observe(now, w.window.Next(now, ofService(cells, m.Spec.Service), m.Spec.From, m.Spec.To))
	if !w.test.Bad() || g.facts.Halted(m.Name, m.Version) {
		return
	}
	v := w.test.Verdict(now)
	f := shunt.Fact{
		Kind: shunt.FactStop, Move: m.Name, Version: m.Version,
		Node: g.self.Control, Domain: g.self.Domain, Reason: v.Text(), At: now,
	}
	log.WithFields(log.Fields{"move": m.Name, "reason": f.Reason}).Warn("new version stopped on own evidence")
	g.facts.Add(f)
}

// watching reports whether a move may send traffic to its new version that it can still take back.
func watching(m *state.MoveStatus, now time.Time) bool {
	return m.Open() || (m.Phase == state.PhaseCompleted && !now.After(m.CompletedAt.Add(hold(&m.Spec))))
}

func ofService(cells []count.Cell, service string) []count.Cell {
	list := make([]count.Cell, 0, len(cells))
	for _, c := range cells {
		if c.Service == service {
			list = append(list, c)
		}
	}
	return list
}
