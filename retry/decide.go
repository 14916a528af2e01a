package retry

import (
	"time"

	"tanagershunt.example/shunt"
)

// MaxAttempts is the maximum number of attempts of one call at one hop.
const MaxAttempts = 4

// Reasons returned by Decide.
const (
	ReasonRetry         Reason = "retry"
	ReasonAnswered      Reason = "answered"
	ReasonNotRepeatable Reason = "route is not repeatable and the request may have run"
	ReasonAttempts      Reason = "attempts are used up"
	ReasonAllowance     Reason = "allowance is used up"
	ReasonBudget        Reason = "node's retry budget is used up"
	ReasonTime          Reason = "too little time remains"
)

type (
	// Reason says why another attempt may or may not follow.
	Reason string

	// Attempt describes a completed attempt and the conditions for another.
	Attempt struct {
		Contract  shunt.RoutePolicy
		Outcome   shunt.Outcome
		Enough    bool          // the allowance covers another attempt
		Tokens    float64       // in the node's retry budget
		Remaining time.Duration // until the call's deadline
		Attempts  int           // at this hop so far, including this one
	}
)

// Decide returns ReasonRetry if another attempt may follow, otherwise the reason against it. A request on a
// non-repeatable route is retried only if it provably did not run. On ReasonRetry the caller takes a token with
// Budget.Take and charges the cost with Allowance.Retry.
func Decide(a Attempt) Reason {
	switch {
	case a.Outcome == shunt.OutcomeOK:
		return ReasonAnswered
	case a.Outcome != shunt.OutcomeNotRun && !a.Contract.Repeatable:
		return ReasonNotRepeatable
	case a.Attempts >= MaxAttempts:
		return ReasonAttempts
	case !a.Enough:
		return ReasonAllowance
	case a.Remaining < MinRemaining:
		return ReasonTime
	case a.Tokens < 1:
		return ReasonBudget
	default:
		return ReasonRetry
	}
}
