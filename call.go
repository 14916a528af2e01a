package shunt

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Classes of a route, most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBackground
	NumClasses = 3
)

// Outcomes of a call.
const (
	// OutcomeOK means that the backend server answered below status 500.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the backend server answered with status 500 or above.
	OutcomeFailed
	// OutcomeNotRun means that the request provably never reached a backend server.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	NumOutcomes = 4
)

// Verdicts on a claim.
const (
	// ClaimFirst means that the request is the first with its key and may run.
	ClaimFirst ClaimVerdict = iota
	// ClaimRepeat means that another request with the key was first; it must not run.
	ClaimRepeat
	// ClaimMismatch means that the key was used for another body.
	ClaimMismatch
)

// States of the first request with a key, as a repeat learns them.
const (
	ClaimRunning ClaimState = iota
	ClaimRan
	ClaimUnknown
)

type (
	// Class is the urgency of a route's requests.
	Class uint8

	// Outcome is how a call ended.
	Outcome uint8

	// ClaimVerdict is the answer to a claim.
	ClaimVerdict uint8

	// ClaimState is what is known of the first request with a key.
	ClaimState uint8

	// Contract is what a caller may rely on for the requests of a route.
	Contract struct {
		Repeatable bool
		Class      Class
		Timeout    time.Duration
	}

	// Target is where a request goes: the route it matched and the version chosen for it.
	Target struct {
		Service  string
		Route    string
		Version  string
		Move     string // open move that the version belongs to, empty when none
		Contract Contract
	}

	// RouteError means that the configuration has no target for a request.
	RouteError struct {
		Method string
		Path   string
		Reason string
	}

	// Router chooses targets from one immutable configuration.
	Router interface {
		// Offset returns the log offset of the configuration.
		Offset() Offset
		// Route returns the target of a request. Draw is uniform in [0, 1) and decides between the
		// versions of an open move. It returns a *RouteError when no route matches or the service is closing.
		Route(method, path string, draw float64) (Target, error)
	}

	// Source gives the current configuration.
	Source interface {
		// Router returns the current configuration, or an error that says why the node must not serve yet.
		Router() (Router, error)
	}

	// Admitter decides whether a request may run on the node's own backend server.
	Admitter interface {
		// Acquire waits for a slot until the context's deadline. It returns ErrNotAdmitted, wrapped, when
		// the request cannot start in time, the server is leaving or the queue is full. The request has
		// then not run.
		Acquire(ctx context.Context, class Class) (Ticket, error)
		// Load returns the load on the server.
		Load() Load
	}

	// Ticket is an admitted request. Done must be called exactly once; further calls have no effect.
	Ticket interface {
		Done(Sample)
	}

	// Sample is what one finished request showed of a backend server.
	Sample struct {
		Latency time.Duration // time to the first byte of the answer
		Shed    bool          // the backend server refused the request because of load
		Failed  bool          // status 500 or above, a broken connection or a timeout
		Ignore  bool          // cancelled by the caller: says nothing about the server
	}

	// Load is the load on one backend server as its node sees it.
	Load struct {
		InFlight int
		Limit    int
		Queued   int
	}

	// Picker chooses a server for one attempt.
	Picker interface {
		// Pick returns a server among the candidates, or false when none may take the request. Skip holds
		// the control addresses already tried.
		Pick(candidates []Member, skip []string) (Member, bool)
		// Started counts an attempt sent to a server.
		Started(control string)
		// Finished ends an attempt. Load is nil when the answer carried none.
		Finished(control string, s Sample, load *Load)
	}

	// ClaimRequest asks whether a caller's request is the first with its key.
	ClaimRequest struct {
		Key       string // caller's key, qualified by the route's name
		BodyHash  string // hash of what the caller asked: method, path and body
		RequestID string
	}

	// ClaimAnswer is the answer to a ClaimRequest.
	ClaimAnswer struct {
		Verdict   ClaimVerdict
		State     ClaimState // with ClaimRepeat
		Status    int        // with ClaimRan: HTTP status that the first request got
		RequestID string     // the first request's identifier
	}

	// Settlement records how a claimed request ended. OutcomeNotRun frees the key.
	Settlement struct {
		Key       string
		RequestID string
		Outcome   Outcome
		Status    int
	}

	// Claimer suppresses a caller's own repeats of a non-repeatable request.
	Claimer interface {
		// Claim returns an error when no verdict could be reached; the request must then be refused as not run.
		Claim(ctx context.Context, r ClaimRequest) (ClaimAnswer, error)
		// Settle records an outcome. It is retried in the background and returns at once.
		Settle(s Settlement)
	}

	// Call is one finished call as counted by one side.
	Call struct {
		Service   string
		Route     string
		Version   string
		Domain    string // failure domain of the server
		Outcome   Outcome
		Latency   time.Duration
		At        time.Time
		RequestID string
		Warm      bool // whether the server had finished its ramp
	}

	// Counter counts calls.
	Counter interface {
		// Sent counts a call at the outbound half.
		Sent(c Call)
		// Ran counts a call at the inbound half.
		Ran(c Call)
	}

	// Fact is something that, once true, stays true, and that spreads without the log.
	Fact struct {
		Kind    string // FactHalt or FactStop
		Move    string // name of the move
		Version Offset // offset of the move's publish record
		Node    string // control address of the node that found it
		Domain  string // failure domain of that node
		Reason  string
		At      time.Time
	}

	// Facts holds the facts known to this node.
	Facts interface {
		// Halted reports whether the move, as published at the given offset, must receive no more traffic
		// from this node.
		Halted(move string, version Offset) bool
		// Add records a fact and spreads it.
		Add(f Fact)
		// List returns all facts known.
		List() []Fact
	}
)

// Kinds of facts.
const (
	// FactHalt stops a move on every node.
	FactHalt = "halt"
	// FactStop says that one node stopped sending to a move's new version on its own evidence. Stops in two
	// failure domains halt the move everywhere.
	FactStop = "stop"
)

// ErrNotAdmitted means that a request was refused before it reached the backend server.
var ErrNotAdmitted = errors.New("not admitted")

func (e *RouteError) Error() string {
	return fmt.Sprintf("no target for %s %q: %s", e.Method, e.Path, e.Reason)
}

func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBackground:
		return "background"
	default:
		return "unknown"
	}
}

func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeFailed:
		return "failed"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}
