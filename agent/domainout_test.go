package agent

import (
	"fmt"
	"net/http"
	"testing"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
)

// TestDomainsOut guards against new requests to servers that operators took out of service, against service
// that ends or does not return with them, and against taking out a service's last servers by mistake.
func TestDomainsOut(t *testing.T) {
	t.Parallel()
	const size = 6
	m := newMesh(t, "attica-1", "attica-2", "attica-3")
	spare := m.start(m.settings("attica-4"), nil)
	m.inForce(spare, "spare", conf.New("attica-4", &conf.Domain{Region: "attica"}))
	m.converged()
	all := m.members
	crowd := m.gather(size, func(n int64) ask {
		return ask{http.MethodGet, all[n%4].callers(), "/catalogue/x", fmt.Sprint("browse-", n), ""}
	})
	m.further(crowd, 100)

	m.inForce(all[0], "out-2", out("attica-2", false))
	m.takesNothing(crowd, all[1], size)
	m.inForce(all[1], "out-3", out("attica-3", false))
	m.takesNothing(crowd, all[2], size)
	if r := m.publish(spare, "out-1", out("attica-1", false)); r.Result != opapi.ResultRejected {
		t.Errorf("taking out the last servers without override: %+v", r)
	}

	m.inForce(spare, "in", in("attica-2"), in("attica-3"))
	for _, x := range all[1:3] {
		before := x.server.Totals().Runs
		m.until("a failure domain that is back gets requests", func() bool { return x.server.Totals().Runs > before })
	}
	r := m.publish(spare, "out-all", out("attica-1", false), out("attica-2", false), out("attica-3", false))
	if r.Result != opapi.ResultRejected {
		t.Errorf("taking out the last servers in one publish without override: %+v", r)
	}
	for _, a := range crowd.stop() {
		if !a.good() {
			t.Errorf("call while failure domains were out: %s", &a)
		}
	}
	m.inForce(spare, "forced", out("attica-1", true), out("attica-2", true), out("attica-3", true))
	for _, x := range all {
		a := ask{http.MethodGet, x.callers(), "/catalogue/x", "none", ""}.send(t.Context())
		if a.status != http.StatusServiceUnavailable {
			t.Errorf("call with all servers out of service: %s", &a)
		}
	}
}

// takesNothing checks that only requests that had begun when the configuration came into force, of which
// each caller has at most one, still run on a server.
func (m *mesh) takesNothing(c *crowd, x *instance, size int) {
	m.t.Helper()
	before := x.server.Totals().Runs
	m.further(c, 100)
	begun := x.server.Totals().Runs
	m.further(c, 200)
	if after := x.server.Totals().Runs; begun-before > size || after != begun {
		m.t.Errorf("server in %q ran %d and then %d requests after it was taken out of service",
			x.settings.Domain, begun-before, after-begun)
	}
}

func out(name string, override bool) conf.Object {
	return conf.New(name, &conf.Domain{Region: "attica", State: conf.DomainOut, Override: override})
}

func in(name string) conf.Object { return conf.New(name, &conf.Domain{Region: "attica"}) }
