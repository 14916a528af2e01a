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

// newRawBackend runs a backend server whose responses a function writes as raw bytes. The function returns whether
// the connection may carry another request.
func newRawBackend(t testing.TB, respond func(c net.Conn, r *http.Request) bool) *fakeBackend {
	t.Helper()
	l := listen(t)
	b := &fakeBackend{addr: l.Addr().String(), runs: make(map[string]int)}
	handle := func(c net.Conn) {
		defer c.Close()
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			b.record(r.Header.Get(HeaderRequestID), r.Header)
			if !respond(c, r) {
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

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// Guards against truncated responses that look complete, false not-run outcomes and duplicate runs when the backend
// server fails or sends malformed responses.
func TestFaultyBackendResponses(t *testing.T) {
	log.SetOutput(io.Discard) // the Transport logs unsolicited responses
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		name       string
		response   string
		status     int
		outcome    string
		connBreaks bool // the caller's connection breaks
	}{
		{name: "whole", response: wholeResponse, status: 200},
		{name: "connection closed before the response", status: 502, outcome: OutcomeUnknown},
		{name: "connection closed in the header", response: wholeResponse[:20], status: 502, outcome: OutcomeUnknown},
		// Neither proxy has forwarded the response header yet, so the caller gets an error response.
		{
			name: "connection closed in a short body", response: wholeResponse[:len(wholeResponse)-2],
			status: 502, outcome: OutcomeUnknown,
		},
		{
			name: "connection closed in a long body", status: 200, connBreaks: true,
			response: "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000),
		},
		{
			name: "connection closed between chunks", status: 200, connBreaks: true,
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
		},
		{
			name: "bad chunk", status: 200, connBreaks: true,
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nzz\r\n",
		},
		{name: "no framing", response: "HTTP/1.1 200 OK\r\n\r\nwho", status: 502, outcome: OutcomeUnknown},
		{name: "garbage", response: "220 mail ready\r\n\r\n", status: 502, outcome: OutcomeUnknown},
		{name: "two responses", response: wholeResponse + wholeResponse, status: 200},
		{
			name: "two lengths", status: 502, outcome: OutcomeUnknown,
			response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nwhole",
		},
		{
			name: "oversized header", status: 502, outcome: OutcomeUnknown,
			response: "HTTP/1.1 200 OK\r\nBig: " + strings.Repeat("x", 80<<10) + "\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name: "protocol switch", response: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
			status: 502, outcome: OutcomeUnknown,
		},
		{
			name: "relayed outcome header", status: 503,
			response: "HTTP/1.1 503 Busy\r\nTanager-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRawBackend(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.response)
				return false
			})
			n := newNode(t, b)
			result := n.send(n.newRequest(t, http.MethodPost, "a", strings.NewReader("body")))
			if result.status != c.status || result.outcome != c.outcome || (result.err != nil) != c.connBreaks {
				t.Errorf("got %d %q %v", result.status, result.outcome, result.err)
			}
			if b.runCount("a") != 1 {
				t.Errorf("ran %d times", b.runCount("a"))
			}
			if n.inbound.Drain(t.Context()) != nil || len(n.fakes.samples) != 1 || len(n.fakes.callsRan) != 1 {
				t.Errorf("samples %v, calls ran %v", n.fakes.samples, n.fakes.callsRan)
			}
		})
	}
}

// Guards against wrong responses to rejected requests, and against forwarding such a request to the backend server.
func TestRejectedRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(n *testNode, r *http.Request)
		status int
	}{
		{"refused connection", func(n *testNode, _ *http.Request) { n.backend.close() }, 503},
		{"not admitted", func(n *testNode, _ *http.Request) { n.fakes.acquireErr = context.DeadlineExceeded }, 503},
		{"leaving", func(n *testNode, _ *http.Request) { n.server.MarkLeaving() }, 503},
		{"no configuration", func(n *testNode, _ *http.Request) { n.fakes.routerErr = io.EOF }, 503},
		{"no server", func(n *testNode, _ *http.Request) { n.fakes.members = nil }, 503},
		{"no time left", func(_ *testNode, r *http.Request) { r.Header.Set(HeaderTimeout, "0") }, 503},
		{"other version", func(n *testNode, _ *http.Request) { n.fakes.version = "desk-2" }, 503},
		{"hops", func(_ *testNode, r *http.Request) { r.Header.Set(HeaderHops, "32") }, 508},
		{"malformed hop count", func(_ *testNode, r *http.Request) { r.Header.Set(HeaderHops, "x") }, 508},
		{"dot segments", func(_ *testNode, r *http.Request) { r.URL.Path = "/shop/../issue" }, 404},
		{"draining outbound", func(n *testNode, _ *http.Request) { _ = n.outbound.Drain(context.Background()) }, 503},
		{"draining inbound", func(n *testNode, _ *http.Request) { _ = n.inbound.Drain(context.Background()) }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, func(http.ResponseWriter, *http.Request) {})
			n := newNode(t, b)
			r := n.newRequest(t, http.MethodPost, "a", strings.NewReader("body"))
			c.set(n, r)
			result := n.send(r)
			if result.status != c.status || result.outcome != OutcomeNotRun || result.header.Get(HeaderReason) == "" ||
				!strings.Contains(result.body, `"outcome":"not-run"`) {
				t.Errorf("got %+v", result)
			}
			if b.runCount("a") != 0 {
				t.Errorf("ran %d times", b.runCount("a"))
			}
		})
	}
}

// Guards against rejecting requests because an idle connection became unusable.
func TestStaleConnectionsAreReplaced(t *testing.T) {
	log.SetOutput(io.Discard) // the Transport logs unsolicited responses
	defer log.SetOutput(os.Stderr)
	n := newNode(t, newRawBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, wholeResponse+wholeResponse)
		return err == nil
	}))
	for i := range 1000 {
		id := fmt.Sprint(i)
		result := n.send(n.newRequest(t, http.MethodPost, id, strings.NewReader("body")))
		if result.status != http.StatusOK || n.backend.runCount(id) != 1 {
			t.Fatalf("%s got %+v, ran %d times", id, result, n.backend.runCount(id))
		}
	}
}

// Guards against trusting a not-run outcome from another program that now listens at a former node's address.
func TestResponseOfOtherServerIsUnknown(t *testing.T) {
	n := newNode(t, newBackend(t, func(http.ResponseWriter, *http.Request) {}))
	foreign := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	n.fakes.members[0].Calls = foreign.addr
	if result := n.send(
		n.newRequest(t, http.MethodPost, "a", nil),
	); result.status != http.StatusBadGateway ||
		result.outcome != OutcomeUnknown {
		t.Fatalf("got %+v", result)
	}
}

// Guards against an unresponsive server blocking a caller beyond its deadline, and against reporting such a request
// as not run.
func TestUnresponsiveBackendTimesOut(t *testing.T) {
	reached, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	b := newRawBackend(t, func(net.Conn, *http.Request) bool { close(reached); <-done; return false })
	n := newNode(t, b)
	go func() { <-reached; n.clock.Advance(time.Hour) }()
	result := n.send(n.newRequest(t, http.MethodPost, "a", strings.NewReader("body")))
	if result.status != http.StatusGatewayTimeout || result.outcome != OutcomeUnknown || b.runCount("a") != 1 {
		t.Fatalf("got %+v, ran %d times", result, b.runCount("a"))
	}
}

// Guards against the next request receiving a late response meant for a disconnected caller, and against the backend
// server continuing work for a caller that has disconnected.
func TestCallerCancels(t *testing.T) {
	reached, written := make(chan context.Context), make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected peer only after the body was read
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
		r := n.newRequest(t, http.MethodPost, id, strings.NewReader("body"))
		if id != "leaves" {
			if result := n.send(r); result.body != id {
				t.Fatalf("%s got %+v", id, result)
			}
			continue
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-reached; cancel() }()
		if result := n.send(r.WithContext(ctx)); result.err == nil {
			t.Fatalf("got %+v", result)
		}
		<-written
	}
}

// Guards against forwarding an interrupted upload as a complete one: the backend server must see a read error.
func TestCallerCancelsUpload(t *testing.T) {
	started, broke := make(chan struct{}), make(chan error)
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
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
	result := n.send(n.newRequest(t, http.MethodPost, "a", body).WithContext(ctx))
	if err := <-broke; err == nil || result.err == nil {
		t.Fatalf("backend read %v, caller got %+v", err, result)
	}
}

// Guards against mixed-up responses when many requests share connections and some callers disconnect.
func TestResponsesMatchRequests(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
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
				result := n.send(n.newRequest(t, http.MethodPost, id, strings.NewReader(id)).WithContext(ctx))
				cancel()
				if result.err == nil && result.status == http.StatusOK && result.body != id+" "+id ||
					result.err == nil && i%5 != 4 && result.status != 200 {
					t.Errorf("%s got %+v", id, result)
				}
				if runs := b.runCount(id); runs > 1 || (runs > 0 && result.outcome == OutcomeNotRun) {
					t.Errorf("%s ran %d times, got %+v", id, runs, result)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against request smuggling, where two servers delimit a request differently, and against unbounded headers.
func TestMalformedRequests(t *testing.T) {
	head := "POST /issue HTTP/1.1\r\nHost: desk\r\nTanager-Request-Id: a\r\n"
	for _, c := range []struct {
		name    string
		request string
		status  int
		runs    int
	}{
		{
			"length and chunks",
			head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, 1,
		},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nwhole", 400, 0},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 501, 0},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n0\r\n\r\n", 503, 0},
		{"space before colon", head + "Content-Length : 5\r\n\r\nwhole", 400, 0},
		{"oversized header", head + "Big: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				if string(data) != "whole" || len(r.TransferEncoding) > 0 && r.Header.Get("Content-Length") != "" {
					w.WriteHeader(http.StatusTeapot)
				}
			})
			n := newNode(t, b)
			conn, err := net.Dial("tcp", n.callerAddr)
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
			if resp.StatusCode != c.status || b.runCount("a") != c.runs {
				t.Fatalf("got %d, ran %d times", resp.StatusCode, b.runCount("a"))
			}
		})
	}
}
