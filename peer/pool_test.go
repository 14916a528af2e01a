package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"tanagershunt.example/shunt/peer"
)

// TestFailedDialsDoNotBlock guards against a deadlock between the pool's lock and that of a connection whose dial
// fails while other calls use it.
func TestFailedDialsDoNotBlock(t *testing.T) {
	const purpose = "probe"
	refused := errors.New("connection refused")
	p := peer.NewPool(peer.Options{
		NoBackoff: []string{purpose},
		Dial:      func(context.Context, string) (net.Conn, error) { return nil, refused },
	})
	defer p.Close()
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 2000 {
				if err := p.Call(
					t.Context(),
					"127.0.0.1:1",
					purpose,
					"X.Y",
					struct{}{},
					nil,
				); !errors.Is(
					err,
					refused,
				) {
					t.Errorf("error %v, want %v", err, refused)
					return
				}
			}
		})
	}
	wg.Wait()
}
