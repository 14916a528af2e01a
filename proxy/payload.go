package proxy

import (
	"bytes"
	"io"
	"net/http"
)

// keepBytes is the size up to which a request body is kept in memory, so that it can be compared with the
// body of a repeat and sent again in another attempt.
const keepBytes = 64 << 10

type (
	// payload is the body of a caller's request.
	payload struct {
		kept   []byte    // the whole body, or the start of a streamed one that was read already
		whole  bool      // kept is the whole body
		rest   io.Reader // what follows kept
		length int64     // -1 when unknown
		stream *onceBody // the streamed body of the last attempt
	}
)

// load reads a body of at most keepBytes. A longer one is streamed.
func (p *payload) load(r *http.Request) error {
	p.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		p.whole, p.length = true, 0
		return nil
	}
	p.rest = r.Body
	if r.ContentLength > keepBytes {
		return nil
	}
	if r.ContentLength > 0 {
		p.kept = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, p.kept)
		p.whole = err == nil
		return err
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, keepBytes+1))
	p.kept, p.whole = kept, err == nil && len(kept) <= keepBytes
	if p.whole && len(r.Trailer) == 0 {
		p.length = int64(len(kept))
	}
	return err
}

// attempt sets the body of a request for one attempt.
func (p *payload) attempt(out *http.Request) {
	out.ContentLength = p.length
	switch {
	case p.whole && p.length == 0:
		out.Body = http.NoBody
	case p.whole && p.length > 0:
		out.Body = io.NopCloser(bytes.NewReader(p.kept))
	case p.whole:
		// The length stays unknown, so that trailers can follow the chunks.
		out.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(p.kept)})
	default:
		src := p.rest
		if len(p.kept) > 0 {
			src = io.MultiReader(bytes.NewReader(p.kept), p.rest)
		}
		p.stream = &onceBody{src: src}
		out.Body = p.stream
		// The other node asks for the body only once it has admitted the request, so a refusal leaves
		// the body to another attempt.
		out.Header["Expect"] = []string{"100-continue"}
		out.ProtoMajor, out.ProtoMinor = 1, 1 // net/http's Transport waits only if set
	}
}

// again reports whether another attempt can send the whole body.
func (p *payload) again() bool {
	return p.whole || p.stream == nil || p.stream.seal()
}

// failed reports whether the caller's side of the body broke.
func (p *payload) failed() bool {
	return p.stream != nil && p.stream.failed()
}
