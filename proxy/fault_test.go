package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// raw runs a backend server whose answers are written by hand. The function returns whether the connection
// may take another request.
func raw(t testing.TB, answer func(c net.Conn, r *http.Request) bool) *backend {
	t.Helper()
	l := listen(t)
	b := &backend{addr: l.Addr().String(), runs: make(map[string]int)}
	handle := func(c net.Conn) {
		defer c.Close()
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			b.ran(r.Header.Get(HeaderRequestID), r.Header)
			if !answer(c, r) {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return b
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// Guards against short successes, false refusals and second runs, whatever the backend server does wrong.
func TestBackendFaults(t *testing.T) {
	log.SetOutput(io.Discard) // the Transport logs second answers
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		name    string
		answer  string
		status  int
		outcome string
		broken  bool // the caller sees its connection break
	}{
		{name: "whole", answer: whole, status: 200},
		{name: "killed before the answer", status: 502, outcome: OutcomeUnknown},
		{name: "killed in the header", answer: whole[:20], status: 502, outcome: OutcomeUnknown},
		// Neither half has sent the header on by then, so the caller can be told.
		{name: "killed in the body", answer: whole[:len(whole)-2], status: 502, outcome: OutcomeUnknown},
		{
			name: "killed in a long body", status: 200, broken: true,
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000),
		},
		{
			name: "killed between chunks", status: 200, broken: true,
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
		},
		{
			name: "bad chunk", status: 200, broken: true,
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nzz\r\n",
		},
		{name: "end not marked", answer: "HTTP/1.1 200 OK\r\n\r\nwho", status: 502, outcome: OutcomeUnknown},
		{name: "garbage", answer: "220 mail ready\r\n\r\n", status: 502, outcome: OutcomeUnknown},
		{name: "two answers", answer: whole + whole, status: 200},
		{
			name: "two lengths", status: 502, outcome: OutcomeUnknown,
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nwhole",
		},
		{
			name: "oversized header", status: 502, outcome: OutcomeUnknown,
			answer: "HTTP/1.1 200 OK\r\nBig: " + strings.Repeat("x", 80<<10) + "\r\nContent-Length: 0\r\n\r\n",
		},
		{name: "other protocol", answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", status: 502, outcome: OutcomeUnknown},
		{
			name: "refusal of another system passed on", status: 503,
			answer: "HTTP/1.1 503 Busy\r\nTanager-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := raw(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.answer)
				return false
			})
			n := newNode(t, b)
			g := n.do(n.request(t, http.MethodPost, "a", strings.NewReader("body")))
			if g.status != c.status || g.outcome != c.outcome || (g.err != nil) != c.broken {
				t.Errorf("got %d %q %v", g.status, g.outcome, g.err)
			}
			if b.count("a") != 1 {
				t.Errorf("ran %d times", b.count("a"))
			}
			if n.in.Drain(t.Context()) != nil || len(n.fakes.samples) != 1 || len(n.fakes.done) != 1 {
				t.Errorf("tickets %v, ran %v", n.fakes.samples, n.fakes.done)
			}
		})
	}
}

// Guards against a refusal that is not true and against one that is passed to the backend server anyway.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(n *node, r *http.Request)
		status int
	}{
		{"refused connection", func(n *node, _ *http.Request) { n.backend.close() }, 503},
		{"not admitted", func(n *node, _ *http.Request) { n.fakes.refusal = context.DeadlineExceeded }, 503},
		{"leaving", func(n *node, _ *http.Request) { n.server.Leave() }, 503},
		{"no configuration", func(n *node, _ *http.Request) { n.fakes.routerErr = io.EOF }, 503},
		{"no server", func(n *node, _ *http.Request) { n.fakes.members = nil }, 503},
		{"no time left", func(_ *node, r *http.Request) { r.Header.Set(HeaderTimeout, "0") }, 503},
		{"other version", func(n *node, _ *http.Request) { n.fakes.version = "desk-2" }, 503},
		{"hops", func(_ *node, r *http.Request) { r.Header.Set(HeaderHops, "32") }, 508},
		{"hops are no number", func(_ *node, r *http.Request) { r.Header.Set(HeaderHops, "x") }, 508},
		{"dot segments", func(_ *node, r *http.Request) { r.URL.Path = "/shop/../issue" }, 404},
		{"draining outbound", func(n *node, _ *http.Request) { _ = n.out.Drain(context.Background()) }, 503},
		{"draining inbound", func(n *node, _ *http.Request) { _ = n.in.Drain(context.Background()) }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := serve(t, func(http.ResponseWriter, *http.Request) {})
			n := newNode(t, b)
			r := n.request(t, http.MethodPost, "a", strings.NewReader("body"))
			c.set(n, r)
			g := n.do(r)
			if g.status != c.status || g.outcome != OutcomeNotRun || g.header.Get(HeaderReason) == "" ||
				!strings.Contains(g.body, `"outcome":"not-run"`) {
				t.Errorf("got %+v", g)
			}
			if b.count("a") != 0 {
				t.Errorf("ran %d times", b.count("a"))
			}
		})
	}
}

// Guards against refusing requests because an idle connection went bad.
func TestStaleConnectionsAreReplaced(t *testing.T) {
	log.SetOutput(io.Discard) // the Transport logs second answers
	defer log.SetOutput(os.Stderr)
	n := newNode(t, raw(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, whole+whole)
		return err == nil
	}))
	for i := range 1000 {
		id := fmt.Sprint(i)
		g := n.do(n.request(t, http.MethodPost, id, strings.NewReader("body")))
		if g.status != http.StatusOK || n.backend.count(id) != 1 {
			t.Fatalf("%s got %+v, ran %d times", id, g, n.backend.count(id))
		}
	}
}

// Guards against believing what another program says at an address that a node had before.
func TestForeignAnswerIsUnknown(t *testing.T) {
	n := newNode(t, serve(t, func(http.ResponseWriter, *http.Request) {}))
	foreign := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	n.fakes.members[0].Calls = foreign.addr
	if g := n.do(
		n.request(t, http.MethodPost, "a", nil),
	); g.status != http.StatusBadGateway ||
		g.outcome != OutcomeUnknown {
		t.Fatalf("got %+v", g)
	}
}

// Guards against a frozen server holding a caller beyond its deadline, and against calling that not run.
func TestFrozenBackend(t *testing.T) {
	reached, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	b := raw(t, func(net.Conn, *http.Request) bool { close(reached); <-done; return false })
	n := newNode(t, b)
	go func() { <-reached; n.clock.Advance(time.Hour) }()
	g := n.do(n.request(t, http.MethodPost, "a", strings.NewReader("body")))
	if g.status != http.StatusGatewayTimeout || g.outcome != OutcomeUnknown || b.count("a") != 1 {
		t.Fatalf("got %+v, ran %d times", g, b.count("a"))
	}
}

// Guards against an answer that arrives after its caller left being given to the next request, and against
// running on for nobody.
func TestCallerLeaves(t *testing.T) {
	reached, written := make(chan context.Context), make(chan struct{})
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http notices a leaving peer only after the body
		if id := r.Header.Get(HeaderRequestID); id != "leaves" {
			_, _ = io.WriteString(w, id)
			return
		}
		reached <- r.Context()
		<-r.Context().Done()
		_, _ = io.WriteString(w, "late")
		close(written)
	})
	n := newNode(t, b)
	for _, id := range []string{"before", "leaves", "after"} {
		r := n.request(t, http.MethodPost, id, strings.NewReader("body"))
		if id != "leaves" {
			if g := n.do(r); g.body != id {
				t.Fatalf("%s got %+v", id, g)
			}
			continue
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-reached; cancel() }()
		if g := n.do(r.WithContext(ctx)); g.err == nil {
			t.Fatalf("got %+v", g)
		}
		<-written
	}
}

// Guards against an upload that ends early being completed on its way: the backend server must see it break.
func TestCallerLeavesInUpload(t *testing.T) {
	started, broke := make(chan struct{}), make(chan error)
	b := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 100<<10))
		close(started)
		_, err := io.Copy(io.Discard, r.Body)
		broke <- err
	})
	n := newNode(t, b)
	body, upload := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, _ = upload.Write(make([]byte, 100<<10))
		<-started
		cancel()
		upload.CloseWithError(context.Canceled)
	}()
	g := n.do(n.request(t, http.MethodPost, "a", body).WithContext(ctx))
	if err := <-broke; err == nil || g.err == nil {
		t.Fatalf("backend read %v, caller got %+v", err, g)
	}
}

// Guards against crossed answers when many requests share connections and some callers leave.
func TestAnswersMatchRequests(t *testing.T) {
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get(HeaderRequestID), data)
	})
	n := newNode(t, b)
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", worker, i)
				ctx, cancel := context.WithCancel(t.Context())
				if i%5 == 4 {
					go cancel()
				}
				g := n.do(n.request(t, http.MethodPost, id, strings.NewReader(id)).WithContext(ctx))
				cancel()
				if g.err == nil && g.status == http.StatusOK && g.body != id+" "+id ||
					g.err == nil && i%5 != 4 && g.status != 200 {
					t.Errorf("%s got %+v", id, g)
				}
				if runs := b.count(id); runs > 1 || (runs > 0 && g.outcome == OutcomeNotRun) {
					t.Errorf("%s ran %d times, got %+v", id, runs, g)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against requests that two servers would cut apart differently, and against unbounded headers.
func TestMalformedRequests(t *testing.T) {
	head := "POST /issue HTTP/1.1\r\nHost: desk\r\nTanager-Request-Id: a\r\n"
	for _, c := range []struct {
		name    string
		request string
		status  int
		runs    int
	}{
		{"both lengths", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, 1},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nwhole", 400, 0},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 501, 0},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n0\r\n\r\n", 503, 0},
		{"space before colon", head + "Content-Length : 5\r\n\r\nwhole", 400, 0},
		{"oversized header", head + "Big: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := serve(t, func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				if string(data) != "whole" || len(r.TransferEncoding) > 0 && r.Header.Get("Content-Length") != "" {
					w.WriteHeader(http.StatusTeapot)
				}
			})
			n := newNode(t, b)
			conn, err := net.Dial("tcp", n.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, c.request) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != c.status || b.count("a") != c.runs {
				t.Fatalf("got %d, ran %d times", resp.StatusCode, b.count("a"))
			}
		})
	}
}
