package proxy

import (
	"context"
	"errors"
	"io"
	"sync"
)

var errAttemptOver = errors.New("attempt is over")

// onceBody is a streamed request body. It knows whether an attempt has begun to read it.
type onceBody struct {
	src io.Reader

	mu     sync.Mutex
	begun  bool
	sealed bool
	err    error // what reading failed with; io.EOF when the body was read completely
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.sealed {
		b.mu.Unlock()
		return 0, errAttemptOver
	}
	b.begun = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err != nil {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. The HTTP server closes the body that it reads from itself.
func (b *onceBody) Close() error {
	return nil
}

// seal stops further reading and reports whether none had begun, so that another attempt can send the body.
func (b *onceBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return !b.begun
}

// failed reports whether the caller's side of the body broke.
func (b *onceBody) failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil && !errors.Is(b.err, io.EOF)
}

// bound ends the reading of a caller's body at the context's deadline. Without it, net/http's Transport would
// wait for a read that is blocked, whatever the request's deadline.
func bound(ctx context.Context, body io.Reader) {
	b, ok := body.(*progressBody)
	if at, limited := ctx.Deadline(); ok && limited {
		b.until(at)
	}
}

// endBody calls a function once, when a body ends, fails or is closed. The error is nil for a complete body.
type endBody struct {
	io.ReadCloser
	end  func(error)
	once sync.Once
}

// errUnread means that an answer was closed before its end.
var errUnread = errors.New("answer was not read to its end")

// Read implements io.Reader.
func (b *endBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.end(nil) })
	case err != nil:
		b.once.Do(func() { b.end(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *endBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.end(errUnread) })
	return err
}
