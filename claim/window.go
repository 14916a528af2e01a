package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// window is the state derived from the retained records of one claim stream. The first claim of a key in log
	// order owns the key. A settle record with OutcomeNotRun releases the key if its claim owns it. A claim that
	// appears after its own release has no effect.
	window struct {
		nextOffset  shunt.Offset // next offset to read
		firstOffset shunt.Offset // first retained offset
		owners      map[string]*loggedClaim
		released    map[string]shunt.Offset // identifiers of released claims, with the offset of the release
		// references are in the order of their offsets, except for those of successors that took over. trim uses them to
		// find the owners and releases whose records the log no longer retains.
		references []reference
	}

	loggedClaim struct {
		claimID   string
		requestID string
		bodyHash  string
		claimedAt time.Time
		offset    shunt.Offset // of the newest record of this claim
		settled   bool
		outcome   shunt.Outcome
		status    int
		// successor is the newest other claim of the key. It takes over when this one is no longer retained, because
		// a holder that dropped this one earlier may have given the successor the verdict ClaimFirst.
		successor *loggedClaim
	}

	reference struct {
		offset  shunt.Offset
		key     string
		claimID string
	}
)

func newWindow() *window {
	return &window{
		nextOffset:  1,
		firstOffset: 1,
		owners:      make(map[string]*loggedClaim),
		released:    make(map[string]shunt.Offset),
	}
}

// apply applies one entry. Trim must have been called before with the first retained offset of the same read. The
// record is nil if the entry cannot be decoded; the entry then has no effect.
func (w *window) apply(e shunt.Entry) (*record, error) {
	w.nextOffset = e.Offset + 1
	var r record
	if err := json.Unmarshal(e.Data, &r); err != nil || r.Ask == "" {
		return nil, nil //nolint:nilerr // a malformed record is ignored, identically by every holder
	}
	if r.Schema > Schema {
		w.nextOffset = e.Offset
		return nil, fmt.Errorf("claim record at offset %d has schema %d, newer than %d", e.Offset, r.Schema, Schema)
	}
	switch r.Kind {
	case kindClaim:
		w.applyClaim(e.Offset, r)
	case kindSettle:
		w.applySettle(e.Offset, r)
	}
	return &r, nil
}

func (w *window) applyClaim(offset shunt.Offset, r record) {
	if _, ok := w.released[r.Ask]; ok {
		return
	}
	c := &loggedClaim{claimID: r.Ask, requestID: r.RequestID, bodyHash: r.BodyHash, claimedAt: r.At, offset: offset}
	current := w.owners[r.Key]
	switch {
	case current == nil:
		w.setOwner(r.Key, c)
	case current.claimID != r.Ask:
		current.successor = c
	default: // appended twice: it is retained as long as the newer record
		current.offset = offset
		w.setOwner(r.Key, current)
	}
}

func (w *window) applySettle(offset shunt.Offset, r record) {
	owner := w.owners[r.Key]
	if r.Outcome == shunt.OutcomeNotRun {
		w.released[r.Ask] = offset
		w.references = append(w.references, reference{offset: offset, claimID: r.Ask})
		switch {
		case owner == nil:
		case owner.claimID == r.Ask:
			delete(w.owners, r.Key)
		case owner.successor != nil && owner.successor.claimID == r.Ask:
			owner.successor = nil
		}
		return
	}
	if owner == nil { // the claim is no longer retained, but the request ran or may have run, so its key stays taken
		owner = &loggedClaim{claimID: r.Ask, requestID: r.RequestID, bodyHash: r.BodyHash, claimedAt: r.At}
	}
	if owner.claimID != r.Ask {
		return
	}
	owner.settled, owner.outcome, owner.status, owner.offset = true, r.Outcome, r.Status, offset
	w.setOwner(r.Key, owner)
}

func (w *window) setOwner(key string, owner *loggedClaim) {
	w.owners[key] = owner
	w.references = append(w.references, reference{offset: owner.offset, key: key})
}

// trim drops everything that the log no longer retains.
func (w *window) trim(first shunt.Offset) {
	w.firstOffset = max(w.firstOffset, first)
	w.nextOffset = max(w.nextOffset, first)
	n := 0
	for ; n < len(w.references) && w.references[n].offset < first; n++ {
		w.dropReference(w.references[n], first)
		w.references[n] = reference{}
	}
	w.references = w.references[n:]
}

func (w *window) dropReference(r reference, first shunt.Offset) {
	if r.claimID != "" {
		if w.released[r.claimID] == r.offset {
			delete(w.released, r.claimID)
		}
		return
	}
	owner := w.owners[r.key]
	if owner == nil || owner.offset != r.offset {
		return
	}
	delete(w.owners, r.key)
	if owner.successor != nil && owner.successor.offset >= first {
		w.setOwner(r.key, owner.successor)
	}
}

// verdict returns the result of a claim, or false if no claim owns the key.
func (w *window) verdict(r TakeArgs, now time.Time, runningFor time.Duration) (shunt.ClaimResult, bool) {
	owner := w.owners[r.Key]
	switch {
	case owner == nil:
		return shunt.ClaimResult{}, false
	case owner.claimID == r.Ask:
		return shunt.ClaimResult{Verdict: shunt.ClaimFirst, RequestID: owner.requestID}, true
	case owner.bodyHash != r.BodyHash:
		return shunt.ClaimResult{Verdict: shunt.ClaimMismatch, RequestID: owner.requestID}, true
	}
	a := shunt.ClaimResult{Verdict: shunt.ClaimRepeat, State: shunt.ClaimUnknown, RequestID: owner.requestID}
	switch {
	case owner.settled && owner.outcome != shunt.OutcomeUnknown:
		a.State, a.Status = shunt.ClaimRan, owner.status
	case !owner.settled && now.Sub(owner.claimedAt) < runningFor:
		a.State = shunt.ClaimRunning
	}
	return a, true
}
