package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// transportBufferSize is the size of the Transport's buffers. conn depends on it: the Transport issues a read of this
// size or more only while its read buffer is empty.
const transportBufferSize = 8 << 10

var (
	errWritesStopped = errors.New("connection was given up")
	errUnsolicited   = errors.New("connection holds data that answers no request")
)

// conn counts the bytes written to a connection, limits the time of each write, and lets a request start only when no
// unread data is left from the previous response.
type conn struct {
	net.Conn
	pool    *Pool
	address string

	mu            sync.Mutex
	stateChanged  sync.Cond // signalled when readerEmpty, readerPartial or writesStopped changes, or a write ends
	requests      uint64    // number of requests assigned to the connection
	inUse         bool
	notWritten    bool // a request was assigned to the connection and has not written yet
	readerEmpty   bool // the Transport waits for data and its buffer is empty
	readerPartial bool // the Transport waits for more data and its buffer holds some
	writing       bool
	writesStopped bool
	written       int64
	writeErr      error // of the first write that failed
}

func newConn(c net.Conn, p *Pool, addr string) *conn {
	wrapped := &conn{Conn: c, pool: p, address: addr}
	wrapped.stateChanged.L = &wrapped.mu
	return wrapped
}

// startRequest assigns the connection to a request and returns the request's number and the
// number of bytes written before it.
func (c *conn) startRequest() (request uint64, written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.inUse, c.notWritten = true, true
	return c.requests, c.written
}

// endRequest marks the connection as idle unless it was already assigned to a later request.
func (c *conn) endRequest(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == request {
		c.inUse = false
	}
}

// wroteSince reports whether more bytes than the given count were written or a write is in progress.
func (c *conn) wroteSince(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing || c.written != start
}

// abandon closes the connection and reports whether more bytes than the given count were written or a write was in
// progress. No write starts afterwards, so the result stays valid.
func (c *conn) abandon(start int64) bool {
	c.stopWrites(false)
	defer c.Close()
	return c.wroteSince(start)
}

// stopWrites prevents further writes and reports whether it did. With onlyIdle it leaves a connection in use
// unchanged.
func (c *conn) stopWrites(onlyIdle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if onlyIdle && c.inUse {
		return false
	}
	c.writesStopped = true
	c.stateChanged.Broadcast()
	return true
}

// waitWritable waits until the Transport has read the previous response completely. Otherwise extra bytes after a
// response would be parsed as the response to the next request on the connection.
func (c *conn) waitWritable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.notWritten && !c.readerEmpty && !c.readerPartial && !c.writesStopped {
		c.stateChanged.Wait()
	}
	switch {
	case c.writesStopped:
		return errWritesStopped
	case c.notWritten && c.readerPartial:
		return errUnsolicited
	}
	c.notWritten, c.writing = false, true
	return nil
}

func (c *conn) finishWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.stateChanged.Broadcast()
}

// endOfRead returns the error of a read that saw the end of the connection. After a reset, the kernel reports the error
// to one system call only. If a write received it, the end is not an orderly one, and a body that the end would complete
// is incomplete.
func (c *conn) endOfRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.stateChanged.Wait()
	}
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// Write implements net.Conn. Each write must complete within the pool's write limit.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitWritable(); err != nil {
		return 0, err
	}
	n, err := 0, c.SetWriteDeadline(time.Now().Add(c.pool.limits.Write))
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.finishWrite(n, err)
	c.closeIdleOnTimeout(err)
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.setReaderState(len(p) >= transportBufferSize, len(p) < transportBufferSize)
	n, err := c.Conn.Read(p)
	c.setReaderState(false, false)
	if errors.Is(err, io.EOF) {
		err = c.endOfRead()
	}
	c.closeIdleOnTimeout(err)
	return n, err
}

func (c *conn) setReaderState(empty, partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readerEmpty, c.readerPartial = empty, partial
	if c.notWritten {
		c.stateChanged.Broadcast()
	}
}

// closeIdleOnTimeout closes the idle connections to the address if err is a timeout on this one.
func (c *conn) closeIdleOnTimeout(err error) {
	if err != nil && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)) {
		c.pool.CloseIdleTo(c.address)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.stopWrites(false)
	c.pool.remove(c)
	return c.Conn.Close()
}
