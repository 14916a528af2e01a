package side

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	// firstReach and maxReach bound the pause between two attempts to reach a lost node.
	firstReach = 150 * time.Millisecond
	maxReach   = 2 * time.Second
	// lostAfter is the time of a vain attempt to connect that shows that a node is lost although the request's own
	// time ended it.
	lostAfter = peerDialTimeout * 2 / 3
	// lostBacklog bounds the nodes that wait for their first attempt. Of those beyond it requests find out.
	lostBacklog = 1024
)

// lostNodes connects to nodes that were not reached until they are, so that no request is spent on finding out.
type lostNodes struct {
	clock clockwork.Clock
	reach func(ctx context.Context, addr string) error
	added chan *peerNode
}

func newLostNodes(c clockwork.Clock, reach func(ctx context.Context, addr string) error) *lostNodes {
	return &lostNodes{clock: c, reach: reach, added: make(chan *peerNode, lostBacklog)}
}

// add takes a node that was not reached.
func (l *lostNodes) add(p *peerNode, reason string) {
	e := p.get()
	log.WithFields(log.Fields{"node": e.Calls, "server": e.Server, "reason": reason}).Info("node lost")
	select {
	case l.added <- p:
	default:
		p.found()
	}
}

// Run reaches for lost nodes until ctx ends.
func (l *lostNodes) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case p := <-l.added:
			wg.Go(func() { l.follow(ctx, p) })
		case <-ctx.Done():
			return
		}
	}
}

// follow reaches for a node until it is found, whether by this or because it has told of itself.
func (l *lostNodes) follow(ctx context.Context, p *peerNode) {
	since := l.clock.Now()
	for pause := firstReach; ; pause = min(2*pause, maxReach) {
		select {
		case <-l.clock.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
		case <-ctx.Done():
			return
		}
		e := p.get()
		if !p.isLost() || e.Stopping {
			return
		}
		if err := l.reach(ctx, e.Calls); err == nil {
			p.found()
			log.WithFields(log.Fields{"node": e.Calls, "after": l.clock.Since(since)}).Info("node found")
			return
		}
	}
}
