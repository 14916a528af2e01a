package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a call path that loses or changes what it carries, on both ways to a server.
func TestCallReachesBackend(t *testing.T) {
	for _, way := range []string{"other node", "own node"} {
		t.Run(way, func(t *testing.T) {
			b := serve(t, func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				w.Header().Set("Trailer", "Sum")
				w.WriteHeader(http.StatusCreated)
				_, _ = w.Write(data)
				w.Header().Set("Sum", r.Trailer.Get("Check"))
			})
			n := newNode(t, b)
			if way == "own node" {
				n.fakes.self = n.member.Control
			}
			r := n.request(t, http.MethodPost, "a", io.MultiReader(strings.NewReader("hello")))
			r.Trailer = http.Header{"Check": {"42"}}
			g := n.do(r)
			if g.status != http.StatusCreated || g.body != "hello" || g.trailer.Get("Sum") != "42" || g.err != nil {
				t.Fatalf("got %+v", g)
			}
			if b.runs["a"] != 1 || len(n.fakes.sent) != 1 || len(n.fakes.done) != 1 {
				t.Fatalf("runs %v, sent %v, ran %v", b.runs, n.fakes.sent, n.fakes.done)
			}
		})
	}
}

// Guards against a graceful stop that interrupts a running request or lets a new one in.
func TestDrainFinishesWhatRuns(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	b := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	n := newNode(t, b)
	first := make(chan got)
	go func() { first <- n.do(n.request(t, http.MethodPost, "a", strings.NewReader("body"))) }()
	<-running
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for name, drain := range map[string]func(context.Context) error{"in": n.in.Drain, "out": n.out.Drain} {
		if err := drain(over); err == nil {
			t.Errorf("%s: drained while a request runs", name)
		}
		if g := n.do(n.request(t, http.MethodPost, "b", nil)); g.outcome != OutcomeNotRun || b.count("b") != 0 {
			t.Errorf("%s: new request got %+v", name, g)
		}
	}
	close(finish)
	if g := <-first; g.body != "whole" || g.err != nil {
		t.Errorf("running request got %+v", g)
	}
	if n.in.Drain(t.Context()) != nil || n.out.Drain(t.Context()) != nil {
		t.Error("not drained")
	}
}

// Guards against a caller that stops sending in an upload holding both halves beyond the request's deadline.
func TestStalledUploadEnds(t *testing.T) {
	b := serve(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	n := newNode(t, b)
	body, upload := io.Pipe()
	defer upload.Close()
	go func() { _, _ = upload.Write(make([]byte, 2*keepBytes)) }()
	r := n.request(t, http.MethodPost, "a", body)
	r.Header.Set(HeaderTimeout, "100")
	g := n.do(r)
	if g.err != nil || g.outcome == "" || b.count("a") > 1 || (g.outcome == OutcomeNotRun && b.count("a") > 0) {
		t.Fatalf("got %+v, ran %d times", g, b.count("a"))
	}
}
