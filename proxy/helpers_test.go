package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/retry"
	"tanagershunt.example/shunt/server"
)

// fakeBackend is a backend server that counts the requests it ran by request identifier.
type fakeBackend struct {
	addr          string
	close         func()
	recordNothing bool // for benchmarks

	mu      sync.Mutex
	runs    map[string]int
	headers []http.Header
}

func (b *fakeBackend) record(id string, h http.Header) {
	if b.recordNothing {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.headers = append(b.headers, h.Clone())
}

func (b *fakeBackend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// newBackend runs a handler as a backend server on loopback.
func newBackend(t testing.TB, h http.HandlerFunc) *fakeBackend {
	t.Helper()
	l := listen(t)
	b := &fakeBackend{addr: l.Addr().String(), runs: make(map[string]int)}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.record(r.Header.Get(HeaderRequestID), r.Header)
		h(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	b.close = func() { s.Close() }
	t.Cleanup(b.close)
	return b
}

// testNode is a node with both proxies on loopback listeners and fakes for the other packages.
type testNode struct {
	backend    *fakeBackend
	server     *server.Tracker
	inbound    *Inbound
	outbound   *Outbound
	callerAddr string // address of the listener for callers
	member     shunt.Member
	clock      *clockwork.FakeClock
	fakes      *fakes
	client     *http.Client
}

// fakes replaces the packages that the proxies depend on. All requests match one route.
type fakes struct {
	recordNothing       bool // for benchmarks
	mu                  sync.Mutex
	repeatable          bool
	members             []shunt.Member
	self                string
	acquireErr          error
	routeErr            error
	routerErr           error
	version             string
	claimResult         shunt.ClaimResult
	claimErr            error
	claims              []shunt.ClaimRequest
	settlements         []shunt.ClaimOutcome
	callsSent, callsRan []shunt.Call
	samples             []shunt.Sample
}

func (f *fakes) Router() (shunt.Router, error) { return f, f.routerErr }
func (f *fakes) Offset() shunt.Offset          { return 7 }
func (f *fakes) Route(string, string, float64) (shunt.Target, error) {
	return shunt.Target{
		Service: "desk", Route: "issue", Version: f.version,
		Contract: shunt.RoutePolicy{Repeatable: f.repeatable, Timeout: 2 * time.Minute},
	}, f.routeErr
}
func (f *fakes) Servers(string, string) []shunt.Member          { return f.members }
func (f *fakes) RoleHolders(string, string, int) []shunt.Member { return nil }
func (f *fakes) Lookup(string) (m shunt.Member, ok bool)        { return m, false }
func (f *fakes) Domains() []string                              { return nil }
func (f *fakes) Self() shunt.Member                             { return shunt.Member{Control: f.self} }

func (f *fakes) Load() shunt.Load      { return shunt.Load{Limit: 6, Queued: 2} }
func (f *fakes) Started(string)        {}
func (f *fakes) Sent(c shunt.Call)     { record(f, &f.callsSent, c) }
func (f *fakes) Received(c shunt.Call) { record(f, &f.callsRan, c) }
func (f *fakes) Done(s shunt.Sample)   { record(f, &f.samples, s) }

func (f *fakes) Settle(s shunt.ClaimOutcome)                                { record(f, &f.settlements, s) }
func (f *fakes) Finished(string, shunt.Sample, *shunt.Load)                 {}
func (f *fakes) Acquire(context.Context, shunt.Class) (shunt.Ticket, error) { return f, f.acquireErr }

func (f *fakes) Claim(_ context.Context, r shunt.ClaimRequest) (shunt.ClaimResult, error) {
	record(f, &f.claims, r)
	return f.claimResult, f.claimErr
}

func (f *fakes) Pick(candidates []shunt.Member, skip []string) (shunt.Member, bool) {
	i := slices.IndexFunc(candidates, func(m shunt.Member) bool { return !slices.Contains(skip, m.Control) })
	if i < 0 {
		return shunt.Member{}, false
	}
	return candidates[i], true
}

func record[T any](f *fakes, list *[]T, v T) {
	if f.recordNothing {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, v)
}

// newNode starts a node in front of a backend server.
func newNode(t testing.TB, b *fakeBackend) *testNode {
	t.Helper()
	log.SetLevel(log.ErrorLevel)
	n := &testNode{backend: b, clock: clockwork.NewFakeClock(), fakes: &fakes{version: "desk-1"}}
	pool := link.New(link.Limits{})
	n.server = server.NewTracker(server.Limits{}, n.clock, pool)
	if err := n.server.Announce(server.Announcement{
		Service: "desk", Version: "desk-1", Slots: 6, Address: b.addr,
	}); err != nil {
		t.Fatal(err)
	}
	f := n.fakes
	n.inbound = NewInbound(InboundConfig{
		Server: n.server, Admitter: f, Counter: f, Pool: pool, Clock: n.clock, Domain: "east", Timeout: n.timeout,
	})
	n.outbound = NewOutbound(OutboundConfig{
		Source:    f,
		Directory: f,
		Picker:    f,
		Claimer:   f,
		Counter:   f,
		Budget:    &retry.Budget{},
		Pool:      link.New(link.Limits{}),
		Local:     n.inbound,
		Clock:     n.clock,
		Draw:      func() float64 { return 0 },
		Timeout:   n.timeout,
	})
	n.member = shunt.Member{Control: b.addr, Calls: startProxyServer(t, n.inbound), Domain: "east"}
	n.callerAddr = startProxyServer(t, n.outbound)
	f.members = []shunt.Member{n.member}
	n.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(n.client.CloseIdleConnections)
	return n
}

// fakeDeadlineContext is a context whose deadline expires by the fake clock.
type fakeDeadlineContext struct {
	context.Context
	at time.Time
}

func (d fakeDeadlineContext) Deadline() (time.Time, bool) { return d.at, true }
func (d fakeDeadlineContext) Err() error                  { return context.Cause(d.Context) }

func (n *testNode) timeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := n.clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return fakeDeadlineContext{ctx, n.clock.Now().Add(d)}, func() { t.Stop(); cancel(nil) }
}

func startProxyServer(t testing.TB, h http.Handler) string {
	t.Helper()
	l := listen(t)
	s := NewHTTPServer(h, Limits{Read: time.Hour})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// callerResult is the response as the caller received it.
type callerResult struct {
	status  int
	outcome string
	body    string
	header  http.Header
	trailer http.Header
	err     error // no response, or the response body broke off
}

func (n *testNode) send(r *http.Request) callerResult {
	resp, err := n.client.Do(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResult{resp.StatusCode, resp.Header.Get(HeaderOutcome), string(data), resp.Header, resp.Trailer, err}
}

func (n *testNode) newRequest(t testing.TB, method, id string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.callerAddr+"/issue", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, id)
	return r
}
