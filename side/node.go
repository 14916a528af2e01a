package side

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
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/sched"
)

const (
	// callerIdle is the idle time after which a caller's connection is closed. It exceeds what configurations
	// allow callers, so that a connection is not closed while they may use it.
	callerIdle = 2 * time.Minute
	// stopNotice is the time for which a stopping node still takes callers' requests. They are told twice, a
	// second apart, that it is not ready.
	stopNotice = 2800 * time.Millisecond
	// stopLead is the time before the end of stopNotice at which other nodes are told, so that the server beside the
	// node serves them as long as possible.
	stopLead = 700 * time.Millisecond
	// stopMargin is kept from the grace time for the process to end.
	stopMargin = time.Second
	// peerDialTimeout bounds a connection to another node. Their ways are a few milliseconds long, and a request that
	// has 300 ms left must still have time for another node.
	peerDialTimeout = 150 * time.Millisecond
	// trialShare is the part of the allowed exposure that a trial uses in ordinary times; the rest is for loading a
	// server and for the time until a fault is seen after the switch.
	trialShare = 1.0 / 3
	// peerBackoffCap bounds the pause before the next attempt to connect to another node's feed.
	peerBackoffCap = 2 * time.Second
	// peerUserTimeout ends a connection to another node on which sent bytes stay unacknowledged.
	peerUserTimeout = 700 * time.Millisecond
	// serverDialTimeout bounds a connection to the server beside the node.
	serverDialTimeout = 400 * time.Millisecond
	// restoreTimeout bounds the question to a server whether it is the one that was here before.
	restoreTimeout = 500 * time.Millisecond
	// syncPoll is how often a starting node looks whether it knows enough to take its server over.
	syncPoll = 20 * time.Millisecond
)

var errNoHealthPath = errors.New("configuration names no path for the server's health")

type (
	// Adapter is what a node needs of the platform.
	Adapter struct {
		Dialect  shunt.Dialect
		Operator shunt.Operator
		Store    shunt.Store
		// Servers and Ready make the handlers of the listeners for the server beside the node and for readiness.
		Servers func(*Node) http.Handler
		Ready   func(*Node) http.Handler
		// Reload is told of changed settings.
		Reload func(params.Side)
	}

	// Node is a running node.
	Node struct {
		adapter  Adapter
		clock    clockwork.Clock
		settings atomic.Pointer[params.Side]
		load     func() (params.Side, error)

		world    *World
		queue    *sched.Queue
		server   *Server
		inbound  *Inbound
		outbound *Outbound
		sync     *Sync
		lost     *lostNodes
		mover    *Mover
		feed     *Feed
		rpc      *peer.Server
		meter    *Meter
		calls    *gate

		ctx      context.Context
		cancel   context.CancelFunc
		wg       sync.WaitGroup
		servers  []*http.Server
		callers  *http.Server
		stopping atomic.Bool
	}

	// gate counts callers' requests that have no answer yet.
	gate struct {
		next    http.Handler
		running atomic.Int64
		closing atomic.Bool
	}
)

// New wires a node. Load reads the settings again.
func New(a Adapter, s params.Side, load func() (params.Side, error), c clockwork.Clock) *Node {
	n := &Node{adapter: a, clock: c, load: load, meter: NewMeter()}
	n.settings.Store(&s)
	n.world = NewWorld(c)
	n.queue = &sched.Queue{Clock: c}
	n.server = NewServer(c, n.queue, func() shunt.ServiceSpec {
		return n.world.spec(n.settings.Load().Service)
	}, s.Service, s.Server)
	n.server.Configure(s.Service, s.Server, coldBounds(s.Bounds))
	counters := &peer.Counters{}
	peers := peer.NewPool(peer.Options{
		Clock: c, Counters: counters, DialTimeout: peerDialTimeout, BackoffCap: peerBackoffCap,
		Seed: uint64(c.Now().UnixNano()),
	})
	n.rpc = peer.NewServer(peer.ServerOptions{Counters: counters})
	n.feed = newFeed(c, n.world)
	n.sync = &Sync{
		Peers:    peers,
		Control:  s.Listeners.ControlAddress(),
		Link:     int(s.Link),
		feed:     n.feed,
		Clock:    c,
		Store:    a.Store,
		Operator: a.Operator,
		World:    n.world,
		Server:   n.server,
		Self:     s.Listeners.CallsAddress(),
		Domain:   s.Domain,
		Started:  c.Now().UnixNano(),
		First:    s.FirstStart,
	}
	n.mover = &Mover{
		Clock:    c,
		Store:    a.Store,
		Operator: a.Operator,
		World:    n.world,
		Server:   n.server,
		Self:     s.Listeners.CallsAddress(),
		Peers:    peers,
		Ready:    n.sync.Ready,
	}
	n.inbound = &Inbound{
		Clock: c, Dialect: a.Dialect, World: n.world, Server: n.server, Queue: n.queue, Meter: n.meter,
		Domain: s.Domain, Answers: n.mover.Answered,
		Pool: conns.New(conns.Options{
			DialTimeout: serverDialTimeout, Opened: func() { n.meter.count("side_server_connections_total") },
		}),
	}
	nodes := conns.New(conns.Options{DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout})
	n.lost = newLostNodes(c, nodes.Reach)
	n.sync.Reach = nodes.Reach
	n.outbound = &Outbound{
		Clock:   c,
		Dialect: a.Dialect,
		World:   n.world,
		Inbound: n.inbound,
		Self:    s.Listeners.CallsAddress(),
		Domain:  s.Domain,
		Service: func() string { return n.settings.Load().Service },
		Bounds:  n.bounds,
		Meter:   n.meter,
		Pool:    nodes,
		Lost:    n.lost,
		Started: c.Now(),
	}
	n.server.notify, n.server.ask = n.sync.Publish, n.confirm
	n.calls = &gate{next: n.outbound}
	return n
}

func coldBounds(b params.Bounds) ColdBounds {
	return ColdBounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

// Register starts and stops the node with an fx application.
func Register(lc fx.Lifecycle, n *Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

func (n *Node) bounds() Bounds {
	b := n.settings.Load().Bounds
	return Bounds{
		RetryWindow: seconds(b.RetryWindow), RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		ShiftShare: trialShare * b.MoveShare,
	}
}

// Start opens the listeners and begins to follow the store.
func (n *Node) Start(context.Context) error {
	n.ctx, n.cancel = context.WithCancel(context.Background())
	s := n.settings.Load()
	n.callers = proxy.NewServer(n.calls, proxy.Limits{Idle: callerIdle})
	for _, l := range []struct {
		name, addr string
		server     *http.Server
	}{
		{"ready", s.Listeners.Ready, proxy.NewServer(n.adapter.Ready(n), proxy.Limits{})},
		{"servers", s.Listeners.Servers, proxy.NewServer(n.adapter.Servers(n), proxy.Limits{})},
		{"calls", s.Listeners.Calls, proxy.NewServer(n.inbound, proxy.Limits{Idle: callerIdle})},
		{"operators", s.Listeners.Operators, proxy.NewServer(n.operators(), proxy.Limits{})},
		{"callers", s.Listeners.Callers, n.callers},
	} {
		if err := n.listen(l.name, l.addr, l.server); err != nil {
			return err
		}
	}
	if err := n.serveFeed(s.Listeners.Control); err != nil {
		return err
	}
	for _, run := range []func(context.Context){n.sync.Run, n.lost.Run, n.mover.Run, n.restore} {
		n.wg.Go(func() { run(n.ctx) })
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
	n.servers = append(n.servers, srv)
	n.wg.Go(func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("listener", name).Error("listener failed")
		}
	})
	return nil
}

// restore takes over the server that this node's last incarnation knew, without waiting for its next report, if
// the server says that it is the same and well.
func (n *Node) restore(ctx context.Context) {
	for !n.sync.Ready() {
		select {
		case <-n.clock.After(syncPoll):
		case <-ctx.Done():
			return
		}
	}
	s := n.settings.Load()
	r, ok := n.sync.Restore()
	if !ok || r.Leaving || r.Service != s.Service {
		return
	}
	answer, err := n.whois(ctx)
	if err != nil || answer.Server != r.ID {
		log.WithFields(log.Fields{"server": r.ID, "found": answer.Server, "error": err}).
			Info("server was not taken over")
		return
	}
	r.Address, r.Cold = s.Server, answer.Cold
	n.server.Restore(r)
}

// confirm asks the server who it is, after it broke a connection.
func (n *Node) confirm() {
	answer, err := n.whois(n.ctx)
	if err != nil {
		log.WithError(err).Info("server did not say who it is")
		return
	}
	n.server.Confirmed(answer.Server, answer.Cold)
}

// whois asks the server beside the node who it is, and fails unless it is well.
func (n *Node) whois(ctx context.Context) (shunt.ServerAnswer, error) {
	s := n.settings.Load()
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	path := n.world.spec(s.Service).HealthPath
	if path == "" {
		return shunt.ServerAnswer{}, errNoHealthPath
	}
	resp, err := n.inbound.Pool.Do(ctx, s.Server, &conns.Request{
		Method: http.MethodGet, URI: path, Host: s.Server, Header: http.Header{}, Limit: answerBytes,
	})
	if err != nil {
		return shunt.ServerAnswer{}, err
	}
	answer := n.adapter.Dialect.FromServer(resp.Status, resp.Header)
	if resp.Status != http.StatusOK {
		return answer, fmt.Errorf("server is not well: status %d", resp.Status)
	}
	return answer, nil
}

// Heard takes a report of the server beside the node.
func (n *Node) Heard(r shunt.ServerReport) error { return n.server.Heard(r) }

// Left takes the word that the server beside the node ends.
func (n *Node) Left(id string, born int64) { n.server.Left(id, born) }

// Serving reports whether callers may be sent to this node.
func (n *Node) Serving() bool { return !n.stopping.Load() && n.sync.Ready() }

// Reload reads the settings again and applies what may change while the node runs.
func (n *Node) Reload() {
	s, err := n.load()
	if err != nil {
		log.WithError(err).Error("settings were not reloaded")
		return
	}
	n.settings.Store(&s)
	n.server.Configure(s.Service, s.Server, coldBounds(s.Bounds))
	n.adapter.Reload(s)
	log.WithField("service", s.Service).Info("settings reloaded")
}

// Stop ends the node gracefully: other nodes are told, callers get answers until they have noticed, and what
// runs is finished.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	started := n.clock.Now()
	grace := seconds(n.settings.Load().Bounds.Grace) - stopMargin
	log.WithField("grace", grace).Info("node stops")
	n.calls.closing.Store(true)
	n.pause(ctx, started.Add(stopNotice-stopLead))
	n.sync.Stop()
	n.pause(ctx, started.Add(stopNotice))
	ctx, cancel := context.WithTimeout(ctx, grace-n.clock.Since(started))
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range n.servers {
		wg.Go(func() {
			if err := srv.Shutdown(ctx); err != nil {
				log.WithError(err).Warn("listener had requests left")
				if err := srv.Close(); err != nil {
					log.WithError(err).Warn("listener was not closed")
				}
			}
		})
	}
	wg.Wait()
	n.cancel()
	n.rpc.Close()
	log.WithField("took", n.clock.Since(started)).Info("node stopped")
	return nil
}

// pause waits until a time or until ctx ends.
func (n *Node) pause(ctx context.Context, until time.Time) {
	select {
	case <-n.clock.After(until.Sub(n.clock.Now())):
	case <-ctx.Done():
	}
}

// Kill ends the node at once, as the loss of its process does. It is for tests.
func (n *Node) Kill() {
	n.cancel()
	for _, srv := range n.servers {
		if err := srv.Close(); err != nil {
			log.WithError(err).Warn("listener was not closed")
		}
	}
	n.rpc.Close()
	n.wg.Wait()
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.closing.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	g.next.ServeHTTP(w, r)
}

// operators serves metrics and the state of the node.
func (n *Node) operators() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/metrics", func(c *gin.Context) { n.meter.Set().WritePrometheus(c.Writer) })
	e.GET("/state", func(c *gin.Context) { c.JSON(http.StatusOK, n.state()) })
	return e
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
