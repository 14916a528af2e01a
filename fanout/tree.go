package fanout

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/relay"
)

type (
	// relayTree is a fleet that distributes records through the tree of package relay.
	relayTree struct {
		nodes   []*relayNode
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	relayNode struct {
		hub      *relay.Hub
		server   *peer.Server
		pool     *peer.Pool
		counters peer.Counters
	}
)

func startRelayTree(ctx context.Context, opts Options, log shunt.Log) (*relayTree, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &relayTree{cancel: cancel}
	listeners, seeds, err := listen(ctx, opts)
	if err != nil {
		cancel()
		return nil, err
	}
	for i, ln := range listeners {
		if err := t.start(ctx, opts, i, ln, seeds, log); err != nil {
			t.stop()
			return nil, err
		}
	}
	ctx, cancelJoin := context.WithTimeout(ctx, joinTimeout)
	defer cancelJoin()
	if err := t.waitJoined(ctx); err != nil {
		t.stop()
		return nil, fmt.Errorf("nodes have not joined: %w", err)
	}
	return t, nil
}

// listen opens the control listeners. The seeds are the first node of each failure domain.
func listen(ctx context.Context, opts Options) (listeners []net.Listener, seeds []string, err error) {
	var lc net.ListenConfig
	for i := range opts.Nodes {
		ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, nil, err
		}
		listeners = append(listeners, ln)
		if i < opts.Domains {
			seeds = append(seeds, ln.Addr().String())
		}
	}
	return listeners, seeds, nil
}

func (t *relayTree) start(
	ctx context.Context, opts Options, i int, ln net.Listener, seeds []string, log shunt.Log,
) error {
	clock := clockwork.NewRealClock()
	n := &relayNode{}
	n.pool = peer.NewPool(peer.Options{
		Seed: opts.Seed + uint64(i), Counters: &n.counters, NoBackoff: []string{member.PurposeProbe},
	})
	n.server = peer.NewServer(peer.ServerOptions{Counters: &n.counters})
	control := ln.Addr().String()
	domain := fmt.Sprint("domain-", i%opts.Domains)
	table := member.New(shunt.Member{Control: control, Calls: control, Domain: domain, Region: "region"}, clock)
	transport := member.NewTransport(n.pool)
	n.hub = relay.New(relay.Options{
		Table: table, Log: log, Caller: n.pool, Clock: clock, Seeds: seeds, Seed: opts.Seed + uint64(i),
	})
	t.nodes = append(t.nodes, n)
	if err := n.server.Register(relay.ServiceName, n.hub.Service()); err != nil {
		return err
	}
	if err := n.server.Register(member.ProbeService, member.NewProbe(table, transport, clock)); err != nil {
		return err
	}
	detector := member.NewDetector(table, transport, clock, opts.Seed+uint64(i))
	t.running.Go(func() { _ = n.server.Serve(ln) }) // ends with the server's close
	t.running.Go(func() { n.hub.Run(ctx) })
	t.running.Go(func() { detector.Run(ctx) })
	return nil
}

// waitJoined waits until every node lists all others and serves, and the roles are stable.
func (t *relayTree) waitJoined(ctx context.Context) error {
	for {
		complete := true
		for _, n := range t.nodes {
			st := n.hub.Status()
			complete = complete && st.Members == len(t.nodes) && st.Waiting == "" && st.Role != ""
		}
		if complete {
			return sleep(ctx, relay.FetchMaxWait)
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

func (t *relayTree) wait(ctx context.Context, offset shunt.Offset) error {
	return forEachConcurrently(len(t.nodes), func(i int) error { return t.nodes[i].hub.WaitForOffset(ctx, offset) })
}

func (t *relayTree) bytes() uint64 {
	var sum uint64
	for _, n := range t.nodes {
		total := n.counters.Total()
		sum += total.BytesIn + total.BytesOut
	}
	return sum
}

func (t *relayTree) stop() {
	t.cancel()
	for _, n := range t.nodes {
		n.pool.Close()
	}
	for _, n := range t.nodes {
		n.server.Close()
	}
	t.running.Wait()
}
