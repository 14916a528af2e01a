package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

type begunRequest struct {
	uri      string
	canceled *[]string
}

// Cancel implements Begun.
func (b *begunRequest) Cancel() { *b.canceled = append(*b.canceled, b.uri) }

// TestAdvanceReader guards against requests that are begun with the bytes of a body or of another request, before the
// first one, behind a response that closes the connection, or behind a request that net/http rejects or divides in
// another way. The bytes arrive in pieces of every size.
func TestAdvanceReader(t *testing.T) {
	get := func(uri, headers string) string { return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name, stream string
		begun        []string
	}{
		{"one", get("/0", ""), nil},
		{"three", get("/0", "") + get("/1", "") + get("/2", ""), []string{"/1", "/2"}},
		{
			"body", get("/0", "") + "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 37\r\n\r\n" + smuggled + get("/2", ""),
			nil,
		},
		{
			"chunks", get("/0", "") + "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n25\r\n" + smuggled +
				"\r\n0\r\n\r\n" + get("/2", ""), nil,
		},
		{"no length", get("/0", "") + get("/1", "Content-Length: x\r\n") + get("/2", ""), nil},
		{"closing", get("/0", "") + get("/1", "Connection: close\r\n") + get("/2", ""), nil},
		{"first is closing", get("/0", "Connection: close\r\n") + get("/1", ""), nil},
		{"older protocol", get("/0", "") + "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n" + get("/2", ""), nil},
		{"no request", get("/0", "") + "\x00\xff\r\n\r\n" + get("/2", ""), nil},
		{"no host", "GET /0 HTTP/1.1\r\n\r\n" + get("/1", ""), nil},
		{"two hosts", get("/0", "Host: h\r\n") + get("/1", ""), nil},
		{"invalid host", "GET /0 HTTP/1.1\r\nHost: h\x01\r\n\r\n" + get("/1", ""), nil},
		{"space before the colon", get("/0", "A : x\r\n") + get("/1", ""), nil},
		{"invalid header name", get("/0", "A(: x\r\n") + get("/1", ""), nil},
		{"control character in a value", get("/0", "A: \x01\r\n") + get("/1", ""), nil},
		{"folded header", get("/0", "A: x\r\n B: y\r\n") + get("/1", ""), nil},
		{"unknown expectation", get("/0", "Expect: x\r\n") + get("/1", ""), nil},
		{"upgrade", get("/0", "Connection: upgrade\r\nUpgrade: x\r\n") + get("/1", ""), nil},
		{"line feeds alone", "GET /0 HTTP/1.1\nHost: h\n\n" + get("/1", "") + get("/2", ""), nil},
		{"line feeds alone later", get("/0", "") + "GET /1 HTTP/1.1\nHost: h\n\n" + get("/2", "") + get("/3", ""), nil},
		{"absolute target", "GET http://h/0 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1", ""), nil},
		{"two spaces", "GET  /0 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1", ""), nil},
		{"header too long", get("/0", "") + get("/1", "A: "+strings.Repeat("x", 2*maxAdvanceHeader)+"\r\n") + get("/2", ""), nil},
	} {
		sizes := []int{1, 2, 7, len(test.stream)}
		if len(test.stream) > maxAdvanceHeader {
			sizes = []int{1000}
		}
		for _, size := range sizes {
			var begun, canceled []string
			a := advanceReader{begin: func(_ context.Context, r *http.Request) Begun {
				begun = append(begun, r.RequestURI)
				return &begunRequest{r.RequestURI, &canceled}
			}}
			for rest := test.stream; rest != ""; {
				n := min(size, len(rest))
				a.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			if !slices.Equal(begun, test.begun) {
				t.Errorf("%s in pieces of %d: begun %v, want %v", test.name, size, begun, test.begun)
			}
			a.cancel()
			slices.Sort(canceled)
			if !slices.Equal(canceled, test.begun) {
				t.Errorf("%s in pieces of %d: canceled %v, want %v", test.name, size, canceled, test.begun)
			}
		}
	}
}

// FuzzAdvanceReader guards against a request that is begun in advance and is not the one that net/http reads at its
// place on the connection: its response would go to another request. Each begun request must be the one that a server
// of the standard library handles with the same number, or lie behind the end of the stream.
func FuzzAdvanceReader(f *testing.F) {
	get := func(uri, headers string) string { return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	for _, first := range []string{
		get("/0", ""), "GET /0 HTTP/1.1\nHost: h\n\n", "GET /0 HTTP/1.1\r\n\r\n", get("/0", "A : x\r\n"),
		get("/0", "A: x\r\n B: y\r\n"), get("/0", "Host: g\r\n"), get("/0", "Content-Length: 0\r\n"),
		get("/0", "Content-Length: 5\r\n") + "GET /", "\r\n" + get("/0", ""), get("/0", "Transfer-Encoding: chunked\r\n"),
		get("/0", "Expect: 100-continue\r\n"), "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", get("/0", "A: x\n\nGET /9 HTTP/1.1\r\n"),
	} {
		f.Add([]byte(first + get("/1", "") + get("/2", "B: y\r\n")))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		var begun []string
		a := advanceReader{}
		a.begin = func(_ context.Context, r *http.Request) Begun {
			number := a.read - 1
			for len(begun) <= number {
				begun = append(begun, "")
			}
			begun[number] = r.Method + " " + r.RequestURI + " " + r.Host
			return nil
		}
		a.add(stream)
		handled := serveStream(t, stream)
		for i, r := range begun {
			if r != "" && (i >= len(handled) || handled[i] != r) {
				t.Fatalf("request %d was begun as %q, net/http handles %q", i, r, handled)
			}
		}
	})
}

// serveStream returns the requests that a server of the standard library handles on a connection with the given bytes.
func serveStream(t *testing.T, stream []byte) []string {
	t.Helper()
	var handled []string
	srv := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			handled = append(handled, r.Method+" "+r.RequestURI+" "+r.Host)
		}),
		ReadHeaderTimeout:            time.Minute,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(io.Discard, "", 0),
	}
	near, far := net.Pipe()
	l := &streamListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- &streamConn{Conn: far, stream: bytes.NewReader(stream), ended: l.closed}
	go func() { _, _ = io.Copy(io.Discard, near) }()
	if err := srv.Serve(l); !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	near.Close()
	return handled
}

type (
	// streamListener accepts one connection and ends when that is closed.
	streamListener struct {
		conn   chan net.Conn
		closed chan struct{}
	}

	// streamConn reads from a fixed stream.
	streamConn struct {
		net.Conn
		stream io.Reader
		ended  chan struct{}
		once   sync.Once
	}
)

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return &net.TCPAddr{} }

// Read implements io.Reader.
func (c *streamConn) Read(p []byte) (int, error) { return c.stream.Read(p) }

// Close implements io.Closer.
func (c *streamConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
