package relay

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/state"
)

// Bounds of the recent records kept for children; older ones are replaced by a snapshot.
const (
	recentRecords = 4096
	recentBytes   = 8 << 20
)

type (
	// ring holds the newest records that led to the current configuration.
	ring struct {
		records []record
		bytes   int
		base    shunt.Offset // offset before the first record held
		hash    state.Hash   // of the configuration at base
	}

	record struct {
		shunt.Entry
		hash state.Hash // of the configuration after the record
	}
)

// apply reduces records in order. Records that are already applied are passed over, and a gap or a record
// of a newer schema ends it.
func (h *Hub) apply(entries []shunt.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, n := h.current.Load(), 0
	var failed error
	for _, e := range entries {
		if e.Offset <= s.Offset() {
			continue
		}
		next, outcome, err := s.Apply(e.Offset, e.Data)
		if err != nil {
			failed = err
			break
		}
		s = next
		h.recent.push(record{Entry: e, hash: s.Hash()})
		if h.opts.Applied != nil {
			h.opts.Applied(e, outcome)
		}
		n++
	}
	if n > 0 {
		h.current.Store(s)
		h.head = max(h.head, s.Offset())
		h.wake()
	}
	var schema *state.SchemaError
	if errors.As(failed, &schema) && h.blocked == nil {
		h.blocked = schema
		log.WithError(schema).Error("record of a newer schema stops this node")
		h.wake()
	}
	return failed
}

// install replaces the configuration by a snapshot. An older one is refused; one at the same offset
// replaces a configuration that diverged.
func (h *Hub) install(s *state.State, source string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.current.Load()
	if s.Offset() < cur.Offset() {
		return fmt.Errorf("%w: %d is below %d", errOlder, s.Offset(), cur.Offset())
	}
	if s.Offset() == cur.Offset() && s.Hash() == cur.Hash() {
		return nil
	}
	log.WithFields(log.Fields{"offset": s.Offset(), "from": cur.Offset(), "source": source}).Info("snapshot installed")
	h.current.Store(s)
	h.recent.reset(s)
	h.head = max(h.head, s.Offset())
	h.wake()
	return nil
}

// matches compares a hash at an offset with this node's at that offset. It returns true when the offset is
// not held any more.
func (h *Hub) matches(offset shunt.Offset, hash []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	own, ok := h.recent.hashAt(offset)
	return !ok || len(hash) == 0 || bytes.Equal(own[:], hash)
}

func (r *ring) reset(s *state.State) {
	r.records, r.bytes = nil, 0
	r.base, r.hash = s.Offset(), s.Hash()
}

func (r *ring) push(e record) {
	r.records = append(r.records, e)
	r.bytes += len(e.Data)
	drop := 0
	for len(r.records)-drop > recentRecords || (r.bytes > recentBytes && len(r.records)-drop > 1) {
		r.bytes -= len(r.records[drop].Data)
		r.base, r.hash = r.records[drop].Offset, r.records[drop].hash
		drop++
	}
	clear(r.records[:drop])
	r.records = r.records[drop:]
}

// after returns records after an offset within the bounds of one answer, and false when they are not held.
func (r *ring) after(offset shunt.Offset) ([]record, bool) {
	if offset < r.base {
		return nil, false
	}
	start := int(offset - r.base)
	if start >= len(r.records) {
		return nil, true
	}
	end, size := start, 0
	for end < len(r.records) && end-start < maxRecords {
		size += len(r.records[end].Data)
		if size > maxRecordBytes && end > start {
			break
		}
		end++
	}
	return r.records[start:end:end], true
}

func (r *ring) hashAt(offset shunt.Offset) (state.Hash, bool) {
	if offset == r.base {
		return r.hash, true
	}
	if offset < r.base || offset > r.base+shunt.Offset(len(r.records)) {
		return state.Hash{}, false
	}
	return r.records[offset-r.base-1].hash, true
}
