package meshd

import (
	"cmp"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/shift"
)

func testCall(c clockwork.Clock) *call {
	return &call{
		outbound: &Outbound{Clock: c}, arrived: c.Now(), deadline: c.Now().Add(time.Second),
		route: &route.Entry{MeshRoute: shunt.MeshRoute{Name: "r", Repeatable: true, MaxAttempts: 2}},
	}
}

// dispatchableCall returns a call that can be dispatched to the nodes of a view.
func dispatchableCall(c clockwork.Clock, view *MeshView) *call {
	call := testCall(c)
	call.id, call.method, call.uri, call.host, call.service = "1", http.MethodGet, "/", "x", testService
	call.header, call.latencyTargetAt = make(http.Header), call.deadline
	o := call.outbound
	o.View, o.Pool, o.Meter, o.Codec = view, conns.New(conns.Options{}), NewMeter(), fakeHeaderCodec{}
	o.Service, o.Bounds = func() string { return "front" }, func() Bounds { return Bounds{} }
	o.Reconnector = newReconnector(c, nil)
	return call
}

// TestNodesWithWait checks that the last attempt is limited to nodes that were already asked and are not excluded, and
// that all nodes remain when none has been asked. Otherwise the last attempt could be spent on an excluded
// node, or find no node at all.
func TestNodesWithWait(t *testing.T) {
	peers := make([]*peerNode, 3)
	for i, addr := range []string{"a", "b", "c"} {
		peers[i] = &peerNode{entry: nodeEntry{Calls: addr}}
	}
	refused := map[string]time.Duration{"a": time.Second, "b": time.Second}
	if got := nodesWithWait(peers, refused, map[string]bool{"a": true}); len(got) != 1 || got[0] != peers[1] {
		t.Errorf("got %d nodes, want only the one that was asked and is not excluded", len(got))
	}
	if got := nodesWithWait(peers, nil, nil); len(got) != len(peers) {
		t.Errorf("got %d nodes when none was asked, want all", len(got))
	}
}

// TestNoRetryOnSharedFailure simulates a failing dependency of a route's servers. Retrying there would spend the retry
// budget on failures that every server returns. A failure of a single server is still retried.
func TestNoRetryOnSharedFailure(t *testing.T) {
	c := testCall(clockwork.NewFakeClock())
	allow := func() bool { return true }
	failure := &inboundResult{outcome: shunt.AttemptAnswered, status: http.StatusInternalServerError}
	for i := range 100 {
		c.outbound.stats.observeOutcome("r", i%20 == 0)
	}
	if !c.shouldRetry(failure, allow) {
		t.Error("a rare failure was not retried")
	}
	for i := range 100 {
		c.outbound.stats.observeOutcome("r", i%2 == 0)
	}
	if c.shouldRetry(failure, allow) {
		t.Error("a failure shared by most requests was retried")
	}
	if !c.shouldRetry(&inboundResult{outcome: shunt.AttemptNotRun, delivered: true}, allow) {
		t.Error("a request refused by the server was not retried")
	}
}

// TestRetryAfterBounded checks that Retry-After is at most a third of the caller's own remaining time, which may be
// longer than the timeout of the route. A longer delay would leave the caller too little time for a retry.
func TestRetryAfterBounded(t *testing.T) {
	c := testCall(clockwork.NewFakeClock())
	c.route.Timeout = 800 * time.Millisecond
	c.setDeadlines(3 * time.Second)
	for range 100 {
		got := c.retryAfter(&inboundResult{wait: 900 * time.Millisecond})
		if got < 900*time.Millisecond || got > time.Second {
			t.Fatalf("Retry-After is %s, want 0.9 s to 1 s", got)
		}
	}
}

// TestConfigWaitAtStartup checks that a request waits for the configuration at a node that has just started, and is
// refused at once when the node has had none for longer than startupWait. Otherwise requests fail at each start of a
// node, or hang at a node that cannot read the store.
func TestConfigWaitAtStartup(t *testing.T) {
	c := clockwork.NewRealClock()
	sendTo := func(started time.Time, view *MeshView) (string, time.Duration) {
		o := &Outbound{
			Clock: c, Codec: fakeHeaderCodec{}, View: view, Meter: NewMeter(), StartedAt: started,
			Service: func() string { return "front" }, Bounds: func() Bounds { return Bounds{} },
		}
		rec := httptest.NewRecorder()
		start := c.Now()
		o.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "http://shop.example/safe/x", http.NoBody))
		return rec.Header().Get(proxy.HeaderReason), c.Since(start)
	}
	starting := NewMeshView(c)
	time.AfterFunc(50*time.Millisecond, func() {
		starting.SetConfig(&shunt.MeshConfig{Version: 1, Routes: []shunt.MeshRoute{{
			Name: "safe", Host: "shop.example", Prefix: "/safe/", Timeout: time.Second, MaxAttempts: 1,
			Parts: []shunt.RoutePart{{Service: testService, Weight: 1}},
		}}})
	})
	if reason, _ := sendTo(c.Now(), starting); reason != "no server of "+testService+" is known" {
		t.Errorf("starting node refused with %q, want it to wait for the configuration", reason)
	}
	if reason, took := sendTo(c.Now().Add(-2*startupWait), NewMeshView(c)); took > startupWait/2 || reason == "" {
		t.Errorf("node without a configuration refused with %q after %s, want it at once", reason, took)
	}
}

// TestRetryOnOtherVersion checks that a request goes on to the other version of a move when a node refuses the
// request's version, even if the forwarding node has not read the switch. Otherwise requests fail until all nodes have
// read it.
func TestRetryOnOtherVersion(t *testing.T) {
	c := clockwork.NewRealClock()
	view := NewMeshView(c)
	serve := func(id, version string, res *inboundResult) {
		srv := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			res.writeHeaders(out.Header(), r.Header.Get(proxy.HeaderRequestID))
			out.WriteHeader(cmp.Or(res.status, http.StatusServiceUnavailable))
		}))
		t.Cleanup(srv.Close)
		addr := srv.Listener.Addr().String()
		view.setEntry(nodeEntry{Calls: addr, Domain: "a", Service: testService, Server: id, Version: version, Slots: 1})
	}
	moved := closedResult("version v1 may not run requests")
	moved.versionMoved = true
	serve("old", "v1", moved)
	serve("new", "v2", &inboundResult{outcome: shunt.AttemptAnswered, delivered: true, status: http.StatusOK})
	view.setMove(testService, shift.Record{Order: 1, From: "v1", Target: "v2", Phase: shift.Trial}, position(1))
	call := dispatchableCall(c, view)
	if res := call.dispatch(t.Context()); res.outcome != shunt.AttemptAnswered {
		t.Errorf("got %s (%s), want a response of the new version", res.outcome, res.reason)
	}
}

// TestRejectionOfOtherServer guards against arrivals that escape the retry budget: a request that another server at the
// address has rejected goes on within the budget only, one that its node has refused goes on without it.
func TestRejectionOfOtherServer(t *testing.T) {
	c := clockwork.NewRealClock()
	for _, delivered := range []bool{true, false} {
		view, asked := NewMeshView(c), 0
		for range 2 {
			srv := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
				res := leftResult("another server answers at the address")
				res.delivered = delivered
				if asked++; asked > 1 {
					res = &inboundResult{outcome: shunt.AttemptAnswered, delivered: true, status: http.StatusOK}
				}
				res.writeHeaders(out.Header(), r.Header.Get(proxy.HeaderRequestID))
				out.WriteHeader(cmp.Or(res.status, http.StatusServiceUnavailable))
			}))
			t.Cleanup(srv.Close)
			view.setEntry(nodeEntry{
				Calls: srv.Listener.Addr().
					String(),
				Domain:  "a",
				Service: testService,
				Server:  "i",
				Version: "v1",
				Slots:   1,
			})
		}
		call := dispatchableCall(c, view)
		want := map[bool]shunt.AttemptOutcome{true: shunt.AttemptNotRun, false: shunt.AttemptAnswered}[delivered]
		if res := call.dispatch(t.Context()); res.outcome != want {
			t.Errorf("delivered %v: got %s (%s), want %s", delivered, res.outcome, res.reason, want)
		}
	}
}

// TestLeftServerPause guards against requests that are sent again and again to a server that has left, and against a
// server that returns and gets none: the next entry of its node, which tells of it, ends the pause.
func TestLeftServerPause(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	p := &peerNode{}
	p.update(nodeEntry{Calls: "10.0.0.2:1", Server: "i-2", Born: 5, Sequence: 7, Slots: 4}, now)
	p.pause(now, leftServerPause)
	usable := func(after time.Duration) bool {
		_, _, ok := p.candidate(now.Add(after), "a")
		return ok
	}
	if usable(leftServerPause - time.Millisecond) {
		t.Error("the server that left gets requests")
	}
	p.update(nodeEntry{Calls: "10.0.0.2:1", Server: "i-2", Born: 5, Sequence: 7, Slots: 4}, now)
	if usable(time.Second) {
		t.Error("the entry from before it left is enough for requests")
	}
	p.update(nodeEntry{Calls: "10.0.0.2:1", Server: "i-2", Born: 5, Sequence: 8, Slots: 4, Leaving: true}, now)
	if usable(time.Second) {
		t.Error("the entry of a leaving server is enough for requests")
	}
	p.update(nodeEntry{Calls: "10.0.0.2:1", Server: "i-2", Born: 5, Sequence: 9, Slots: 4}, now)
	if !usable(time.Second) {
		t.Error("the server has returned and gets no requests")
	}
}

// TestPaceBetweenNodes guards against a pace that is lost between nodes, and against a load header that nodes of the
// previous release reject: they expect five fields and remove headers that they do not know.
func TestPaceBetweenNodes(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	sent := &inboundResult{outcome: shunt.AttemptAnswered, load: &loadReport{
		running:   3,
		limit:     8,
		latency:   90 * time.Millisecond,
		pace:      1.5,
		meanPace:  0.8,
		routeWork: 120 * time.Millisecond,
	}}
	h := make(http.Header)
	sent.writeHeaders(h, "1")
	if parseLoad(h.Get(proxy.HeaderLoad)) == nil {
		t.Fatalf("load header %q cannot be read by the previous release", h.Get(proxy.HeaderLoad))
	}
	got := readResult(http.StatusOK, h, nil)
	if *got.load != *sent.load {
		t.Errorf("load %+v, want %+v", *got.load, *sent.load)
	}
	if len(got.header) > 0 {
		t.Errorf("headers between nodes are passed on: %v", got.header)
	}
	p := &peerNode{}
	p.endRequest(p.startRequest(now), now, got.load, true, false, true)
	if c, _, _ := p.candidate(now, "a"); c.Pace != 1.5 {
		t.Errorf("pace %.2f, want 1.5", c.Pace)
	}
	for range slowMinRequests {
		p.startRequest(now)
	}
	if c, _, _ := p.candidate(now.Add(time.Second), "a"); c.Pace != 0 || c.Work != time.Second {
		t.Errorf("hung server: pace %.2f, work %s; want the age of its requests", c.Pace, c.Work)
	}
	sent.load.pace, sent.load.meanPace = 0, 0
	h = make(http.Header)
	sent.writeHeaders(h, "1")
	if v, ok := h[headerPace]; ok {
		t.Errorf("header %v for a server without a pace", v)
	}
}

// TestReturningCallerLatencyTarget guards against a caller that comes back after a refusal and goes before callers that
// can still get an answer in time, and against a change where the settings do not ask for the recognition.
func TestReturningCallerLatencyTarget(t *testing.T) {
	for _, recognize := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		first := testCall(clock)
		first.outbound.Admission = func() params.Admission { return params.Admission{RecognizeReturns: recognize} }
		first.route.Aim, first.route.Timeout = 500*time.Millisecond, 2*time.Second
		first.setDeadlines(3 * time.Second)
		clock.Advance(20 * time.Millisecond)
		first.recordFailure()
		clock.Advance(380 * time.Millisecond)
		again := &call{outbound: first.outbound, route: first.route, arrived: clock.Now()}
		again.setDeadlines(2600 * time.Millisecond)
		want := 500 * time.Millisecond
		if recognize {
			want = 100 * time.Millisecond
		}
		if left := again.latencyTargetAt.Sub(clock.Now()); left != want {
			t.Errorf("recognition %v: %s left until the latency target, want %s", recognize, left, want)
		}
	}
}
