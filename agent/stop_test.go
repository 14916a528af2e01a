package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"tanagershunt.example/shunt/proxy"
)

// TestGracefulStop guards against a planned stop of a node, or an announced leave of a backend server, that
// cuts a request or makes one run twice.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1", "attica-2", "attica-2")
	first := m.members
	crowd := m.gather(12, func(n int64) ask {
		q := ask{http.MethodGet, first[n%2].callers(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
		if n%3 == 0 {
			q.method, q.path, q.id = http.MethodPost, "/order", fmt.Sprint("order-", n)
		}
		return q
	})
	m.further(crowd, 100)
	m.stop(m.members[2])
	m.further(crowd, 100)
	leaving := m.members[3]
	if err := leaving.server.Leave(t.Context(), leaving.app.Addresses().Servers); err != nil {
		t.Fatal(err)
	}
	m.further(crowd, 200)
	for _, a := range crowd.stop() {
		if !a.good() || !strings.Contains(a.body, `"requestId":"`+a.id+`"`) {
			t.Errorf("call while a node and a server left: %s", &a)
		}
		if n := m.runs(m.servers(), a.id); n != 1 && strings.HasPrefix(a.id, "order") {
			t.Errorf("request %q ran %d times", a.id, n)
		}
	}
}

// TestLastNodeStops guards against a stop of the only node that loses outcomes of claims, refuses claims
// before its notice is over, or never ends, because a leaving node holds no role.
func TestLastNodeStops(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1")
	crowd := m.gather(4, func(n int64) ask {
		id := fmt.Sprint("order-", n)
		return ask{http.MethodPost, m.members[0].callers(), "/order", id, id}
	})
	m.further(crowd, 8)
	m.stop(m.members[0])
	for _, a := range crowd.stop() {
		refused := a.outcome == proxy.OutcomeNotRun &&
			(a.reason == "node is draining" || a.reason == "no server takes the request")
		if a.err == nil && !a.good() && !refused {
			t.Errorf("call to the last node: %s", &a)
		}
		if n := m.runs(m.servers(), a.id); n > 1 || a.good() != (n == 1) {
			t.Errorf("request %q ran %d times: %s", a.id, n, &a)
		}
	}
}
