// Package shift decides the phases in which a service's traffic moves from one version of its backend servers to
// another within seconds. It does no I/O; the observations and the time are passed in.
package shift

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
)

// Phases of a move, in order.
const (
	// Trial sends a small share of the requests to the new version.
	Trial Phase = "trial"
	// Switch sends all requests to the new version while the old one completes its running requests.
	Switch Phase = "switch"
	// Complete ends the move with the new version in use. The servers of the old version may stop.
	Complete Phase = "complete"
	// RolledBack ends the move with the old version in use.
	RolledBack Phase = "back"
)

const (
	// drainTime is the time for which the old version completes its running requests after the switch.
	drainTime = 1100 * time.Millisecond
	// switchLead is the time before the deadline from which the switch may occur. It covers drainTime, two writes to
	// the store, and the failover to another node if the deciding one stops.
	switchLead = drainTime + 1900*time.Millisecond
	// loadTestDuration is the duration of a load test. During a load test one server of the new version is offered as
	// many requests as it accepts, because some faults occur under full load only. A trial has two, see
	// loadTestStarts.
	loadTestDuration = 1200 * time.Millisecond
	// loadTestShare is the share of the service's requests offered to the one server under load test. The server's
	// slots limit how many of them it accepts.
	loadTestShare = 0.5
	// minTrialRequests is the minimum number of requests to the new version, with or without an answer, before the
	// switch.
	minTrialRequests = 20
	// maxFailureShare and minFailures end a move without a comparison of the versions: at least minFailures failures
	// that make up at least maxFailureShare of the recent requests are not due to chance.
	maxFailureShare = 0.2
	minFailures     = 8
)

type (
	// Phase is the phase of a move.
	Phase string

	// Record is the state of a move in the store.
	Record struct {
		Order  int64  `json:"order"` // offset of the order in the topic of the operator's records
		From   string `json:"from"`  // version in use before the move; without one, no move begins
		Target string `json:"target"`
		Phase  Phase  `json:"phase"`
		Began  int64  `json:"began"` // Unix time in milliseconds, by the clock of the node that began the move
		Why    string `json:"why,omitempty"`
	}

	// Observations are a node's observations of a move, from which it decides the next phase.
	Observations struct {
		Elapsed  time.Duration // since the order
		InPhase  time.Duration // since this node received the current phase
		Within   time.Duration // deadline of the move, counted from the order
		Verdict  canary.Kind
		Answers  uint64 // requests to the new version, with or without an answer
		Recent   uint64 // recent requests to the new version, with or without an answer
		Failures uint64 // failures among the recent requests
		NewReady int    // servers of the new version that accept requests
	}
)

// CanReplace reports whether the record may replace the stored one. A move begins once and ends once: a node that has
// not yet received the stored record must not begin the move again.
func (r *Record) CanReplace(stored Record) bool {
	if stored.Order != r.Order {
		return stored.Order < r.Order
	}
	return r.From == stored.From && stored.Phase != r.Phase && !stored.Phase.Ended() && r.Phase != Trial
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Complete || p == RolledBack }

// Valid reports whether p is one of the phases.
func (p Phase) Valid() bool { return p == Trial || p == Switch || p.Ended() }

// Next returns the phase that follows from the observations, and the reason if it differs from the current one.
func (r *Record) Next(f Observations) (Phase, string) {
	bad := f.Verdict == canary.Bad ||
		f.Failures >= minFailures && float64(f.Failures) >= maxFailureShare*float64(f.Recent)
	switch {
	case r.Phase.Ended():
		return r.Phase, ""
	case bad:
		return RolledBack, "new version fails or is slow"
	case r.Phase == Trial && f.Elapsed >= f.Within:
		return RolledBack, "not switched by the deadline"
	case r.Phase == Trial && f.Elapsed >= f.Within-switchLead && f.NewReady > 0 && f.Answers >= minTrialRequests:
		return Switch, "trial showed no fault"
	case r.Phase == Switch && f.InPhase >= drainTime:
		return Complete, "old version has finished its requests"
	}
	return r.Phase, ""
}

// loadTestStarts are the starts of the load tests as fractions of the time until the deadline.
var loadTestStarts = [...]float64{0.4, 0.65}

// TrialShare returns the share of the requests offered to the new version during the trial: base, or a larger one
// during a load test. If singleServer is true, they are offered to a single server.
func TrialShare(elapsed, within time.Duration, base float64) (share float64, singleServer bool) {
	for _, position := range loadTestStarts {
		start := time.Duration(position * float64(within))
		if elapsed >= start && elapsed < start+loadTestDuration {
			return loadTestShare, true
		}
	}
	return base, false
}

// Version returns the version that runs a request. The draw is uniform in [0, 1) and share is the new version's share
// of the requests during the trial.
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

// Allows reports whether servers of the given version may run requests.
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
