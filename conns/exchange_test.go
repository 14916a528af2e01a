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

// peer answers each connection with a script. It returns its address and the number of connections so far.
func peer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) (string, *atomic.Int32) {
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

// request reads one request with its body and returns its identifier.
func request(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	return req.Header.Get("Id"), true
}

// say writes to a connection; a peer that has left shows in the request's error.
func say(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
}

func get(id string) *conns.Request {
	return &conns.Request{
		Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{"Id": {id}}, Limit: 1 << 20,
		Own: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestAnswers guards that a request gets its own whole answer or an error, whatever its peer sends.
func TestAnswers(t *testing.T) {
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
		{"whole", func(c net.Conn, id string) { say(c, answer(id, "whole")) }, "whole"},
		{"after the answer to another request", func(c net.Conn, id string) {
			say(c, answer("other", "not yours")+answer(id, "yours"))
		}, "yours"},
		{"answer without an identifier", func(c net.Conn, _ string) {
			say(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}, ""},
		{"cut short", func(c net.Conn, id string) {
			say(c, strings.TrimSuffix(answer(id, "cut short"), "short"))
		}, ""},
		{"chunks cut short", func(c net.Conn, id string) {
			say(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		}, ""},
		{"unframed until the end", func(c net.Conn, id string) {
			say(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nunframed")
		}, "unframed"},
		{"unframed and reset", func(c net.Conn, id string) {
			say(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nunfra")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, ""},
		{"no HTTP", func(c net.Conn, _ string) { say(c, "\x00\x01garbage\r\n\r\n") }, ""},
		{"informational first", func(c net.Conn, id string) {
			say(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer(id, "final"))
		}, "final"},
		{"nothing", func(net.Conn, string) {}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := peer(t, func(c net.Conn, r *bufio.Reader) {
				if id, ok := request(r); ok {
					test.send(c, id)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := conns.New(conns.Options{}).Do(ctx, addr, get("a"))
			if test.want == "" {
				var failed *conns.Error
				if !errors.As(err, &failed) || !failed.Sent {
					t.Fatalf("answer %+v, error %v, want an error after sending", resp, err)
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

// TestSurplus guards that a connection on which anything followed an answer carries no other request.
func TestSurplus(t *testing.T) {
	for _, late := range []time.Duration{0, 30 * time.Millisecond} {
		addr, opened := peer(t, func(c net.Conn, r *bufio.Reader) {
			for {
				id, ok := request(r)
				if !ok {
					return
				}
				say(c, answer(id, id))
				time.Sleep(late)
				say(c, answer(id, "again"))
			}
		})
		pool := conns.New(conns.Options{})
		for i, id := range []string{"a", "b", "c"} {
			resp, err := pool.Do(t.Context(), addr, get(id))
			if err != nil || string(resp.Body) != id {
				t.Fatalf("request %s: %v, %v", id, resp, err)
			}
			time.Sleep(2 * late)
			if got := int(opened.Load()); got != i+1 {
				t.Errorf("late %s: %d connections after %d requests", late, got, i+1)
			}
		}
	}
}

// TestKept guards that a sound connection is kept, and that a closed or old one is not used again.
func TestKept(t *testing.T) {
	addr, opened := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := request(r)
			if !ok {
				return
			}
			say(c, answer(id, id))
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
	do(get("a"))
	do(get("b"))
	if got := opened.Load(); got != 1 {
		t.Errorf("%d connections for two requests", got)
	}
	time.Sleep(20 * time.Millisecond)
	do(get("c"))
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections after one was closed", got)
	}
	time.Sleep(20 * time.Millisecond)
	once := get("d")
	once.Fresh = 10 * time.Millisecond
	do(once)
	if got := opened.Load(); got != 3 {
		t.Errorf("%d connections, want a new one for a request that asks for a fresh one", got)
	}
}

// TestExpect guards that a body is held back until the peer asks for it, and that a request without its body counts
// as not sent.
func TestExpect(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	for _, test := range []struct {
		name   string
		script func(c net.Conn, r *bufio.Reader)
		status int
		sent   bool
	}{
		{"asked for", func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			say(c, "HTTP/1.1 100 Continue\r\n\r\n")
			got, _ := io.ReadAll(req.Body)
			say(c, answer("a", fmt.Sprint(len(got))))
		}, http.StatusOK, true},
		{"refused", func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				say(c, "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n")
			}
		}, http.StatusServiceUnavailable, true},
		{"gone", func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := peer(t, test.script)
			r := get("a")
			r.Method, r.Body, r.Expect = http.MethodPost, []byte(body), true
			resp, err := conns.New(conns.Options{}).Do(t.Context(), addr, r)
			var failed *conns.Error
			switch {
			case test.status == 0 && (!errors.As(err, &failed) || failed.Sent != test.sent):
				t.Errorf("error %v, want one with sent %v", err, test.sent)
			case test.status != 0 && (err != nil || resp.Status != test.status):
				t.Errorf("answer %+v, error %v, want status %d", resp, err, test.status)
			case test.status == http.StatusOK && string(resp.Body) != fmt.Sprint(len(body)):
				t.Errorf("peer got %s bytes, want %d", resp.Body, len(body))
			}
		})
	}
}

// TestEarlyAnswer guards that an answer that comes before a long body was read is delivered, and that the rest of
// the body is never taken for a request.
func TestEarlyAnswer(t *testing.T) {
	addr, opened := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			say(c, answer(req.Header.Get("Id"), "early"))
			time.Sleep(50 * time.Millisecond)
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	})
	pool := conns.New(conns.Options{})
	for _, id := range []string{"a", "b"} {
		r := get(id)
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

// TestCancel guards that a request ends with its context and takes its connection along.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	addr, _ := peer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = request(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := conns.New(conns.Options{}).Do(ctx, addr, get("a"))
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("connection stayed open")
	}
}
