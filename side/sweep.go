package side

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// sweepEvery is how often the node that reads for its failure domain looks for entries of instances that are gone.
	sweepEvery = time.Minute
	// goneAfter is the time without news from which an instance that is not reached counts as gone. Outages of links
	// and of the store end sooner, and a node that was taken for gone tells of itself again.
	goneAfter = 10 * time.Minute
)

// sweeps removes the entries of instances that are gone, which the store would keep for ever.
func (s *Sync) sweeps(ctx context.Context) {
	ticker := s.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			if s.Ready() && len(s.relays()) == 0 {
				s.sweep(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sync) sweep(ctx context.Context) {
	for _, calls := range s.World.silent(s.Domain, s.Clock.Now().Add(-goneAfter)) {
		if calls == s.Self || s.Reach(ctx, calls) == nil {
			continue
		}
		if _, err := s.Store.Append(ctx, topicMesh, -1, shunt.Keyed{Key: keyMember + calls}); err != nil {
			log.WithError(err).WithField("node", calls).Warn("entry of a node that is gone was not removed")
			return
		}
		log.WithField("node", calls).Info("entry of a node that is gone removed")
	}
}

// silent returns the addresses of a failure domain's nodes that have told nothing since a time, and that are lost, stop
// or have a server that leaves.
func (w *World) silent(domain string, since time.Time) []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []string
	for calls, p := range w.peers {
		e, at := p.told()
		if e.Domain == domain && at.Before(since) && (p.isLost() || e.Stopping || e.Leaving) {
			list = append(list, calls)
		}
	}
	return list
}

// forget removes a node's entry.
func (w *World) forget(calls string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.peers[calls]; p != nil {
		p.found() // nobody needs to reach for it any longer
		delete(w.peers, calls)
	}
}
