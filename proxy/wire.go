package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// WithTimeoutFunc derives a context with a deadline, as context.WithTimeout does.
type WithTimeoutFunc func(parent context.Context, d time.Duration) (context.Context, context.CancelFunc)

// parseHops returns the number of nested calls so far. A malformed count could hide a cycle, so it counts as too many.
func parseHops(h http.Header) int {
	v := h.Get(HeaderHops)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		return MaxHops + 1
	}
	return n
}

// timeLeft returns the time until the context's deadline, or defaultTimeout without one.
func timeLeft(ctx context.Context, clock clockwork.Clock) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return d.Sub(clock.Now())
}

// parseLoad returns nil when the header is missing or malformed.
func parseLoad(s string) *shunt.Load {
	var l shunt.Load
	inFlight, rest, ok := strings.Cut(s, "/")
	limit, queued, hasQueued := strings.Cut(rest, "/")
	if !ok || !hasQueued {
		return nil
	}
	for _, part := range []struct {
		text string
		dest *int
	}{{inFlight, &l.InFlight}, {limit, &l.Limit}, {queued, &l.Queued}} {
		n, err := strconv.Atoi(part.text)
		if err != nil || n < 0 {
			return nil
		}
		*part.dest = n
	}
	return &l
}
