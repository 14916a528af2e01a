package agent

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/proxy"
)

// TestLogOutage guards against nodes that stop serving while the log is down, that report a wrong result of a
// publish, or that run a request whose claim was not recorded.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1", "attica-2")
	known := m.publishAndWait(m.nodes[0], "before", conf.New("more", &conf.Route{
		Service: "catalogue", Prefix: "/more", Repeatable: true,
	}))
	first := m.nodes
	load := m.startLoad(4, func(n int64) request {
		x := first[n%3]
		return request{http.MethodGet, x.callersAddress(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.awaitResponses(load, 20)
	m.log.SetFaults(memlog.Faults{Down: true})

	route := conf.New("late", &conf.Route{Service: "catalogue", Prefix: "/late", Repeatable: true})
	if r := m.publish(m.nodes[1], "during", route); r.Result != opapi.ResultNotPublished {
		t.Errorf("publish while the log is down: %+v", r)
	}
	for i, x := range m.nodes {
		id := fmt.Sprint("order-", i)
		resp := request{http.MethodPost, x.callersAddress(), "/order", id, id}.send(t.Context())
		if resp.status != http.StatusServiceUnavailable || resp.outcome != proxy.OutcomeNotRun {
			t.Errorf("request that needs a claim while the log is down: %s", &resp)
		}
		if n := m.runCount(m.servers(), id); n != 0 {
			t.Errorf("request %q that could not be claimed ran %d times", id, n)
		}
	}
	joined := m.start(m.settings("attica-1"), nil)
	m.waitFor("a new node serves from the offset of its peers", func() bool {
		resp := request{http.MethodGet, joined.callersAddress(), "/more/x", "new", ""}.send(t.Context())
		return resp.succeeded() && resp.config == strconv.FormatUint(uint64(known), 10)
	})
	m.awaitResponses(load, 100)

	m.log.SetFaults(memlog.Faults{})
	m.publishAndWait(m.nodes[2], "after", route)
	for _, x := range m.nodes {
		if resp := (request{http.MethodGet, x.callersAddress(), "/late/x", "late", ""}).send(
			t.Context(),
		); !resp.succeeded() {
			t.Errorf("call to a route published after the outage: %s", &resp)
		}
	}
	for _, resp := range load.stop() {
		if !resp.succeeded() {
			t.Errorf("call during the outage: %s", &resp)
		}
	}
	order := request{http.MethodPost, m.nodes[0].callersAddress(), "/order", "order-after", "order-after"}
	if resp := order.send(t.Context()); !resp.succeeded() {
		t.Errorf("claimed request after the outage: %s", &resp)
	}
}

// TestRestart guards against a node restarted without state that serves from an older configuration than before,
// or without any.
func TestRestart(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1")
	peer, x := m.nodes[0], m.nodes[1]
	var lowest shunt.Offset
	for _, down := range []bool{false, true} {
		lowest = m.publishAndWait(peer, fmt.Sprint("change-", down), conf.New(fmt.Sprint("change-", down), &conf.Route{
			Service: "catalogue", Prefix: fmt.Sprint("/change-", down), Repeatable: true,
		}))
		m.log.SetFaults(memlog.Faults{Down: down})
		m.kill(x)
		x = m.restart(x, peer.app.Addresses().Control)
		m.assertServesFrom(x, uint64(lowest))
	}

	// Neither the log nor a peer can supply the lowest offset from which these nodes may serve.
	m.kill(peer)
	m.kill(x)
	peer = m.restart(peer)
	x = m.restart(x, peer.app.Addresses().Control)
	for _, y := range []*instance{peer, x} {
		m.waitFor("the node reports that the lowest offset allowed is not known", func() bool {
			s, err := y.client.Status(t.Context())
			return err == nil && !s.Serving && strings.Contains(s.Waiting, "lowest offset allowed")
		})
		for range 20 {
			resp := request{http.MethodGet, y.callersAddress(), "/catalogue/x", "early", ""}.send(t.Context())
			if resp.status != http.StatusServiceUnavailable || resp.outcome != proxy.OutcomeNotRun {
				t.Fatalf("call to a node without a lowest offset allowed: %s", &resp)
			}
		}
	}
	m.log.SetFaults(memlog.Faults{})
	m.assertServesFrom(x, uint64(lowest))
}

// assertServesFrom calls a node until it serves. It checks that the node rejects calls until then and does not
// serve from an offset below lowest.
func (m *mesh) assertServesFrom(x *instance, lowest uint64) {
	m.t.Helper()
	m.waitFor("the restarted node serves", func() bool {
		resp := request{http.MethodGet, x.callersAddress(), "/catalogue/x", "probe", ""}.send(m.t.Context())
		if resp.succeeded() {
			if at, err := strconv.ParseUint(resp.config, 10, 64); err != nil || at < lowest {
				m.t.Fatalf("restarted node serves from offset %q, must be at least %d", resp.config, lowest)
			}
			return true
		}
		if resp.status != http.StatusServiceUnavailable || resp.outcome != proxy.OutcomeNotRun {
			m.t.Fatalf("restarted node before it serves: %s", &resp)
		}
		return false
	})
}
