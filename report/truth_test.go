package report_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/report"
)

type (
	// model is a failure domain of three nodes, its collectors and what truly happened.
	model struct {
		clock      *clockwork.FakeClock
		log        *mlog.Log
		collectors []*count.Collector
		nodes      [3]*count.Table
		selves     [3]shunt.Member
		unsent     []count.Report // in the network, to be delivered in any order and number
		dead       []death        // as membership remembers them
		calls      int
		truth      map[string]uint64 // by version
	}

	death struct {
		node shunt.Member
		at   time.Time
	}
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestNeverAboveTruth guards against calls counted twice or lost without notice, when reports are repeated,
// reordered or lost, nodes die, collectors take over, two collectors write at once and the log fails.
func TestNeverAboveTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"call":    m.call,
			"report":  func(t *rapid.T) { m.report(m.alive(t)) },
			"deliver": m.deliver,
			"die":     m.die,
			"flush": func(t *rapid.T) {
				faults := mlog.Faults{
					LoseAnswers: rapid.IntRange(0, 1).
						Draw(t, "answers"),
					LoseAppends: rapid.IntRange(0, 1).Draw(t, "appends"),
					Down:        rapid.Bool().Draw(t, "down"),
				}
				m.log.SetFaults(faults)
				_ = m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")].Flush(context.Background())
				m.log.SetFaults(mlog.Faults{})
			},
			"replace": m.replace,
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
		m.settle(t)
	})
}

func newModel() *model {
	m := &model{clock: clockwork.NewFakeClock(), truth: make(map[string]uint64)}
	m.log = mlog.New(m.clock, mlog.Limits{})
	for range 2 {
		m.collectors = append(m.collectors, count.NewCollector(m.log, m.clock, "d"))
	}
	for i := range m.nodes {
		m.start(i)
		m.collectors[0].Ingest(m.unsent[i])
	}
	_ = m.collectors[0].Flush(context.Background())
	return m
}

func (m *model) start(i int) {
	m.selves[i] = shunt.Member{
		Control: fmt.Sprintf("n%d", i), Domain: "d", Incarnation: uint64(m.clock.Now().UnixNano()),
	}
	m.nodes[i] = count.NewTable(m.selves[i], m.clock)
	// The bound supposes that a node reported its usual rate once.
	m.second(i, (i+1)%3, "v1")
	m.report(i)
}

// second is one second of ten calls from one node to another.
func (m *model) second(from, to int, version string) {
	for range 10 {
		m.calls++
		c := shunt.Call{
			Service: "s", Route: "r", Version: version, Domain: "d", At: m.clock.Now(), RequestID: fmt.Sprint(m.calls),
			Latency: time.Duration(m.calls%50) * time.Millisecond, Warm: true,
		}
		m.nodes[from].Sent(c)
		if m.nodes[to] != nil {
			m.nodes[to].Ran(c)
		}
		m.truth[version]++
	}
	m.clock.Advance(time.Second)
}

func (m *model) call(t *rapid.T) {
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	m.second(m.alive(t), rapid.IntRange(0, 2).Draw(t, "to"), version)
}

// alive draws a live node.
func (m *model) alive(t *rapid.T) int {
	i := rapid.IntRange(0, 2).Draw(t, "node")
	if m.nodes[i] == nil {
		t.Skip("the node is dead")
	}
	return i
}

func (m *model) report(i int) { m.unsent = append(m.unsent, m.nodes[i].Snapshot(0)) }

func (m *model) deliver(t *rapid.T) {
	if len(m.unsent) == 0 {
		t.Skip("nothing in the network")
	}
	i := rapid.IntRange(0, len(m.unsent)-1).Draw(t, "which")
	m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")].Ingest(m.unsent[i])
	if rapid.Bool().Draw(t, "forget") {
		m.unsent = append(m.unsent[:i], m.unsent[i+1:]...)
	}
}

func (m *model) die(t *rapid.T) {
	i := m.alive(t)
	m.clock.Advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "noticed")) * time.Second)
	m.dead = append(m.dead, death{node: m.selves[i], at: m.clock.Now()})
	for _, c := range m.collectors {
		m.tell(c)
	}
	m.nodes[i] = nil
	if rapid.Bool().Draw(t, "restart") {
		m.start(i)
	}
}

// tell gives a collector the deaths that membership knows, as the wiring does when it takes the role.
func (m *model) tell(c *count.Collector) {
	for _, d := range m.dead {
		c.Died(d.node.Control, d.node.Incarnation, d.at)
	}
}

func (m *model) replace(t *rapid.T) {
	c := count.NewCollector(m.log, m.clock, "d")
	if err := c.Recover(context.Background()); err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "checkpoint") {
		p := c.Checkpoint()
		c = count.NewCollector(m.log, m.clock, "d")
		if err := c.Restore(p); err != nil {
			t.Fatal(err)
		}
	}
	m.tell(c)
	m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")] = c
}

// check asks that no collector ever reports more than the truth.
func (m *model) check(t *rapid.T) {
	for _, c := range m.collectors {
		for _, row := range m.build(c).Rows {
			if got := row.OK; got > m.truth[row.Version] {
				t.Fatalf("%d requests of version %s reported, %d happened", got, row.Version, m.truth[row.Version])
			}
		}
	}
}

// settle delivers the live nodes' counters and asks that the bound covers all that is missing.
func (m *model) settle(t *rapid.T) {
	c := m.collectors[0]
	for _, n := range m.nodes {
		if n != nil {
			c.Ingest(n.Snapshot(0))
		}
	}
	if err := c.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	m.check(t)
	r := m.build(c)
	var total uint64
	for _, n := range m.truth {
		total += n
	}
	if missing := total - r.Total.OK; r.Unknown.Bounded && missing > r.Unknown.Bound {
		t.Fatalf("%d of %d requests are missing, the bound is %d\n%s", missing, total, r.Unknown.Bound, r.Text())
	}
	if _, err := r.JSON(); err != nil {
		t.Fatal(err)
	}
	if err := r.Chart(io.Discard); err != nil {
		t.Fatal(err)
	}
}

func (m *model) build(c *count.Collector) *report.Report {
	return report.Build(&report.Input{Service: "s", To: m.clock.Now(), Counts: c.Merged("s")})
}
