package conns

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagershunt.example/shunt/quota"
)

const (
	// maxSkippedResponses is the number of responses to other requests on its connection after which a request fails.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the body of a response to another request, which is read to its end.
	maxSkippedBytes = 1 << 20
	// maxInterimResponses is the number of responses with a status 1xx after which a request fails.
	maxInterimResponses = 8
	// maxHeadBytes bounds the status line and the headers of a response. It is twice the size that the listeners accept
	// from callers.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first byte of a response to the end of its headers. A server writes them
	// together; the time covers packets that are lost twice on the way.
	headTimeout = time.Second
	// framingAllowance is added to Request.Limit for the sizes of chunks and the trailer.
	framingAllowance = 64 << 10
)

// protocolPrefix begins each response.
var protocolPrefix = []byte("HTTP/1.")

var (
	errNoOwnResponse  = errors.New("connection carries answers to other requests only")
	errProtocolSwitch = errors.New("answer switches protocols")
	errNotHTTP        = errors.New("bytes are no answer")
	errInterim        = errors.New("too many interim answers")
)

// readResponse reads responses until one belongs to the request. It also reports whether the connection is reusable:
// after a response to another request it is not, because more may follow.
func (e *exchange) readResponse(r *Request) (*Response, bool, error) {
	awaitingContinue := r.Expect
	for skipped, interim := 0, 0; skipped < maxSkippedResponses; {
		//nolint:bodyclose // the body is read to its end; the caller closes the connection
		resp, err := e.c.readHead(r.Method)
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errProtocolSwitch
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, false, errInterim
			}
			if resp.StatusCode == http.StatusContinue && awaitingContinue {
				awaitingContinue = false
				e.sendBody(r)
			}
			continue
		}
		framed := r.Method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if r.Own != nil && !r.Own(resp.StatusCode, resp.Header) {
			e.c.limitTo(min(r.Limit, maxSkippedBytes) + framingAllowance)
			if !framed || resp.Close {
				return nil, false, errNoOwnResponse
			}
			if _, err = io.Copy(io.Discard, resp.Body); err != nil {
				return nil, false, fmt.Errorf("reading the answer to another request: %w", err)
			}
			skipped++
			continue
		}
		e.c.limitTo(r.Limit + framingAllowance)
		body, err := e.readBody(r, resp)
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer's body: %w", err)
		}
		out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Trailer: resp.Trailer}
		return out, framed && !resp.Close && !awaitingContinue && skipped == 0, nil
	}
	return nil, false, errNoOwnResponse
}

// readBody reads a body to its end. Memory is taken from the request's share as the body arrives.
func (e *exchange) readBody(r *Request, resp *http.Response) ([]byte, error) {
	r.Share.BeginRead(func() { e.c.Close() })
	defer r.Share.EndRead()
	length := resp.ContentLength
	if r.Method == http.MethodHead {
		length = -1 // announces a body that does not follow
	}
	return quota.ReadAll(resp.Body, r.Share, length, r.Limit)
}

// readHead reads the status line and the headers of a response. It waits for the first byte without a limit of its own,
// and fails as soon as the bytes cannot begin a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limitTo(maxHeadBytes)
	first, err := c.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	if buffered, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(buffered, []byte("\r\n\r\n")) {
		if err = c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return nil, err
		}
		defer c.clearReadDeadline()
	}
	for n := 1; n < len(protocolPrefix) && err == nil && bytes.HasPrefix(protocolPrefix, first); {
		n++
		first, err = c.reader.Peek(n)
	}
	if err != nil {
		return nil, err
	}
	if !bytes.HasPrefix(protocolPrefix, first) {
		return nil, errNotHTTP
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// clearReadDeadline ends a read deadline. It fails only if the connection is closed, as the next read then shows.
func (c *conn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }

// limitTo bounds the bytes that are read from now on, those that are already buffered included.
func (c *conn) limitTo(n int64) { c.limited.remaining = n - int64(c.reader.Buffered()) }
