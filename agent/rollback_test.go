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

// TestBadVersionRollsBack guards against a version that fails and keeps or widens its share of traffic, and
// against nodes that say different things of the same move.
func TestBadVersionRollsBack(t *testing.T) {
	t.Parallel()
	const size = 24
	m := newMesh(t, "attica-1", "attica-2")
	first := m.members
	for _, d := range []string{"attica-1", "attica-2"} {
		m.start(m.settings(d), &stub.Behaviour{
			Service: "catalogue", Version: "catalogue-2", Slots: 8, Latency: 5 * time.Millisecond, FailShare: 1,
		})
	}
	m.inForce(first[0], "version", conf.New("catalogue-2", &conf.Version{Service: "catalogue"}))
	m.converged()
	crowd := m.gather(size, func(n int64) ask {
		return ask{http.MethodGet, first[n%2].callers(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.further(crowd, 100)
	m.inForce(first[1], "move", conf.New("shift", &conf.Move{
		Service: "catalogue", From: "catalogue-1", To: "catalogue-2",
		Deadline: time.Now().Add(10 * time.Minute), MinRequests: 10, MinObserve: conf.Duration(time.Second),
	}))
	m.until("all nodes say the same final statement", func() bool {
		said := make(map[string]bool)
		for _, x := range m.members {
			answer, err := x.client.Moves(t.Context())
			if err != nil || len(answer.Moves) != 1 || !answer.Moves[0].Final || answer.Moves[0].Share != 0 {
				return false
			}
			said[answer.Moves[0].Statement] = true
		}
		for text := range said {
			if !strings.HasPrefix(text, "rolled back at ") {
				t.Fatalf("a version that always fails: %q", text)
			}
		}
		return len(said) == 1
	})
	bad := 0
	for _, x := range m.members[2:] {
		bad += x.server.Totals().Runs
		m.takesNothing(crowd, x, size)
	}
	if all := len(crowd.stop()); bad == 0 || float64(bad) > conf.MaxExposure*float64(all) {
		t.Errorf("a version that always fails got %d of %d requests", bad, all)
	}
}
