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
	copyBufferSize = 32 << 10
	// maxStaleTries bounds the connections tried when the peer has just closed its idle ones.
	maxStaleTries = 3
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// errNoFraming means that a response has neither a length nor chunked encoding. The end of such a response is marked
// only by the closing of the connection, so a response truncated by a server crash cannot be distinguished from a
// complete one.
var errNoFraming = errors.New("answer has no length")

// checkFraming returns an error for a response whose end cannot be detected or that switches protocols.
func checkFraming(method string, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("answer switches protocols")
	case method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return nil
	default:
		return errNoFraming
	}
}

// roundTrip sends a request, and repeats it on another connection when the first turns out to be unusable before
// anything was written to it. prepareResend stops the previous use of the body and reports whether
// it can be sent again.
func roundTrip(pool *link.Pool, newRequest func() *http.Request, prepareResend func() bool) (res link.Result) {
	for range maxStaleTries {
		if res = pool.Do(newRequest()); !res.Stale || !prepareResend() {
			break
		}
	}
	return res
}

// writeResponse writes a response to the caller and closes its body. When the response breaks off or the caller stops
// reading, it panics with http.ErrAbortHandler, which closes the caller's connection.
func writeResponse(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	h := w.Header()
	for name, v := range resp.Header {
		h[name] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting a content type
	}
	declared := declareTrailers(h, resp.Trailer)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp, declared > 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, v := range resp.Trailer {
		// net/http sends trailers that were not announced before the body only under names with this prefix.
		if declared != len(resp.Trailer) {
			name = http.TrailerPrefix + name
		}
		h[name] = v
	}
}

func declareTrailers(h, trailer http.Header) int {
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

// copyBody copies the body. A response without a length or with trailers is flushed after each read, because its
// sender may pause.
func copyBody(w http.ResponseWriter, resp *http.Response, trailers bool) error {
	if resp.Body == http.NoBody {
		return nil
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	flush := resp.ContentLength < 0 || trailers
	rc := http.NewResponseController(w)
	for {
		n, readErr := resp.Body.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if n > 0 && flush {
			if err := rc.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
