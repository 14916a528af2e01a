package retry

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// DefaultAllowance is the allowance of a client request that carries none.
	DefaultAllowance = 2
	// MaxAllowance bounds what a caller may ask for.
	MaxAllowance = 10

	// lostAttempts stands for an unknown number of attempts. It exceeds every allowance.
	lostAttempts = 1 << 20
)

type (
	// Used is what the subtree below one attempt used, without the attempt itself. It travels in the
	// response header Retries-Used as "extra/attempts".
	Used struct {
		Extra    int // allowance consumed
		Attempts int // attempts made, whether or not they succeeded
	}

	// Allowance is the arithmetic of one outgoing call. It bounds the attempts below a client request: in a
	// chain of d hops with allowance a there are at most d + a attempts, because an attempt that is repeated
	// costs all attempts made in its subtree and itself, and the next one passes on only what is left. The
	// bound holds for chains, and for calls made one after another when each is given what the former ones
	// left. Calls made at the same time each have the whole allowance.
	//
	// A response that was lost, or doesn't say what was used, counts as all used: no attempt follows it at
	// this hop or above.
	Allowance struct {
		left    int
		used    Used
		pending int // cost of repeating the last attempt, when it failed
		below   int // extra attempts below the last attempt, when it failed
	}
)

// NewAllowance returns the arithmetic for a call with the given allowance.
func NewAllowance(left int) *Allowance {
	return &Allowance{left: min(max(left, 0), MaxAllowance)}
}

// ParseLeft reads the header Retries-Left. A missing value means DefaultAllowance; what isn't a number
// means 0.
func ParseLeft(header string) int {
	if header == "" {
		return DefaultAllowance
	}
	n, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return min(max(n, 0), MaxAllowance)
}

// ParseUsed reads the header Retries-Used of a response to an attempt that passed on an allowance.
func ParseUsed(header string, passed int) Used {
	extra, attempts, ok := strings.Cut(header, "/")
	if !ok {
		return Lost(passed)
	}
	e, err := strconv.Atoi(extra)
	if err != nil || e < 0 {
		return Lost(passed)
	}
	n, err := strconv.Atoi(attempts)
	if err != nil || n < 0 {
		return Lost(passed)
	}
	return Used{Extra: min(e, passed), Attempts: min(n, lostAttempts)}
}

// Lost is what counts as used below an attempt without an answer.
func Lost(passed int) Used { return Used{Extra: passed, Attempts: lostAttempts} }

// String returns the value of the header Retries-Used.
func (u Used) String() string { return fmt.Sprintf("%d/%d", u.Extra, u.Attempts) }

// Add returns the sum, for a backend server that makes several calls for one request.
func (u Used) Add(other Used) Used {
	return Used{Extra: u.Extra + other.Extra, Attempts: min(u.Attempts+other.Attempts, lostAttempts)}
}

// Pass returns the value of the header Retries-Left for the next attempt.
func (a *Allowance) Pass() int { return a.left }

// Succeeded records the last attempt.
func (a *Allowance) Succeeded(u Used) {
	a.used = a.used.Add(Used{Extra: u.Extra, Attempts: u.Attempts + 1})
	a.left = max(a.left-u.Extra, 0)
}

// Failed records an attempt that did not succeed. An attempt that ended with OutcomeNotRun has used nothing
// below it: its subtree is the zero Used, whether or not an answer came.
func (a *Allowance) Failed(u Used) {
	a.used = a.used.Add(Used{Attempts: u.Attempts + 1})
	a.pending = u.Attempts + 1
	a.below = u.Extra
}

// Enough reports whether the allowance covers another attempt after a failed one.
func (a *Allowance) Enough() bool { return a.pending <= a.left }

// Retry begins another attempt after a failed one. It reports false when the allowance does not cover it.
func (a *Allowance) Retry() bool {
	if !a.Enough() {
		return false
	}
	a.left -= a.pending
	a.used.Extra += a.pending
	a.pending, a.below = 0, 0
	return true
}

// Used returns what the call has used, for the header Retries-Used of its response.
func (a *Allowance) Used() Used { return a.used.Add(Used{Extra: a.below}) }
