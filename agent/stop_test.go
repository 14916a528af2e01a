package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"tanagershunt.example/shunt/proxy"
)

// TestGracefulStop guards against requests that fail, and non-repeatable requests that do not run exactly once, while a
// node stops or a backend server leaves.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1", "attica-2", "attica-2")
	first := m.nodes
	load := m.startLoad(12, func(n int64) request {
		q := request{http.MethodGet, first[n%2].callersAddress(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
		if n%3 == 0 {
			q.method, q.path, q.id = http.MethodPost, "/order", fmt.Sprint("order-", n)
		}
		return q
	})
	m.awaitResponses(load, 100)
	m.stop(m.nodes[2])
	m.awaitResponses(load, 100)
	leaving := m.nodes[3]
	if err := leaving.server.Leave(t.Context(), leaving.app.Addresses().Servers); err != nil {
		t.Fatal(err)
	}
	m.awaitResponses(load, 200)
	for _, resp := range load.stop() {
		if !resp.succeeded() || !strings.Contains(resp.body, `"requestId":"`+resp.id+`"`) {
			t.Errorf("call while a node and a server left: %s", &resp)
		}
		if n := m.runCount(m.servers(), resp.id); n != 1 && strings.HasPrefix(resp.id, "order") {
			t.Errorf("request %q ran %d times", resp.id, n)
		}
	}
}

// TestLastNodeStops guards against the last node losing claim outcomes, rejecting claims during the notice period, or
// never stopping, which could happen because a leaving node holds no role.
func TestLastNodeStops(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1")
	load := m.startLoad(4, func(n int64) request {
		id := fmt.Sprint("order-", n)
		return request{http.MethodPost, m.nodes[0].callersAddress(), "/order", id, id}
	})
	m.awaitResponses(load, 8)
	m.stop(m.nodes[0])
	for _, resp := range load.stop() {
		refused := resp.outcome == proxy.OutcomeNotRun &&
			(resp.reason == "node is draining" || resp.reason == "no server takes the request")
		if resp.err == nil && !resp.succeeded() && !refused {
			t.Errorf("call to the last node: %s", &resp)
		}
		if n := m.runCount(m.servers(), resp.id); n > 1 || resp.succeeded() != (n == 1) {
			t.Errorf("request %q ran %d times: %s", resp.id, n, &resp)
		}
	}
}
