package proxy

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
)

type begunRequest struct {
	uri      string
	canceled *[]string
}

// Cancel implements Begun.
func (b *begunRequest) Cancel() { *b.canceled = append(*b.canceled, b.uri) }

// TestAdvanceReader guards against requests that are begun with the bytes of a body or of another request, before the
// first one, or behind a response that closes the connection. The bytes arrive in pieces of every size.
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
