package conns

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer.
const readBuffer = 4 << 10

// errAnswerTooLarge means that an answer exceeds the bound of its request.
var errAnswerTooLarge = errors.New("answer exceeds the size limit")

type (
	// conn is one connection. A single request uses it at a time.
	conn struct {
		net.Conn
		addr      string
		bounded   boundedReader
		reader    *bufio.Reader
		idleSince time.Time
		keep      time.Duration // how long the peer keeps an idle connection, 0 when it does not say
		reused    bool
	}

	// boundedReader fails once more than left bytes were read.
	boundedReader struct {
		src  io.Reader
		left int64
	}
)

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr}
	c.bounded.src = raw
	c.reader = bufio.NewReaderSize(&c.bounded, readBuffer)
	return c
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := b.src.Read(p)
	b.left -= int64(n)
	return n, err
}

// quiet reports whether the peer has neither closed the idle connection nor sent anything on it.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, peek := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peek, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
