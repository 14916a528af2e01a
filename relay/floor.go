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
	// floorPeers is the number of peers whose answers make a floor in a large failure domain.
	floorPeers = 3
	// floorCalls bounds the peers asked at the same time.
	floorCalls = 16
)

type (
	// floor is the lowest offset from which this process may serve.
	floor struct {
		known  bool
		offset shunt.Offset
		source string // where the floor came from, or why there is none yet
	}

	// NotReadyError means that a node must not serve yet.
	NotReadyError struct{ Reason string }

	floorAnswer struct {
		control string
		reply   FloorReply
		err     error
	}
)

func (e *NotReadyError) Error() string { return "node must not serve yet: " + e.Reason }

// unready returns why the node must not serve from a configuration, or "".
func (h *Hub) unready(s *state.State) string {
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

// learnFloor asks the log, then other nodes, until the floor is known.
func (h *Hub) learnFloor(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		head, err := h.logHead(ctx, shunt.StreamConfig)
		if err == nil {
			h.setFloor(floor{known: true, offset: head, source: "log"})
			return
		}
		f := h.floorFromPeers(ctx)
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
	h.wake()
}

// logHead returns the newest offset of a stream.
func (h *Hub) logHead(ctx context.Context, stream string) (shunt.Offset, error) {
	b, err := h.readLog(ctx, stream, 1, 1, 0)
	var truncated *shunt.TruncatedError
	for errors.As(err, &truncated) {
		truncated = nil
		b, err = h.readLog(ctx, stream, firstOf(err), 1, 0)
	}
	return b.Head, err
}

// floorFromPeers asks every member of the failure domain, because any of them may be the one that delivered
// the newest record to this address, and the readers of the others, which deliver to readers. A peer that
// has not reached its own floor does not count towards the number required. Members declared dead count as
// part of the failure domain while they are remembered: for a node that is cut off they are merely unreachable.
func (h *Hub) floorFromPeers(ctx context.Context) floor {
	h.mu.Lock()
	joined := h.joined
	h.mu.Unlock()
	if !joined {
		return floor{source: "no other node has answered yet"}
	}
	peers := slices.DeleteFunc(slices.Clone(h.table.Live(h.self.Domain)), h.isSelf)
	size := h.peersOf(h.self.Control, h.self.Domain)
	others := h.otherReaders()
	if size == 0 {
		others = append(others, slices.DeleteFunc(slices.Clone(h.opts.Seeds), h.isSelf)...)
	}
	f := floor{}
	known, restarted := 0, 0
	for _, a := range h.askFloor(ctx, peers) {
		f.offset = max(f.offset, a.reply.Offset)
		size = max(size, a.reply.Peers)
		switch {
		case a.err != nil:
		case a.reply.Known:
			known++
		default:
			restarted++
		}
	}
	for _, a := range h.askFloor(ctx, others) {
		f.offset = max(f.offset, a.reply.Offset)
		// The other failure domains stand in only when this one lost memory: it is a lone node, or others of
		// its nodes have restarted too or died.
		if a.err == nil && a.reply.Known && (len(peers) == 0 || restarted > 0 || size > len(peers)) {
			known++
		}
	}
	need := max(min(floorPeers, size), 1)
	f.known = known >= need
	f.source = fmt.Sprintf("%d of %d peers needed, %d restarted too", known, need, restarted)
	return f
}

// peersOf returns the number of members of a failure domain besides one, those declared dead included.
func (h *Hub) peersOf(control, domain string) int {
	n := 0
	for _, m := range h.table.Since(member.Query{Domain: domain}).Members {
		if m.Control != control {
			n++
		}
	}
	return n
}

func (h *Hub) isSelf(control string) bool { return control == h.self.Control }

func (h *Hub) otherReaders() []string {
	var list []string
	for _, d := range h.table.Domains() {
		if d != h.self.Domain {
			list = append(list, controls(h.table.Holders(member.RoleReader, d, topReaders))...)
		}
	}
	return list
}

func (h *Hub) askFloor(ctx context.Context, peers []string) []floorAnswer {
	answers := make([]floorAnswer, len(peers))
	slots := make(chan struct{}, floorCalls)
	var wg sync.WaitGroup
	for i, c := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			a := floorAnswer{control: c}
			a.err = h.call(
				ctx,
				c,
				purposeReport,
				"Floor",
				0,
				FloorArgs{Control: h.self.Control, Domain: h.self.Domain},
				&a.reply,
			)
			answers[i] = a
		})
	}
	wg.Wait()
	return answers
}
