package proxy

import (
	"bytes"
	"io"
	"net/http"
)

// maxBufferedBytes is the size up to which a request body is buffered in memory, so that it can be compared with the
// body of a repeated request and sent again in another attempt.
const maxBufferedBytes = 64 << 10

type (
	// requestBody is the body of a caller's request.
	requestBody struct {
		buffered  []byte         // the complete body, or the part of a streamed body that was already read
		complete  bool           // buffered holds the complete body
		remaining io.Reader      // the part after buffered
		length    int64          // -1 when unknown
		stream    *singleUseBody // the streamed body of the latest attempt
	}
)

// buffer reads a body of at most maxBufferedBytes. A longer one is streamed.
func (b *requestBody) buffer(r *http.Request) error {
	b.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.complete, b.length = true, 0
		return nil
	}
	b.remaining = r.Body
	if r.ContentLength > maxBufferedBytes {
		return nil
	}
	if r.ContentLength > 0 {
		b.buffered = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b.buffered)
		b.complete = err == nil
		return err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes+1))
	b.buffered, b.complete = data, err == nil && len(data) <= maxBufferedBytes
	if b.complete && len(r.Trailer) == 0 {
		b.length = int64(len(data))
	}
	return err
}

// attachTo sets the body of a request for one attempt.
func (b *requestBody) attachTo(req *http.Request) {
	req.ContentLength = b.length
	switch {
	case b.complete && b.length == 0:
		req.Body = http.NoBody
	case b.complete && b.length > 0:
		req.Body = io.NopCloser(bytes.NewReader(b.buffered))
	case b.complete:
		// With an unknown length the body is sent in chunks, which trailers can follow.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.buffered)})
	default:
		reader := b.remaining
		if len(b.buffered) > 0 {
			reader = io.MultiReader(bytes.NewReader(b.buffered), b.remaining)
		}
		b.stream = &singleUseBody{src: reader}
		req.Body = b.stream
		// The other node requests the body only after it has admitted the request, so a rejected request leaves the
		// body unread for another attempt.
		req.Header["Expect"] = []string{"100-continue"}
		req.ProtoMajor, req.ProtoMinor = 1, 1 // net/http's Transport waits for 100 Continue only if set
	}
}

// prepareResend stops the latest attempt from reading a streamed body and reports whether another attempt can send
// the complete body.
func (b *requestBody) prepareResend() bool {
	return b.complete || b.stream == nil || b.stream.stop()
}

// readFailed reports whether reading the body from the caller failed.
func (b *requestBody) readFailed() bool {
	return b.stream != nil && b.stream.readFailed()
}
