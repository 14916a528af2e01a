package relay

import (
	"time"

	"tanagershunt.example/shunt"
)

// Status is a hub's part of the state dump.
type Status struct {
	Offset      shunt.Offset  `json:"offset"`
	Hash        string        `json:"hash"`
	Head        shunt.Offset  `json:"head"` // newest known offset of the log
	Role        Role          `json:"role"`
	Parent      string        `json:"parent,omitempty"` // empty for readers
	Stale       time.Duration `json:"stale"`            // time since the configuration was last known to be current, or since the start
	LogDownFor  time.Duration `json:"logDownFor,omitempty"`
	FloorKnown  bool          `json:"floorKnown"`
	Floor       shunt.Offset  `json:"floor"`
	FloorSource string        `json:"floorSource"`
	Waiting     string        `json:"waiting,omitempty"` // why the node does not serve
	Blocked     string        `json:"blocked,omitempty"` // record of a newer schema
	Repairs     int           `json:"repairs,omitempty"` // repairs after a hash mismatch
	Facts       int           `json:"facts"`
	Members     int           `json:"members"`
	Children    int           `json:"children"` // nodes below this one, direct and indirect, whether they serve or not
	Unreachable []string      `json:"unreachable,omitempty"`
}

// Status returns the state of the hub.
func (h *Hub) Status() Status {
	_, err := h.Serving()
	st := Status{
		Members: h.table.Len(), Children: len(h.confirms.offsets(h.clock.Now())), Facts: len(h.List()),
		Unreachable: h.table.Unreachable(),
	}
	if err != nil {
		st.Waiting = err.Error()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.current.Load()
	st.Offset, st.Hash, st.Head = s.Offset(), s.Hash().String(), h.head
	st.Role, st.Parent, st.Repairs = h.role, h.parent, h.repairs
	st.Stale = h.clock.Since(h.freshAt)
	st.FloorKnown, st.Floor, st.FloorSource = h.floor.known, h.floor.offset, h.floor.source
	if !h.logDownSince.IsZero() {
		st.LogDownFor = h.clock.Since(h.logDownSince)
	}
	if h.blocked != nil {
		st.Blocked = h.blocked.Error()
	}
	return st
}
