package retry

import (
	"time"

	"tanagershunt.example/shunt"
)

// MaxAttempts bounds the attempts of one call at one hop.
const MaxAttempts = 4

// Reasons for a Decision.
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

	// Attempt is what is known after an attempt ended.
	Attempt struct {
		Contract  shunt.Contract
		Outcome   shunt.Outcome
		Enough    bool          // whether the allowance covers another attempt
		Tokens    float64       // of the node's budget
		Remaining time.Duration // until the call's deadline
		Attempts  int           // made so far at this hop, including this one
	}
)

// Decide returns ReasonRetry when another attempt may follow, otherwise why not. A request on a
// non-repeatable route is attempted again only when it provably did not run. The caller then takes the
// token with Budget.Take and the cost with Allowance.Retry.
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
