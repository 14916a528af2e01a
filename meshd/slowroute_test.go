package meshd

import (
	"context"
	"net"
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

// pausingConn is a connection whose process is paused before some writes.
type pausingConn struct {
	net.Conn
	beforeWrite func()
}

func (c pausingConn) Write(p []byte) (int, error) {
	c.beforeWrite()
	return c.Conn.Write(p)
}

// TestColdRateOfPausedWrites guards against more requests in a second at a cold server than it may get: a request counted
// from the moment before it was written, and the process was paused in between, so that it arrived together with later ones.
func TestColdRateOfPausedWrites(t *testing.T) {
	const (
		perSecond = 10
		cold      = 20 * time.Second
		pause     = 300 * time.Millisecond // before one write in twelve
	)
	s := newSlowServer(t)
	s.timeout = time.Second
	written := 0
	var arrivals []time.Time
	s.inbound.Pool = conns.New(conns.Options{
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return pausingConn{c, func() {
				if written++; written%12 == 0 {
					s.clock.Advance(pause)
				}
				arrivals = append(arrivals, s.clock.Now())
			}}, err
		},
	})
	began := s.clock.Now()
	s.inbound.Queue.SetStartRate(perSecond, began.Add(cold))
	for s.clock.Since(began) < cold {
		s.inbound.admit(t.Context(), &inboundCall{
			method: http.MethodGet, uri: "/", host: "x", header: make(http.Header), route: "r", server: "i-2",
			body: func() ([]byte, error) { return nil, nil }, timeout: s.timeout,
			terms: terms{repeatable: true, latencyTarget: s.timeout, maxWait: time.Millisecond},
		})
		s.clock.Advance(10 * time.Millisecond)
	}
	for i, at := range arrivals {
		n := 1
		for n < len(arrivals)-i && arrivals[i+n].Sub(at) < time.Second {
			n++
		}
		if n > perSecond {
			t.Fatalf("%d requests arrived in the second from %s, want %d at most", n, at.Sub(began), perSecond)
		}
	}
	if least := int(0.5 * perSecond * cold.Seconds()); len(arrivals) < least {
		t.Errorf("%d requests arrived, want %d at least", len(arrivals), least)
	}
}
