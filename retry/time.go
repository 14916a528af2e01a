package retry

import (
	"math"
	"strconv"
	"time"
)

const (
	// MinMargin is the minimum time that a hop reserves for its own work and the network, so that it can answer before
	// its caller times out. At the maximum call depth of 18 hops it uses 18 ms of a short timeout.
	MinMargin = time.Millisecond
	// MaxMargin is the maximum time that a hop reserves. It exceeds the usual round-trip time between failure domains,
	// about 3 ms.
	MaxMargin = 20 * time.Millisecond
	// marginDivisor is the ratio of the remaining time to the margin.
	marginDivisor = 50
	// MinRemaining is the minimum remaining time for an attempt. After MinMargin it leaves 1 ms for the next hop, the
	// smallest positive value of the header Timeout-Ms.
	MinRemaining = 2 * time.Millisecond
)

// Margin returns the part of the remaining time that a hop reserves.
func Margin(remaining time.Duration) time.Duration {
	return min(max(remaining/marginDivisor, MinMargin), MaxMargin)
}

// NextHopTimeout returns the time left for the next hop, 0 if there is none.
func NextHopTimeout(remaining time.Duration) time.Duration {
	return max(remaining-Margin(remaining), 0)
}

// FormatTimeout returns the value of the header Timeout-Ms, rounded down to milliseconds.
func FormatTimeout(remaining time.Duration) string {
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

// ParseTimeout parses the header Timeout-Ms. A missing or malformed value, or one above the route's timeout, means the
// route's timeout; 0 or less means that no time is left.
func ParseTimeout(header string, route time.Duration) time.Duration {
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms > math.MaxInt64/int64(time.Millisecond) {
		return route
	}
	remaining := time.Duration(max(ms, 0)) * time.Millisecond
	if route > 0 {
		return min(remaining, route)
	}
	return remaining
}
