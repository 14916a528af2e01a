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
	// maxSnapshotTransfers is the number of snapshots that a node serves at the same time.
	maxSnapshotTransfers = 4
	// transferIdleTimeout is the time without requests after which an unfinished transfer frees its slot.
	transferIdleTimeout = 5 * time.Second
	// maxSnapshotSources is the number of nodes asked for a snapshot in one recovery attempt.
	maxSnapshotSources = 6
	// maxChunkBytes limits a chunk sent to another node, maxChunks the chunks of a received snapshot.
	maxChunkBytes = 256 << 10
	maxChunks     = 2048
)

// snapshotServer holds the encoded snapshot that a node serves to others, and the transfers in progress.
type snapshotServer struct {
	mu     sync.Mutex
	chunks []state.Chunk
	active map[string]time.Time // time of the last request, by control address
}

var (
	errSnapshotBusy     = errors.New("node serves as many snapshots as it may")
	errSnapshotReplaced = errors.New("snapshot was replaced during its transfer")
)

// serveChunk handles Relay.Snapshot. An encoded snapshot is reused while all records after it are retained.
func (h *Hub) serveChunk(args SnapshotArgs, reply *SnapshotReply) error {
	server := &h.snapshots
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.admit(args.From, h.clock.Now()) {
		reply.Busy = true
		return nil
	}
	if args.Offset == 0 {
		if err := h.refreshChunks(); err != nil {
			return err
		}
	}
	if len(server.chunks) == 0 || (args.Offset != 0 && server.chunks[0].Offset != args.Offset) {
		reply.Gone = true
		return nil
	}
	if args.Index < 0 || args.Index >= len(server.chunks) {
		return fmt.Errorf("snapshot has no chunk %d", args.Index)
	}
	reply.Chunk = server.chunks[args.Index]
	if args.Index == len(server.chunks)-1 {
		delete(server.active, args.From)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordDelivered(args.From, reply.Chunk.Offset)
	return nil
}

func (s *snapshotServer) admit(from string, now time.Time) bool {
	if s.active == nil {
		s.active = make(map[string]time.Time)
	}
	for control, last := range s.active {
		if now.Sub(last) > transferIdleTimeout {
			delete(s.active, control)
		}
	}
	if _, ok := s.active[from]; !ok && len(s.active) >= maxSnapshotTransfers {
		return false
	}
	s.active[from] = now
	return true
}

// refreshChunks encodes the current configuration, unless all records after the encoded snapshot are still
// retained. The caller holds h.snapshots.mu.
func (h *Hub) refreshChunks() error {
	s := h.Current()
	if chunks := h.snapshots.chunks; len(chunks) > 0 {
		h.mu.Lock()
		hash, found := h.recent.hashAt(chunks[0].Offset)
		h.mu.Unlock()
		if found && hash.String() == chunks[0].Hash {
			return nil
		}
	}
	chunks, err := s.EncodeSnapshot(maxChunkBytes)
	if err != nil {
		return err
	}
	h.snapshots.chunks = chunks
	return nil
}

// fetchSnapshot downloads another node's encoded snapshot and installs it.
func (h *Hub) fetchSnapshot(ctx context.Context, from string) error {
	var chunks []state.Chunk
	for total := 1; len(chunks) < total; {
		args := SnapshotArgs{From: h.self.Control, Index: len(chunks)}
		if len(chunks) > 0 {
			args.Offset = chunks[0].Offset
		}
		var reply SnapshotReply
		if err := h.call(ctx, from, purposeSnapshot, "Snapshot", 0, args, &reply); err != nil {
			return err
		}
		switch {
		case reply.Busy:
			return errSnapshotBusy
		case reply.Gone:
			return errSnapshotReplaced
		case reply.Chunk.Total < 1 || reply.Chunk.Total > maxChunks:
			return fmt.Errorf("snapshot of %q has %d chunks", from, reply.Chunk.Total)
		}
		total = reply.Chunk.Total
		chunks = append(chunks, reply.Chunk)
	}
	s, err := state.DecodeSnapshot(chunks)
	if err != nil {
		return err
	}
	return h.install(s, from)
}

// snapshotSources returns the nodes to ask for a snapshot, in random order: readers of other failure domains
// and the other live members of this one.
func (h *Hub) snapshotSources() []string {
	sources := h.remoteReaders()
	for _, control := range h.table.Live(h.self.Domain) {
		if !h.isSelf(control) {
			sources = append(sources, control)
		}
	}
	h.jitter.shuffle(sources)
	return sources
}
