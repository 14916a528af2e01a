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
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/report"
)

type (
	// model simulates a failure domain of three nodes with its collectors, and records the calls actually made.
	model struct {
		clock      *clockwork.FakeClock
		log        *memlog.Log
		collectors []*count.Collector
		nodes      [3]*count.Table
		members    [3]shunt.Member
		inTransit  []count.Report // reports in the network, delivered in any order and any number of times
		deaths     []death        // as recorded by membership
		calls      int
		actual     map[string]uint64 // number of calls made, by version
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

// TestReportNeverExceedsActual guards against calls that are counted twice or missing beyond the bound. Reports are
// repeated, reordered or lost, nodes die, collectors are replaced, two collectors append in turn and the log fails.
func TestReportNeverExceedsActual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"call":    m.call,
			"report":  func(t *rapid.T) { m.report(m.liveNode(t)) },
			"deliver": m.deliver,
			"die":     m.kill,
			"flush": func(t *rapid.T) {
				faults := memlog.Faults{
					LoseAnswers: rapid.IntRange(0, 1).
						Draw(t, "answers"),
					LoseAppends: rapid.IntRange(0, 1).Draw(t, "appends"),
					Down:        rapid.Bool().Draw(t, "down"),
				}
				m.log.SetFaults(faults)
				_ = m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")].Flush(context.Background())
				m.log.SetFaults(memlog.Faults{})
			},
			"replace": m.replaceCollector,
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
		m.checkBound(t)
	})
}

func newModel() *model {
	m := &model{clock: clockwork.NewFakeClock(), actual: make(map[string]uint64)}
	m.log = memlog.New(m.clock, memlog.Limits{})
	for range 2 {
		m.collectors = append(m.collectors, count.NewCollector(m.log, m.clock, "d"))
	}
	for i := range m.nodes {
		m.start(i)
		m.collectors[0].Ingest(m.inTransit[i])
	}
	_ = m.collectors[0].Flush(context.Background())
	return m
}

func (m *model) start(i int) {
	m.members[i] = shunt.Member{
		Control: fmt.Sprintf("n%d", i), Domain: "d", Incarnation: uint64(m.clock.Now().UnixNano()),
	}
	m.nodes[i] = count.NewTable(m.members[i], m.clock)
	// The bound is valid only if a node has reported its usual rate at least once.
	m.callForOneSecond(i, (i+1)%3, "v1")
	m.report(i)
}

// callForOneSecond makes ten calls from one node to another and advances the clock by one second.
func (m *model) callForOneSecond(from, to int, version string) {
	for range 10 {
		m.calls++
		c := shunt.Call{
			Service: "s", Route: "r", Version: version, Domain: "d", At: m.clock.Now(), RequestID: fmt.Sprint(m.calls),
			Latency: time.Duration(m.calls%50) * time.Millisecond, Warm: true,
		}
		m.nodes[from].Sent(c)
		if m.nodes[to] != nil {
			m.nodes[to].Received(c)
		}
		m.actual[version]++
	}
	m.clock.Advance(time.Second)
}

func (m *model) call(t *rapid.T) {
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	m.callForOneSecond(m.liveNode(t), rapid.IntRange(0, 2).Draw(t, "to"), version)
}

// liveNode draws a live node.
func (m *model) liveNode(t *rapid.T) int {
	i := rapid.IntRange(0, 2).Draw(t, "node")
	if m.nodes[i] == nil {
		t.Skip("the node is dead")
	}
	return i
}

func (m *model) report(i int) { m.inTransit = append(m.inTransit, m.nodes[i].Snapshot(0)) }

func (m *model) deliver(t *rapid.T) {
	if len(m.inTransit) == 0 {
		t.Skip("no report is in the network")
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "which")
	m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")].Ingest(m.inTransit[i])
	if rapid.Bool().Draw(t, "forget") {
		m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	}
}

func (m *model) kill(t *rapid.T) {
	i := m.liveNode(t)
	m.clock.Advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "noticed")) * time.Second)
	m.deaths = append(m.deaths, death{node: m.members[i], at: m.clock.Now()})
	for _, c := range m.collectors {
		m.reportDeaths(c)
	}
	m.nodes[i] = nil
	if rapid.Bool().Draw(t, "restart") {
		m.start(i)
	}
}

// reportDeaths reports all deaths in membership to a collector, as a node does when it becomes the collector.
func (m *model) reportDeaths(c *count.Collector) {
	for _, d := range m.deaths {
		c.MarkDead(d.node.Control, d.node.Incarnation, d.at)
	}
}

func (m *model) replaceCollector(t *rapid.T) {
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
	m.reportDeaths(c)
	m.collectors[rapid.IntRange(0, 1).Draw(t, "collector")] = c
}

// check checks that no collector reports more requests than were made.
func (m *model) check(t *rapid.T) {
	for _, c := range m.collectors {
		for _, row := range m.build(c).Rows {
			if got := row.OK; got > m.actual[row.Version] {
				t.Fatalf("%d requests of version %s reported, %d were made", got, row.Version, m.actual[row.Version])
			}
		}
	}
}

// checkBound delivers the counters of all live nodes and checks that the bound covers all missing requests.
func (m *model) checkBound(t *rapid.T) {
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
	for _, n := range m.actual {
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
