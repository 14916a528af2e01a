package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"tanagershunt.example/shunt/link"
)

const (
	copyBytes = 32 << 10
	// staleTries bounds how many connections are tried when the peer has just closed those that were idle.
	staleTries = 3
)

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// errUnframed means that an answer has neither a length nor chunks. It ends with its connection, so a
// server that dies in the middle of it cannot be told from one that has finished.
var errUnframed = errors.New("answer has no length")

// complete returns an error for an answer whose end could not be recognized or that switches protocols.
func complete(method string, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("answer switches protocols")
	case method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return nil
	default:
		return errUnframed
	}
}

// exchange sends a request, on another connection when the first turns out to be unusable before anything was
// written to it. Again reports whether the body is still untouched.
func exchange(p *link.Pool, request func() *http.Request, again func() bool) (r link.Result) {
	for range staleTries {
		if r = p.Do(request()); !r.Stale || !again() {
			break
		}
	}
	return r
}

// relay writes an answer to the caller and closes its body. When the answer breaks off or the caller stops
// reading, it panics with http.ErrAbortHandler, which closes the caller's connection.
func relay(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	h := w.Header()
	for name, v := range resp.Header {
		h[name] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing
	}
	announced := announceTrailers(h, resp.Trailer)
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp, announced > 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, v := range resp.Trailer {
		if announced != len(resp.Trailer) {
			name = http.TrailerPrefix + name
		}
		h[name] = v
	}
}

func announceTrailers(h, trailer http.Header) int {
	if len(trailer) == 0 {
		return 0
	}
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	h["Trailer"] = []string{strings.Join(names, ", ")}
	return len(names)
}

// stream copies the body. An answer without a length is flushed piece by piece, because its sender may
// pause between pieces.
func stream(w http.ResponseWriter, resp *http.Response, trailers bool) error {
	if resp.Body == http.NoBody {
		return nil
	}
	buf := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buf)
	pieces := resp.ContentLength < 0 || trailers
	rc := http.NewResponseController(w)
	for {
		n, end := resp.Body.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if n > 0 && pieces {
			if err := rc.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(end, io.EOF) {
			return nil
		}
		if end != nil {
			return end
		}
	}
}
