// Package retry decides whether a failed attempt may be followed by another.
package retry

import "sync"

const (
	// BudgetRatio is the share of a node's calls that may be retries.
	BudgetRatio = 0.1
	// BudgetBurst is the number of retries that a node may always make in a row, so that a node with few
	// calls can retry at all.
	BudgetBurst = 10
	// BudgetMax bounds the retries saved up while nothing failed. It is about 2 s worth of the retries
	// of a node with 148 calls a second.
	BudgetMax = 30
)

// Budget is a token bucket that is filled by calls instead of time: over n calls at most
// BudgetBurst + BudgetRatio*n retries are made. Its zero value is full to BudgetBurst and ready to use.
type Budget struct {
	mu      sync.Mutex
	balance float64 // tokens above BudgetBurst
}

// Call counts a first attempt.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+BudgetRatio, BudgetMax-BudgetBurst)
}

// Tokens returns the number of retries that may be made now.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance + BudgetBurst
}

// Take takes the token of one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance+BudgetBurst < 1 {
		return false
	}
	b.balance--
	return true
}
