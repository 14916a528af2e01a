package retry

import (
	"sync"
	"time"
)

const (
	// returnTolerance is how far apart the deadlines of two requests of one caller may lie. Callers state the time that
	// is left in whole milliseconds.
	returnTolerance = 3 * time.Millisecond
	// maxReturns bounds the failed requests that are remembered for a route.
	maxReturns = 256
)

type (
	// Returns recognizes callers that come back after a failed request. A caller's deadline does not move when it comes
	// back, so a request whose deadline is that of a failed one is its repetition, though it has another identifier and
	// arrives on another connection. The zero value is ready to use.
	Returns struct {
		mu     sync.Mutex
		failed map[string][]failedRequest // by route, oldest first
	}

	failedRequest struct {
		deadline, first time.Time
	}
)

// RecordFailure records that a request to a route failed or was refused. First is when the caller sent its first request.
func (r *Returns) RecordFailure(route string, deadline, first, now time.Time) {
	if !deadline.After(now) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = make(map[string][]failedRequest)
	}
	list := r.failed[route]
	kept := list[:0]
	for _, f := range list {
		if f.deadline.After(now) {
			kept = append(kept, f)
		}
	}
	if len(kept) >= maxReturns {
		kept = kept[1:]
	}
	r.failed[route] = append(kept, failedRequest{deadline, first})
}

// TakeFirst returns when the caller of a request to a route with the given deadline sent its first request, if the caller
// has come back. Each failed request is returned once.
func (r *Returns) TakeFirst(route string, deadline time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.failed[route]
	for i, f := range list {
		if deadline.Sub(f.deadline).Abs() <= returnTolerance {
			r.failed[route] = append(list[:i], list[i+1:]...)
			return f.first, true
		}
	}
	return time.Time{}, false
}
