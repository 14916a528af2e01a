package retry

import (
	"math"
	"strconv"
	"time"
)

const (
	// MinMargin is the least time that a hop keeps for its own work and the way back, so that it can answer
	// before its caller gives up. Over 18 hops it takes 18 ms of a short timeout.
	MinMargin = time.Millisecond
	// MaxMargin is the most time that a hop keeps. It exceeds the usual round trips between failure domains
	// (3 ms at the licence desk).
	MaxMargin = 20 * time.Millisecond
	// marginShare is the share of the remaining time that a hop keeps, one part in so many.
	marginShare = 50
	// MinRemaining is the least time that is worth an attempt.
	MinRemaining = 2 * time.Millisecond
)

// Margin returns the time that a hop keeps of the time remaining.
func Margin(remaining time.Duration) time.Duration {
	return min(max(remaining/marginShare, MinMargin), MaxMargin)
}

// NextHop returns the time remaining for the next hop, 0 when none is left.
func NextHop(remaining time.Duration) time.Duration {
	return max(remaining-Margin(remaining), 0)
}

// FormatTimeout returns the value of the header Timeout-Ms, rounded down.
func FormatTimeout(remaining time.Duration) string {
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

// ParseTimeout reads the header Timeout-Ms. A missing or malformed value, or one above the route's timeout,
// means the route's timeout; 0 and below mean that no time is left.
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
