package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// window is the reduction of the retained records of one claim stream. The first claim of a key in log
	// order holds it. A settle record with OutcomeNotRun frees the key if its claim holds it, and makes the
	// claim void if it is appended only later.
	window struct {
		next  shunt.Offset // next offset to read
		first shunt.Offset // first retained offset
		keys  map[string]*holding
		void  map[string]shunt.Offset // freed asks
		order []reference             // by offset, for dropping what the log no longer retains
	}

	holding struct {
		ask       string
		requestID string
		bodyHash  string
		at        time.Time
		offset    shunt.Offset // of the newest record of this claim
		settled   bool
		outcome   shunt.Outcome
		status    int
		// later is the newest claim that lost against this one. It takes over when this one is no longer
		// retained: a holder that dropped this one earlier may have let it run.
		later *holding
	}

	reference struct {
		offset shunt.Offset
		key    string
		ask    string
	}
)

func newWindow() *window {
	return &window{next: 1, first: 1, keys: make(map[string]*holding), void: make(map[string]shunt.Offset)}
}

// apply reduces one entry. It must follow the trim to the first retained offset that was read with it. The
// record is nil when the entry does not decode; it then has no effect.
func (w *window) apply(e shunt.Entry) (*record, error) {
	w.next = e.Offset + 1
	var r record
	if err := json.Unmarshal(e.Data, &r); err != nil || r.Ask == "" {
		return nil, nil //nolint:nilerr // a malformed record is ignored, identically by every holder
	}
	if r.Schema > Schema {
		w.next = e.Offset
		return nil, fmt.Errorf("claim record at offset %d has schema %d, newer than %d", e.Offset, r.Schema, Schema)
	}
	switch r.Kind {
	case kindClaim:
		w.claim(e.Offset, r)
	case kindSettle:
		w.settle(e.Offset, r)
	}
	return &r, nil
}

func (w *window) claim(offset shunt.Offset, r record) {
	if _, ok := w.void[r.Ask]; ok {
		return
	}
	h := &holding{ask: r.Ask, requestID: r.RequestID, bodyHash: r.BodyHash, at: r.At, offset: offset}
	current := w.keys[r.Key]
	switch {
	case current == nil:
		w.hold(r.Key, h)
	case current.ask != r.Ask:
		current.later = h
	default: // appended twice: it is retained as long as the newer record
		current.offset = offset
		w.hold(r.Key, current)
	}
}

func (w *window) settle(offset shunt.Offset, r record) {
	h := w.keys[r.Key]
	if r.Outcome == shunt.OutcomeNotRun {
		w.void[r.Ask] = offset
		w.order = append(w.order, reference{offset: offset, ask: r.Ask})
		switch {
		case h == nil:
		case h.ask == r.Ask:
			delete(w.keys, r.Key)
		case h.later != nil && h.later.ask == r.Ask:
			h.later = nil
		}
		return
	}
	if h == nil { // the claim is no longer retained, but the request ran
		h = &holding{ask: r.Ask, requestID: r.RequestID, bodyHash: r.BodyHash, at: r.At}
	}
	if h.ask != r.Ask {
		return
	}
	h.settled, h.outcome, h.status, h.offset = true, r.Outcome, r.Status, offset
	w.hold(r.Key, h)
}

func (w *window) hold(key string, h *holding) {
	w.keys[key] = h
	w.order = append(w.order, reference{offset: h.offset, key: key})
}

// trim drops everything that the log no longer retains.
func (w *window) trim(first shunt.Offset) {
	w.first = max(w.first, first)
	w.next = max(w.next, first)
	n := 0
	for ; n < len(w.order) && w.order[n].offset < first; n++ {
		w.drop(w.order[n], first)
		w.order[n] = reference{}
	}
	w.order = w.order[n:]
}

func (w *window) drop(r reference, first shunt.Offset) {
	if r.ask != "" {
		if w.void[r.ask] == r.offset {
			delete(w.void, r.ask)
		}
		return
	}
	h := w.keys[r.key]
	if h == nil || h.offset != r.offset {
		return
	}
	delete(w.keys, r.key)
	if h.later != nil && h.later.offset >= first {
		w.hold(r.key, h.later)
	}
}

// answer returns the verdict for a claim, false when nobody holds the key.
func (w *window) answer(r TakeArgs, now time.Time, runningFor time.Duration) (shunt.ClaimAnswer, bool) {
	h := w.keys[r.Key]
	switch {
	case h == nil:
		return shunt.ClaimAnswer{}, false
	case h.ask == r.Ask:
		return shunt.ClaimAnswer{Verdict: shunt.ClaimFirst, RequestID: h.requestID}, true
	case h.bodyHash != r.BodyHash:
		return shunt.ClaimAnswer{Verdict: shunt.ClaimMismatch, RequestID: h.requestID}, true
	}
	a := shunt.ClaimAnswer{Verdict: shunt.ClaimRepeat, State: shunt.ClaimUnknown, RequestID: h.requestID}
	switch {
	case h.settled && h.outcome != shunt.OutcomeUnknown:
		a.State, a.Status = shunt.ClaimRan, h.status
	case !h.settled && now.Sub(h.at) < runningFor:
		a.State = shunt.ClaimRunning
	}
	return a, true
}
