// Package proxy holds the two HTTP halves of a node: outbound takes calls from callers and sends them to a
// server's node, inbound takes calls from other nodes and runs them on the node's own backend server.
package proxy

import "tanagershunt.example/shunt"

// Headers of the system, in canonical form.
const (
	// HeaderRequestID identifies a request on its way through all nodes. Answers repeat it.
	HeaderRequestID = "Tanager-Request-Id"
	// HeaderAttempt is the number of the attempt, from 1.
	HeaderAttempt = "Tanager-Attempt"
	// HeaderTimeout is the time left for the request in milliseconds.
	HeaderTimeout = "Tanager-Timeout-Ms"
	// HeaderHops is how many nodes the request has entered.
	HeaderHops = "Tanager-Hops"
	// HeaderRetriesLeft is how many further attempts the request and the calls made for it may take.
	HeaderRetriesLeft = "Tanager-Retries-Left"
	// HeaderRetriesUsed is how many of them were taken. Answers carry it.
	HeaderRetriesUsed = "Tanager-Retries-Used"
	// HeaderClass is the class of the request's route.
	HeaderClass = "Tanager-Class"
	// HeaderRoute is the name of the request's route. The inbound half counts by it.
	HeaderRoute = "Tanager-Route"
	// HeaderVersion is the version that must run the request, and in answers the one that did.
	HeaderVersion = "Tanager-Version"
	// HeaderConfig is the log offset of the configuration that routed the request.
	HeaderConfig = "Tanager-Config"
	// HeaderOutcome is what is known of the request. It is set on every error that the system makes.
	HeaderOutcome = "Tanager-Outcome"
	// HeaderFirstStatus is the HTTP status that the first request with the same key got.
	HeaderFirstStatus = "Tanager-First-Status"
	// HeaderReason says in words why the system made an error.
	HeaderReason = "Tanager-Reason"
	// HeaderLoad is the load on the server as in flight/limit/queued. Answers between nodes carry it.
	HeaderLoad = "Tanager-Load"
	// HeaderKey is the caller's key. Of all requests with one key on one route at most one runs.
	HeaderKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that no backend server ran the request, and none will.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown = "unknown"
	// OutcomeRepeatRan means that the first request with the key ran and this one did not.
	OutcomeRepeatRan = "repeat-ran"
	// OutcomeRepeatRunning means that the first request with the key still runs and this one did not.
	OutcomeRepeatRunning = "repeat-running"
)

// MaxHops is the number of nodes that a request may enter. Calls are up to 18 deep; more than 32 is a cycle.
const MaxHops = 32

// prefix starts the names of all headers of the system.
const prefix = "Tanager-"

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
