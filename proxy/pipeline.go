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
	pipelineListener struct {
		net.Listener
		begin BeginFunc
	}

	// pipelineConn is a connection on which a caller may send requests before earlier ones are answered. While a request
	// is in progress, net/http reads a single byte to detect that the caller has closed the connection. If a further
	// request arrives instead, it does not look again. The connection then reads ahead in its place.
	pipelineConn struct {
		net.Conn

		mu       sync.Mutex
		changed  *sync.Cond         // ahead or reading has changed
		ahead    []byte             // bytes read ahead
		unread   bool               // the last byte that net/http has read belongs to a further request
		busy     bool               // net/http reads from Conn
		reading  bool               // readAhead reads from Conn
		canceled context.CancelFunc // ends the request in progress
		advance  advanceReader
	}

	pipelineKey struct{}
)

// NewPipelineListener returns a listener for connections of callers who may send requests before earlier ones are
// answered, for a server of NewHTTPServer. Such requests are begun with begin while the earlier ones are in progress; the
// server then handles them in turn, so that their responses keep their order.
func NewPipelineListener(l net.Listener, begin BeginFunc) net.Listener {
	return &pipelineListener{l, begin}
}

// Accept implements net.Listener.
func (l *pipelineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &pipelineConn{Conn: c, advance: advanceReader{begin: l.begin}}
	p.changed = sync.NewCond(&p.mu)
	return p, nil
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
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) == 0 && c.reading {
		c.changed.Wait()
	}
	n, err := c.takeAhead(p), error(nil)
	if n == 0 {
		c.busy = true
		c.mu.Unlock()
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.busy = false
		c.advance.add(p[:n])
	}
	c.unread = len(p) == 1 && n == 1
	c.startReadAhead()
	return n, err
}

// takeAhead returns bytes that were read ahead. The caller must hold the lock.
func (c *pipelineConn) takeAhead(p []byte) int {
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// startReadAhead reads ahead if a request is in progress and a further one is waiting. The caller must hold the lock.
func (c *pipelineConn) startReadAhead() {
	if c.unread && c.canceled != nil && !c.busy && !c.reading {
		c.reading = true
		go c.readAhead()
	}
}

// readAhead reads until no request is in progress. If the caller has closed the connection, it ends the request; the
// next read by net/http gets the error as well.
func (c *pipelineConn) readAhead() {
	buffer := make([]byte, 4<<10)
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for err == nil && c.canceled != nil && len(c.ahead)+len(buffer) <= maxReadAhead {
		var n int
		c.mu.Unlock()
		n, err = c.Conn.Read(buffer)
		c.mu.Lock()
		c.ahead = append(c.ahead, buffer[:n]...)
		c.advance.add(buffer[:n])
		c.changed.Signal()
	}
	c.reading = false
	c.changed.Signal()
	// net/http sets a deadline in the past when a request has ended.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.canceled != nil {
		c.canceled()
	}
}

// Close closes the connection and ends the requests that were begun in advance.
func (c *pipelineConn) Close() error {
	c.mu.Lock()
	c.advance.cancel()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread bytes.
func (c *pipelineConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
