package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/stub"
)

// TestBadVersionRollsBack guards against a failing version that keeps or increases its share of traffic, and
// against nodes that report different statements on the same move.
func TestBadVersionRollsBack(t *testing.T) {
	t.Parallel()
	const callers = 24
	m := newMesh(t, "attica-1", "attica-2")
	first := m.nodes
	for _, d := range []string{"attica-1", "attica-2"} {
		m.start(m.settings(d), &stub.Config{
			Service: "catalogue", Version: "catalogue-2", Slots: 8, Latency: 5 * time.Millisecond, FailShare: 1,
		})
	}
	m.publishAndWait(first[0], "version", conf.New("catalogue-2", &conf.Version{Service: "catalogue"}))
	m.awaitConvergence()
	load := m.startLoad(callers, func(n int64) request {
		return request{http.MethodGet, first[n%2].callersAddress(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.awaitResponses(load, 100)
	m.publishAndWait(first[1], "move", conf.New("shift", &conf.Move{
		Service: "catalogue", From: "catalogue-1", To: "catalogue-2",
		Deadline: time.Now().Add(10 * time.Minute), MinRequests: 10, MinObserve: conf.Duration(time.Second),
	}))
	m.waitFor("all nodes report the same final statement", func() bool {
		statements := make(map[string]bool)
		for _, x := range m.nodes {
			moves, err := x.client.Moves(t.Context())
			if err != nil || len(moves.Moves) != 1 || !moves.Moves[0].Final || moves.Moves[0].Share != 0 {
				return false
			}
			statements[moves.Moves[0].Statement] = true
		}
		for text := range statements {
			if !strings.HasPrefix(text, "rolled back at ") {
				t.Fatalf("a version that always fails: %q", text)
			}
		}
		return len(statements) == 1
	})
	bad := 0
	for _, x := range m.nodes[2:] {
		bad += x.server.Stats().Runs
		m.assertNoNewRequests(load, x, callers)
	}
	if all := len(load.stop()); bad == 0 || float64(bad) > conf.MaxCanaryShare*float64(all) {
		t.Errorf("a version that always fails got %d of %d requests", bad, all)
	}
}
