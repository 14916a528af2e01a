package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagershunt.example/shunt/quota"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written together with the header. A larger body is
	// written in a goroutine, because the peer may respond before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
)

type (
	// Request is an HTTP request.
	Request struct {
		Method string
		URI    string
		Host   string
		Header http.Header
		Body   []byte
		Fresh  time.Duration // maximum idle time of a reused connection, at most the pool's MaxIdle; 0 selects it
		Expect bool          // send the body only after the peer has sent status 100
		Limit  int64         // maximum size of the response's body in bytes
		// ID identifies the request. A connection on which a request was refused or failed is not used for another one
		// with the same ID, because a faulty peer may write the earlier response again. If it is empty, any is used.
		ID string
		// Writing is called when a connection is available, before the request is written to it. It may be nil.
		Writing func()
		// Written is called when the header has been written, with a small body. Until then the process may be paused
		// without the peer having received anything. It may be nil.
		Written func()
		// Share is the memory for the response's body; nil for no limit besides Limit.
		Share *quota.Share
		// NeedLength rejects a response without a length: the peer always announces it, so the response is incomplete.
		NeedLength bool
		// Own reports whether a response belongs to this request. If it is nil, every response does.
		Own func(status int, h http.Header) bool
	}

	// Response is an HTTP response with its complete body.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Error is the reason why no complete response was received.
	Error struct {
		Err       error
		Connected bool // whether a connection was available
		// Sent reports whether the peer may have received the request. With Expect it is false until the peer has asked
		// for the body, except if writing the header failed after some bytes.
		Sent   bool
		Reused bool // whether the connection was used by an earlier request
	}

	// exchange writes a request to its connection and reads the response.
	exchange struct {
		c *conn
		// done is closed when the goroutine started by sendBody has finished writing. It is nil if no such goroutine
		// was started.
		done chan struct{}
		err  error
	}
)

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request and returns its complete response. It never retries. The error is always an *Error.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.Fresh, r.ID)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.Writing != nil {
		r.Writing()
	}
	resp, sent, err := p.exchange(ctx, c, r)
	if err != nil {
		if peerUnreachable(err) {
			p.CloseIdle(addr)
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Err: err, Connected: true, Sent: sent, Reused: c.reused}
	}
	return resp, nil
}

// peerUnreachable reports whether an error means that the peer's host is unreachable.
func peerUnreachable(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, bool, error) {
	var mu sync.Mutex
	finished := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !finished {
			c.Close()
		}
	})
	stopWatching := func() {
		stop()
		mu.Lock()
		finished = true
		mu.Unlock()
	}
	e := &exchange{c: c}
	sent, err := e.start(r)
	if err != nil {
		stopWatching()
		c.Close()
		return nil, sent, err
	}
	resp, reusable, err := e.readResponse(r)
	stopWatching()
	sent = !r.Expect || e.done != nil
	if err != nil {
		c.Close()
		return nil, sent, e.addWriteError(err)
	}
	reusable = reusable && ctx.Err() == nil && c.reader.Buffered() == 0 && e.bodyWritten()
	if !reusable {
		c.Close()
		return resp, sent, nil
	}
	c.reused = true
	c.keepAlive = parseKeepAlive(resp.Header)
	if !c.recordFailure(r.ID, resp.Status) {
		c.Close()
		return resp, true, nil
	}
	p.put(c)
	return resp, true, nil
}

// start writes the header and a small body, or starts sendBody for a larger one. With Expect it writes only the header.
func (e *exchange) start(r *Request) (sent bool, err error) {
	data := encodeHeader(r)
	inline := !r.Expect && len(r.Body) <= maxInlineBodyBytes
	if inline {
		data = append(data, r.Body...)
	}
	n, err := e.c.Write(data)
	if n > 0 && r.Written != nil {
		r.Written()
	}
	if err != nil {
		return n > 0, err
	}
	if !inline && !r.Expect {
		e.sendBody(r)
	}
	return true, nil
}

// sendBody starts a goroutine that writes the body.
func (e *exchange) sendBody(r *Request) {
	e.done = make(chan struct{})
	go func() {
		defer close(e.done)
		_, e.err = e.c.Write(r.Body)
	}()
}

// addWriteError adds the error of sendBody to that of the read, because only one of them tells why the connection ended.
// The connection must be closed, so that the write ends.
func (e *exchange) addWriteError(err error) error {
	if e.done == nil {
		return err
	}
	if <-e.done; e.err == nil || errors.Is(e.err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w; writing the body: %w", err, e.err)
}

// bodyWritten reports whether the body needs no separate write, because it was written with the header or not sent at
// all, or was written by sendBody without error.
func (e *exchange) bodyWritten() bool {
	if e.done == nil {
		return true
	}
	select {
	case <-e.done:
		return e.err == nil
	default:
		return false
	}
}

func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if r.Expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// parseKeepAlive returns keepAliveShare of the timeout in a Keep-Alive header, or 0 if there is none. The rest of the
// timeout is a margin for network latency.
func parseKeepAlive(h http.Header) time.Duration {
	const keepAliveShare = 0.8
	const maxSeconds = 24 * 60 * 60
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(textproto.TrimString(part), "=")
		if s, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && s > 0 {
			return time.Duration(float64(min(s, maxSeconds)) * keepAliveShare * float64(time.Second))
		}
	}
	return 0
}
