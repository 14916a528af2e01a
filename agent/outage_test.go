package agent

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/proxy"
)

// TestLogOutage guards against nodes that need the log to serve, that misreport a publish, or that run a
// claimed request whose claim nobody recorded.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1", "attica-2")
	known := m.inForce(m.members[0], "before", conf.New("more", &conf.Route{
		Service: "catalogue", Prefix: "/more", Repeatable: true,
	}))
	first := m.members
	crowd := m.gather(4, func(n int64) ask {
		x := first[n%3]
		return ask{http.MethodGet, x.callers(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.further(crowd, 20)
	m.log.SetFaults(mlog.Faults{Down: true})

	route := conf.New("late", &conf.Route{Service: "catalogue", Prefix: "/late", Repeatable: true})
	if r := m.publish(m.members[1], "during", route); r.Result != opapi.ResultNotPublished {
		t.Errorf("publish without the log: %+v", r)
	}
	for i, x := range m.members {
		id := fmt.Sprint("order-", i)
		a := ask{http.MethodPost, x.callers(), "/order", id, id}.send(t.Context())
		if a.status != http.StatusServiceUnavailable || a.outcome != proxy.OutcomeNotRun {
			t.Errorf("claimed request without the log: %s", &a)
		}
		if n := m.runs(m.servers(), id); n != 0 {
			t.Errorf("request %q that could not be claimed ran %d times", id, n)
		}
	}
	joined := m.start(m.settings("attica-1"), nil)
	m.until("a new node serves from the offset of its peers", func() bool {
		a := ask{http.MethodGet, joined.callers(), "/more/x", "new", ""}.send(t.Context())
		return a.good() && a.config == strconv.FormatUint(uint64(known), 10)
	})
	m.further(crowd, 100)

	m.log.SetFaults(mlog.Faults{})
	m.inForce(m.members[2], "after", route)
	for _, x := range m.members {
		if a := (ask{http.MethodGet, x.callers(), "/late/x", "late", ""}).send(t.Context()); !a.good() {
			t.Errorf("call by what was published after the outage: %s", &a)
		}
	}
	for _, a := range crowd.stop() {
		if !a.good() {
			t.Errorf("call during the outage: %s", &a)
		}
	}
	order := ask{http.MethodPost, m.members[0].callers(), "/order", "order-after", "order-after"}
	if a := order.send(t.Context()); !a.good() {
		t.Errorf("claimed request after the outage: %s", &a)
	}
}

// TestRestart guards against a node without memory that serves from an older configuration than it did
// before, or from none.
func TestRestart(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1")
	peer, x := m.members[0], m.members[1]
	var lowest shunt.Offset
	for _, down := range []bool{false, true} {
		lowest = m.inForce(peer, fmt.Sprint("change-", down), conf.New(fmt.Sprint("change-", down), &conf.Route{
			Service: "catalogue", Prefix: fmt.Sprint("/change-", down), Repeatable: true,
		}))
		m.log.SetFaults(mlog.Faults{Down: down})
		m.kill(x)
		x = m.restart(x, peer.app.Addresses().Control)
		m.servesFrom(x, uint64(lowest))
	}

	// Neither the log nor a peer says from which offset these nodes may serve.
	m.kill(peer)
	m.kill(x)
	peer = m.restart(peer)
	x = m.restart(x, peer.app.Addresses().Control)
	for _, y := range []*instance{peer, x} {
		m.until("the node says that it knows no offset from which it may serve", func() bool {
			s, err := y.client.Status(t.Context())
			return err == nil && !s.Serving && strings.Contains(s.Waiting, "lowest offset allowed")
		})
		for range 20 {
			a := ask{http.MethodGet, y.callers(), "/catalogue/x", "early", ""}.send(t.Context())
			if a.status != http.StatusServiceUnavailable || a.outcome != proxy.OutcomeNotRun {
				t.Fatalf("node that knows no offset from which it may serve: %s", &a)
			}
		}
	}
	m.log.SetFaults(mlog.Faults{})
	m.servesFrom(x, uint64(lowest))
}

// servesFrom calls a node until it serves, and checks that it refuses until then and never serves from an
// offset below the one given.
func (m *mesh) servesFrom(x *instance, lowest uint64) {
	m.t.Helper()
	m.until("the restarted node serves", func() bool {
		a := ask{http.MethodGet, x.callers(), "/catalogue/x", "probe", ""}.send(m.t.Context())
		if a.good() {
			if at, err := strconv.ParseUint(a.config, 10, 64); err != nil || at < lowest {
				m.t.Fatalf("restarted node serves from offset %q, must be at least %d", a.config, lowest)
			}
			return true
		}
		if a.status != http.StatusServiceUnavailable || a.outcome != proxy.OutcomeNotRun {
			m.t.Fatalf("restarted node before it serves: %s", &a)
		}
		return false
	})
}
