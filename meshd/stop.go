package meshd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// shutdownNotice is how long a stopping node continues to accept requests of callers, at most shutdownNoticeShare of
	// the grace period. In this time their readiness checks, one second apart, see it as not ready twice.
	shutdownNotice      = 2800 * time.Millisecond
	shutdownNoticeShare = 0.5
	// peerNoticeShare is the part of the notice after which other nodes are notified. Until then, they keep sending requests
	// to the local backend server.
	peerNoticeShare = 0.75
	// shutdownMargin is the part of the grace period reserved for the end of the stop, at most shutdownMarginShare of it:
	// work that servers complete before the last sixth of the grace period must reach its callers.
	shutdownMargin      = time.Second
	shutdownMarginShare = 1.0 / 6
	// answerShare, closeShare and exitShare are the parts of the margin at which requests still in progress get the node's
	// own answer, at which connections close, and at which the last messages to other nodes end.
	answerShare = 0.25
	closeShare  = 0.5
	exitShare   = 0.75
	// A request that may outlast the stop of its node is accepted if the time left is at least this multiple of its
	// expected duration. Requests that must not be repeated have no second chance elsewhere once a server has them.
	repeatableStopFactor    = 2
	nonRepeatableStopFactor = 4
)

var errNodeStopping = errors.New("node is stopping")

// stopSchedule holds the times of a stop, as durations from its begin.
type stopSchedule struct {
	peerNotice time.Duration // other nodes are notified
	notice     time.Duration // listeners close
	answer     time.Duration // requests in progress get the node's own answer
	closeConns time.Duration
	exit       time.Duration // last messages to other nodes end
}

// newStopSchedule returns the schedule for a grace period, after which the process is killed.
func newStopSchedule(grace time.Duration) stopSchedule {
	share := func(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
	notice := min(shutdownNotice, share(grace, shutdownNoticeShare))
	margin := min(shutdownMargin, share(grace, shutdownMarginShare))
	begin := grace - margin
	return stopSchedule{
		peerNotice: share(notice, peerNoticeShare),
		notice:     notice,
		answer:     begin + share(margin, answerShare),
		closeConns: begin + share(margin, closeShare),
		exit:       begin + share(margin, exitShare),
	}
}

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

// limitBody makes reads of a request's body fail with errNodeStopping once the node is stopping and the request cannot be
// expected to end in time: its caller is refused while there is still time for another node. The caller of limitBody must
// call stop when the body was read.
func (s *stopDeadline) limitBody(w http.ResponseWriter, r *http.Request, fits func() bool) (stop func()) {
	if s == nil || r.Body == nil || r.Body == http.NoBody {
		return func() {}
	}
	r.Body = &stoppableBody{ReadCloser: r.Body, fits: func() bool { return s.context().Err() == nil && fits() }}
	interrupted := context.AfterFunc(s.context(), func() {
		// A writer without support for deadlines lets the read go on until the connection closes.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	return func() { interrupted() }
}

// stoppableBody is the body of a request at a node that may stop.
type stoppableBody struct {
	io.ReadCloser

	fits func() bool // whether there is still time for the request
}

// Read implements io.Reader.
func (b *stoppableBody) Read(p []byte) (int, error) {
	if !b.fits() {
		return 0, errNodeStopping
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.fits() {
		err = errNodeStopping
	}
	return n, err
}
