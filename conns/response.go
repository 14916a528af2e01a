package conns

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
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
	// protocolPrefix begins each response.
	protocolPrefix = "HTTP/1."
)

var (
	errNoOwnResponse  = errors.New("connection carries answers to other requests only")
	errProtocolSwitch = errors.New("answer switches protocols")
	errNotHTTP        = errors.New("bytes are no answer")
	errInterim        = errors.New("too many interim answers")
	errNoLength       = errors.New("answer of a node has no length")
)

type (
	// sizedBody is a body with a length.
	sizedBody struct {
		src       io.Reader
		remaining int64
	}

	// chunkedBody is a body in chunks. Its trailer is checked and discarded.
	chunkedBody struct {
		c      *conn
		chunks io.Reader
		ended  bool
	}
)

// readResponse reads responses until one belongs to the request. It also reports whether the connection is reusable:
// after a response to another request it is not, because more may follow.
func (e *exchange) readResponse(r *Request) (*Response, bool, error) {
	awaitingContinue := r.Expect
	for skipped, interim := 0, 0; skipped < maxSkippedResponses; {
		h, err := e.c.readHead(r.Method)
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer: %w", err)
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, false, errProtocolSwitch
		}
		if h.status < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, false, errInterim
			}
			if h.status == http.StatusContinue && awaitingContinue {
				awaitingContinue = false
				e.sendBody(r)
			}
			continue
		}
		if r.Own != nil && !r.Own(h.status, h.header) {
			e.c.limitTo(min(r.Limit, maxSkippedBytes) + framingAllowance)
			if h.untilClose() || h.closes {
				return nil, false, errNoOwnResponse
			}
			if _, err = io.Copy(io.Discard, e.c.body(h)); err != nil {
				return nil, false, fmt.Errorf("reading the answer to another request: %w", err)
			}
			skipped++
			continue
		}
		if r.NeedLength && !h.noBody && h.length < 0 {
			return nil, false, errNoLength
		}
		e.c.limitTo(r.Limit + framingAllowance)
		body, err := e.readBody(r, h)
		if err != nil {
			return nil, false, fmt.Errorf("reading the answer's body: %w", err)
		}
		out := &Response{Status: h.status, Header: h.header, Body: body}
		return out, !h.untilClose() && !h.closes && !awaitingContinue && skipped == 0, nil
	}
	return nil, false, errNoOwnResponse
}

// readBody reads a body to its end. Memory is taken from the request's share as the body arrives. A body that ends with
// the connection is complete only if the request's body was written in full: the write may have received the error of
// the connection, which the kernel reports once, so that the read saw an orderly end.
func (e *exchange) readBody(r *Request, h *head) ([]byte, error) {
	r.Share.BeginRead(func() { e.c.Close() })
	defer r.Share.EndRead()
	length := h.length
	if h.noBody {
		length = 0
	}
	body, err := quota.ReadAll(e.c.body(h), r.Share, length, r.Limit)
	if err == nil && h.untilClose() && e.done != nil {
		<-e.done
		if e.err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return body, err
}

// body returns the body that follows a head. Its end is io.EOF only if the body is complete.
func (c *conn) body(h *head) io.Reader {
	switch {
	case h.noBody:
		return http.NoBody
	case h.chunked:
		return &chunkedBody{c: c, chunks: httputil.NewChunkedReader(c.reader)}
	case h.length >= 0:
		return &sizedBody{src: c.reader, remaining: h.length}
	default:
		return c.reader
	}
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.src.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.ended = true
	b.c.limitTo(framingAllowance)
	raw, err := b.c.readLines()
	if err == nil {
		_, err = parseFields(raw)
	}
	if err != nil {
		return n, err
	}
	return n, io.EOF
}

// readHead reads the status line and the headers of a response. It waits for the first byte without a limit of its own,
// and fails as soon as the bytes cannot begin a response.
func (c *conn) readHead(method string) (*head, error) {
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
	for n := 1; n < len(protocolPrefix) && err == nil && strings.HasPrefix(protocolPrefix, string(first)); {
		n++
		first, err = c.reader.Peek(n)
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if string(first) != protocolPrefix {
		return nil, errNotHTTP
	}
	raw, err := c.readLines()
	if err != nil {
		return nil, err
	}
	return parseHead(raw, method)
}

// readLines reads up to and including an empty line.
func (c *conn) readLines() (string, error) {
	raw := make([]byte, 0, c.reader.Buffered())
	for begin := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		raw = append(raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return "", unexpectedEOF(err)
		}
		if line := raw[begin:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return string(raw), nil
		}
		begin = len(raw)
	}
}

// unexpectedEOF returns the error of a read that must not end yet.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// clearReadDeadline ends a read deadline. It fails only if the connection is closed, as the next read then shows.
func (c *conn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }

// limitTo bounds the bytes that are read from now on, those that are already buffered included.
func (c *conn) limitTo(n int64) { c.limited.remaining = n - int64(c.reader.Buffered()) }
