package meshd

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// staleEntryInterval is how often the node that reads the store for its failure domain looks for entries of removed
	// instances.
	staleEntryInterval = time.Minute
	// staleAfter is the time without an update from which an unreachable instance counts as removed. Outages of links
	// and of the store are shorter, and a node whose entry was removed by mistake publishes it again.
	staleAfter = 10 * time.Minute
)

// staleEntryLoop regularly removes the entries of removed instances, which the store would keep forever.
func (s *StateSync) staleEntryLoop(ctx context.Context) {
	ticker := s.Clock.NewTicker(staleEntryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			if s.Ready() && len(s.relays()) == 0 {
				s.removeStaleEntries(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// removeStaleEntries removes the entries of removed instances. Each removal depends on the topic not having grown since the
// decision: one that the store does late must not remove the entry of a node that is back.
func (s *StateSync) removeStaleEntries(ctx context.Context) {
	end, ok := s.feed.end(topicMesh)
	if !ok {
		return
	}
	for _, nodeAddr := range s.View.staleNodes(s.Domain, s.Clock.Now().Add(-staleAfter)) {
		if nodeAddr == s.Self || s.Preconnect(ctx, nodeAddr) == nil {
			continue
		}
		var err error
		if end, err = s.Store.Append(
			ctx,
			topicMesh,
			end,
			shunt.KeyedRecord{Key: nodeKeyPrefix + nodeAddr},
		); err != nil {
			log.WithError(err).WithField("node", nodeAddr).Warn("cannot remove stale node entry")
			return
		}
		log.WithField("node", nodeAddr).Info("removed stale node entry")
	}
}

// staleNodes returns the addresses of a failure domain's nodes that have not published their entry since the given
// time, and that are unreachable, are stopping or have a server that is leaving.
func (v *MeshView) staleNodes(domain string, since time.Time) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []string
	for nodeAddr, p := range v.peers {
		e, at := p.entryAndTime()
		if e.Domain == domain && at.Before(since) && (p.isUnreachable() || e.Stopping || e.Leaving) {
			list = append(list, nodeAddr)
		}
	}
	return list
}

// removeEntry removes a node's entry.
func (v *MeshView) removeEntry(nodeAddr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[nodeAddr]; p != nil {
		p.markReachable() // ends the attempts to reconnect
		delete(v.peers, nodeAddr)
		v.generation.Add(1)
	}
}
