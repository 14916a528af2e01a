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
	// snapshotRecords is the number of records between two snapshots in the log.
	snapshotRecords = 1000
	// snapshotWindow is the number of entries of the snapshots stream read at once, backwards from its end.
	snapshotWindow = 64
	appendTimeout  = 5 * time.Second
)

// written is what this process knows of the newest snapshot in the log.
type written struct {
	checked bool
	offset  shunt.Offset
	at      time.Time
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
		from := max(end, snapshotWindow) - snapshotWindow + 1
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
		if best, ok := state.Newest(chunks); ok {
			return state.Decode(best)
		}
		if from <= b.First {
			break
		}
		end = from - 1
	}
	return nil, errNoSnapshot
}

// writeSnapshot writes the configuration to the log when it is this node's turn.
func (h *Hub) writeSnapshot(ctx context.Context) error {
	s := h.Current()
	if s.Offset() == 0 || !h.writesSnapshots() {
		h.snap.checked = false
		return nil
	}
	now := h.clock.Now()
	if !h.snap.checked {
		last, err := h.loggedSnapshot(ctx)
		if err != nil && !errors.Is(err, errNoSnapshot) {
			return err
		}
		h.snap = written{checked: true, at: now}
		if err == nil {
			h.snap.offset = last.Offset()
		}
	}
	due := s.Offset() >= h.snap.offset+snapshotRecords ||
		(h.opts.Retention > 0 && now.Sub(h.snap.at) >= h.opts.Retention/4)
	if !due {
		return nil
	}
	if err := h.appendSnapshot(ctx, s); err != nil {
		return err
	}
	h.snap = written{checked: true, offset: s.Offset(), at: now}
	log.WithFields(log.Fields{"offset": s.Offset()}).Info("snapshot written")
	return nil
}

func (h *Hub) appendSnapshot(ctx context.Context, s *state.State) error {
	chunks, err := s.Encode(h.opts.RecordLimit)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		data, err := json.Marshal(c)
		if err != nil {
			return err
		}
		if err := h.append(ctx, shunt.StreamSnapshots, data); err != nil {
			return err
		}
	}
	return nil
}

func (h *Hub) append(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := h.log.Append(ctx, stream, data)
	return err
}

// writesSnapshots reports whether this node writes the snapshots of its region: the best one of the first
// readers of the region's failure domains.
func (h *Hub) writesSnapshots() bool {
	var readers []string
	for _, d := range h.table.Domains() {
		for _, m := range h.table.Holders(member.RoleReader, d, 1) {
			if m.Region == h.self.Region {
				readers = append(readers, m.Control)
			}
		}
	}
	ranked := member.Rank("snapshots of "+h.self.Region, readers)
	return len(ranked) > 0 && h.isSelf(ranked[0])
}

// decodeChunks passes over entries that are no chunks, which a newer program may have written.
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
