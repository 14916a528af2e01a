package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against lost or changed request and response data, on the way to another node's server and to
// this node's own server.
func TestCallReachesBackend(t *testing.T) {
	for _, serverNode := range []string{"other node", "own node"} {
		t.Run(serverNode, func(t *testing.T) {
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				w.Header().Set("Trailer", "Sum")
				w.WriteHeader(http.StatusCreated)
				_, _ = w.Write(data)
				w.Header().Set("Sum", r.Trailer.Get("Check"))
			})
			n := newNode(t, b)
			if serverNode == "own node" {
				n.fakes.self = n.member.Control
			}
			r := n.newRequest(t, http.MethodPost, "a", io.MultiReader(strings.NewReader("hello")))
			r.Trailer = http.Header{"Check": {"42"}}
			result := n.send(r)
			if result.status != http.StatusCreated || result.body != "hello" || result.trailer.Get("Sum") != "42" ||
				result.err != nil {
				t.Fatalf("got %+v", result)
			}
			if b.runs["a"] != 1 || len(n.fakes.callsSent) != 1 || len(n.fakes.callsRan) != 1 {
				t.Fatalf("runs %v, sent %v, ran %v", b.runs, n.fakes.callsSent, n.fakes.callsRan)
			}
		})
	}
}

// Guards against a graceful shutdown that interrupts a running request or accepts a new one.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	n := newNode(t, b)
	first := make(chan callerResult)
	go func() { first <- n.send(n.newRequest(t, http.MethodPost, "a", strings.NewReader("body"))) }()
	<-running
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, drain := range map[string]func(context.Context) error{"in": n.inbound.Drain, "out": n.outbound.Drain} {
		if err := drain(canceled); err == nil {
			t.Errorf("%s: drained while a request runs", name)
		}
		if result := n.send(
			n.newRequest(t, http.MethodPost, "b", nil),
		); result.outcome != OutcomeNotRun ||
			b.runCount("b") != 0 {
			t.Errorf("%s: new request got %+v", name, result)
		}
	}
	close(finish)
	if result := <-first; result.body != "whole" || result.err != nil {
		t.Errorf("running request got %+v", result)
	}
	if n.inbound.Drain(t.Context()) != nil || n.outbound.Drain(t.Context()) != nil {
		t.Error("not drained")
	}
}

// Guards against a caller that stalls during an upload occupying both proxies beyond the request's deadline.
func TestStalledUploadTimesOut(t *testing.T) {
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	n := newNode(t, b)
	body, upload := io.Pipe()
	defer upload.Close()
	go func() { _, _ = upload.Write(make([]byte, 2*maxBufferedBytes)) }()
	r := n.newRequest(t, http.MethodPost, "a", body)
	r.Header.Set(HeaderTimeout, "100")
	result := n.send(r)
	if result.err != nil || result.outcome == "" || b.runCount("a") > 1 ||
		(result.outcome == OutcomeNotRun && b.runCount("a") > 0) {
		t.Fatalf("got %+v, ran %d times", result, b.runCount("a"))
	}
}
