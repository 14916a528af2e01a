package relay

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/state"
)

// Limits of the recent records kept for children. Children that need older ones fetch a snapshot.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 8 << 20
)

type (
	// recordWindow holds the newest records applied to the current configuration.
	recordWindow struct {
		records    []hashedRecord
		bytes      int
		baseOffset shunt.Offset // offset before the first record
		baseHash   state.Hash   // of the configuration at baseOffset
	}

	hashedRecord struct {
		shunt.Entry
		hash state.Hash // of the configuration after the record
	}
)

// apply applies records in order. It skips records that are already applied, and stops at a gap or a record
// of a newer schema.
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
		h.recent.push(hashedRecord{Entry: e, hash: s.Hash()})
		if h.opts.Applied != nil {
			h.opts.Applied(e, outcome)
		}
		n++
	}
	if n > 0 {
		h.current.Store(s)
		h.head = max(h.head, s.Offset())
		h.notifyChanged()
	}
	var schema *state.SchemaError
	if errors.As(failed, &schema) && h.blocked == nil {
		h.blocked = schema
		log.WithError(schema).Error("record has a newer schema; no further records are applied")
		h.notifyChanged()
	}
	return failed
}

// install replaces the configuration with a snapshot. An older one is rejected; one at the same offset
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
	h.notifyChanged()
	return nil
}

// hashMatches compares a hash with this node's hash at the same offset. It also returns true if the two cannot be
// compared: the offset is outside the retained window, or no hash was sent.
func (h *Hub) hashMatches(offset shunt.Offset, hash []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	own, ok := h.recent.hashAt(offset)
	return !ok || len(hash) == 0 || bytes.Equal(own[:], hash)
}

func (r *recordWindow) reset(s *state.State) {
	r.records, r.bytes = nil, 0
	r.baseOffset, r.baseHash = s.Offset(), s.Hash()
}

func (r *recordWindow) push(e hashedRecord) {
	r.records = append(r.records, e)
	r.bytes += len(e.Data)
	drop := 0
	for len(r.records)-drop > maxRecentRecords || (r.bytes > maxRecentBytes && len(r.records)-drop > 1) {
		r.bytes -= len(r.records[drop].Data)
		r.baseOffset, r.baseHash = r.records[drop].Offset, r.records[drop].hash
		drop++
	}
	clear(r.records[:drop])
	r.records = r.records[drop:]
}

// after returns records after an offset within the limits of one reply, and false if they are not retained.
func (r *recordWindow) after(offset shunt.Offset) ([]hashedRecord, bool) {
	if offset < r.baseOffset {
		return nil, false
	}
	start := int(offset - r.baseOffset)
	if start >= len(r.records) {
		return nil, true
	}
	end, size := start, 0
	for end < len(r.records) && end-start < maxRecords {
		size += len(r.records[end].Data)
		if size > maxReplyRecordBytes && end > start {
			break
		}
		end++
	}
	return r.records[start:end:end], true
}

func (r *recordWindow) hashAt(offset shunt.Offset) (state.Hash, bool) {
	if offset == r.baseOffset {
		return r.baseHash, true
	}
	if offset < r.baseOffset || offset > r.baseOffset+shunt.Offset(len(r.records)) {
		return state.Hash{}, false
	}
	return r.records[offset-r.baseOffset-1].hash, true
}
