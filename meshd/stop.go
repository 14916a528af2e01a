package meshd

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// stopAnswerMargin is the time before a stopping node closes its connections at which requests still in progress get
	// the node's own answer.
	stopAnswerMargin = 100 * time.Millisecond
	// A request that may outlast the stop of its node is accepted if the time left is at least this multiple of its
	// expected duration. Requests that must not be repeated have no second chance elsewhere once a server has them.
	repeatableStopFactor    = 2
	nonRepeatableStopFactor = 4
)

var errNodeStopping = errors.New("node is stopping")

// stopDeadline is the time at which a stopping node answers the requests that are still in progress. The zero value and
// nil are those of a node that is not stopping.
type stopDeadline struct {
	mu     sync.Mutex
	at     time.Time
	ended  context.Context //nolint:containedctx // ends when the deadline is reached, for all requests
	cancel context.CancelFunc
}

func (s *stopDeadline) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
}

// reach ends the requests in progress.
func (s *stopDeadline) reach() {
	s.context()
	s.cancel()
}

// context returns the context that ends when the deadline is reached.
func (s *stopDeadline) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended, s.cancel = context.WithCancel(context.Background())
	}
	return s.ended
}

// fit returns the time up to which a request may last that arrives now and would last until deadline at most. It returns
// false if the node is stopping and the request cannot be expected to end before.
func (s *stopDeadline) fit(now, deadline time.Time, expected time.Duration, repeatable bool) (time.Time, bool) {
	if s == nil {
		return deadline, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() || !deadline.After(s.at) {
		return deadline, true
	}
	factor := time.Duration(nonRepeatableStopFactor)
	if repeatable {
		factor = repeatableStopFactor
	}
	return s.at, !now.Add(factor * expected).After(s.at)
}

// watch returns a context that ends with errNodeStopping as its cause when the deadline is reached.
func (s *stopDeadline) watch(ctx context.Context) (context.Context, context.CancelFunc) {
	if s == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.context(), func() { cancel(errNodeStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
