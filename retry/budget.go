// Package retry decides whether a failed attempt may be retried.
package retry

import "sync"

const (
	// BudgetRatio is the number of retries that each call of a node adds to the budget.
	BudgetRatio = 0.1
	// BudgetBurst is the number of retries in the initial budget, so that a node with few calls can retry at all.
	BudgetBurst = 10
	// BudgetMax is the largest number of retries in the budget. It limits the burst after a quiet period. It equals
	// the retries that a node with 148 calls per second adds to the budget in about 2 s.
	BudgetMax = 30
)

// Budget is a token bucket that is filled by calls instead of time: n calls allow at most BudgetBurst + BudgetRatio*n
// retries. Its zero value holds BudgetBurst tokens and is ready to use. The outbound proxy of tsnode uses it; the mesh
// daemon uses SlidingBudget.
type Budget struct {
	mu     sync.Mutex
	tokens float64 // available tokens minus BudgetBurst, so that the zero value holds BudgetBurst
}

// RecordCall records a first attempt, which adds BudgetRatio to the budget.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+BudgetRatio, BudgetMax-BudgetBurst)
}

// Tokens returns the number of retries available now.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens + BudgetBurst
}

// Take removes the token of one retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens+BudgetBurst < 1 {
		return false
	}
	b.tokens--
	return true
}
