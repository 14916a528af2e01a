package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"tanagershunt.example/shunt/state"
)

const (
	// snapshotsServed is the number of snapshots that a node serves at the same time.
	snapshotsServed = 4
	// snapshotIdle is the time after which an unfinished transfer makes place for another.
	snapshotIdle = 5 * time.Second
	// snapshotTries is the number of nodes asked for a snapshot in one attempt to recover.
	snapshotTries = 6
	// chunkLimit bounds a chunk sent to another node, and maxChunks a snapshot received.
	chunkLimit = 256 << 10
	maxChunks  = 2048
)

// bulk is the snapshot that a node serves to others.
type bulk struct {
	mu     sync.Mutex
	chunks []state.Chunk
	active map[string]time.Time // last request by control address
}

var (
	errBusy = errors.New("node serves as many snapshots as it may")
	errGone = errors.New("snapshot was replaced during its transfer")
)

// serveChunk answers Relay.Snapshot. An encoded snapshot is kept while records lead from it to the present.
func (h *Hub) serveChunk(args SnapshotArgs, reply *SnapshotReply) error {
	b := &h.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.admit(args.From, h.clock.Now()) {
		reply.Busy = true
		return nil
	}
	if args.Offset == 0 {
		if err := h.encode(); err != nil {
			return err
		}
	}
	if len(b.chunks) == 0 || (args.Offset != 0 && b.chunks[0].Offset != args.Offset) {
		reply.Gone = true
		return nil
	}
	if args.Index < 0 || args.Index >= len(b.chunks) {
		return fmt.Errorf("snapshot has no chunk %d", args.Index)
	}
	reply.Chunk = b.chunks[args.Index]
	if args.Index == len(b.chunks)-1 {
		delete(b.active, args.From)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(args.From, reply.Chunk.Offset)
	return nil
}

func (b *bulk) admit(from string, now time.Time) bool {
	if b.active == nil {
		b.active = make(map[string]time.Time)
	}
	for c, at := range b.active {
		if now.Sub(at) > snapshotIdle {
			delete(b.active, c)
		}
	}
	if _, ok := b.active[from]; !ok && len(b.active) >= snapshotsServed {
		return false
	}
	b.active[from] = now
	return true
}

// encode makes sure that the snapshot served is recent enough. The caller holds h.bulk.mu.
func (h *Hub) encode() error {
	s := h.Current()
	if cs := h.bulk.chunks; len(cs) > 0 {
		h.mu.Lock()
		hash, held := h.recent.hashAt(cs[0].Offset)
		h.mu.Unlock()
		if held && hash.String() == cs[0].Hash {
			return nil
		}
	}
	chunks, err := s.Encode(chunkLimit)
	if err != nil {
		return err
	}
	h.bulk.chunks = chunks
	return nil
}

// fetchSnapshot fetches the newest snapshot of another node and installs it.
func (h *Hub) fetchSnapshot(ctx context.Context, from string) error {
	var chunks []state.Chunk
	for total := 1; len(chunks) < total; {
		args := SnapshotArgs{From: h.self.Control, Index: len(chunks)}
		if len(chunks) > 0 {
			args.Offset = chunks[0].Offset
		}
		var reply SnapshotReply
		if err := h.call(ctx, from, purposeBulk, "Snapshot", 0, args, &reply); err != nil {
			return err
		}
		switch {
		case reply.Busy:
			return errBusy
		case reply.Gone:
			return errGone
		case reply.Chunk.Total < 1 || reply.Chunk.Total > maxChunks:
			return fmt.Errorf("snapshot of %q has %d chunks", from, reply.Chunk.Total)
		}
		total = reply.Chunk.Total
		chunks = append(chunks, reply.Chunk)
	}
	s, err := state.Decode(chunks)
	if err != nil {
		return err
	}
	return h.install(s, from)
}

// snapshotSources returns nodes to ask for a snapshot in random order: readers of other failure domains and
// the own one's members.
func (h *Hub) snapshotSources() []string {
	list := h.otherReaders()
	for _, c := range h.table.Live(h.self.Domain) {
		if !h.isSelf(c) {
			list = append(list, c)
		}
	}
	h.jitter.shuffle(list)
	return list
}
