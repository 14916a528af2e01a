package agent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/stub"
)

// TestKilledNodes guards against a claimed request that runs twice, or that runs although every response reported
// it as not run, when nodes are killed and callers repeat requests through other nodes.
func TestKilledNodes(t *testing.T) {
	t.Parallel()
	const repeats = 4
	m := newMesh(t, "attica-1", "attica-1", "attica-1", "attica-2", "attica-2")
	all := m.nodes
	for _, x := range all {
		// Slow enough that requests are in progress on a node when it is killed.
		x.server.SetConfig(stub.Config{Service: "catalogue", Version: "catalogue-1", Latency: 50 * time.Millisecond})
	}
	load := m.startLoad(24, func(n int64) request {
		// Callers repeat a key during and after its first request, each time through another node.
		key := fmt.Sprint("order-", n/repeats)
		return request{http.MethodPost, all[n%int64(len(all))].callersAddress(), "/order", key, key}
	})
	for _, x := range all[2:4] {
		m.awaitResponses(load, 200)
		m.kill(x)
	}
	m.awaitResponses(load, 400)
	m.waitFor("claims succeed again", func() bool {
		id := fmt.Sprint("late-", load.completed.Load())
		resp := request{http.MethodPost, all[0].callersAddress(), "/order", id, id}.send(t.Context())
		return resp.succeeded()
	})
	type result struct{ succeeded, reportedRan, notRun, total int }
	results := make(map[string]result)
	for _, resp := range load.stop() {
		r := results[resp.id]
		r.total++
		switch {
		case resp.succeeded():
			r.succeeded++
		case resp.err == nil && resp.outcome == proxy.OutcomeNotRun:
			r.notRun++
		case resp.outcome == proxy.OutcomeRepeatRan:
			r.reportedRan = 1
		}
		results[resp.id] = r
	}
	ran := 0
	for key, r := range results {
		n := m.runCount(m.servers(), key)
		ran += n
		if n > 1 || max(r.succeeded, r.reportedRan) > n || r.notRun == r.total && n > 0 {
			t.Errorf("key %q ran %d times; of %d responses %d succeeded, %d reported it as not run",
				key, n, r.total, r.succeeded, r.notRun)
		}
	}
	if ran == 0 {
		t.Error("no request ran")
	}
}

// TestDomainLost guards against claims that stay with a holder in a failure domain whose nodes all failed, so that
// no node is left in the domain to declare the holder dead.
func TestDomainLost(t *testing.T) {
	t.Parallel()
	const keys = 64 // enough that each node holds partitions of some of them
	m := newMesh(t, "attica-1", "attica-2")
	m.kill(m.nodes[1])
	round := 0
	m.waitFor("claims of all partitions succeed", func() bool {
		round++
		responses := make(chan response, keys)
		for i := range keys {
			id := fmt.Sprint("order-", round, "-", i)
			go func() {
				responses <- request{http.MethodPost, m.nodes[0].callersAddress(), "/order", id, id}.send(t.Context())
			}()
		}
		succeeded := true
		for range keys {
			resp := <-responses
			succeeded = resp.succeeded() && succeeded
		}
		return succeeded
	})
}
