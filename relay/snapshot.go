package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

const (
	// snapshotInterval is the number of records between two snapshots in the log.
	snapshotInterval = 1000
	// snapshotReadEntries is the number of entries per read of the snapshots stream, backwards from its end.
	snapshotReadEntries = 64
	appendTimeout       = 5 * time.Second
)

// snapshotState describes the newest snapshot in the log that this process has read or written.
type snapshotState struct {
	loaded    bool
	offset    shunt.Offset
	checkedAt time.Time // time of the last read or write
}

var errNoSnapshot = errors.New("no complete snapshot in the log")

// loggedSnapshot returns the newest complete snapshot of the snapshots stream.
func (h *Hub) loggedSnapshot(ctx context.Context) (*state.State, error) {
	head, err := h.logHead(ctx, shunt.StreamSnapshots)
	if err != nil {
		return nil, err
	}
	var chunks []state.Chunk
	for end := head; end > 0; {
		from := max(end, snapshotReadEntries) - snapshotReadEntries + 1
		b, err := h.readLog(ctx, shunt.StreamSnapshots, from, int(end-from+1), 0)
		var truncated *shunt.TruncatedError
		if errors.As(err, &truncated) && truncated.First <= end {
			from = truncated.First
			b, err = h.readLog(ctx, shunt.StreamSnapshots, from, int(end-from+1), 0)
		}
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, decodeChunks(b.Entries)...)
		if best, ok := state.NewestSnapshot(chunks); ok {
			return state.DecodeSnapshot(best)
		}
		if from <= b.First {
			break
		}
		end = from - 1
	}
	return nil, errNoSnapshot
}

// writeSnapshot writes a snapshot to the log, if this node is the writer of its region and a snapshot is due.
func (h *Hub) writeSnapshot(ctx context.Context) error {
	s := h.Current()
	if s.Offset() == 0 || !h.isSnapshotWriter() {
		h.loggedSnapshotState.loaded = false
		return nil
	}
	now := h.clock.Now()
	if !h.loggedSnapshotState.loaded {
		last, err := h.loggedSnapshot(ctx)
		if err != nil && !errors.Is(err, errNoSnapshot) {
			return err
		}
		h.loggedSnapshotState = snapshotState{loaded: true, checkedAt: now}
		if err == nil {
			h.loggedSnapshotState.offset = last.Offset()
		}
	}
	// Write again after a quarter of the retention period, so that a snapshot does not expire before the next is written.
	due := s.Offset() >= h.loggedSnapshotState.offset+snapshotInterval ||
		(h.opts.Retention > 0 && now.Sub(h.loggedSnapshotState.checkedAt) >= h.opts.Retention/4)
	if !due {
		return nil
	}
	if err := h.appendSnapshot(ctx, s); err != nil {
		return err
	}
	h.loggedSnapshotState = snapshotState{loaded: true, offset: s.Offset(), checkedAt: now}
	log.WithFields(log.Fields{"offset": s.Offset()}).Info("snapshot written to the log")
	return nil
}

func (h *Hub) appendSnapshot(ctx context.Context, s *state.State) error {
	chunks, err := s.EncodeSnapshot(h.opts.RecordLimit)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		data, err := json.Marshal(c)
		if err != nil {
			return err
		}
		if err := h.appendLog(ctx, shunt.StreamSnapshots, data); err != nil {
			return err
		}
	}
	return nil
}

func (h *Hub) appendLog(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := h.log.Append(ctx, stream, data)
	return err
}

// isSnapshotWriter reports whether this node writes the snapshots of its region: it is the highest-ranked of the
// first readers of the region's failure domains.
func (h *Hub) isSnapshotWriter() bool {
	var readers []string
	for _, d := range h.table.Domains() {
		for _, m := range h.table.RoleHolders(member.RoleReader, d, 1) {
			if m.Region == h.self.Region {
				readers = append(readers, m.Control)
			}
		}
	}
	ranked := member.Rank("snapshots of "+h.self.Region, readers)
	return len(ranked) > 0 && h.isSelf(ranked[0])
}

// decodeChunks skips entries that are not chunks, which a newer program may have written.
func decodeChunks(entries []shunt.Entry) []state.Chunk {
	var chunks []state.Chunk
	for _, e := range entries {
		var c state.Chunk
		if err := json.Unmarshal(e.Data, &c); err == nil {
			chunks = append(chunks, c)
		}
	}
	return chunks
}
