package retry

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// DefaultAllowance is the retry allowance of a request without the header Retries-Left.
	DefaultAllowance = 2
	// MaxAllowance is the largest allowance that a caller may request.
	MaxAllowance = 10

	// unknownAttempts represents an unknown number of attempts. It exceeds every allowance.
	unknownAttempts = 1 << 20
)

type (
	// Usage counts the attempts in the call subtree below one attempt, without that attempt. It is sent in the response
	// header Retries-Used as "extra/attempts".
	Usage struct {
		Extra    int // allowance consumed
		Attempts int // attempts made, whether or not they succeeded
	}

	// Allowance accounts for the retries of one outgoing call. It bounds the attempts caused by a client request: in a
	// chain of d hops with allowance a there are at most d + a attempts, because a retry costs 1 plus the number of
	// attempts below the failed one, and the next attempt passes on only the remaining allowance. The bound holds for
	// chains, and for sequential calls if each receives the allowance left by the previous ones. Concurrent calls each
	// receive the whole allowance.
	//
	// After a lost response, or one without valid usage, the number of attempts is unknown and counts as more than every
	// allowance: no retry follows at this hop or above.
	Allowance struct {
		left        int
		used        Usage
		retryCost   int // cost of a retry if the last attempt failed
		failedExtra int // extra attempts in the subtree of the last attempt if it failed
	}
)

// NewAllowance returns the Allowance of a call.
func NewAllowance(left int) *Allowance {
	return &Allowance{left: min(max(left, 0), MaxAllowance)}
}

// ParseAllowance parses the header Retries-Left. A missing value means DefaultAllowance, and one that is not a number
// means 0.
func ParseAllowance(header string) int {
	if header == "" {
		return DefaultAllowance
	}
	n, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return min(max(n, 0), MaxAllowance)
}

// ParseUsage parses the header Retries-Used of the response to an attempt that passed on the given allowance. A missing
// or malformed value counts as UnknownUsage.
func ParseUsage(header string, passed int) Usage {
	extra, attempts, ok := strings.Cut(header, "/")
	if !ok {
		return UnknownUsage(passed)
	}
	e, err := strconv.Atoi(extra)
	if err != nil || e < 0 {
		return UnknownUsage(passed)
	}
	n, err := strconv.Atoi(attempts)
	if err != nil || n < 0 {
		return UnknownUsage(passed)
	}
	return Usage{Extra: min(e, passed), Attempts: min(n, unknownAttempts)}
}

// UnknownUsage returns the usage assumed for an attempt without a response or without a valid header Retries-Used: the
// whole passed allowance and unknownAttempts attempts.
func UnknownUsage(passed int) Usage { return Usage{Extra: passed, Attempts: unknownAttempts} }

// String returns the value of the header Retries-Used.
func (u Usage) String() string { return fmt.Sprintf("%d/%d", u.Extra, u.Attempts) }

// Add returns the sum, with the number of attempts limited to unknownAttempts. A backend server that makes several
// calls for one request uses it to add up their usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{Extra: u.Extra + other.Extra, Attempts: min(u.Attempts+other.Attempts, unknownAttempts)}
}

// Remaining returns the value of the header Retries-Left for the next attempt.
func (a *Allowance) Remaining() int { return a.left }

// Succeeded records an attempt that succeeded.
func (a *Allowance) Succeeded(u Usage) {
	a.used = a.used.Add(Usage{Extra: u.Extra, Attempts: u.Attempts + 1})
	a.left = max(a.left-u.Extra, 0)
}

// Failed records an attempt that did not succeed. For an attempt that ended with OutcomeNotRun the caller passes the
// zero Usage, whether or not a response arrived, because nothing was called in its subtree.
func (a *Allowance) Failed(u Usage) {
	a.used = a.used.Add(Usage{Attempts: u.Attempts + 1})
	a.retryCost = u.Attempts + 1
	a.failedExtra = u.Extra
}

// CanRetry reports whether the allowance covers another attempt after a failed one.
func (a *Allowance) CanRetry() bool { return a.retryCost <= a.left }

// Retry charges the cost of another attempt after a failed one. It returns false if the allowance does not cover it.
func (a *Allowance) Retry() bool {
	if !a.CanRetry() {
		return false
	}
	a.left -= a.retryCost
	a.used.Extra += a.retryCost
	a.retryCost, a.failedExtra = 0, 0
	return true
}

// Used returns the usage of the call for the header Retries-Used of its response.
func (a *Allowance) Used() Usage { return a.used.Add(Usage{Extra: a.failedExtra}) }
