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

// Timeout derives a context with a deadline, as context.WithTimeout does.
type Timeout func(parent context.Context, d time.Duration) (context.Context, context.CancelFunc)

// hops returns the number of nodes that a request has entered. A count that is no number cannot be trusted
// to end a cycle, so it counts as too many.
func hops(h http.Header) int {
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

// timeLeft returns the time until the context's deadline.
func timeLeft(ctx context.Context, clock clockwork.Clock) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return d.Sub(clock.Now())
}

// parseLoad returns nil when an answer carries no load.
func parseLoad(s string) *shunt.Load {
	var l shunt.Load
	flight, rest, ok := strings.Cut(s, "/")
	limit, queued, also := strings.Cut(rest, "/")
	if !ok || !also {
		return nil
	}
	for _, f := range []struct {
		text string
		into *int
	}{{flight, &l.InFlight}, {limit, &l.Limit}, {queued, &l.Queued}} {
		n, err := strconv.Atoi(f.text)
		if err != nil || n < 0 {
			return nil
		}
		*f.into = n
	}
	return &l
}
