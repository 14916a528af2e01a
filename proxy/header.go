// Package proxy implements the two HTTP proxies of a node. The outbound proxy receives calls from callers and sends
// them to the node of a server; the inbound proxy receives calls from other nodes and forwards them to the node's own
// backend server.
package proxy

import "tanagershunt.example/shunt"

// Headers between callers, nodes and backend servers, in canonical form.
const (
	// HeaderRequestID identifies a request across all nodes. Responses repeat it.
	HeaderRequestID = "Tanager-Request-Id"
	// HeaderAttempt is the number of the attempt, counted from 1.
	HeaderAttempt = "Tanager-Attempt"
	// HeaderTimeout is the time remaining for the request in milliseconds.
	HeaderTimeout = "Tanager-Timeout-Ms"
	// HeaderHops is the number of nested calls so far. Each outbound proxy adds 1.
	HeaderHops = "Tanager-Hops"
	// HeaderRetriesLeft is the number of further attempts allowed for the request and the calls made on its behalf.
	HeaderRetriesLeft = "Tanager-Retries-Left"
	// HeaderRetriesUsed is set on responses in the format used/attempts: used is how many of the attempts allowed by
	// HeaderRetriesLeft were spent; attempts counts all attempts, first ones included, of the calls made for the
	// request.
	HeaderRetriesUsed = "Tanager-Retries-Used"
	// HeaderClass is the priority class of the request's route.
	HeaderClass = "Tanager-Class"
	// HeaderRoute is the name of the request's route. The inbound proxy counts calls by it.
	HeaderRoute = "Tanager-Route"
	// HeaderVersion is the version that must run the request; in responses, the version that ran it.
	HeaderVersion = "Tanager-Version"
	// HeaderConfigOffset is the log offset of the configuration that routed the request.
	HeaderConfigOffset = "Tanager-Config"
	// HeaderOutcome is the outcome of the request. It is set on every error response that a proxy generates.
	HeaderOutcome = "Tanager-Outcome"
	// HeaderFirstStatus is the HTTP status of the first request with the same idempotency key.
	HeaderFirstStatus = "Tanager-First-Status"
	// HeaderReason describes why a proxy generated an error response.
	HeaderReason = "Tanager-Reason"
	// HeaderLoad is the load on the server as in flight/limit/queued. It is set on responses between nodes.
	HeaderLoad = "Tanager-Load"
	// HeaderIdempotencyKey is the caller's idempotency key. At most one request per key runs on each non-repeatable
	// route. Repeatable routes ignore the key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that no backend server ran the request, and none will.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may or may not have run. For a repeat (status 409) it means that the
	// state of the first request with the key is unknown and that the repeat did not run.
	OutcomeUnknown = "unknown"
	// OutcomeRepeatRan means that the first request with the key ran and this one did not.
	OutcomeRepeatRan = "repeat-ran"
	// OutcomeRepeatRunning means that the first request with the key is still running and this one did not run.
	OutcomeRepeatRunning = "repeat-running"
)

// MaxHops is the deepest allowed nesting of calls. Real call chains are at most 18 deep, so more than 32 indicates a
// cycle.
const MaxHops = 32

// headerPrefix is the common prefix of the proxy's header names.
const headerPrefix = "Tanager-"

func parseClass(s string) shunt.Class {
	switch s {
	case shunt.ClassUrgent.String():
		return shunt.ClassUrgent
	case shunt.ClassBackground.String():
		return shunt.ClassBackground
	default:
		return shunt.ClassNormal
	}
}
