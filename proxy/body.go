package proxy

import (
	"context"
	"errors"
	"io"
	"sync"
)

var errAttemptEnded = errors.New("attempt is over")

// singleUseBody is a streamed request body that records whether an attempt has started to read it.
type singleUseBody struct {
	src io.Reader

	mu      sync.Mutex
	started bool
	stopped bool
	readErr error // read error; io.EOF when the body was read completely
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return 0, errAttemptEnded
	}
	b.started = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err != nil {
		b.mu.Lock()
		b.readErr = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. It does nothing, because the HTTP server closes the request body itself.
func (b *singleUseBody) Close() error {
	return nil
}

// stop prevents further reads and reports whether no read had started, in which case another attempt can send the
// body.
func (b *singleUseBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return !b.started
}

// readFailed reports whether reading the body from the caller failed.
func (b *singleUseBody) readFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr != nil && !errors.Is(b.readErr, io.EOF)
}

// limitBodyReads ends reads of the caller's body at the context's deadline. Without it, net/http's Transport would
// wait for a blocked read beyond the request's deadline.
func limitBodyReads(ctx context.Context, body io.Reader) {
	b, ok := body.(*deadlineBody)
	if deadline, limited := ctx.Deadline(); ok && limited {
		b.setDeadline(deadline)
	}
}

// observedBody calls onEnd once, when the body ends, fails or is closed. The error is nil for a complete body.
type observedBody struct {
	io.ReadCloser
	onEnd func(error)
	once  sync.Once
}

// errBodyNotDrained means that a response body was closed before its end.
var errBodyNotDrained = errors.New("answer was not read to its end")

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.onEnd(nil) })
	case err != nil:
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onEnd(errBodyNotDrained) })
	return err
}
