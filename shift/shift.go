// Package shift decides how a service's traffic moves from one version of its backend servers to another within
// seconds. It does no input or output; what is known and the time are passed in.
package shift

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
)

// Phases of a move, in order.
const (
	// Trial sends a small share to the new version.
	Trial Phase = "trial"
	// Switch sends everything to the new version while the old one finishes what it runs.
	Switch Phase = "switch"
	// Complete ends the move at the new version. The old servers may stop.
	Complete Phase = "complete"
	// Back ends the move at the old version.
	Back Phase = "back"
)

const (
	// settle is the time for which the old version finishes its requests after the switch.
	settle = 1100 * time.Millisecond
	// switchLead is the time before the deadline at which the switch happens: the settling, and time for the
	// store to take two records, for a node that stops meanwhile and for the next one to step in.
	switchLead = settle + 1900*time.Millisecond
	// loadFor is how long one server of the new version is loaded fully, twice in a trial, since some faults
	// show under load only.
	loadFor = 1200 * time.Millisecond
	// loadShare is the part of the requests offered to that server meanwhile. It takes what it has slots for.
	loadShare = 0.5
	// minTrial is the least number of answers of the new version before the switch.
	minTrial = 20
	// clearlyBad and leastBad decide without a comparison: so many failures among so large a share of the
	// answers are no accident.
	clearlyBad = 0.2
	leastBad   = 8
)

type (
	// Phase is how far a move is.
	Phase string

	// Record is a move as it stands in the store.
	Record struct {
		Order  int64  `json:"order"` // position of the operator's order
		From   string `json:"from"`  // empty when the service had no version before
		Target string `json:"target"`
		Phase  Phase  `json:"phase"`
		Began  int64  `json:"began"` // milliseconds since the epoch, by the clock of the node that began it
		Why    string `json:"why,omitempty"`
	}

	// Facts are what a node knows of a move when it decides.
	Facts struct {
		Elapsed  time.Duration // since the order
		InPhase  time.Duration // since this node learned of the phase
		Within   time.Duration
		Verdict  canary.Kind
		Answers  uint64 // of the new version
		Recent   uint64 // its answers of late
		Failures uint64 // those of them that failed
		NewReady int    // servers of the new version that take requests
	}
)

// Follows reports whether a record may replace one that is stored. A move begins once and ends once: a node that does
// not know of the stored record must not begin the move anew.
func (r *Record) Follows(stored Record) bool {
	if stored.Order != r.Order {
		return stored.Order < r.Order
	}
	return r.From == stored.From && stored.Phase != r.Phase && !stored.Phase.Ended() && r.Phase != Trial
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Complete || p == Back }

// Next returns the phase that the facts call for, and why when it differs.
func (r *Record) Next(f Facts) (Phase, string) {
	bad := f.Verdict == canary.Bad ||
		f.Failures >= leastBad && float64(f.Failures) >= clearlyBad*float64(f.Recent)
	switch {
	case r.Phase.Ended():
		return r.Phase, ""
	case bad:
		return Back, "new version fails or is slow"
	case r.Phase == Trial && f.Elapsed >= f.Within:
		return Back, "not switched by the deadline"
	case r.Phase == Trial && f.Elapsed >= f.Within-switchLead && f.NewReady > 0 && f.Answers >= minTrial:
		return Switch, "trial showed no fault"
	case r.Phase == Switch && f.InPhase >= settle:
		return Complete, "old version has finished its requests"
	}
	return r.Phase, ""
}

// loadAt are the parts of a move's time at which a server of the new version is loaded.
var loadAt = [...]float64{0.4, 0.65}

// Share returns the part of the requests that are offered to the new version during the trial, where base is the
// part in ordinary times. With focus they are offered to a single server.
func Share(elapsed, within time.Duration, base float64) (share float64, focus bool) {
	for _, part := range loadAt {
		begin := time.Duration(part * float64(within))
		if elapsed >= begin && elapsed < begin+loadFor {
			return loadShare, true
		}
	}
	return base, false
}

// Version returns the version for a request, where draw is uniform in [0, 1) and share is the new version's part
// during the trial. An empty version means any.
func (r *Record) Version(draw, share float64) string {
	switch r.Phase {
	case Trial:
		if draw < share {
			return r.Target
		}
		return r.From
	case Switch, Complete:
		return r.Target
	default:
		return r.From
	}
}

// Allows reports whether servers of a version may run requests.
func (r *Record) Allows(version string) bool {
	switch r.Phase {
	case Trial:
		return version == r.From || version == r.Target
	case Switch, Complete:
		return version == r.Target
	default:
		return version == r.From
	}
}

// Begin returns the record of a new move.
func Begin(o shunt.ShiftOrder, from string, now time.Time) Record {
	return Record{Order: o.Offset, From: from, Target: o.Target, Phase: Trial, Began: now.UnixMilli()}
}
