package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/quota"
)

// writeEndlessly writes a text until the peer closes the connection, and counts the bytes.
func writeEndlessly(c net.Conn, text string, pause time.Duration, written *atomic.Int64) {
	data := []byte(text)
	if pause == 0 {
		data = []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	}
	for {
		n, err := c.Write(data)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestEndlessResponse guards against a faulty server whose bytes have no end: they must not use memory beyond the
// budget, must not be read beyond the bounds, and must end the request well before its deadline where they cannot be
// a response. The request counts as sent, so its outcome is unknown.
func TestEndlessResponse(t *testing.T) {
	const budget, requests = 4 << 20, 8
	for _, test := range []struct {
		name, first, repeated string
		pause                 time.Duration
		maxBytes              int64 // read per connection, with the buffers of the sockets
		soon                  bool  // the request ends before headTimeout is over
	}{
		{"not HTTP", "", "\x00\xffgarbage", 0, 8 << 20, true},
		{"not HTTP, slow", "", "x", 5 * time.Millisecond, 1 << 10, true},
		{"first line", "HTTP/1.1 200 ", "x", 0, 8 << 20, true},
		{"first line, slow", "HTTP/1.1 200 ", "x", 20 * time.Millisecond, 1 << 10, false},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, 8 << 20, true},
		{"headers, slow", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 20 * time.Millisecond, 1 << 10, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0, 8 << 20, true},
		{
			"responses to other requests", "", "HTTP/1.1 503 Busy\r\nId: other\r\nContent-Length: 0\r\n\r\n", 0, 8 << 20,
			true,
		},
		{"body without a length", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "garbage", 0, 32 << 20, true},
		{
			"body in chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\ngarbage!\r\n", 0,
			32 << 20, true,
		},
		{"body of another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "garbage", 0, 8 << 20, true},
		{
			"body in chunks of another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
			"8\r\ngarbage!\r\n", 0, 8 << 20, true,
		},
		{"long length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9000000000\r\n\r\n", "x", 0, 8 << 20, true},
		{
			"trailer", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 0, 8 << 20, true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			addr, _ := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					writeText(c, test.first)
					writeEndlessly(c, test.repeated, test.pause, &written)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			pool, memory := conns.New(conns.Options{}), quota.New(budget)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			errs := make(chan error, requests)
			for range requests {
				go func() {
					r := newRequest("a")
					r.Limit, r.Share = 32<<20, memory.Open()
					_, err := pool.Do(ctx, addr, r)
					r.Share.Release()
					errs <- err
				}()
			}
			for range requests {
				var failed *conns.Error
				if err := <-errs; !errors.As(err, &failed) || !failed.Sent || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("error %v, want an error with Sent before the deadline", err)
				}
			}
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			if limit := 10 * time.Second; took > limit {
				t.Errorf("requests ended after %s, want %s at most", took, limit)
			}
			if test.soon && test.pause > 0 && took > 500*time.Millisecond {
				t.Errorf("bytes that cannot begin a response held the request for %s", took)
			}
			if got, limit := written.Load(), requests*(test.maxBytes+8<<20); got > limit {
				t.Errorf("%d bytes were accepted, want %d at most", got, limit)
			}
			if used := memory.Used(); used != 0 {
				t.Errorf("%d bytes of the budget are in use at the end", used)
			}
		})
	}
}

// TestSlowResponse guards against the bounds of hostile responses taking effect on a sound server that takes long to
// respond, and then sends a large body slowly.
func TestSlowResponse(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	addr, _ := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); !ok {
			return
		}
		time.Sleep(1200 * time.Millisecond)
		writeText(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 262144\r\n\r\n")
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			writeText(c, part)
		}
	})
	r := newRequest("a")
	r.Share = quota.New(1 << 20).Open()
	resp, err := conns.New(conns.Options{}).Do(t.Context(), addr, r)
	if err != nil || len(resp.Body) != 4*len(part) {
		t.Fatalf("response %v, error %v", resp, err)
	}
}

// TestRepeatedRefusal guards against a refusal that a faulty server writes once more: on the second request with the same
// ID it must not be taken for the response, since that request runs. The first variant writes it at once, the second one
// when the second request arrives.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	for _, late := range []bool{false, true} {
		var served atomic.Int32
		addr, opened := startPeer(t, func(c net.Conn, r *bufio.Reader) {
			for first := true; ; first = false {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				if served.Add(1) == 1 {
					writeText(c, refusal)
					if !late {
						time.Sleep(20 * time.Millisecond)
						writeText(c, refusal)
					}
					continue
				}
				if late && !first {
					writeText(c, refusal)
				}
				writeText(c, okResponse(id, "ran"))
			}
		})
		pool := conns.New(conns.Options{})
		for i, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			r := newRequest("a")
			r.ID = "a"
			resp, err := pool.Do(t.Context(), addr, r)
			if err != nil || resp.Status != status {
				t.Errorf("late %v, request %d: %+v, %v, want status %d", late, i+1, resp, err, status)
			}
		}
		if got := opened.Load(); got != 2 {
			t.Errorf("late %v: %d connections, want 2", late, got)
		}
	}
}

// TestRefusalsOnConnection guards against a new connection for each refusal, and against an unbounded number of recorded
// identifiers: after maxFailedIDs refusals a connection is closed.
func TestRefusalsOnConnection(t *testing.T) {
	addr, opened := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			writeText(c, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := conns.New(conns.Options{})
	for i := range 32 {
		id := string(rune('A' + i))
		r := newRequest(id)
		r.ID = id
		if _, err := pool.Do(t.Context(), addr, r); err != nil {
			t.Fatal(err)
		}
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections for 32 refusals, want 2", got)
	}
}

// TestResponseCutInHead guards against a response whose head ends early being taken for a whole one: without the rest of
// the headers its body would have another length, or none. The peer closes or resets the connection after each of the
// head's bytes.
func TestResponseCutInHead(t *testing.T) {
	for _, test := range []struct{ name, head, body string }{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n", "hello, world"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\nhello, world\r\n0\r\n\r\n"},
		{"until the close", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n", "hello, world"},
		{"line feeds only", "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n", "hello, world"},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\n\r\n", ""},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", test.name, reset), func(t *testing.T) {
				for cut := range len(test.head) {
					addr, _ := startPeer(t, func(c net.Conn, r *bufio.Reader) {
						if _, ok := readRequest(r); !ok {
							return
						}
						writeText(c, test.head[:cut])
						if tcp, ok := c.(*net.TCPConn); ok && reset {
							time.Sleep(time.Millisecond)
							_ = tcp.SetLinger(0)
						}
						c.Close()
					})
					resp, err := conns.New(conns.Options{}).Do(t.Context(), addr, newRequest("a"))
					var failed *conns.Error
					if !errors.As(err, &failed) || !failed.Sent || resp != nil {
						t.Errorf(
							"head cut after %q: response %+v, error %v; want an error with Sent",
							test.head[:cut],
							resp,
							err,
						)
					}
				}
			})
		}
	}
}
