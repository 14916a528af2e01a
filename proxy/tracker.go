package proxy

import (
	"context"
	"sync"
)

// requestTracker counts active requests and can stop new ones from starting. The zero value accepts requests.
type requestTracker struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{} // closed when draining and no request is active
}

// begin reports whether a request may start. Each request that starts must call end.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.active++
	return true
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.draining && t.active == 0 {
		close(t.idle)
	}
}

// drain stops new requests and waits until none is active or the context ends, whose error it then returns.
func (t *requestTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	if !t.draining {
		t.draining, t.idle = true, make(chan struct{})
		if t.active == 0 {
			close(t.idle)
		}
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
