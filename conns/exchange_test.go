package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagershunt.example/shunt/conns"
)

// startPeer starts a server that runs a script on each connection. It returns its address and its connection count.
func startPeer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var opened atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), &opened
}

// readRequest reads a request with its body and returns its identifier.
func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	return req.Header.Get("Id"), true
}

// writeText writes to a connection. A write error is ignored, since the client's request then fails too.
func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
}

func newRequest(id string) *conns.Request {
	return &conns.Request{
		Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{"Id": {id}}, Limit: 1 << 20,
		Own: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponses guards against a request that returns a truncated response or one to another request, whatever the peer
// sends.
func TestResponses(t *testing.T) {
	reset := func(c net.Conn) {
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			panic(err)
		}
	}
	for _, test := range []struct {
		name string
		send func(c net.Conn, id string)
		want string // body, empty for an error
	}{
		{"whole", func(c net.Conn, id string) { writeText(c, okResponse(id, "whole")) }, "whole"},
		{"after the response to another request", func(c net.Conn, id string) {
			writeText(c, okResponse("other", "not yours")+okResponse(id, "yours"))
		}, "yours"},
		{"response without an identifier", func(c net.Conn, _ string) {
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}, ""},
		{"truncated body", func(c net.Conn, id string) {
			writeText(c, strings.TrimSuffix(okResponse(id, "cut short"), "short"))
		}, ""},
		{"truncated chunks", func(c net.Conn, id string) {
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		}, ""},
		{"unframed until the connection is closed", func(c net.Conn, id string) {
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nunframed")
		}, "unframed"},
		{"unframed and reset", func(c net.Conn, id string) {
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nunfra")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, ""},
		{"no HTTP", func(c net.Conn, _ string) { writeText(c, "\x00\x01garbage\r\n\r\n") }, ""},
		{"informational first", func(c net.Conn, id string) {
			writeText(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse(id, "final"))
		}, "final"},
		{"nothing", func(net.Conn, string) {}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := startPeer(t, func(c net.Conn, r *bufio.Reader) {
				if id, ok := readRequest(r); ok {
					test.send(c, id)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := conns.New(conns.Options{}).Do(ctx, addr, newRequest("a"))
			if test.want == "" {
				var failed *conns.Error
				if !errors.As(err, &failed) || !failed.Sent {
					t.Fatalf("response %+v, error %v, want an error with Sent", resp, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if string(resp.Body) != test.want {
				t.Errorf("body %q, want %q", resp.Body, test.want)
			}
		})
	}
}

// TestUnsolicitedData guards against data received after a response that is taken for the response to the next request.
// If it has arrived before the next request, that request uses another connection. If it arrives later, it is skipped
// and the connection is not used again.
func TestUnsolicitedData(t *testing.T) {
	for _, test := range []struct {
		name string
		late bool // the data is written when the next request has arrived
		want []int32
	}{
		{"before the next request", false, []int32{1, 2, 3, 4}},
		{"during the next request", true, []int32{1, 1, 2, 2}},
	} {
		written := make(chan struct{}, 4)
		addr, opened := startPeer(t, func(c net.Conn, r *bufio.Reader) {
			for first := true; ; first = false {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				if test.late && !first {
					writeText(c, okResponse("earlier", "again"))
				}
				writeText(c, okResponse(id, id))
				if !test.late {
					time.Sleep(10 * time.Millisecond)
					writeText(c, okResponse(id, "again"))
				}
				written <- struct{}{}
			}
		})
		pool := conns.New(conns.Options{})
		for i, id := range []string{"a", "b", "c", "d"} {
			resp, err := pool.Do(t.Context(), addr, newRequest(id))
			if err != nil || string(resp.Body) != id {
				t.Fatalf("%s: request %s: %v, %v", test.name, id, resp, err)
			}
			<-written
			if got := opened.Load(); got != test.want[i] {
				t.Errorf("%s: %d connections after %d requests, want %d", test.name, got, i+1, test.want[i])
			}
		}
	}
}

// TestConnectionReuse guards against requests that fail on a closed or expired connection, and against a new connection
// for each request.
func TestConnectionReuse(t *testing.T) {
	addr, opened := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			writeText(c, okResponse(id, id))
			if id == "b" {
				return
			}
		}
	})
	pool := conns.New(conns.Options{})
	do := func(r *conns.Request) {
		t.Helper()
		if _, err := pool.Do(t.Context(), addr, r); err != nil {
			t.Fatal(err)
		}
	}
	do(newRequest("a"))
	do(newRequest("b"))
	if got := opened.Load(); got != 1 {
		t.Errorf("%d connections for two requests, want 1", got)
	}
	time.Sleep(20 * time.Millisecond)
	do(newRequest("c"))
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections after the peer closed one, want 2", got)
	}
	time.Sleep(20 * time.Millisecond)
	limited := newRequest("d")
	limited.Fresh = 10 * time.Millisecond
	do(limited)
	if got := opened.Load(); got != 3 {
		t.Errorf("%d connections after a request with an idle limit, want 3", got)
	}
}

// TestExpectContinue guards against a body that is sent before the peer has sent status 100, and against reporting a
// request as sent although the peer never asked for its body, which would prevent a safe retry.
func TestExpectContinue(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	for _, test := range []struct {
		name   string
		script func(c net.Conn, r *bufio.Reader)
		status int
		sent   bool
	}{
		{"continue received", func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			writeText(c, "HTTP/1.1 100 Continue\r\n\r\n")
			got, _ := io.ReadAll(req.Body)
			writeText(c, okResponse("a", fmt.Sprint(len(got))))
		}, http.StatusOK, true},
		{"refused", func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				writeText(c, "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n")
			}
		}, http.StatusServiceUnavailable, true},
		{"gone", func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := startPeer(t, test.script)
			r := newRequest("a")
			r.Method, r.Body, r.Expect = http.MethodPost, []byte(body), true
			resp, err := conns.New(conns.Options{}).Do(t.Context(), addr, r)
			var failed *conns.Error
			switch {
			case test.status == 0 && (!errors.As(err, &failed) || failed.Sent != test.sent):
				t.Errorf("error %v, want an error with Sent %v", err, test.sent)
			case test.status != 0 && (err != nil || resp.Status != test.status):
				t.Errorf("response %+v, error %v, want status %d", resp, err, test.status)
			case test.status == http.StatusOK && string(resp.Body) != fmt.Sprint(len(body)):
				t.Errorf("peer received %s bytes, want %d", resp.Body, len(body))
			}
		})
	}
}

// TestEarlyResponse guards against a lost response that the peer sent before it had read a large body, and against
// reuse of the connection, on which the rest of the body would be parsed as a request.
func TestEarlyResponse(t *testing.T) {
	addr, opened := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			writeText(c, okResponse(req.Header.Get("Id"), "early"))
			time.Sleep(50 * time.Millisecond)
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	})
	pool := conns.New(conns.Options{})
	for _, id := range []string{"a", "b"} {
		r := newRequest(id)
		r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
		resp, err := pool.Do(t.Context(), addr, r)
		if err != nil || string(resp.Body) != "early" {
			t.Fatalf("request %s: %v, %v", id, resp, err)
		}
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// TestCancel guards against a request that continues, or keeps its connection open, after its context was cancelled.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	addr, _ := startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := conns.New(conns.Options{}).Do(ctx, addr, newRequest("a"))
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want context.DeadlineExceeded", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("connection was not closed")
	}
}
