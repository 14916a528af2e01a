package conns

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// maxFailedIDs is the number of requests that may be refused or fail on a connection. After that it is closed.
	maxFailedIDs = 16
)

// errResponseTooLarge means that a response exceeds the request's limit.
var errResponseTooLarge = errors.New("answer exceeds the size limit")

type (
	// conn is one connection. It is used by one request at a time.
	conn struct {
		net.Conn
		addr      string
		limited   limitedReader
		reader    *bufio.Reader
		idleSince time.Time
		keepAlive time.Duration // idle time after which the peer may close the connection, 0 if unknown
		reused    bool
		failedIDs []string // identifiers of the requests that were refused or failed on this connection
	}

	// limitedReader returns an error after the remaining number of bytes was read.
	limitedReader struct {
		src       io.Reader
		remaining int64
	}
)

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr}
	c.limited.src = raw
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := r.src.Read(p)
	r.remaining -= int64(n)
	return n, err
}

// recordFailure records the request if its status says that it was refused or failed. It reports false if the connection
// has recorded as many as it can.
func (c *conn) recordFailure(id string, status int) bool {
	if id == "" || status < http.StatusBadRequest {
		return true
	}
	c.failedIDs = append(c.failedIDs, id)
	return len(c.failedIDs) < maxFailedIDs
}

// healthy reports whether an idle connection is still open and has no unread data.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
