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
			func(clock clockwork.Clock) *admit.Limiter { return admit.New(clock, 1, admit.Options{}) },
			func(l *admit.Limiter) shunt.Admitter { return l },
			func(clock clockwork.Clock, settings params.Node, rngSeed seed) *picker.Table {
				return picker.New(clock, settings.Domain, rand.NewPCG(uint64(rngSeed), 1))
			},
			func(t *picker.Table) shunt.Picker { return t },
			func() *retry.Budget { return &retry.Budget{} },
			newClaims,
			newInbound,
			newOutbound,
			// Operator API.
			newOperatorBackend,
			newPublisher,
		),
		fx.Invoke(run),
	)
}

func newMember(settings params.Node, listeners *listeners, clock clockwork.Clock) shunt.Member {
	return shunt.Member{
		Control:     listeners.control.Addr().String(),
		Calls:       listeners.calls.Addr().String(),
		Domain:      settings.Domain,
		Region:      settings.Region,
		Incarnation: uint64(clock.Now().UnixNano()),
	}
}

func listenerAddresses(listeners *listeners) Addresses {
	return Addresses{
		Callers:   listeners.callers.Addr().String(),
		Calls:     listeners.calls.Addr().String(),
		Control:   listeners.control.Addr().String(),
		Operators: listeners.operators.Addr().String(),
		Servers:   listeners.servers.Addr().String(),
	}
}

func newPeers(clock clockwork.Clock, rngSeed seed) (*peer.Pool, *peer.Counters) {
	counters := &peer.Counters{}
	pool := peer.NewPool(peer.Options{
		Clock:     clock,
		Seed:      uint64(rngSeed),
		Counters:  counters,
		NoBackoff: []string{member.PurposeProbe},
	})
	return pool, counters
}

func newDetector(table *member.Table, peers *peer.Pool, clock clockwork.Clock, rngSeed seed) *member.Detector {
	return member.NewDetector(table, member.NewTransport(peers), clock, uint64(rngSeed))
}

func newHub(
	settings params.Node,
	table *member.Table,
	sharedLog shunt.Log,
	peers *peer.Pool,
	clock clockwork.Clock,
	rngSeed seed,
	history *history,
) *relay.Hub {
	return relay.New(relay.Options{
		Table:   table,
		Log:     sharedLog,
		Caller:  peers,
		Clock:   clock,
		Seeds:   settings.Seeds,
		Seed:    uint64(rngSeed),
		Applied: history.add,
	})
}

func newCounterReporter(
	table *member.Table, counters *count.Table, peers *peer.Pool, clock clockwork.Clock, sharedLog shunt.Log,
) *counterReporter {
	return &counterReporter{table: table, counters: counters, peers: peers, clock: clock, log: sharedLog}
}

func newClaims(
	sharedLog shunt.Log, table *member.Table, peers *peer.Pool, clock clockwork.Clock, rngSeed seed,
) (*claim.Holder, *claim.Client, shunt.Claimer) {
	holder := claim.NewHolder(clock, sharedLog, 0)
	client := claim.NewClient(
		clock,
		reachableDirectory{table},
		holder,
		claimTransport{peers},
		rand.NewPCG(uint64(rngSeed), 2),
	)
	return holder, client, client
}

func newServer(clock clockwork.Clock, links *link.Pool) *server.Tracker {
	return server.NewTracker(server.Limits{}, clock, links)
}

func newInbound(
	settings params.Node,
	tracker *server.Tracker,
	admitter shunt.Admitter,
	counter shunt.Counter,
	links *link.Pool,
	clock clockwork.Clock,
) *proxy.Inbound {
	return proxy.NewInbound(proxy.InboundConfig{
		Server:   tracker,
		Admitter: admitter,
		Counter:  counter,
		Pool:     links,
		Clock:    clock,
		Domain:   settings.Domain,
		Notice:   time.Duration(settings.Notice),
	})
}

func newOutbound(
	hub *relay.Hub,
	directory shunt.Directory,
	picker shunt.Picker,
	claimer shunt.Claimer,
	counter shunt.Counter,
	budget *retry.Budget,
	links *link.Pool,
	inbound *proxy.Inbound,
	clock clockwork.Clock,
) *proxy.Outbound {
	return proxy.NewOutbound(proxy.OutboundConfig{
		Source:    source{hub: hub, clock: clock},
		Directory: directory,
		Picker:    picker,
		Claimer:   claimer,
		Counter:   counter,
		Budget:    budget,
		Pool:      links,
		Local:     inbound,
		Clock:     clock,
	})
}

func newOperatorBackend(
	settings params.Node,
	addresses Addresses,
	hub *relay.Hub,
	table *member.Table,
	detector *member.Detector,
	tracker *server.Tracker,
	limiter *admit.Limiter,
	pickerTable *picker.Table,
	traffic *peer.Counters,
	history *history,
	clock clockwork.Clock,
	reporter *counterReporter,
	meter *meter,
) *operatorBackend {
	return &operatorBackend{
		view: view{
			Settings:  settings,
			Addresses: addresses,
			Hub:       hub,
			Table:     table,
			Detector:  detector,
			Server:    tracker,
			Limiter:   limiter,
			Picker:    pickerTable,
			Counters:  traffic,
		},
		reporter: reporter, history: history, meter: meter, clock: clock,
	}
}

func newPublisher(
	backend *operatorBackend,
	sharedLog shunt.Log,
	clock clockwork.Clock,
	self shunt.Member,
) *admin.Publisher {
	return admin.NewPublisher(backend, sharedLog, clock, self.Control)
}

func newGuard(
	self shunt.Member, clock clockwork.Clock, hub *relay.Hub, counters *count.Table, facts moveFacts,
) *move.Guard {
	return move.NewGuard(self, clock, moveConfig{hub}, counters, facts, moveConfig{hub}.routeCount)
}

func newController(
	sharedLog shunt.Log,
	clock clockwork.Clock,
	table *member.Table,
	hub *relay.Hub,
	reporter *counterReporter,
	facts moveFacts,
	detector *member.Detector,
) *move.Controller {
	return move.NewController(move.Options{
		Log:       sharedLog,
		Clock:     clock,
		Directory: reachableDirectory{table},
		States:    moveConfig{hub},
		Counters:  reporter,
		Facts:     facts,
		Skew: func() time.Duration {
			difference, _ := detector.ClockDifference()
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
	Fleet      *operatorBackend
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

func (n *node) serveHTTP(name string, listener net.Listener, handler http.Handler) {
	srv := proxy.NewHTTPServer(handler, proxy.Limits{})
	n.httpServers = append(n.httpServers, srv)
	n.serveAsync(name, func() error { return srv.Serve(listener) })
}

func (n *node) serveAsync(name string, serve func() error) {
	n.wg.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && n.ctx.Err() == nil {
			log.WithError(err).WithField("listener", name).Error("listener failed")
		}
	})
}
