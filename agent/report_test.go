package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"tanagershunt.example/shunt/report"
)

// TestReportBounds guards against a report that counts requests which no server ran, and against a bound on
// missing requests that does not cover the requests which a killed node never reported.
func TestReportBounds(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1", "attica-1", "attica-2")
	all := m.nodes
	load := m.startLoad(8, func(n int64) request {
		q := request{http.MethodGet, all[n%4].callersAddress(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
		if n%5 == 0 {
			q.method, q.path = http.MethodPost, "/order"
		}
		return q
	})
	m.awaitResponses(load, 400)
	m.waitFor("a node has reported", func() bool { return m.report(all[0]).Total.OK > 0 })
	m.awaitResponses(load, 200)
	m.kill(all[2])
	m.awaitResponses(load, 400)
	load.stop()

	m.waitFor("the report names the killed node and covers all requests", func() bool {
		ran := 0
		for _, s := range m.servers() {
			ran += s.Stats().Runs
		}
		r := m.report(all[0])
		// Sending and receiving nodes can count too few requests but never too many, and the report uses the larger
		// count. A sum above the actual number is a fault.
		if counted := r.Total.OK + r.Total.Failed; counted > uint64(ran) {
			t.Fatalf("report counts %d requests, servers ran %d: %+v", counted, ran, r)
		}
		return r.Total.OK+r.Total.Failed+r.Total.Unknown+r.Unknown.Bound >= uint64(ran) &&
			r.Unknown.Bounded && len(r.Unknown.Nodes) == 1
	})
}

func (m *mesh) report(x *instance) report.Report {
	m.t.Helper()
	data, err := x.client.GetRaw(m.t.Context(), "/v1/report?service=catalogue&format=json")
	if err != nil {
		m.t.Fatal(err)
	}
	var r report.Report
	if err := json.Unmarshal(data, &r); err != nil {
		m.t.Fatal(err)
	}
	return r
}
