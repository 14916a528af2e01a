package agent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/stub"
)

// TestKilledNodes guards against a claimed request that runs twice, or runs although every answer to it said
// that it did not, when nodes die and callers repeat their requests through other nodes.
func TestKilledNodes(t *testing.T) {
	t.Parallel()
	const repeats = 4
	m := newMesh(t, "attica-1", "attica-1", "attica-1", "attica-2", "attica-2")
	all := m.members
	for _, x := range all {
		// Slow enough that requests run on a node when it is killed.
		x.server.Set(stub.Behaviour{Service: "catalogue", Version: "catalogue-1", Latency: 50 * time.Millisecond})
	}
	crowd := m.gather(24, func(n int64) ask {
		// Callers repeat a key while its first request runs and after it, each time through another node.
		key := fmt.Sprint("order-", n/repeats)
		return ask{http.MethodPost, all[n%int64(len(all))].callers(), "/order", key, key}
	})
	for _, x := range all[2:4] {
		m.further(crowd, 200)
		m.kill(x)
	}
	m.further(crowd, 400)
	m.until("claims are taken again", func() bool {
		id := fmt.Sprint("late-", crowd.count.Load())
		a := ask{http.MethodPost, all[0].callers(), "/order", id, id}.send(t.Context())
		return a.good()
	})
	type result struct{ good, told, notRun, all int }
	results := make(map[string]result)
	for _, a := range crowd.stop() {
		r := results[a.id]
		r.all++
		switch {
		case a.good():
			r.good++
		case a.err == nil && a.outcome == proxy.OutcomeNotRun:
			r.notRun++
		case a.outcome == proxy.OutcomeRepeatRan:
			r.told = 1
		}
		results[a.id] = r
	}
	ran := 0
	for key, r := range results {
		n := m.runs(m.servers(), key)
		ran += n
		if n > 1 || max(r.good, r.told) > n || r.notRun == r.all && n > 0 {
			t.Errorf("key %q ran %d times; of %d answers %d were good, %d said that it did not run",
				key, n, r.all, r.good, r.notRun)
		}
	}
	if ran == 0 {
		t.Error("no request ran")
	}
}

// TestDomainLost guards against claims that stay with a holder in a failure domain that died as a whole, in
// which no node is left to declare it dead.
func TestDomainLost(t *testing.T) {
	t.Parallel()
	const size = 64 // keys, so that each node holds partitions of some of them
	m := newMesh(t, "attica-1", "attica-2")
	m.kill(m.members[1])
	round := 0
	m.until("claims of all partitions are taken", func() bool {
		round++
		answers := make(chan answer, size)
		for i := range size {
			id := fmt.Sprint("order-", round, "-", i)
			go func() { answers <- ask{http.MethodPost, m.members[0].callers(), "/order", id, id}.send(t.Context()) }()
		}
		good := true
		for range size {
			a := <-answers
			good = a.good() && good
		}
		return good
	})
}
