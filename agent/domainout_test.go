package agent

import (
	"fmt"
	"net/http"
	"testing"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
)

// TestDomainsOut guards against new requests to servers in failure domains that are out of service, against
// failed calls meanwhile, against domains that get no requests once they are back in service, and against taking
// the last servers of a service out of service without override.
func TestDomainsOut(t *testing.T) {
	t.Parallel()
	const callers = 6
	m := newMesh(t, "attica-1", "attica-2", "attica-3")
	spare := m.start(m.settings("attica-4"), nil)
	m.publishAndWait(spare, "spare", conf.New("attica-4", &conf.Domain{Region: "attica"}))
	m.awaitConvergence()
	all := m.nodes
	load := m.startLoad(callers, func(n int64) request {
		return request{http.MethodGet, all[n%4].callersAddress(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.awaitResponses(load, 100)

	m.publishAndWait(all[0], "out-2", domainOut("attica-2", false))
	m.assertNoNewRequests(load, all[1], callers)
	m.publishAndWait(all[1], "out-3", domainOut("attica-3", false))
	m.assertNoNewRequests(load, all[2], callers)
	if r := m.publish(spare, "out-1", domainOut("attica-1", false)); r.Result != opapi.ResultRejected {
		t.Errorf("taking out the last servers without override: %+v", r)
	}

	m.publishAndWait(spare, "in", domainIn("attica-2"), domainIn("attica-3"))
	for _, x := range all[1:3] {
		before := x.server.Stats().Runs
		m.waitFor("failure domain back in service gets requests", func() bool {
			return x.server.Stats().Runs > before
		})
	}
	r := m.publish(spare, "out-all",
		domainOut("attica-1", false), domainOut("attica-2", false), domainOut("attica-3", false))
	if r.Result != opapi.ResultRejected {
		t.Errorf("taking out the last servers in one publish without override: %+v", r)
	}
	for _, resp := range load.stop() {
		if !resp.succeeded() {
			t.Errorf("call while failure domains were out: %s", &resp)
		}
	}
	m.publishAndWait(spare, "forced",
		domainOut("attica-1", true), domainOut("attica-2", true), domainOut("attica-3", true))
	for _, x := range all {
		resp := request{http.MethodGet, x.callersAddress(), "/catalogue/x", "none", ""}.send(t.Context())
		if resp.status != http.StatusServiceUnavailable {
			t.Errorf("call with all servers out of service: %s", &resp)
		}
	}
}

// assertNoNewRequests checks that a server that should get no new requests runs only those that were in progress when
// the configuration came into force, at most one for each caller.
func (m *mesh) assertNoNewRequests(g *loadGenerator, x *instance, callers int) {
	m.t.Helper()
	before := x.server.Stats().Runs
	m.awaitResponses(g, 100)
	started := x.server.Stats().Runs
	m.awaitResponses(g, 200)
	if after := x.server.Stats().Runs; started-before > callers || after != started {
		m.t.Errorf("server in %q ran %d and then %d requests after it should get no new requests",
			x.settings.Domain, started-before, after-started)
	}
}

func domainOut(name string, override bool) conf.Object {
	return conf.New(name, &conf.Domain{Region: "attica", State: conf.DomainOut, Override: override})
}

func domainIn(name string) conf.Object { return conf.New(name, &conf.Domain{Region: "attica"}) }
