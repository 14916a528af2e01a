package meshd

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// positionInterval is how often a node that reads the store compares its position with that of another failure
	// domain.
	positionInterval = time.Second
	// positionTimeout bounds a comparison.
	positionTimeout = 400 * time.Millisecond
)

type (
	// PositionArgs are the arguments of Feed.Position.
	PositionArgs struct {
		Domain string // failure domain of the node that asks
	}

	// PositionReply is the position of a node, see MeshView.position.
	PositionReply struct {
		ConfigVersion uint64
		MeshOffset    int64
		MeshEra       int64 // of MeshOffset, 0 from nodes of earlier versions
	}
)

// Position returns the position of this node.
func (f *Feed) Position(_ PositionArgs, reply *PositionReply) error {
	version, mesh := f.view.position()
	reply.ConfigVersion, reply.MeshOffset, reply.MeshEra = version, mesh.Offset, mesh.Era
	return nil
}

// positionLoop compares positions with a failure domain that monitors the store, until ctx ends. Otherwise a failure
// domain whose requests stay within it does not learn that its reader's call to the store is never answered.
func (s *StateSync) positionLoop(ctx context.Context) {
	for turn := 0; ; turn++ {
		select {
		case <-s.Clock.After(positionInterval):
		case <-ctx.Done():
			return
		}
		if len(s.relays()) == 0 && !s.watchesStore() {
			s.comparePosition(ctx, turn)
		}
	}
}

// comparePosition records the position of the node that reads the store in one of the failure domains that monitor it,
// in turn.
func (s *StateSync) comparePosition(ctx context.Context, turn int) {
	domains := s.View.domains()
	domains = domains[:min(len(domains), watchingDomains)]
	if len(domains) == 0 {
		return
	}
	nodes := s.View.liveEntries(domains[turn%len(domains)])
	if len(nodes) == 0 || nodes[0].Control == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	var reply PositionReply
	err := s.Peers.Call(ctx, nodes[0].Control, feedService, feedService+".Position", PositionArgs{s.Domain}, &reply)
	if err != nil {
		log.WithError(err).WithField("node", nodes[0].Control).Debug("cannot compare positions")
		return
	}
	s.View.recordPeerPosition(reply.ConfigVersion, shunt.Position{Era: reply.MeshEra, Offset: reply.MeshOffset})
}
