package meshd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/quota"
)

// newUploadNode returns the address of a node that has a route but no servers, and memory for bodies of the given size.
func newUploadNode(t *testing.T, memory int64) (addr string, bodies *quota.Budget) {
	t.Helper()
	view := NewMeshView(clockwork.NewRealClock())
	config := &shunt.MeshConfig{
		Version: 1, Routes: []shunt.MeshRoute{{
			Name: "upload", Host: "shop.example", Prefix: "/", Timeout: 5 * time.Second, MaxAttempts: 1,
			Parts: []shunt.RoutePart{{Service: testService, Weight: 1}},
		}},
	}
	config.Limits.BodyBytes = memory
	view.SetConfig(config)
	bodies = quota.New(memory)
	srv := httptest.NewServer(&Outbound{
		Clock: clockwork.NewRealClock(), Codec: fakeHeaderCodec{}, View: view, Meter: NewMeter(), Bodies: bodies,
		Service: func() string { return "front" }, Bounds: func() Bounds { return Bounds{} },
	})
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), bodies
}

// TestUploadGivenUp guards against an upload within the limits that is answered 400, which is final, because the memory
// for bodies was used up while it was being read: another upload makes the node give up the larger one. The caller must get
// a 503, after which it may come back.
func TestUploadGivenUp(t *testing.T) {
	const size, first, second = 80_000, 70_000, 60_000
	addr, bodies := newUploadNode(t, 100_000)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /large HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", size,
		strings.Repeat("x", first))
	waitFor(t, time.Second, "first upload in memory", func() bool { return bodies.Used() > first })
	other, err := http.NewRequestWithContext(
		t.Context(), http.MethodPost, "http://"+addr+"/small", strings.NewReader(strings.Repeat("x", second)),
	)
	if err != nil {
		t.Fatal(err)
	}
	other.Host = "shop.example"
	answer, err := http.DefaultClient.Do(other)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if err = conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reason := resp.Header.Get(proxy.HeaderReason)
	if resp.StatusCode != http.StatusServiceUnavailable || reason != quota.ErrExhausted.Error() {
		t.Errorf("given-up upload got %d (%s), want 503 (%s)", resp.StatusCode, reason, quota.ErrExhausted)
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
}

// evictingBody is a body of which another message makes the budget give up the share before the last read.
type evictingBody struct {
	io.Reader
	evict func()
}

func (b *evictingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.evict()
	}
	return n, err
}

// TestUploadGivenUpAtEnd guards against an upload whose memory is given up between two reads and that goes on to the server
// all the same: the server runs it, and the node has no memory left for the answer.
func TestUploadGivenUpAtEnd(t *testing.T) {
	bodies := quota.New(40_000)
	upload, other := bodies.Open(), bodies.Open()
	defer upload.Release()
	defer other.Release()
	r := httptest.NewRequest(http.MethodPost, "/", &evictingBody{
		Reader: strings.NewReader(strings.Repeat("x", 30_000)),
		evict: func() {
			if err := other.Grow(10_000); err != nil {
				t.Error(err)
			}
		},
	})
	r.ContentLength = -1
	if body, err := readBody(httptest.NewRecorder(), r, upload); !errors.Is(err, quota.ErrExhausted) {
		t.Errorf("read %d bytes, error %v, want %v", len(body), err, quota.ErrExhausted)
	}
}
