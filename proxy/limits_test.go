package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// TestSlowReader guards against a long response that is cut off although its caller reads it steadily: the time limit of a
// write must not apply to the whole response. A caller that stops reading must not hold the connection.
func TestSlowReader(t *testing.T) {
	const (
		limit = 300 * time.Millisecond
		size  = 32 << 20 // more than the buffers of a connection hold
		parts = 64
		pause = 25 * time.Millisecond // between parts
	)
	for _, test := range []struct {
		name  string
		stall time.Duration // in the middle of the response
		whole bool
	}{{"steady", 0, true}, {"stalled", 5 * limit, false}} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			body := bytes.Repeat([]byte("x"), size)
			written := make(chan error, 1)
			srv := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n, writeErr := w.Write(body)
				if writeErr == nil && n != size {
					writeErr = fmt.Errorf("%d of %d bytes: %w", n, size, io.ErrShortWrite)
				}
				written <- writeErr
			}), Limits{Write: limit})
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			got := int64(0)
			for n := range parts {
				time.Sleep(pause)
				if n == parts/4 {
					time.Sleep(test.stall)
				}
				part, readErr := io.CopyN(io.Discard, c, size/parts)
				if got += part; readErr != nil {
					break
				}
			}
			err = <-written
			if test.whole && err != nil || !test.whole && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("caller got %d bytes of %d, error %v", got, size, err)
			}
		})
	}
}
