package proxy

import (
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
