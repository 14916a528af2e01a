package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

const (
	// floorQuorum is the minimum number of nodes that must report a known floor before the highest reported offset is
	// accepted. A failure domain with fewer peers needs as many as it has peers, and at least one.
	floorQuorum = 3
	// maxFloorCalls limits the nodes queried at the same time.
	maxFloorCalls = 16
)

type (
	// floor is the lowest offset that this process may serve from.
	floor struct {
		known  bool
		offset shunt.Offset
		source string // origin of the floor, or why it is not known yet
	}

	// NotReadyError reports why a node must not serve yet.
	NotReadyError struct{ Reason string }

	floorResult struct {
		control string
		reply   FloorReply
		err     error
	}
)

func (e *NotReadyError) Error() string { return "node must not serve yet: " + e.Reason }

// notReadyReason returns why the node must not serve from a configuration, or "" if it may.
func (h *Hub) notReadyReason(s *state.State) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.joined:
		return "other nodes have not been asked for facts yet"
	case !h.floor.known:
		return "lowest offset allowed is not known: " + h.floor.source
	case s.Offset() < h.floor.offset && h.blocked != nil:
		return fmt.Sprintf("offset is %d, must be at least %d: %v", s.Offset(), h.floor.offset, h.blocked)
	case s.Offset() < h.floor.offset:
		return fmt.Sprintf("offset is %d, must be at least %d", s.Offset(), h.floor.offset)
	default:
		return ""
	}
}

// resolveFloor queries the log, then other nodes, until the floor is known.
func (h *Hub) resolveFloor(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		head, err := h.logHead(ctx, shunt.StreamConfig)
		if err == nil {
			h.setFloor(floor{known: true, offset: head, source: "log"})
			return
		}
		f := h.peerFloor(ctx)
		if f.known {
			h.setFloor(f)
			return
		}
		f.source = fmt.Sprintf("log: %v; peers: %s", err, f.source)
		h.setFloor(f)
		h.backoff(ctx, failures)
	}
}

func (h *Hub) setFloor(f floor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = f
	log.WithFields(log.Fields{"known": f.known, "offset": f.offset, "source": f.source}).Info("floor")
	h.notifyChanged()
}

// logHead returns the newest offset of a stream.
func (h *Hub) logHead(ctx context.Context, stream string) (shunt.Offset, error) {
	b, err := h.readLog(ctx, stream, 1, 1, 0)
	var truncated *shunt.TruncatedError
	for errors.As(err, &truncated) {
		truncated = nil
		b, err = h.readLog(ctx, stream, firstRetained(err), 1, 0)
	}
	return b.Head, err
}

// peerFloor queries the live members of the failure domain, because any of them may have delivered the newest record
// to this address, and the readers of the other failure domains, which deliver to readers. Without peers it also
// queries the configured seeds. A node that has not reached its own floor does not count towards the quorum. Dead
// members are not queried but raise the quorum while they are in the table, because a partitioned node declares live
// peers dead.
func (h *Hub) peerFloor(ctx context.Context) floor {
	h.mu.Lock()
	joined := h.joined
	h.mu.Unlock()
	if !joined {
		return floor{source: "no other node has answered yet"}
	}
	peers := slices.DeleteFunc(slices.Clone(h.table.Live(h.self.Domain)), h.isSelf)
	peerCount := h.countPeers(h.self.Control, h.self.Domain)
	others := h.remoteReaders()
	if peerCount == 0 {
		others = append(others, slices.DeleteFunc(slices.Clone(h.opts.Seeds), h.isSelf)...)
	}
	f := floor{}
	known, notReady := 0, 0
	for _, result := range h.queryFloors(ctx, peers) {
		f.offset = max(f.offset, result.reply.Offset)
		peerCount = max(peerCount, result.reply.Peers)
		switch {
		case result.err != nil:
		case result.reply.Known:
			known++
		default:
			notReady++
		}
	}
	for _, result := range h.queryFloors(ctx, others) {
		f.offset = max(f.offset, result.reply.Offset)
		// Other failure domains count only if this one may have lost its newest offset: this node has no live
		// peers, or some of its peers have not reached their own floor or are dead.
		if result.err == nil && result.reply.Known && (len(peers) == 0 || notReady > 0 || peerCount > len(peers)) {
			known++
		}
	}
	required := max(min(floorQuorum, peerCount), 1)
	f.known = known >= required
	f.source = fmt.Sprintf("%d of %d peers needed, %d restarted too", known, required, notReady)
	return f
}

// countPeers returns the number of members of a failure domain other than the given one, dead ones included.
func (h *Hub) countPeers(control, domain string) int {
	n := 0
	for _, m := range h.table.ChangesSince(member.Query{Domain: domain}).Members {
		if m.Control != control {
			n++
		}
	}
	return n
}

func (h *Hub) isSelf(control string) bool { return control == h.self.Control }

func (h *Hub) remoteReaders() []string {
	var readers []string
	for _, d := range h.table.Domains() {
		if d != h.self.Domain {
			readers = append(
				readers,
				controlAddresses(h.table.RoleHolders(member.RoleReader, d, maxReaderCandidates))...)
		}
	}
	return readers
}

func (h *Hub) queryFloors(ctx context.Context, controls []string) []floorResult {
	results := make([]floorResult, len(controls))
	slots := make(chan struct{}, maxFloorCalls)
	var wg sync.WaitGroup
	for i, control := range controls {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			result := floorResult{control: control}
			result.err = h.call(
				ctx,
				control,
				purposeReport,
				"Floor",
				0,
				FloorArgs{Control: h.self.Control, Domain: h.self.Domain},
				&result.reply,
			)
			results[i] = result
		})
	}
	wg.Wait()
	return results
}
