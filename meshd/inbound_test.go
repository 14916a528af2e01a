package meshd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/sched"
)

// pacedCodec is the codec of a server that tells a pace.
type pacedCodec struct{ fakeHeaderCodec }

func (pacedCodec) ParseServerResponse(int, http.Header) shunt.ServerResponse {
	return shunt.ServerResponse{Signed: true, Pace: 1}
}

// TestCanceledRequestKeepsSlot guards against more requests at a server than its slots: a server that does not notice that
// a caller has left runs the request on. A server that tells no pace gets the next request at once, as before.
func TestCanceledRequestKeepsSlot(t *testing.T) {
	for _, codec := range []shunt.HeaderCodec{pacedCodec{}, fakeHeaderCodec{}} {
		c := clockwork.NewFakeClock()
		arrived, unblock := make(chan struct{}), make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hang" {
				arrived <- struct{}{}
				<-unblock
			}
		}))
		t.Cleanup(srv.Close)
		t.Cleanup(func() { close(unblock) })
		state, q := testServer(c)
		state.address = srv.Listener.Addr().String()
		err := state.HandleReport(shunt.ServerReport{
			ID: "i-2", Service: state.service, Address: state.address, Version: "v1", Slots: 2, Born: 1, Sequence: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		view := NewMeshView(c)
		view.setEntry(soundEntry())
		in := &Inbound{
			Clock: c, Codec: codec, View: view, Server: state, Queue: q, Pool: conns.New(conns.Options{}), Domain: "a",
		}
		send := func(ctx context.Context, uri string) *inboundResult {
			return in.admit(ctx, &inboundCall{
				method: http.MethodGet, uri: uri, host: "x", header: make(http.Header), route: "r", server: "i-2",
				body: func() ([]byte, error) { return nil, nil }, timeout: 5 * time.Second,
				terms: terms{repeatable: true, latencyTarget: time.Second},
			})
		}
		if res := send(t.Context(), "/"); !res.delivered {
			t.Fatalf("request not delivered: %s", res.reason)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-arrived
			cancel()
		}()
		send(ctx, "/hang")
		_, paced := codec.(pacedCodec)
		if load, _ := q.Load(); (load.InFlight == 1) != paced {
			t.Errorf("paced %v: %d requests hold slots after the caller left", paced, load.InFlight)
		}
		c.Advance(sched.DefaultWork)
		waitFor(t, time.Second, "slot released at the expected end", func() bool {
			load, _ := q.Load()
			return load.InFlight == 0
		})
	}
}
