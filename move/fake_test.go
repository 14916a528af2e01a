package move_test

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/trial"
)

var published = time.Date(2025, 3, 1, 9, 0, 0, 0, time.UTC)

// fakeNode is a node with a directory and the merged counters of a service, which grow by a fixed amount per second.
type fakeNode struct {
	clock    clockwork.Clock
	self     string
	ready    []shunt.Member // servers of the new version
	failures uint64         // of the new version per second, out of 30 calls
	mu       sync.Mutex
	mergeErr error

	unconfirmed []string
}

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	// A fixed seed makes the runs reproducible.
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func makeServers(version string, n int, since time.Time) []shunt.Member {
	list := make([]shunt.Member, n)
	for i := range list {
		list[i] = shunt.Member{Service: "s", Version: version, Slots: 10, Ready: true, ReadySince: since}
	}
	return list
}

func moveSpec(deadline time.Duration) conf.Move {
	return conf.Move{
		Service:  "s",
		From:     "v1",
		To:       "v2",
		Deadline: published.Add(deadline),
		Hold:     conf.Duration(10 * time.Minute),
	}
}

func (f *fakeNode) Servers(_, version string) []shunt.Member {
	if version == "v1" {
		return makeServers("v1", 5, published.Add(-time.Hour))
	}
	return f.ready
}

func (f *fakeNode) RoleHolders(string, string, int) []shunt.Member { return []shunt.Member{f.Self()} }
func (f *fakeNode) Lookup(string) (shunt.Member, bool)             { return shunt.Member{}, false }
func (f *fakeNode) Domains() []string                              { return []string{"d"} }

func (f *fakeNode) Self() shunt.Member { return shunt.Member{Control: f.self, Domain: "d-" + f.self} }

func (f *fakeNode) Merged(context.Context, string) (count.Totals, []string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	elapsed := uint64(f.clock.Now().Sub(published) / time.Second)
	cell := func(version string, calls, failed uint64) count.Cell {
		o := count.Outcomes{elapsed * (calls - failed), elapsed * failed, 0, 0}
		h := count.Histogram{10: elapsed * calls}
		return count.Cell{
			Key:    count.Key{Side: count.SideSent, Service: "s", Route: "r", Version: version, Domain: "d"},
			Values: count.Values{Outcomes: o, Warm: o, Latency: h, WarmLatency: h},
		}
	}
	return count.Totals{Cells: []count.Cell{cell("v1", 100, 0), cell("v2", 30, f.failures)}}, nil, f.mergeErr
}

// setUp returns a log with a published move, and for each node the state of the move according to the log, a controller
// and a fact set.
func setUp(t *testing.T, clock *clockwork.FakeClock, deadline time.Duration, nodes ...*fakeNode) (
	*memlog.Log, []*trial.MoveState, []*move.Controller, []*move.Facts,
) {
	t.Helper()
	l := memlog.New(clock, memlog.Limits{})
	version, err := l.Append(context.Background(), shunt.StreamConfig, []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	var moveStates []*trial.MoveState
	var controllers []*move.Controller
	var facts []*move.Facts
	for _, f := range nodes {
		f.clock = clock
		moveState := trial.NewMoveState(l, "m", version, moveSpec(deadline), published)
		set := move.NewFacts(f.Self())
		moveStates, facts = append(moveStates, moveState), append(facts, set)
		controllers = append(controllers, move.NewController(move.Options{
			Log: l, Clock: clock, Directory: f, States: moveState, Counters: f, Facts: set,
			Unconfirmed: func(context.Context, shunt.Offset) []string { return f.unconfirmed },
		}))
	}
	return l, moveStates, controllers, facts
}
