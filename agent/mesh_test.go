package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/logger"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/stub"
)

const (
	// waitTimeout limits every wait of a test. It is far above the duration of any step, so that tests don't fail
	// on a slow host.
	waitTimeout = 60 * time.Second
	// pollInterval is the interval between checks of a condition.
	pollInterval = 20 * time.Millisecond
	// killTimeout limits the stop of a killed node, which can't send its final reports.
	killTimeout = 200 * time.Millisecond
	// notice is the time from the start of a graceful stop until the node rejects calls.
	notice = 2 * time.Second
)

type (
	// mesh runs a log, nodes and backend servers in this process, connected over loopback.
	mesh struct {
		t     *testing.T
		log   *memlog.Log
		nodes []*instance
	}

	// instance is a node with its backend server, if any.
	instance struct {
		app        *App
		settings   params.Node
		client     *opapi.Client
		server     *stub.Server
		address    string // of the backend server
		disconnect func() // closes all connections and listeners of the node
		stopped    bool
	}

	// trackedListener is a listener that can close all connections it has accepted.
	trackedListener struct {
		net.Listener
		mu     sync.Mutex
		conns  []net.Conn
		closed bool
	}
)

func TestMain(m *testing.M) {
	logger.Configure(os.Stderr, "fatal")
	os.Exit(m.Run())
}

// newMesh starts a log and, for each element of domains, a node with a backend server of version catalogue-1. It
// waits until the configuration is in force and every node has received all servers.
func newMesh(t *testing.T, domains ...string) *mesh {
	t.Helper()
	m := &mesh{t: t, log: memlog.New(clockwork.NewRealClock(), memlog.Limits{})}
	for _, d := range domains {
		m.start(m.settings(d), &stub.Config{
			Service: "catalogue", Version: "catalogue-1", Slots: 8, Latency: 5 * time.Millisecond,
		})
	}
	if r := m.publish(m.nodes[0], "start", objects(slices.Clone(domains))...); r.Result != opapi.ResultPublished {
		t.Fatalf("first publish: %+v", r)
	}
	m.awaitConvergence()
	return m
}

// objects returns a service with a repeatable route and a route whose requests must run at most once.
func objects(domains []string) []conf.Object {
	set := []conf.Object{
		conf.New("catalogue", &conf.Service{Version: "catalogue-1"}),
		conf.New("catalogue-1", &conf.Version{Service: "catalogue"}),
		conf.New("browse", &conf.Route{Service: "catalogue", Prefix: "/catalogue", Repeatable: true}),
		conf.New("order", &conf.Route{Service: "catalogue", Prefix: "/order"}),
	}
	slices.Sort(domains)
	for _, d := range slices.Compact(domains) {
		set = append(set, conf.New(d, &conf.Domain{Region: "attica"}))
	}
	return set
}

func (m *mesh) settings(domain string) params.Node {
	free := net.JoinHostPort(stub.LoopbackIP(), "0") // restart listens on the same ports again
	s := params.Node{
		Domain: domain, Region: "attica",
		Listeners:   params.Listeners{Callers: free, Calls: free, Control: free, Operators: free, Servers: free},
		Notice:      params.Duration(notice),
		StopTimeout: params.Duration(waitTimeout),
	}
	for _, x := range m.nodes {
		s.Seeds = append(s.Seeds, x.app.Addresses().Control)
	}
	return s
}

// start starts a node and, if b is not nil, a backend server that announces itself to the node.
func (m *mesh) start(s params.Node, b *stub.Config) *instance {
	m.t.Helper()
	x := &instance{settings: s}
	var links *link.Pool
	var pool *peer.Pool
	var open *listeners
	// Each node accesses the log through its own HTTP server, which is closed when the node is killed.
	logs := &http.Server{Handler: memlog.Handler(m.log), ReadHeaderTimeout: waitTimeout}
	s.Log = "http://" + m.serve(logs.Serve, func() { logs.Close() })
	app, err := Start(
		m.t.Context(), s,
		fx.Decorate(trackListeners),
		fx.Populate(&links, &pool, &open),
	)
	if err != nil {
		m.t.Fatal(err)
	}
	x.app = app
	x.client = opapi.NewClient(app.Addresses().Operators, waitTimeout)
	x.disconnect = func() {
		logs.Close()
		pool.Close()
		for _, l := range []net.Listener{open.callers, open.calls, open.control, open.operators, open.servers} {
			l.(*trackedListener).kill()
		}
		links.Close()
	}
	m.nodes = append(m.nodes, x)
	m.t.Cleanup(func() { m.kill(x) })
	if b != nil {
		m.announce(x, *b, uint64(len(m.nodes)))
	}
	return x
}

func (m *mesh) announce(x *instance, b stub.Config, seed uint64) {
	m.t.Helper()
	x.server = stub.New(b, clockwork.NewRealClock(), seed)
	ctx, cancel := context.WithCancel(context.Background())
	x.address = m.serve(func(l net.Listener) error {
		x.server.Serve(ctx, l)
		return nil
	}, cancel)
	if err := x.server.Announce(m.t.Context(), x.app.Addresses().Servers, x.address); err != nil {
		m.t.Fatal(err)
	}
}

// stop stops a node gracefully.
func (m *mesh) stop(x *instance) {
	m.t.Helper()
	x.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := x.app.Stop(ctx); err != nil {
		m.t.Errorf("stop of node %q: %v", x.app.Addresses().Control, err)
	}
}

// kill simulates a crash of a node: its connections are closed before it stops, so it can't send anything more.
func (m *mesh) kill(x *instance) {
	if x.stopped {
		return
	}
	x.stopped = true
	x.disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	_ = x.app.Stop(ctx) // an error is expected: the node can't settle claims or report counters
}

// restart starts a node without state on the addresses of a stopped one.
func (m *mesh) restart(x *instance, seeds ...string) *instance {
	m.t.Helper()
	a := x.app.Addresses()
	s := x.settings
	s.Seeds = seeds
	s.Listeners = params.Listeners(a)
	m.nodes = slices.DeleteFunc(m.nodes, func(y *instance) bool { return x == y })
	restarted := m.start(s, nil)
	if x.server != nil {
		restarted.server, restarted.address = x.server, x.address
		if err := restarted.server.Announce(
			m.t.Context(), restarted.app.Addresses().Servers, restarted.address,
		); err != nil {
			m.t.Fatal(err)
		}
	}
	return restarted
}

func (m *mesh) serve(serve func(net.Listener) error, end func()) string {
	m.t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(m.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(end)
	go serve(l) //nolint:errcheck // returns when the listener is closed at the end of the test
	return l.Addr().String()
}

// publish publishes objects through a node, based on the object versions at that node.
func (m *mesh) publish(x *instance, id string, set ...conf.Object) opapi.PublishResponse {
	m.t.Helper()
	current, err := x.client.Objects(m.t.Context())
	if err != nil {
		m.t.Fatal(err)
	}
	r := opapi.PublishRequest{ID: id, Base: make(map[string]shunt.Offset), Set: set}
	for _, o := range set {
		r.Base[o.Key().String()] = 0
	}
	for _, o := range current.Objects {
		if _, ok := r.Base[o.Object.Key().String()]; ok {
			r.Base[o.Object.Key().String()] = o.Version
		}
	}
	result, err := x.client.Publish(m.t.Context(), r)
	if err != nil {
		m.t.Fatal(err)
	}
	return result
}

// publishAndWait publishes objects and waits until they are in force on all running nodes.
func (m *mesh) publishAndWait(x *instance, id string, set ...conf.Object) shunt.Offset {
	m.t.Helper()
	r := m.publish(x, id, set...)
	if r.Result != opapi.ResultPublished {
		m.t.Fatalf("publish %q: %+v", id, r)
	}
	m.waitFor("publish "+id+" in force", func() bool {
		f, err := x.client.InForce(m.t.Context(), r.Offset)
		return err == nil && f.InForce >= len(m.running())
	})
	return r.Offset
}

func (m *mesh) running() []*instance {
	var list []*instance
	for _, x := range m.nodes {
		if !x.stopped {
			list = append(list, x)
		}
	}
	return list
}

// awaitConvergence waits until all running nodes serve at the same offset and list all backend servers as ready.
func (m *mesh) awaitConvergence() {
	m.t.Helper()
	servers := 0
	for _, x := range m.running() {
		if x.server != nil {
			servers++
		}
	}
	m.waitFor("same offset and all servers on all nodes", func() bool {
		offsets := make(map[shunt.Offset]bool)
		for _, x := range m.running() {
			s, err := x.client.Status(m.t.Context())
			if err != nil || !s.Serving {
				return false
			}
			ready := 0
			for _, d := range s.Domains {
				ready += d.Ready
			}
			if ready != servers {
				return false
			}
			offsets[s.Offset] = true
		}
		return len(offsets) == 1 && !offsets[0]
	})
}

// waitFor polls a condition until it holds, and fails the test after waitTimeout.
func (m *mesh) waitFor(what string, condition func() bool) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(m.t.Context(), waitTimeout)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			m.t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		case <-t.C:
		}
	}
}

func trackListeners(l *listeners) *listeners {
	for _, x := range []*net.Listener{&l.callers, &l.calls, &l.control, &l.operators, &l.servers} {
		*x = &trackedListener{Listener: *x}
	}
	return l
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Join(net.ErrClosed, c.Close())
	}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *trackedListener) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.Close()
	for _, c := range l.conns {
		c.Close()
	}
}
