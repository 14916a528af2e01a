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

// backend is a stand-in backend server. It counts what it ran per request identifier.
type backend struct {
	addr  string
	close func()
	quiet bool // for benchmarks: records nothing

	mu   sync.Mutex
	runs map[string]int
	seen []http.Header
}

func (b *backend) ran(id string, h http.Header) {
	if b.quiet {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.seen = append(b.seen, h.Clone())
}

func (b *backend) count(id string) int {
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

// serve runs a handler as a backend server on loopback.
func serve(t testing.TB, h http.HandlerFunc) *backend {
	t.Helper()
	l := listen(t)
	b := &backend{addr: l.Addr().String(), runs: make(map[string]int)}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.ran(r.Header.Get(HeaderRequestID), r.Header)
		h(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	b.close = func() { s.Close() }
	t.Cleanup(b.close)
	return b
}

// node is one node with both halves on loopback listeners and fakes around them.
type node struct {
	backend *backend
	server  *server.Server
	in      *Inbound
	out     *Outbound
	callers string // address of the listener for callers
	member  shunt.Member
	clock   *clockwork.FakeClock
	fakes   *fakes
	client  *http.Client
}

// fakes stands for the packages around the call path. All requests match one route.
type fakes struct {
	quiet      bool // for benchmarks: records nothing
	mu         sync.Mutex
	repeatable bool
	members    []shunt.Member
	self       string
	refusal    error
	routing    error
	routerErr  error
	version    string
	claim      shunt.ClaimAnswer
	claimErr   error
	claims     []shunt.ClaimRequest
	settled    []shunt.Settlement
	sent, done []shunt.Call
	samples    []shunt.Sample
}

func (f *fakes) Router() (shunt.Router, error) { return f, f.routerErr }
func (f *fakes) Offset() shunt.Offset          { return 7 }
func (f *fakes) Route(string, string, float64) (shunt.Target, error) {
	return shunt.Target{
		Service: "desk", Route: "issue", Version: f.version,
		Contract: shunt.Contract{Repeatable: f.repeatable, Timeout: 2 * time.Minute},
	}, f.routing
}
func (f *fakes) Servers(string, string) []shunt.Member      { return f.members }
func (f *fakes) Holders(string, string, int) []shunt.Member { return nil }
func (f *fakes) Lookup(string) (m shunt.Member, ok bool)    { return m, false }
func (f *fakes) Domains() []string                          { return nil }
func (f *fakes) Self() shunt.Member                         { return shunt.Member{Control: f.self} }

func (f *fakes) Load() shunt.Load    { return shunt.Load{Limit: 6, Queued: 2} }
func (f *fakes) Started(string)      {}
func (f *fakes) Sent(c shunt.Call)   { note(f, &f.sent, c) }
func (f *fakes) Ran(c shunt.Call)    { note(f, &f.done, c) }
func (f *fakes) Done(s shunt.Sample) { note(f, &f.samples, s) }

func (f *fakes) Settle(s shunt.Settlement)                                  { note(f, &f.settled, s) }
func (f *fakes) Finished(string, shunt.Sample, *shunt.Load)                 {}
func (f *fakes) Acquire(context.Context, shunt.Class) (shunt.Ticket, error) { return f, f.refusal }

func (f *fakes) Claim(_ context.Context, r shunt.ClaimRequest) (shunt.ClaimAnswer, error) {
	note(f, &f.claims, r)
	return f.claim, f.claimErr
}

func (f *fakes) Pick(candidates []shunt.Member, skip []string) (shunt.Member, bool) {
	i := slices.IndexFunc(candidates, func(m shunt.Member) bool { return !slices.Contains(skip, m.Control) })
	if i < 0 {
		return shunt.Member{}, false
	}
	return candidates[i], true
}

func note[T any](f *fakes, list *[]T, v T) {
	if f.quiet {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, v)
}

// newNode starts a node in front of a backend server at an address.
func newNode(t testing.TB, b *backend) *node {
	t.Helper()
	log.SetLevel(log.ErrorLevel)
	n := &node{backend: b, clock: clockwork.NewFakeClock(), fakes: &fakes{version: "desk-1"}}
	pool := link.New(link.Limits{})
	n.server = server.New(server.Limits{}, n.clock, pool)
	if err := n.server.Announce(server.Announcement{
		Service: "desk", Version: "desk-1", Slots: 6, Address: b.addr,
	}); err != nil {
		t.Fatal(err)
	}
	f := n.fakes
	n.in = NewInbound(InboundConfig{
		Server: n.server, Admitter: f, Counter: f, Pool: pool, Clock: n.clock, Domain: "east", Timeout: n.timeout,
	})
	n.out = NewOutbound(OutboundConfig{
		Source:    f,
		Directory: f,
		Picker:    f,
		Claimer:   f,
		Counter:   f,
		Budget:    &retry.Budget{},
		Pool:      link.New(link.Limits{}),
		Local:     n.in,
		Clock:     n.clock,
		Draw:      func() float64 { return 0 },
		Timeout:   n.timeout,
	})
	n.member = shunt.Member{Control: b.addr, Calls: start(t, n.in), Domain: "east"}
	n.callers = start(t, n.out)
	f.members = []shunt.Member{n.member}
	n.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(n.client.CloseIdleConnections)
	return n
}

// fakeDeadline is a context whose deadline passes by the fake clock.
type fakeDeadline struct {
	context.Context
	at time.Time
}

func (d fakeDeadline) Deadline() (time.Time, bool) { return d.at, true }
func (d fakeDeadline) Err() error                  { return context.Cause(d.Context) }

func (n *node) timeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := n.clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return fakeDeadline{ctx, n.clock.Now().Add(d)}, func() { t.Stop(); cancel(nil) }
}

func start(t testing.TB, h http.Handler) string {
	t.Helper()
	l := listen(t)
	s := NewServer(h, Limits{Read: time.Hour})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// got is what a caller sees.
type got struct {
	status  int
	outcome string
	body    string
	header  http.Header
	trailer http.Header
	err     error // the answer broke off
}

func (n *node) do(r *http.Request) got {
	resp, err := n.client.Do(r)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header.Get(HeaderOutcome), string(data), resp.Header, resp.Trailer, err}
}

func (n *node) request(t testing.TB, method, id string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.callers+"/issue", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, id)
	return r
}
