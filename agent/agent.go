// Package agent assembles a node from its components, starts it and stops it gracefully.
package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admin"
	"tanagershunt.example/shunt/admit"
	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/move"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/picker"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/retry"
	"tanagershunt.example/shunt/rlog"
	"tanagershunt.example/shunt/server"
)

// errNotCollector is also returned when a failure domain has no collector.
var errNotCollector = errors.New("this node is not the collector of the failure domain")

type (
	// Addresses are the addresses of a node's open listeners, each ip:port.
	Addresses struct {
		Callers, Calls, Control, Operators, Servers string
	}

	// seed initializes the random number generators of a node. It differs between nodes and incarnations.
	seed uint64
)

// Module returns the fx options of a node. The caller supplies params.Node and may replace components with
// fx.Decorate, for example shunt.Log or shunt.Picker.
func Module() fx.Option {
	return fx.Options(
		fx.Provide(
			clockwork.NewRealClock,
			func(s params.Node) shunt.Log { return rlog.New(s.Log) },
			newListeners,
			newMember,
			func(m shunt.Member) seed { return seed(m.Incarnation) },
			listenerAddresses,
			// Control plane.
			member.New,
			func(t *member.Table) shunt.Directory { return t },
			newPeers,
			newDetector,
			newHub,
			newMoveFacts,
			func() *history { return &history{} },
			count.NewTable,
			newCounterReporter,
			newController,
			newGuard,
			newMeter,
			// Data plane.
			func() *link.Pool { return link.New(link.Limits{}) },
			newServer,
			func(c clockwork.Clock) *admit.Limiter { return admit.New(c, 1, admit.Options{}) },
			func(l *admit.Limiter) shunt.Admitter { return l },
			func(c clockwork.Clock, s params.Node, x seed) *picker.Table {
				return picker.New(c, s.Domain, rand.NewPCG(uint64(x), 1))
			},
			func(t *picker.Table) shunt.Picker { return t },
			func() *retry.Budget { return &retry.Budget{} },
			newClaims,
			newInbound,
			newOutbound,
			// Operator API.
			newFleet,
			newPublisher,
		),
		fx.Invoke(run),
	)
}

func newMember(s params.Node, l *listeners, c clockwork.Clock) shunt.Member {
	return shunt.Member{
		Control:     l.control.Addr().String(),
		Calls:       l.calls.Addr().String(),
		Domain:      s.Domain,
		Region:      s.Region,
		Incarnation: uint64(c.Now().UnixNano()),
	}
}

func listenerAddresses(l *listeners) Addresses {
	return Addresses{
		Callers:   l.callers.Addr().String(),
		Calls:     l.calls.Addr().String(),
		Control:   l.control.Addr().String(),
		Operators: l.operators.Addr().String(),
		Servers:   l.servers.Addr().String(),
	}
}

func newPeers(c clockwork.Clock, x seed) (*peer.Pool, *peer.Counters) {
	counters := &peer.Counters{}
	pool := peer.NewPool(peer.Options{
		Clock:     c,
		Seed:      uint64(x),
		Counters:  counters,
		NoBackoff: []string{member.PurposeProbe},
	})
	return pool, counters
}

func newDetector(t *member.Table, p *peer.Pool, c clockwork.Clock, x seed) *member.Detector {
	return member.NewDetector(t, member.NewTransport(p), c, uint64(x))
}

func newHub(
	s params.Node, t *member.Table, l shunt.Log, p *peer.Pool, c clockwork.Clock, x seed, h *history,
) *relay.Hub {
	return relay.New(relay.Options{
		Table:   t,
		Log:     l,
		Caller:  p,
		Clock:   c,
		Seeds:   s.Seeds,
		Seed:    uint64(x),
		Applied: h.add,
	})
}

func newCounterReporter(
	t *member.Table, n *count.Table, p *peer.Pool, c clockwork.Clock, l shunt.Log,
) *counterReporter {
	return &counterReporter{table: t, counters: n, peers: p, clock: c, log: l}
}

func newClaims(
	l shunt.Log, t *member.Table, p *peer.Pool, c clockwork.Clock, x seed,
) (*claim.Holder, *claim.Client, shunt.Claimer) {
	holder := claim.NewHolder(c, l, 0)
	client := claim.NewClient(c, reachableDirectory{t}, holder, claimTransport{p}, rand.NewPCG(uint64(x), 2))
	return holder, client, client
}

func newServer(c clockwork.Clock, p *link.Pool) *server.Tracker {
	return server.NewTracker(server.Limits{}, c, p)
}

func newInbound(
	s params.Node, srv *server.Tracker, a shunt.Admitter, n shunt.Counter, p *link.Pool, c clockwork.Clock,
) *proxy.Inbound {
	return proxy.NewInbound(proxy.InboundConfig{
		Server:   srv,
		Admitter: a,
		Counter:  n,
		Pool:     p,
		Clock:    c,
		Domain:   s.Domain,
		Notice:   time.Duration(s.Notice),
	})
}

func newOutbound(
	hub *relay.Hub, d shunt.Directory, p shunt.Picker, cl shunt.Claimer, n shunt.Counter, b *retry.Budget,
	pool *link.Pool, in *proxy.Inbound, c clockwork.Clock,
) *proxy.Outbound {
	return proxy.NewOutbound(proxy.OutboundConfig{
		Source:    source{hub: hub, clock: c},
		Directory: d,
		Picker:    p,
		Claimer:   cl,
		Counter:   n,
		Budget:    b,
		Pool:      pool,
		Local:     in,
		Clock:     c,
	})
}

func newFleet(
	s params.Node, a Addresses, hub *relay.Hub, t *member.Table, d *member.Detector, srv *server.Tracker,
	l *admit.Limiter, p *picker.Table, n *peer.Counters, h *history, c clockwork.Clock, rep *counterReporter, m *meter,
) *fleet {
	return &fleet{
		view: view{
			Settings: s, Addresses: a, Hub: hub, Table: t, Detector: d, Server: srv, Limiter: l, Picker: p, Counters: n,
		},
		reporter: rep, history: h, meter: m, clock: c,
	}
}

func newPublisher(f *fleet, l shunt.Log, c clockwork.Clock, m shunt.Member) *admin.Publisher {
	return admin.NewPublisher(f, l, c, m.Control)
}

func newGuard(
	m shunt.Member, c clockwork.Clock, hub *relay.Hub, n *count.Table, f moveFacts,
) *move.Guard {
	return move.NewGuard(m, c, moveConfig{hub}, n, f, moveConfig{hub}.routeCount)
}

func newController(
	l shunt.Log, c clockwork.Clock, t *member.Table, hub *relay.Hub, a *counterReporter, f moveFacts,
	d *member.Detector,
) *move.Controller {
	return move.NewController(move.Options{
		Log:       l,
		Clock:     c,
		Directory: reachableDirectory{t},
		States:    moveConfig{hub},
		Counters:  a,
		Facts:     f,
		Skew: func() time.Duration {
			difference, _ := d.ClockDifference()
			return difference
		},
		Routes:      moveConfig{hub}.routeCount,
		Unconfirmed: moveConfig{hub}.unconfirmed,
	})
}

// parts holds the components that a node starts and stops.
type parts struct {
	fx.In

	Settings   params.Node
	Clock      clockwork.Clock
	Listeners  *listeners
	Addresses  Addresses
	Table      *member.Table
	Pool       *peer.Pool
	Detector   *member.Detector
	Hub        *relay.Hub
	Accounts   *counterReporter
	Controller *move.Controller
	Guard      *move.Guard
	Links      *link.Pool
	Server     *server.Tracker
	Limiter    *admit.Limiter
	Picker     *picker.Table
	Holder     *claim.Holder
	Claims     *claim.Client
	Inbound    *proxy.Inbound
	Outbound   *proxy.Outbound
	Fleet      *fleet
	Publisher  *admin.Publisher
	Meter      *meter
	Counters   *peer.Counters
}

func run(lc fx.Lifecycle, p parts) error {
	n := &node{parts: p}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return nil
}

// node runs the components of a node.
type node struct {
	parts
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	rpc         *peer.Server
	httpServers []*http.Server
	lastStarts  uint64 // Record.Starts of the backend server at the last change
}

func (n *node) start(context.Context) error {
	n.rpc = peer.NewServer(peer.ServerOptions{Counters: n.Counters})
	for name, service := range map[string]any{
		relay.ServiceName:   n.Hub.Service(),
		member.ProbeService: member.NewProbe(n.Table, member.NewTransport(n.Pool), n.Clock),
		claimService:        claim.NewService(n.Holder),
		countsService:       &countsRPC{n.Accounts},
	} {
		if err := n.rpc.Register(name, service); err != nil {
			return err
		}
	}
	n.Server.OnChange(n.onServerChange)
	n.serveAsync("control", func() error { return n.rpc.Serve(n.Listeners.control) })
	n.serveHTTP("callers", n.Listeners.callers, n.Outbound)
	n.serveHTTP("calls", n.Listeners.calls, n.rejectOutOfService(n.Inbound))
	n.serveHTTP("servers", n.Listeners.servers, n.Server.Handler())
	n.serveHTTP("operators", n.Listeners.operators, admin.Handler(n.Fleet, n.Publisher))
	for _, f := range []func(context.Context){
		n.Detector.Run, n.Hub.Run, n.Accounts.run, n.Controller.Run, n.Guard.Run, n.Server.Run, n.watchConfig,
	} {
		n.wg.Go(func() { f(n.ctx) })
	}
	log.WithFields(log.Fields{
		"callers": n.Addresses.Callers, "calls": n.Addresses.Calls, "control": n.Addresses.Control,
		"operators": n.Addresses.Operators, "servers": n.Addresses.Servers,
		"failure_domain": n.Settings.Domain, "region": n.Settings.Region,
	}).Info("node started")
	return nil
}

func (n *node) serveHTTP(name string, l net.Listener, h http.Handler) {
	srv := proxy.NewHTTPServer(h, proxy.Limits{})
	n.httpServers = append(n.httpServers, srv)
	n.serveAsync(name, func() error { return srv.Serve(l) })
}

func (n *node) serveAsync(name string, serve func() error) {
	n.wg.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && n.ctx.Err() == nil {
			log.WithError(err).WithField("listener", name).Error("listener failed")
		}
	})
}
