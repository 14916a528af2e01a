package meshd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	// minReconnectPause and maxReconnectPause bound the mean pause between attempts to connect to an unreachable node.
	minReconnectPause = 150 * time.Millisecond
	maxReconnectPause = 2 * time.Second
	// unreachableAfter is the duration of an attempt to connect from which the node counts as unreachable even if the
	// request's deadline ended the attempt.
	unreachableAfter = peerDialTimeout * 2 / 3
	// reconnectBacklog bounds the nodes that wait for their first attempt. Nodes beyond it are marked reachable again
	// and are tried by requests.
	reconnectBacklog = 1024
)

// reconnector connects to unreachable nodes in the background, so that no request is spent on checking them.
type reconnector struct {
	clock   clockwork.Clock
	connect func(ctx context.Context, addr string) error
	queue   chan *peerNode
}

func newReconnector(c clockwork.Clock, connect func(ctx context.Context, addr string) error) *reconnector {
	return &reconnector{clock: c, connect: connect, queue: make(chan *peerNode, reconnectBacklog)}
}

// enqueue adds a node that has become unreachable.
func (r *reconnector) enqueue(p *peerNode, reason string) {
	e := p.currentEntry()
	log.WithFields(log.Fields{"node": e.Calls, "server": e.Server, "reason": reason}).Info("node unreachable")
	select {
	case r.queue <- p:
	default:
		p.markReachable()
	}
}

// Run reconnects to unreachable nodes until ctx ends.
func (r *reconnector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case p := <-r.queue:
			wg.Go(func() { r.reconnect(ctx, p) })
		case <-ctx.Done():
			return
		}
	}
}

// reconnect retries a node until a connection succeeds, or the node no longer counts as unreachable: another request
// reached it, its entry was removed, or its entry shows a restart of the node or its server. It also ends when the node
// is stopping.
func (r *reconnector) reconnect(ctx context.Context, p *peerNode) {
	since := r.clock.Now()
	for pause := minReconnectPause; ; pause = min(2*pause, maxReconnectPause) {
		select {
		case <-r.clock.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
		case <-ctx.Done():
			return
		}
		e := p.currentEntry()
		if !p.isUnreachable() || e.Stopping {
			return
		}
		if err := r.connect(ctx, e.Calls); err == nil {
			p.markReachable()
			log.WithFields(log.Fields{"node": e.Calls, "after": r.clock.Since(since)}).Info("node reachable again")
			return
		}
	}
}
