package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// maxReadAhead bounds the bytes of further requests that are read while one is in progress. A close behind more bytes is
// not detected before the request has ended.
const maxReadAhead = 64 << 10

type (
	// pipelineListener accepts connections on which a close is detected behind unread requests.
	pipelineListener struct{ net.Listener }

	// pipelineConn is a connection on which a caller may send requests before earlier ones are answered. While a request
	// is in progress, net/http reads a single byte to detect that the caller has closed the connection. If a further
	// request arrives instead, it does not look again. The connection then reads ahead in its place.
	pipelineConn struct {
		net.Conn

		readLock sync.Mutex // held while reading from Conn, guards ahead
		ahead    []byte     // bytes read ahead

		mu       sync.Mutex
		unread   bool               // the last byte that net/http has read belongs to a further request
		reading  bool               // readAhead runs
		canceled context.CancelFunc // ends the request in progress
	}

	pipelineKey struct{}
)

// NewPipelineListener returns a listener for connections of callers who may send requests before earlier ones are
// answered, for a server of NewHTTPServer.
func NewPipelineListener(l net.Listener) net.Listener { return &pipelineListener{l} }

// Accept implements net.Listener.
func (l *pipelineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pipelineConn{Conn: c}, nil
}

// DetectClose returns a context that ends when the caller closes the connection, also behind further requests that it has
// sent. It is to be called with the context of a request whose body was read. The caller of DetectClose must call stop
// when the request has ended.
func DetectClose(ctx context.Context) (closed context.Context, stop func()) {
	closed, cancel := context.WithCancel(ctx)
	c, ok := ctx.Value(pipelineKey{}).(*pipelineConn)
	if !ok {
		return closed, cancel
	}
	c.mu.Lock()
	c.canceled = cancel
	c.startReadAhead()
	c.mu.Unlock()
	return closed, func() {
		c.mu.Lock()
		c.canceled = nil
		c.mu.Unlock()
		cancel()
	}
}

// withPipelineConn is the ConnContext of a server.
func withPipelineConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*pipelineConn); ok {
		return context.WithValue(ctx, pipelineKey{}, c)
	}
	return ctx
}

// Read implements io.Reader. Only the detection of a close by net/http reads into a single byte.
func (c *pipelineConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = len(p) == 1 && n == 1
	c.startReadAhead()
	return n, err
}

func (c *pipelineConn) read(p []byte) (int, error) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// startReadAhead reads ahead if a request is in progress and a further one is waiting. The caller must hold c.mu.
func (c *pipelineConn) startReadAhead() {
	if c.unread && c.canceled != nil && !c.reading {
		c.reading = true
		go c.readAhead()
	}
}

func (c *pipelineConn) readAhead() {
	for c.readMore() {
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// readMore reads more bytes ahead and reports whether to go on. If the caller has closed the connection, it ends the
// request in progress; the next read by net/http gets the error as well.
func (c *pipelineConn) readMore() bool {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	space := maxReadAhead - len(c.ahead)
	if space <= 0 || !c.inProgress() {
		return false
	}
	buffer := make([]byte, min(space, 4<<10))
	n, err := c.Conn.Read(buffer)
	c.ahead = append(c.ahead, buffer[:n]...)
	if err == nil {
		return true
	}
	// net/http sets a deadline in the past when a request has ended.
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.canceled != nil {
			c.canceled()
		}
	}
	return false
}

func (c *pipelineConn) inProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled != nil
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread bytes.
func (c *pipelineConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
