package meshd

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/route"
)

// hangingAddress returns an address at which connections are neither accepted nor refused.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err = unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}
	for range 4 {
		// The kernel queues a few connections that are not accepted, and drops later ones.
		c, err := net.DialTimeout("tcp4", addr.String(), 100*time.Millisecond)
		if err != nil {
			return addr.String()
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections are refused or accepted, want them to hang")
	return ""
}

// TestUnreachableNode checks that one request with a short deadline is enough to mark a node that accepts no
// connections as unreachable, that no later request is spent on it, and that it is used again after a background
// connection succeeds.
func TestUnreachableNode(t *testing.T) {
	c := clockwork.NewRealClock()
	view := NewMeshView(c)
	addr := hangingAddress(t)
	view.setEntry(nodeEntry{Calls: addr, Service: testService, Server: "a", Version: "v1", Slots: 1, Domain: "a"})
	reachable := make(chan struct{})
	reconnector := newReconnector(c, func(context.Context, string) error {
		select {
		case <-reachable:
			return nil
		default:
			return errors.New("no response")
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reconnector.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	o := &Outbound{
		Clock: c, View: view, Self: "127.0.0.1:1", Domain: "a", Service: func() string { return "front" },
		Pool:   conns.New(conns.Options{DialTimeout: peerDialTimeout}),
		Bounds: func() Bounds { return Bounds{} }, Reconnector: reconnector,
	}
	send := func(left time.Duration) (*inboundResult, time.Duration) {
		start := c.Now()
		call := &call{
			outbound: o, id: "1", method: "GET", uri: "/", header: make(map[string][]string), service: testService,
			route:   &route.Entry{MeshRoute: shunt.MeshRoute{Name: "r", Repeatable: true, MaxAttempts: 2}},
			arrived: start, deadline: start.Add(left), latencyTargetAt: start.Add(left),
		}
		ctx, cancel := context.WithDeadline(t.Context(), call.deadline)
		defer cancel()
		return call.dispatch(ctx), c.Since(start)
	}
	if res, _ := send(unreachableAfter + 20*time.Millisecond); res.outcome != shunt.AttemptNotRun {
		t.Errorf("first request: got %s, want not run", res.outcome)
	}
	if res, took := send(time.Second); res.outcome != shunt.AttemptNotRun || took > peerDialTimeout/2 {
		t.Errorf("second request: got %s after %s, want not run at once", res.outcome, took)
	}
	close(reachable)
	waitFor(t, 2*maxReconnectPause, "node reachable again", func() bool { return len(view.nodeAddresses()) == 1 })
}
