package agent

import (
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/retry"
)

type (
	// budget gives the outbound half the node's retry budget.
	budget struct{ tokens *retry.Budget }

	// retries follows the attempts of one request.
	retries struct {
		tokens    *retry.Budget
		allowance *retry.Allowance
		last      retry.Used // of the attempt that ended last
	}
)

// Start implements proxy.Budget.
func (b budget) Start(left int) proxy.Retries {
	b.tokens.Call()
	if left < 0 {
		left = retry.DefaultAllowance
	}
	return &retries{tokens: b.tokens, allowance: retry.NewAllowance(min(left, retry.MaxAllowance))}
}

// Left implements proxy.Retries.
func (r *retries) Left() int { return r.allowance.Pass() }

// Returned implements proxy.Retries.
func (r *retries) Returned(used int) {
	if used < 0 {
		r.last = retry.Lost(r.allowance.Pass())
		return
	}
	r.last = retry.Used{Extra: used, Attempts: used}
}

// Again implements proxy.Retries.
func (r *retries) Again() bool {
	r.allowance.Failed(r.last)
	r.last = retry.Used{}
	return r.allowance.Enough() && r.tokens.Take() && r.allowance.Retry()
}

// Used implements proxy.Retries.
func (r *retries) Used() int { return r.allowance.Used().Extra + r.last.Extra }
