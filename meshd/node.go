package meshd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/sched"
	"tanagershunt.example/shunt/shift"
)

const (
	// inboundIdleTimeout is the idle time after which the connection of a caller or of another node is closed. It
	// exceeds the idle time that configurations allow callers, so that no connection is closed while its caller may
	// still use it.
	inboundIdleTimeout = 2 * time.Minute
	// peerDialTimeout bounds dialing another node. Round trips between nodes take a few milliseconds, and a request
	// with 300 ms left must still have time for another node.
	peerDialTimeout = 150 * time.Millisecond
	// peerBackoffCap bounds the pause between attempts to connect to another node's feed.
	peerBackoffCap = 2 * time.Second
	// peerUserTimeout is the time after which a connection to another node is closed if sent data is not acknowledged
	// (TCP_USER_TIMEOUT).
	peerUserTimeout = 700 * time.Millisecond
	// serverDialTimeout bounds dialing the local backend server.
	serverDialTimeout = 400 * time.Millisecond
	// identifyTimeout bounds the health request that identifies the server.
	identifyTimeout = 500 * time.Millisecond
	// maxHealthBytes bounds the body of a health response, which is not used.
	maxHealthBytes = 64 << 10
	// readyPollInterval is how often a starting node checks whether it has read the mesh topic and a configuration.
	readyPollInterval = 20 * time.Millisecond
)

var errNoHealthPath = errors.New("configuration names no path for the server's health")

type (
	// Adapter provides the platform-specific parts of a node.
	Adapter struct {
		Codec    shunt.HeaderCodec
		Operator shunt.OperatorCodec
		Store    shunt.Store
		// Cloud may be nil if the settings name no duties.
		Cloud shunt.Cloud
		// BootClock returns the time since the machine was started, including its suspended time. It may be nil.
		BootClock func() time.Duration
		// Servers and Ready return the handlers of the listeners for the local backend server and for readiness checks.
		Servers func(*Node) http.Handler
		Ready   func(*Node) http.Handler
		// Reload is called with changed settings.
		Reload func(params.MeshNode)
		// RecentLines returns the recent log lines that contain one of the texts, and the time from which on lines are
		// remembered. It may be nil.
		RecentLines func(texts ...string) ([]string, time.Time)
	}

	// Node is a running node.
	Node struct {
		adapter      Adapter
		clock        clockwork.Clock
		settings     atomic.Pointer[params.MeshNode]
		loadSettings func() (params.MeshNode, error)

		view          *MeshView
		queue         *sched.Queue
		server        *Server
		inbound       *Inbound
		outbound      *Outbound
		sync          *StateSync
		reconnector   *reconnector
		mover         *Mover
		feed          *Feed
		duties        *dutyRunner // nil without duties
		rpc           *peer.Server
		meter         *Meter
		callerHandler *drainHandler

		ctx          context.Context
		cancel       context.CancelFunc
		wg           sync.WaitGroup
		httpServers  []*http.Server
		callerServer *http.Server
		stopping     atomic.Bool
		stop         *stopDeadline
	}

	// drainHandler counts callers' requests in flight and closes their connections during shutdown.
	drainHandler struct {
		next     http.Handler
		inFlight atomic.Int64
		closing  atomic.Bool
	}
)

// New creates a node. The node calls loadSettings to re-read its settings.
func New(a Adapter, s params.MeshNode, loadSettings func() (params.MeshNode, error), c clockwork.Clock) *Node {
	n := &Node{adapter: a, clock: c, loadSettings: loadSettings, meter: NewMeter(), stop: &stopDeadline{}}
	n.settings.Store(&s)
	n.view = NewMeshView(c)
	n.view.self, n.view.domain = s.Listeners.CallsAddress(), s.Domain
	n.queue = &sched.Queue{Clock: c}
	n.server = NewServer(c, n.queue, func() (shunt.ServiceSpec, bool) {
		return n.view.serviceSpec(n.settings.Load().Service)
	}, s.Service, s.Server)
	n.server.Configure(s.Service, s.Server, coldBounds(s.Bounds))
	counters := &peer.Counters{}
	peers := peer.NewPool(peer.Options{
		Clock: c, Counters: counters, DialTimeout: peerDialTimeout, BackoffCap: peerBackoffCap,
		Seed: uint64(c.Now().UnixNano()),
	})
	n.rpc = peer.NewServer(peer.ServerOptions{Counters: counters})
	n.feed = newFeed(c, n.view)
	n.sync = &StateSync{
		Peers:      peers,
		Control:    s.Listeners.ControlAddress(),
		Operators:  reachableAddress(s.Listeners.Operators),
		Link:       int(s.Link),
		feed:       n.feed,
		Clock:      c,
		Store:      a.Store,
		Operator:   a.Operator,
		View:       n.view,
		Server:     n.server,
		Self:       s.Listeners.CallsAddress(),
		Domain:     s.Domain,
		Meter:      n.meter,
		StartedAt:  c.Now().UnixNano(),
		FirstStart: s.FirstStart,
	}
	n.mover = &Mover{
		Clock:    c,
		Store:    a.Store,
		Operator: a.Operator,
		View:     n.view,
		Server:   n.server,
		Self:     s.Listeners.CallsAddress(),
		Peers:    peers,
		Ready:    n.sync.Ready,
		Started:  n.sync.publishedStart,
		Meter:    n.meter,
	}
	bodies := newBodyBudget(s.Memory)
	n.inbound = &Inbound{
		Bodies: bodies, Clock: c, Codec: a.Codec, View: n.view, Server: n.server, Queue: n.queue, Meter: n.meter,
		Domain: s.Domain, Admission: n.admission, stop: n.stop, RecordResponse: n.mover.RecordResponse,
		Pool: conns.New(conns.Options{
			DialTimeout: serverDialTimeout, Opened: func() { n.meter.increment("side_server_connections_total") },
		}),
	}
	nodes := conns.New(conns.Options{DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout})
	n.reconnector = newReconnector(c, nodes.Preconnect)
	n.sync.Preconnect = nodes.Preconnect
	n.outbound = &Outbound{
		Clock:       c,
		Codec:       a.Codec,
		View:        n.view,
		Inbound:     n.inbound,
		Self:        s.Listeners.CallsAddress(),
		Domain:      s.Domain,
		Service:     func() string { return n.settings.Load().Service },
		Bounds:      n.bounds,
		Meter:       n.meter,
		Pool:        nodes,
		Reconnector: n.reconnector,
		StartedAt:   c.Now(),
		Bodies:      bodies,
		Admission:   n.admission,
		stop:        n.stop,
	}
	if s.Spillover.Enabled {
		n.enableSpillover(s)
	}
	n.mover.Others = n.outbound.Others
	n.server.notify, n.server.confirm = n.sync.Publish, n.confirmServer
	n.callerHandler = &drainHandler{next: n.outbound}
	n.duties, n.feed.usage = n.newDutyRunner(s, n.sync.StartedAt)
	n.inbound.usage, n.sync.duties = n.feed.usage, n.duties
	return n
}

// reachableAddress returns the address of a listener, or an empty text if others cannot connect to it by that address.
func reachableAddress(listener string) string {
	if err := checkNodeAddress("listener", listener); err != nil {
		return ""
	}
	return listener
}

func coldBounds(b params.Bounds) ColdBounds {
	return ColdBounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

// Register registers hooks that start and stop the node with an fx application.
func Register(lc fx.Lifecycle, n *Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

func (n *Node) bounds() Bounds {
	b := n.settings.Load().Bounds
	return Bounds{
		RetryWindow: seconds(b.RetryWindow), RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		Move: shift.Bound{Share: b.MoveShare, Slack: b.MoveSlack},
	}
}

func (n *Node) admission() params.Admission { return n.settings.Load().Admission }

// Start opens the listeners and starts following the store.
func (n *Node) Start(context.Context) error {
	n.ctx, n.cancel = context.WithCancel(context.Background())
	s := n.settings.Load()
	n.callerServer = proxy.NewHTTPServer(n.callerHandler, proxy.Limits{Idle: inboundIdleTimeout})
	for _, l := range []struct {
		name, addr string
		server     *http.Server
	}{
		{"ready", s.Listeners.Ready, proxy.NewHTTPServer(n.adapter.Ready(n), proxy.Limits{})},
		{"servers", s.Listeners.Servers, proxy.NewHTTPServer(n.adapter.Servers(n), proxy.Limits{})},
		{"calls", s.Listeners.Calls, proxy.NewHTTPServer(n.inbound, proxy.Limits{Idle: inboundIdleTimeout})},
		{"operators", s.Listeners.Operators, proxy.NewHTTPServer(n.operatorHandler(), proxy.Limits{})},
		{"callers", s.Listeners.Callers, n.callerServer},
	} {
		if err := n.listen(l.name, l.addr, l.server); err != nil {
			return err
		}
	}
	if err := n.serveFeed(s.Listeners.Control); err != nil {
		return err
	}
	for _, run := range []func(context.Context){n.sync.Run, n.reconnector.Run, n.mover.Run, n.restoreServer} {
		n.wg.Go(func() { run(n.ctx) })
	}
	if n.duties != nil {
		n.wg.Go(func() { n.duties.run(n.ctx) })
		n.wg.Go(func() { n.duties.usage.run(n.ctx) })
	}
	log.WithFields(log.Fields{
		"node": s.Name, "failure_domain": s.Domain, "service": s.Service, "callers": s.Listeners.Callers,
	}).Info("node started")
	return nil
}

func (n *Node) serveFeed(addr string) error {
	if err := n.rpc.Register(feedService, n.feed); err != nil {
		return err
	}
	l, err := (&net.ListenConfig{}).Listen(n.ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("listener for feed: %w", err)
	}
	n.wg.Go(func() {
		if err := n.rpc.Serve(l); err != nil {
			log.WithError(err).WithField("listener", "feed").Error("listener failed")
		}
	})
	return nil
}

func (n *Node) listen(name, addr string, srv *http.Server) error {
	l, err := (&net.ListenConfig{}).Listen(n.ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("listener for %s: %w", name, err)
	}
	if srv == n.callerServer {
		l = proxy.NewPipelineListener(l, n.begin)
	}
	n.httpServers = append(n.httpServers, srv)
	n.wg.Go(func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("listener", name).Error("listener failed")
		}
	})
	return nil
}

// restoreServer restores the server that was known before the node restarted, without waiting for its next report, if
// the server confirms its identity and is healthy.
func (n *Node) restoreServer(ctx context.Context) {
	for !n.sync.Ready() {
		select {
		case <-n.clock.After(readyPollInterval):
		case <-ctx.Done():
			return
		}
	}
	s := n.settings.Load()
	r, ok := n.sync.StoredServer()
	if !ok || r.Leaving || r.Service != s.Service {
		return
	}
	identity, err := n.identifyServer(ctx)
	if err != nil || identity.Server != r.ID {
		log.WithFields(log.Fields{"server": r.ID, "found": identity.Server, "error": err}).
			Info("previous backend server not restored")
		return
	}
	r.Address, r.Cold = s.Server, identity.Cold
	n.server.Restore(r)
}

// confirmServer checks the identity of the server after it broke a connection.
func (n *Node) confirmServer() {
	identity, err := n.identifyServer(n.ctx)
	if err != nil {
		log.WithError(err).Info("cannot identify backend server")
		return
	}
	n.server.ConfirmIdentity(identity.Server, identity.Cold)
}

// identifyServer requests the identity of the local backend server. It fails if the server is not healthy.
func (n *Node) identifyServer(ctx context.Context) (shunt.ServerResponse, error) {
	s := n.settings.Load()
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	spec, _ := n.view.serviceSpec(s.Service)
	path := spec.HealthPath
	if path == "" {
		return shunt.ServerResponse{}, errNoHealthPath
	}
	resp, err := n.inbound.Pool.Do(ctx, s.Server, &conns.Request{
		Method: http.MethodGet, URI: path, Host: s.Server, Header: http.Header{}, Limit: maxHealthBytes,
		// A response to an earlier request, which a faulty server may send late, has an identifier.
		Own: func(status int, h http.Header) bool { return n.adapter.Codec.ParseServerResponse(status, h).ID == "" },
	})
	if err != nil {
		return shunt.ServerResponse{}, err
	}
	identity := n.adapter.Codec.ParseServerResponse(resp.Status, resp.Header)
	n.server.ObservePace(identity.Pace)
	if resp.Status != http.StatusOK {
		return identity, fmt.Errorf("server is not well: status %d", resp.Status)
	}
	return identity, nil
}

// HandleReport handles a report of the local backend server.
func (n *Node) HandleReport(r shunt.ServerReport) error { return n.server.HandleReport(r) }

// HandleDeregistration handles the deregistration of the local backend server.
func (n *Node) HandleDeregistration(id string, born int64) { n.server.HandleDeregistration(id, born) }

// IsReady reports whether callers may send requests to this node.
func (n *Node) IsReady() bool { return !n.stopping.Load() && n.sync.Ready() }

// Reload re-reads the settings and applies those that may change at run time.
func (n *Node) Reload() {
	s, err := n.loadSettings()
	if err != nil {
		log.WithError(err).Error("cannot reload settings")
		return
	}
	n.settings.Store(&s)
	n.server.Configure(s.Service, s.Server, coldBounds(s.Bounds))
	n.adapter.Reload(s)
	log.WithField("service", s.Service).Info("settings reloaded")
}

// Stop shuts the node down gracefully, see stopSchedule. The node reports not ready, continues to serve callers, notifies
// other nodes, and then completes the requests in flight. Those that last too long get an answer of the node's own before
// the connections close.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	started := n.clock.Now()
	grace := seconds(n.settings.Load().Bounds.Grace)
	schedule := newStopSchedule(grace)
	log.WithFields(log.Fields{"grace": grace, "answer": schedule.answer, "close": schedule.closeConns}).
		Info("node stopping")
	n.stop.set(started.Add(schedule.answer))
	answer := n.clock.AfterFunc(schedule.answer, n.stop.reach)
	defer answer.Stop()
	n.callerHandler.closing.Store(true)
	n.waitUntil(ctx, started.Add(schedule.peerNotice))
	n.duties.stop()
	n.sync.PublishStopping()
	n.waitUntil(ctx, started.Add(schedule.notice))
	n.shutdownListeners(ctx, schedule.closeConns-n.clock.Since(started))
	flush, cancel := context.WithTimeout(ctx, schedule.exit-n.clock.Since(started))
	defer cancel()
	n.feed.usage.flush(flush)
	n.cancel()
	n.feed.stop()
	n.rpc.Close()
	log.WithField("took", n.clock.Since(started)).Info("node stopped")
	return nil
}

// shutdownListeners closes the listeners and waits for the requests in flight. After the timeout it closes their
// connections.
func (n *Node) shutdownListeners(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range n.httpServers {
		wg.Go(func() {
			if err := srv.Shutdown(ctx); err != nil {
				log.WithError(err).Warn("listener shutdown incomplete; closing connections")
				if err := srv.Close(); err != nil {
					log.WithError(err).Warn("cannot close listener")
				}
			}
		})
	}
	wg.Wait()
}

// waitUntil waits until the given time or until ctx ends.
func (n *Node) waitUntil(ctx context.Context, until time.Time) {
	select {
	case <-n.clock.After(until.Sub(n.clock.Now())):
	case <-ctx.Done():
	}
}

// Kill stops the node at once, like a crash of its process. It is for tests.
func (n *Node) Kill() {
	n.cancel()
	for _, srv := range n.httpServers {
		if err := srv.Close(); err != nil {
			log.WithError(err).Warn("cannot close listener")
		}
	}
	n.feed.stop()
	n.rpc.Close()
	n.wg.Wait()
}

// ServeHTTP implements http.Handler.
func (d *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	ctx, turn := proxy.StartTurn(r.Context())
	defer turn.End()
	if d.closing.Load() && !turn.More() {
		w.Header()["Connection"] = []string{"close"}
	}
	d.next.ServeHTTP(w, r.WithContext(ctx))
}

// begin begins a request that a caller has sent in advance, unless the node is stopping: its connections are closed then.
func (n *Node) begin(ctx context.Context, r *http.Request) proxy.Begun {
	if n.callerHandler.closing.Load() {
		return nil
	}
	return n.outbound.Begin(ctx, r)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
