// Package shift decides the phases in which a service's traffic moves from one version of its backend servers to
// another within seconds. It does no I/O; the observations and the time are passed in.
package shift

import (
	"cmp"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
)

// Phases of a move, in order.
const (
	// Trial sends a small share of the requests to the new version.
	Trial Phase = "trial"
	// Switch announces that the new version takes over shortly before the deadline. The old one remains in use until
	// then, and completes its running requests.
	Switch Phase = "switch"
	// Complete ends the move with the new version in use. The servers of the old version may stop.
	Complete Phase = "complete"
	// RolledBack ends the move with the old version in use.
	RolledBack Phase = "back"
	// Closed follows Complete if the new version fails and no other is left: its servers get no more requests.
	Closed Phase = "closed"
)

// Stages of the new version's use, in order.
const (
	// Sample offers the new version a small share of the requests.
	Sample Stage = iota
	// LoadTest offers a single server of the new version as many requests as it has to expect, because some faults occur
	// under load only.
	LoadTest
	// Takeover sends all requests to the new version, as far as its allowance goes.
	Takeover
)

// Times before the deadline of a move. What the new version gets from the takeover on counts against its allowance, so
// the takeover is as late as the completion permits.
const (
	// switchLead is the time before the deadline from which the switch is announced. It covers the failover of the
	// deciding node and the spreading of the announcement.
	switchLead = 3500 * time.Millisecond
	// minSwitch is the least time from the announcement to the completion, in which all nodes learn of it.
	minSwitch = 700 * time.Millisecond
	// loadTestLead and loadTestEnd are the times before the deadline at which the load test begins and ends.
	loadTestLead = 2100 * time.Millisecond
	loadTestEnd  = 1500 * time.Millisecond
	// unclearWait is how long the completion waits at most for the outcome of recent failures.
	unclearWait = 200 * time.Millisecond
	// completeShare is the time before the deadline at which the move completes, as a share of the whole time: the
	// allowance grows with that as well. minCompleteLead and maxCompleteLead bound it. The time covers the writes to the
	// store, those of another node in the place of the first, and the operator's reading.
	completeShare   = 1.0 / 16
	minCompleteLead = 900 * time.Millisecond
	maxCompleteLead = time.Second
)

const (
	// sampleOffer is the share of the requests that is offered to the new version during the trial. The allowance takes
	// less of them, unless the service has few requests.
	sampleOffer = 0.2
	// loadTestOffer is the largest share of the service's requests offered to the one server under load test, and
	// loadTestFactor the multiple of the share that a server of the new version gets after the takeover.
	loadTestOffer  = 0.4
	loadTestFactor = 2
	// drainFactor is the multiple of a request's expected duration for which the old version is left to complete it.
	// minDrain and maxDrain bound the result.
	drainFactor = 2.5
	minDrain    = 150 * time.Millisecond
	maxDrain    = time.Second
	// minSwitchRequests and minTrialRequests are the minimum numbers of requests to the new version, with or without an
	// answer, before the switch is announced and before the completion. The load test and the takeover add to them.
	minSwitchRequests = 10
	minTrialRequests  = 20
	// maxFailureShare and minFailures end a move without a comparison of the versions: at least minFailures failures
	// that make up at least maxFailureShare of the recent requests are not due to chance. They may be due to a failure that
	// both versions share unless their share is commonMultiple of the old version's.
	maxFailureShare = 0.2
	commonMultiple  = 3
	minFailures     = 8
	// unclearShare and unclearFailures are the least failures for which the completion waits, because many requests of
	// the takeover are still without an answer. After the wait, minFailures end the move if their share is that large and
	// at least unclearMultiple of the old version's.
	unclearShare    = 0.05
	unclearFailures = 4
	unclearMultiple = 4
)

// phaseOrder orders the phases of a move.
var phaseOrder = map[Phase]int{Trial: 1, Switch: 2, RolledBack: 3, Complete: 4, Closed: 5}

type (
	// Phase is the phase of a move.
	Phase string

	// Stage is the stage of the new version's use within a phase.
	Stage int

	// Record is the state of a move in the store.
	Record struct {
		Order  int64  `json:"order"` // offset of the order in the topic of the operator's records
		From   string `json:"from"`  // version in use before the move; without one, no move begins
		Target string `json:"target"`
		Phase  Phase  `json:"phase"`
		Began  int64  `json:"began"` // Unix time in milliseconds, by the clock of the node that began the move
		Why    string `json:"why,omitempty"`
		// Elapsed is the time since the order in milliseconds, by the steady clock of the node that wrote the record.
		Elapsed int64 `json:"elapsed,omitempty"`
		// Era is that of the offset Order, 0 if unknown.
		Era int64 `json:"era,omitempty"`
		// Again and AgainEra are the position at which the operator has written the order again after the store was
		// restored, if a node knew of it when it wrote the record.
		Again    int64 `json:"again,omitempty"`
		AgainEra int64 `json:"againEra,omitempty"`
		// FromClosed is set if the version in use before the move is closed.
		FromClosed bool `json:"fromClosed,omitempty"`
	}

	// Progress is what a node knows of a move when it chooses the version for a request.
	Progress struct {
		Elapsed    time.Duration // since the order
		Within     time.Duration // deadline of the move, counted from the order
		Work       time.Duration // expected duration of the request
		NewServers int           // servers of the new version that accept requests
	}

	// Offer is the share of the requests that is offered to the new version.
	Offer struct {
		Stage Stage
		Share float64
	}

	// Observations are a node's observations of a move, from which it decides the next phase.
	Observations struct {
		Elapsed  time.Duration // since the order
		InPhase  time.Duration // since this node received the current phase
		Within   time.Duration // deadline of the move, counted from the order
		Verdict  canary.Kind
		Answers  uint64  // requests to the new version, with or without an answer
		Recent   uint64  // recent requests to the new version, with or without an answer
		Failures uint64  // failures among the recent requests
		OldShare float64 // share of the requests to the old version that failed
		NewReady int     // servers of the new version that accept requests
		Halted   bool    // a node has found the new version bad, see Feed.Halt in package meshd
		Failing  bool    // see Evidence.Failing
		Worse    bool    // see Evidence.Worse
	}
)

// CanReplace reports whether the record may replace the stored one. A move begins once and ends once: a node that has
// not yet received the stored record must not begin the move again.
func (r *Record) CanReplace(stored Record) bool {
	if c := r.compareOrder(stored); c != 0 {
		return c > 0
	}
	if r.From != stored.From || stored.Phase == r.Phase {
		return false
	}
	if r.Phase == Closed {
		return stored.Phase == Complete
	}
	return !stored.Phase.Ended() && r.Phase != Trial
}

// Position returns the position of the order, which identifies the move.
func (r *Record) Position() shunt.Position { return shunt.Position{Era: r.Era, Offset: r.Order} }

// compareOrder compares the order of the move with that of another one.
func (r *Record) compareOrder(other Record) int {
	if r.Position().SameEra(other.Position()) {
		return cmp.Compare(r.Order, other.Order)
	}
	return cmp.Compare(r.Era, other.Era)
}

// IsOlder reports whether the record's move was ordered before that of another record, or is the same one in an earlier
// phase. Nodes that know of different ends of a move, because the store was restored between them, agree on the completion:
// after it the old servers stop.
func (r *Record) IsOlder(other Record) bool {
	if c := r.compareOrder(other); c != 0 {
		return c < 0
	}
	return phaseOrder[r.Phase] < phaseOrder[other.Phase]
}

// Ended reports whether the move has ended. The only phase that may follow is Closed, after Complete.
func (p Phase) Ended() bool { return p == Complete || p == RolledBack || p == Closed }

// Valid reports whether p is one of the phases.
func (p Phase) Valid() bool { return p == Trial || p == Switch || p.Ended() }

// completeLead returns the time before the deadline at which a move completes.
func completeLead(within time.Duration) time.Duration {
	return min(max(time.Duration(completeShare*float64(within)), minCompleteLead), maxCompleteLead)
}

// Next returns the phase that follows from the observations, and the reason if it differs from the current one.
func (r *Record) Next(f Observations) (Phase, string) {
	bad := f.Halted || f.Verdict == canary.Bad ||
		f.Failures >= minFailures &&
			float64(f.Failures) >= max(maxFailureShare, commonMultiple*f.OldShare)*float64(f.Recent)
	switch {
	case r.Phase == Complete && f.Failing:
		return Closed, "version fails and no other one is left"
	case r.Phase.Ended():
		return r.Phase, ""
	case bad:
		return RolledBack, "new version fails or is slow"
	case f.Elapsed >= f.Within:
		return RolledBack, "not completed by the deadline"
	case r.Phase == Trial && f.Elapsed >= f.Within-switchLead && f.Elapsed <= f.Within-completeLead(f.Within)-minSwitch &&
		f.NewReady > 0 && f.Answers >= minSwitchRequests && f.Worse:
		return RolledBack, "new version fails more than the old one or is slower"
	case r.Phase == Trial && f.Elapsed >= f.Within-switchLead && f.Elapsed <= f.Within-completeLead(f.Within)-minSwitch &&
		f.NewReady > 0 && f.Answers >= minSwitchRequests:
		return Switch, "trial showed no fault"
	case r.Phase == Switch && f.Elapsed >= f.Within-completeLead(f.Within) && f.InPhase >= minSwitch &&
		f.Answers >= minTrialRequests:
		return f.complete()
	}
	return r.Phase, ""
}

// complete returns the phase after the takeover. It waits while failures are unclear.
func (f *Observations) complete() (Phase, string) {
	share := float64(f.Failures) / float64(max(f.Recent, 1))
	unclear := f.Failures >= unclearFailures && share >= unclearShare
	switch {
	case f.Worse:
		return RolledBack, "new version fails more than the old one or is slower"
	case unclear && f.Elapsed < f.Within-completeLead(f.Within)+unclearWait:
		return Switch, ""
	case unclear && f.Failures >= minFailures && share >= unclearMultiple*f.OldShare:
		return RolledBack, "new version fails more than the old one"
	}
	return Complete, "new version has taken over"
}

// Offer returns the share of the requests that is offered to the new version. It is 0 from the deadline on unless the
// move is known to be complete: the old version is in use until then.
func (r *Record) Offer(p Progress) Offer {
	switch r.Phase {
	case Complete:
		return Offer{Stage: Takeover, Share: 1}
	case Trial:
		return Offer{Stage: Sample, Share: sampleOffer}
	case Switch:
		drain := min(max(time.Duration(drainFactor*float64(p.Work)), minDrain), maxDrain)
		switch {
		case p.Elapsed >= p.Within:
			return Offer{}
		case p.Elapsed >= p.Within-completeLead(p.Within)-drain:
			return Offer{Stage: Takeover, Share: 1}
		case p.Elapsed >= p.Within-loadTestLead && p.Elapsed < p.Within-loadTestEnd && p.NewServers > 0:
			return Offer{Stage: LoadTest, Share: min(loadTestOffer, loadTestFactor/float64(p.NewServers))}
		default:
			return Offer{Stage: Sample, Share: sampleOffer}
		}
	default:
		return Offer{}
	}
}

// InUse returns the version that is in use apart from what a trial gets.
func (r *Record) InUse() string {
	if r.Phase == Complete || r.Phase == Closed {
		return r.Target
	}
	return r.From
}

// Allows reports whether servers of the given version may run requests.
func (r *Record) Allows(version string) bool {
	old := version == r.From && !r.FromClosed
	switch r.Phase {
	case Trial, Switch:
		return old || version == r.Target
	case Complete:
		return version == r.Target
	case Closed:
		return false
	default:
		return old
	}
}

// Begin returns the record of a new move.
func Begin(o shunt.ShiftOrder, from string, now time.Time) Record {
	return Record{Order: o.Offset, Era: o.Era, From: from, Target: o.Target, Phase: Trial, Began: now.UnixMilli()}
}
