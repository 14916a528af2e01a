package meshd

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
)

// slowServer is the node of a server that answers 504 when the work does not fit before the deadline. It runs on a fake
// clock, which the server advances.
type slowServer struct {
	clock   *clockwork.FakeClock
	inbound *Inbound
	work    time.Duration
	timeout time.Duration // of the requests
}

func newSlowServer(t *testing.T) *slowServer {
	t.Helper()
	s := &slowServer{clock: clockwork.NewFakeClock()}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		limit := s.timeout - responseMargin
		s.clock.Advance(min(s.work, limit))
		if s.work > limit {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}))
	t.Cleanup(srv.Close)
	state, q := testServer(s.clock)
	state.address = srv.Listener.Addr().String()
	err := state.HandleReport(shunt.ServerReport{
		ID: "i-2", Service: state.service, Address: state.address, Version: "v1", Slots: 2, Born: 1, Sequence: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	view := NewMeshView(s.clock)
	view.setEntry(soundEntry())
	s.inbound = &Inbound{
		Clock: s.clock, Codec: pacedCodec{}, View: view, Server: state, Queue: q, Pool: conns.New(conns.Options{}),
		Domain: "a",
	}
	return s
}

// send sends requests to a route, with the given pause between them, and returns how many the server got and how many it
// answered in time.
func (s *slowServer) send(
	t *testing.T, route string, repeatable bool, n int, pause time.Duration,
) (delivered, served int) {
	t.Helper()
	for range n {
		res := s.inbound.admit(t.Context(), &inboundCall{
			method: http.MethodGet, uri: "/", host: "x", header: make(http.Header), route: route, server: "i-2",
			body: func() ([]byte, error) { return nil, nil }, timeout: s.timeout,
			terms: terms{repeatable: repeatable, latencyTarget: s.timeout},
		})
		if res.delivered {
			delivered++
		}
		if res.outcome == shunt.AttemptAnswered && res.status == http.StatusOK {
			served++
		}
		s.clock.Advance(pause)
	}
	return delivered, served
}

// TestRouteAfterSlowServer guards against a route that is refused for good: its server was slow, its timeout was lowered
// meanwhile, and the expected service time, which only requests that run correct, excluded all requests from then on.
func TestRouteAfterSlowServer(t *testing.T) {
	const (
		usual, slow     = 150 * time.Millisecond, 1800 * time.Millisecond
		before, lowered = 1500 * time.Millisecond, 600 * time.Millisecond
		pause           = 50 * time.Millisecond
		stableWindow    = 3 * time.Second
		slowTime        = 10 * time.Second // with the lowered timeout
	)
	for _, repeatable := range []bool{true, false} {
		s := newSlowServer(t)
		s.work, s.timeout = slow, before
		s.send(t, "r", repeatable, 40, pause)
		s.timeout = lowered
		began := s.clock.Now()
		delivered, requests := 0, 0
		for s.clock.Since(began) < slowTime {
			n, _ := s.send(t, "r", repeatable, 1, pause)
			delivered += n
			requests++
		}
		if limit := int(slowTime / time.Second); delivered > limit {
			t.Errorf("repeatable %v: slow server got %d of %d requests, want %d at most",
				repeatable, delivered, requests, limit)
		}
		s.work = usual
		s.send(t, "r", repeatable, int(stableWindow/pause), pause)
		if _, served := s.send(t, "r", repeatable, 100, pause); served < 100 {
			t.Errorf("repeatable %v: %d of 100 requests served after the server was fast again", repeatable, served)
		}
	}
}

// TestProbeBesideOtherRoute guards against a route that stays refused because the requests of another route at the same
// server go on, and against probes that take the place of those.
func TestProbeBesideOtherRoute(t *testing.T) {
	s := newSlowServer(t)
	s.work, s.timeout = 1800*time.Millisecond, 1500*time.Millisecond
	s.send(t, "r", true, 40, 0)
	s.work = 150 * time.Millisecond
	s.timeout = 600 * time.Millisecond
	served := 0
	for range 40 {
		if _, n := s.send(t, "other", true, 1, 0); n != 1 {
			t.Fatal("request to the other route was not served")
		}
		_, n := s.send(t, "r", true, 1, 0)
		served += n
	}
	if served < 30 {
		t.Errorf("%d of 40 requests served beside those to another route, want 30", served)
	}
}
