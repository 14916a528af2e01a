package shunt

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Priority classes of a route, from the highest to the lowest priority.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBackground
	NumClasses = 3
)

// Outcomes of a call.
const (
	// OutcomeOK means that the backend server responded with a status below 500.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the backend server responded with status 500 or above.
	OutcomeFailed
	// OutcomeNotRun means that the request was not executed and will not be executed later.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have been executed.
	OutcomeUnknown
	NumOutcomes = 4
)

// Results of a claim on an idempotency key.
const (
	// ClaimFirst means that the request is the first with its key and may be executed.
	ClaimFirst ClaimVerdict = iota
	// ClaimRepeat means that another request has already claimed the key; this one must not be executed.
	ClaimRepeat
	// ClaimMismatch means that the key was already used with a different body.
	ClaimMismatch
)

// States of the first request with a key, as reported to a later request with the same key.
const (
	ClaimRunning ClaimState = iota
	ClaimRan
	ClaimUnknown
)

type (
	// Class is the priority class of a route's requests.
	Class uint8

	// Outcome is the result of a call.
	Outcome uint8

	// ClaimVerdict is the result of a claim.
	ClaimVerdict uint8

	// ClaimState is the state of the first request with a key.
	ClaimState uint8

	// RoutePolicy holds the guarantees that a route gives to its callers.
	RoutePolicy struct {
		Repeatable bool
		Class      Class
		Timeout    time.Duration
	}

	// Target is the routing result of a request: the matched route and the selected service version. A move shifts a
	// service's requests from one version to another.
	Target struct {
		Service  string
		Route    string
		Version  string
		Move     string // name of the open move that the version belongs to, empty if none
		Contract RoutePolicy
	}

	// RouteError means that no target is configured for a request.
	RouteError struct {
		Method string
		Path   string
		Reason string
	}

	// Router selects targets from one immutable configuration.
	Router interface {
		// Offset returns the log offset of the configuration.
		Offset() Offset
		// Route returns the target of a request. Draw is uniform in [0, 1) and selects one of the
		// versions of an open move. It returns a *RouteError if no route matches or the service is closing.
		Route(method, path string, draw float64) (Target, error)
	}

	// RouterSource provides the current configuration.
	RouterSource interface {
		// Router returns the current configuration, or an error with the reason why the node must not serve yet.
		Router() (Router, error)
	}

	// Admitter performs admission control for the node's own backend server.
	Admitter interface {
		// Acquire waits for a slot until the context's deadline. It returns a wrapped ErrNotAdmitted if
		// the request cannot start in time, the server is draining or the queue is full. The request was
		// not executed in these cases.
		Acquire(ctx context.Context, class Class) (Ticket, error)
		// Load returns the current load of the server.
		Load() Load
	}

	// Ticket is an admitted request. Done must be called; only the first call has an effect.
	Ticket interface {
		Done(Sample)
	}

	// Sample is the measurement of a backend server taken from one finished request.
	Sample struct {
		Latency time.Duration // time to the first byte of the response
		Shed    bool          // the backend server rejected the request because of overload
		Failed  bool          // status 500 or above, a broken connection or a timeout
		Ignore  bool          // cancelled by the caller; not a measurement of the server
	}

	// Load is the load of one backend server, measured by its node.
	Load struct {
		InFlight int
		Limit    int
		Queued   int
	}

	// Picker selects a server for one attempt.
	Picker interface {
		// Pick returns one of the candidates, or false if none of them may receive the request. Skip holds
		// the control addresses that were already tried.
		Pick(candidates []Member, skip []string) (Member, bool)
		// Started records that an attempt was sent to a server.
		Started(control string)
		// Finished records the end of an attempt. Load is nil if the response contained none.
		Finished(control string, s Sample, load *Load)
	}

	// ClaimRequest asks whether a request is the first with its idempotency key.
	ClaimRequest struct {
		Key       string // caller's key, prefixed with the route's name
		BodyHash  string // hash of method, path and body
		RequestID string
	}

	// ClaimResult is the response to a ClaimRequest.
	ClaimResult struct {
		Verdict   ClaimVerdict
		State     ClaimState // set with ClaimRepeat
		Status    int        // set with ClaimRan: HTTP status of the first request's response
		RequestID string     // identifier of the first request
	}

	// ClaimOutcome is the final result of a claimed request. OutcomeNotRun releases the key.
	ClaimOutcome struct {
		Key       string
		RequestID string
		Outcome   Outcome
		Status    int
	}

	// Claimer deduplicates retries of a request that must run at most once, by idempotency key.
	Claimer interface {
		// Claim returns an error if no verdict was obtained; the request must then be rejected as not executed.
		Claim(ctx context.Context, r ClaimRequest) (ClaimResult, error)
		// Settle records an outcome. It returns immediately and retries in the background.
		Settle(s ClaimOutcome)
	}

	// Call is one finished call as counted by the sending or by the receiving node.
	Call struct {
		Service   string
		Route     string
		Version   string
		Domain    string // failure domain of the server
		Outcome   Outcome
		Latency   time.Duration
		At        time.Time
		RequestID string
		Warm      bool // whether the server had completed its warm-up
	}

	// Counter counts calls.
	Counter interface {
		// Sent counts a call on the outbound side.
		Sent(c Call)
		// Received counts a call on the inbound side.
		Received(c Call)
	}

	// Fact is a statement that never becomes false again. Facts propagate between nodes without the log.
	Fact struct {
		Kind    string // FactHalt or FactStop
		Move    string // name of the move
		Version Offset // offset of the record that published the move
		Node    string // control address of the node that created the fact
		Domain  string // failure domain of that node
		Reason  string
		At      time.Time
	}

	// Facts holds the facts that this node has recorded or received.
	Facts interface {
		// Halted reports whether this node must stop sending traffic to the move published at the given
		// offset.
		Halted(move string, version Offset) bool
		// Add records a fact and propagates it to other nodes.
		Add(f Fact)
		// List returns all recorded facts.
		List() []Fact
	}
)

// Kinds of facts.
const (
	// FactHalt halts a move on every node.
	FactHalt = "halt"
	// FactStop means that one node stopped sending to a move's new version because of its own measurements.
	// Stops in two failure domains halt the move on every node.
	FactStop = "stop"
)

// ErrNotAdmitted means that a request was rejected before it reached the backend server.
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
