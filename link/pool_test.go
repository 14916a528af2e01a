package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// peer is a stand-in server that counts the requests it read per path and leaves the answer to a function.
type peer struct {
	addr  string
	serve func(c net.Conn, r *http.Request, nth int) bool // nth request on its connection; false closes it
	ended chan struct{}                                   // receives once per closed connection

	mu   sync.Mutex
	runs map[string]int
}

func newPeer(t *testing.T, serve func(c net.Conn, r *http.Request, nth int) bool) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &peer{addr: l.Addr().String(), serve: serve, ended: make(chan struct{}, 10_000), runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.handle(c)
		}
	}()
	return p
}

func (p *peer) handle(c net.Conn) {
	defer func() { c.Close(); p.ended <- struct{}{} }()
	br := bufio.NewReader(c)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		p.runs[r.URL.Path]++
		p.mu.Unlock()
		if !p.serve(c, r, nth) {
			return
		}
	}
}

func (p *peer) ran(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[path]
}

func (p *peer) request(ctx context.Context, t *testing.T, method, path string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.addr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func text(r Result) string {
	if r.Err != nil {
		return "error: " + r.Err.Error()
	}
	defer r.Response.Body.Close()
	data, err := io.ReadAll(r.Response.Body)
	if err != nil {
		return "error: " + err.Error()
	}
	return string(data)
}

func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a second run: the Transport sends a request again when a reused connection breaks, if it
// takes the request for replayable.
func TestRequestIsNeverReplayed(t *testing.T) {
	for _, c := range []struct{ method, key string }{
		{http.MethodGet, ""},
		{http.MethodHead, ""},
		{http.MethodOptions, ""},
		{http.MethodPost, "Idempotency-Key"},
		{http.MethodPost, "X-Idempotency-Key"},
	} {
		t.Run(c.method+c.key, func(t *testing.T) {
			peer := newPeer(t, func(conn net.Conn, r *http.Request, nth int) bool {
				if nth == 2 {
					return false
				}
				if c.key != "" && r.Header.Get(c.key) != "k" {
					t.Errorf("key %q arrived", r.Header.Get(c.key))
				}
				_, err := io.WriteString(conn, answer(""))
				return err == nil
			})
			pool := New(Limits{})
			for _, path := range []string{"/first", "/second"} {
				r := peer.request(t.Context(), t, c.method, path)
				if c.key != "" {
					r.Header.Set(c.key, "k")
				}
				res := pool.Do(r)
				if (res.Err != nil) != (path == "/second") || res.Unreached {
					t.Fatalf("%s: %+v", path, res)
				}
				text(res)
			}
			if n := peer.ran("/second"); n != 1 {
				t.Fatalf("ran %d times", n)
			}
		})
	}
}

// Guards against a false not-run, and against unknown where nothing can have run.
func TestUnreachedIsTrue(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	refused := newPeer(t, nil)
	refused.addr = "127.0.0.1:1"
	for _, c := range []struct {
		name      string
		ctx       context.Context
		peer      *peer
		unreached bool
	}{
		{"refused", t.Context(), refused, true},
		{"caller left before", canceled, newPeer(t, nil), true},
		{"closed after reading", t.Context(), newPeer(t, func(net.Conn, *http.Request, int) bool { return false }), false},
		{"garbage", t.Context(), newPeer(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, err := io.WriteString(c, "garbage\r\n\r\n")
			return err == nil
		}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := New(Limits{}).Do(c.peer.request(c.ctx, t, http.MethodPost, "/x"))
			if res.Err == nil || res.Unreached != c.unreached || (c.peer.ran("/x") > 0) == c.unreached {
				t.Fatalf("%+v, ran %d times", res, c.peer.ran("/x"))
			}
		})
	}
}

// Guards against a second answer on a connection being taken for the answer to the next request.
func TestSecondAnswerIsNotUsed(t *testing.T) {
	log.SetOutput(io.Discard) // the Transport logs each of them
	defer log.SetOutput(os.Stderr)
	peer := newPeer(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answer(r.URL.Path)+answer("second answer"))
		return err == nil
	})
	pool := New(Limits{})
	for i := range 3000 {
		path := fmt.Sprintf("/%d", i)
		res := pool.Do(peer.request(t.Context(), t, http.MethodPost, path))
		if got := text(res); res.Err == nil && got != path {
			t.Fatalf("request %s got %q", path, got)
		}
		if res.Unreached && peer.ran(path) != 0 {
			t.Fatalf("request %s ran and was called unreached: %v", path, res.Err)
		}
	}
}

// Guards against further requests on connections to an address where one went silent, and against breaking
// a request that still runs there.
func TestRetireClosesIdleOnly(t *testing.T) {
	finish := make(chan struct{})
	peer := newPeer(t, func(c net.Conn, r *http.Request, _ int) bool {
		full := answer("slow")
		if r.URL.Path == "/slow" {
			_, _ = io.WriteString(c, full[:len(full)-1])
			<-finish
			full = full[len(full)-1:]
		}
		_, err := io.WriteString(c, full)
		return err == nil
	})
	pool := New(Limits{})
	slow := pool.Do(peer.request(t.Context(), t, http.MethodGet, "/slow"))
	text(pool.Do(peer.request(t.Context(), t, http.MethodGet, "/idle")))
	pool.Retire(peer.addr)
	<-peer.ended
	close(finish)
	if got := text(slow); got != "slow" {
		t.Fatalf("got %q", got)
	}
}

// Guards against a server that accepts and never answers holding a request beyond the limit.
func TestFirstByteIsBounded(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	peer := newPeer(t, func(net.Conn, *http.Request, int) bool { <-done; return false })
	res := New(Limits{FirstByte: time.Millisecond}).Do(peer.request(t.Context(), t, http.MethodPost, "/x"))
	if !res.Silent || res.Unreached {
		t.Fatalf("%+v", res)
	}
}
