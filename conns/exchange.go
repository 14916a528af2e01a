package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// inlineBody is the largest body that is written together with the header. A larger one is written
	// beside the reading of the answer, which may come before the body was read.
	inlineBody = 8 << 10
	// headerAllowance is what an answer's header may take beyond the bound of its body.
	headerAllowance = 64 << 10
	// maxForeign bounds the answers to other requests that are passed over on one connection.
	maxForeign = 4
)

var (
	errForeign = errors.New("connection carries answers to other requests only")
	errUpgrade = errors.New("answer switches protocols")
)

type (
	// Request is one request.
	Request struct {
		Method string
		URI    string
		Host   string
		Header http.Header
		Body   []byte
		Fresh  time.Duration // bound on the idle time of a kept connection, 0 for the pool's
		Expect bool          // send the body only after the peer asked for it
		Limit  int64         // bound on the answer's body in bytes
		// Own reports whether an answer belongs to this request. Nil means that any does.
		Own func(status int, h http.Header) bool
	}

	// Response is a complete answer.
	Response struct {
		Status  int
		Header  http.Header
		Body    []byte
		Trailer http.Header
	}

	// Error is why there is no complete answer.
	Error struct {
		Err       error
		Connected bool // whether there was a connection
		Sent      bool // whether the peer may have got the request; not so while it has not asked for the body
		Reused    bool // whether the connection had carried other requests before
	}

	// writer sends one request's header and body.
	writer struct {
		c    *conn
		done chan struct{} // closed after the body was written or failed, nil when it was written inline
		err  error
	}
)

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request and returns its complete answer. It sends nothing twice. The error is always an *Error.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &Error{Err: err}
	}
	resp, sent, err := p.exchange(ctx, c, r)
	if err != nil {
		if gone(err) {
			p.Retire(addr)
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Err: err, Connected: true, Sent: sent, Reused: c.reused}
	}
	return resp, nil
}

// gone reports whether an error shows that the peer's machine does not answer at all.
func gone(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, bool, error) {
	var mu sync.Mutex
	over := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !over {
			c.Close()
		}
	})
	finish := func() {
		stop()
		mu.Lock()
		over = true
		mu.Unlock()
	}
	w := &writer{c: c}
	sent, err := w.start(r)
	if err != nil {
		finish()
		c.Close()
		return nil, sent, err
	}
	resp, reusable, err := w.answer(r)
	finish()
	sent = !r.Expect || w.done != nil
	if err != nil || !reusable || ctx.Err() != nil || c.reader.Buffered() > 0 || !w.finished() {
		c.Close()
		return resp, sent, err
	}
	c.reused = true
	c.keep = keepAlive(resp.Header)
	p.put(c)
	return resp, true, nil
}

// start writes the header, and the body when it is short.
func (w *writer) start(r *Request) (sent bool, err error) {
	head := head(r)
	inline := !r.Expect && len(r.Body) <= inlineBody
	if inline {
		head = append(head, r.Body...)
	}
	n, err := w.c.Write(head)
	if err != nil {
		return n > 0, err
	}
	if !inline && !r.Expect {
		w.send(r)
	}
	return true, nil
}

// send writes the body beside the reading of the answer.
func (w *writer) send(r *Request) {
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		_, w.err = w.c.Write(r.Body)
	}()
}

// finished reports whether the whole body was written.
func (w *writer) finished() bool {
	if w.done == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// answer reads answers until one belongs to the request. It reports whether the connection can be kept.
func (w *writer) answer(r *Request) (*Response, bool, error) {
	waiting := r.Expect
	for foreign := 0; foreign < maxForeign; {
		w.c.bounded.left = r.Limit + headerAllowance
		//nolint:bodyclose // the body is read to its end; closing the connection is up to the caller
		resp, err := http.ReadResponse(w.c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errUpgrade
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusContinue && waiting {
				waiting = false
				w.send(r)
			}
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer's body: %w", err)
		}
		framed := r.Method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if r.Own != nil && !r.Own(resp.StatusCode, resp.Header) {
			if !framed || resp.Close {
				return nil, false, errForeign
			}
			foreign++
			continue
		}
		out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Trailer: resp.Trailer}
		return out, framed && !resp.Close && !waiting, nil
	}
	return nil, false, errForeign
}

func head(r *Request) []byte {
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

// keepAlive returns the time for which the peer keeps an idle connection, less a margin for the way there.
func keepAlive(h http.Header) time.Duration {
	const margin = 0.8
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(textproto.TrimString(part), "=")
		if s, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && s > 0 {
			return time.Duration(float64(s) * margin * float64(time.Second))
		}
	}
	return 0
}
