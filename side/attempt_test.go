package side

import (
	"cmp"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/shift"
)

func testCall(c clockwork.Clock) *call {
	return &call{
		out: &Outbound{Clock: c}, arrived: c.Now(), deadline: c.Now().Add(time.Second),
		route: &route.Entry{MeshRoute: shunt.MeshRoute{Name: "r", Repeatable: true, MaxAttempts: 2}},
	}
}

// TestWaiting guards that the last node asked is one that has named a wait, and that all remain when none has.
func TestWaiting(t *testing.T) {
	peers := make([]*peerNode, 3)
	for i, addr := range []string{"a", "b", "c"} {
		peers[i] = &peerNode{entry: entry{Calls: addr}}
	}
	refused := map[string]time.Duration{"a": time.Second, "b": time.Second}
	if got := waiting(peers, refused, map[string]bool{"a": true}); len(got) != 1 || got[0] != peers[1] {
		t.Errorf("%d nodes, want the one that refused because of a wait", len(got))
	}
	if got := waiting(peers, nil, nil); len(got) != len(peers) {
		t.Errorf("%d nodes when none was asked, want all", len(got))
	}
}

// TestSharedFailure replays a service behind a route's servers that fails most requests: no repeat is spent on a
// failure that another server would give too, while one of a single server is repeated.
func TestSharedFailure(t *testing.T) {
	c := testCall(clockwork.NewFakeClock())
	allow := func() bool { return true }
	failure := &inboundResult{outcome: shunt.AttemptAnswered, status: http.StatusInternalServerError}
	for i := range 100 {
		c.out.works.learnFailure("r", i%20 == 0)
	}
	if !c.again(failure, allow) {
		t.Error("a rare failure was not repeated")
	}
	for i := range 100 {
		c.out.works.learnFailure("r", i%2 == 0)
	}
	if c.again(failure, allow) {
		t.Error("a failure that most requests share was repeated")
	}
	if !c.again(&inboundResult{outcome: shunt.AttemptNotRun, arrived: true}, allow) {
		t.Error("a request that the server has refused was not repeated")
	}
}

// TestRetryAfter guards that a refused caller is asked to come back within a third of its own time, which may be
// longer than that of the route.
func TestRetryAfter(t *testing.T) {
	c := testCall(clockwork.NewFakeClock())
	c.route.Timeout = 800 * time.Millisecond
	c.limits(3 * time.Second)
	for range 100 {
		got := c.retryAfter(&inboundResult{wait: 900 * time.Millisecond})
		if got < 900*time.Millisecond || got > time.Second {
			t.Fatalf("come back after %s, want 0.9 s to 1 s", got)
		}
	}
}

// TestStartHold guards that a request at a node that has just started waits for the configuration, and that it is
// refused at once when the node has been without one for longer.
func TestStartHold(t *testing.T) {
	c := clockwork.NewRealClock()
	send := func(started time.Time, w *World) (string, time.Duration) {
		o := &Outbound{
			Clock: c, Dialect: fakeDialect{}, World: w, Meter: NewMeter(), Started: started,
			Service: func() string { return "front" }, Bounds: func() Bounds { return Bounds{} },
		}
		rec := httptest.NewRecorder()
		began := c.Now()
		o.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "http://shop.example/safe/x", http.NoBody))
		return rec.Header().Get(proxy.HeaderReason), c.Since(began)
	}
	starting := NewWorld(c)
	time.AfterFunc(50*time.Millisecond, func() {
		starting.SetConfig(&shunt.MeshConfig{Version: 1, Routes: []shunt.MeshRoute{{
			Name: "safe", Host: "shop.example", Prefix: "/safe/", Timeout: time.Second, MaxAttempts: 1,
			Parts: []shunt.RoutePart{{Service: testService, Weight: 1}},
		}}})
	})
	if reason, _ := send(c.Now(), starting); reason != "no server of "+testService+" is known" {
		t.Errorf("at a starting node: %q, want the configuration to be awaited", reason)
	}
	if reason, took := send(c.Now().Add(-2*startHold), NewWorld(c)); took > startHold/2 || reason == "" {
		t.Errorf("without a configuration for long: %q after %s, want it refused at once", reason, took)
	}
}

// TestMoved guards that a request whose server's version is out of service goes on to the other version of the move
// although its node has not heard of the switch.
func TestMoved(t *testing.T) {
	c := clockwork.NewRealClock()
	w := NewWorld(c)
	serve := func(id, version string, res *inboundResult) {
		srv := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			res.set(out.Header(), r.Header.Get(proxy.HeaderRequestID))
			out.WriteHeader(cmp.Or(res.status, http.StatusServiceUnavailable))
		}))
		t.Cleanup(srv.Close)
		addr := srv.Listener.Addr().String()
		w.setEntry(entry{Calls: addr, Domain: "a", Service: testService, Server: id, Version: version, Slots: 1})
	}
	moved := shut("version v1 may not run requests")
	moved.moved = true
	serve("old", "v1", moved)
	serve("new", "v2", &inboundResult{outcome: shunt.AttemptAnswered, arrived: true, status: http.StatusOK})
	w.setMove(testService, shift.Record{Order: 1, From: "v1", Target: "v2", Phase: shift.Trial})
	call := testCall(c)
	call.id, call.method, call.uri, call.host, call.service = "1", http.MethodGet, "/", "x", testService
	call.header, call.aimAt = make(http.Header), call.deadline
	call.out.World, call.out.Pool = w, conns.New(conns.Options{})
	call.out.Service, call.out.Bounds = func() string { return "front" }, func() Bounds { return Bounds{} }
	call.out.Lost = newLostNodes(c, nil)
	if res := call.run(t.Context()); res.outcome != shunt.AttemptAnswered {
		t.Errorf("%s: %s, want an answer of the new version", res.outcome, res.reason)
	}
}
