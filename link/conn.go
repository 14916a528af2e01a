package link

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// readBuffer is the size of the Transport's read buffer. conn relies on it: a read of this size or more is
// only issued while the Transport's buffer is empty.
const readBuffer = 8 << 10

var (
	errSealed      = errors.New("connection was given up")
	errUnsolicited = errors.New("connection holds data that answers no request")
)

// conn counts what is written to a connection, limits the time of each write, and lets a request start only
// when nothing unread is left from the previous answer.
type conn struct {
	net.Conn
	pool *Pool
	addr string

	mu      sync.Mutex
	changed sync.Cond // signalled when clean, dirty or sealed changes
	uses    uint64    // requests that were given the connection
	inUse   bool
	fresh   bool // a request was given the connection and has not written yet
	clean   bool // the Transport waits for data with an empty buffer
	dirty   bool // the Transport waits for more data while it holds some
	writing bool
	sealed  bool
	written int64
}

func newConn(c net.Conn, p *Pool, addr string) *conn {
	t := &conn{Conn: c, pool: p, addr: addr}
	t.changed.L = &t.mu
	return t
}

// begin marks the connection as given to a request and returns the request's number and the bytes written before.
func (c *conn) begin() (use uint64, written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	c.inUse, c.fresh = true, true
	return c.uses, c.written
}

// release marks the connection as idle unless a later request has it already.
func (c *conn) release(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.inUse = false
	}
}

// wrote reports whether anything was or is being written beyond the given count.
func (c *conn) wrote(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing || c.written != start
}

// abandon closes the connection and reports whether anything was written beyond the given count. No write
// starts afterwards, so the answer stays true.
func (c *conn) abandon(start int64) bool {
	c.seal(false)
	defer c.Close()
	return c.wrote(start)
}

// seal stops further writes and reports whether it did. With idle set it leaves a connection in use alone.
func (c *conn) seal(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle && c.inUse {
		return false
	}
	c.sealed = true
	c.changed.Broadcast()
	return true
}

// startWrite waits until the Transport's reader has consumed the previous answer completely. Without this,
// bytes that follow an answer would be taken for the answer to the next request on the connection.
func (c *conn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.fresh && !c.clean && !c.dirty && !c.sealed {
		c.changed.Wait()
	}
	switch {
	case c.sealed:
		return errSealed
	case c.fresh && c.dirty:
		return errUnsolicited
	}
	c.fresh, c.writing = false, true
	return nil
}

func (c *conn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
}

// Write implements net.Conn. Each write must end within the pool's write limit.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	n, err := 0, c.SetWriteDeadline(time.Now().Add(c.pool.limits.Write))
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.endWrite(n)
	c.check(err)
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.waiting(len(p) >= readBuffer, len(p) < readBuffer)
	n, err := c.Conn.Read(p)
	c.waiting(false, false)
	c.check(err)
	return n, err
}

func (c *conn) waiting(clean, dirty bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clean, c.dirty = clean, dirty
	if c.fresh {
		c.changed.Broadcast()
	}
}

// check retires the address when an error shows that the connection went silent.
func (c *conn) check(err error) {
	if err != nil && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)) {
		c.pool.Retire(c.addr)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.seal(false)
	c.pool.forget(c)
	return c.Conn.Close()
}
