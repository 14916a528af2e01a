package proxy

import (
	"context"
	"sync"
)

// gate counts running requests and stops new ones. The zero value is open.
type gate struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{} // closed when the gate is closed and nothing runs
}

// enter reports whether a request may start. Each entered request must leave.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.idle)
	}
}

// drain closes the gate and waits until nothing runs or the context ends, whose error it then returns.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed, g.idle = true, make(chan struct{})
		if g.running == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
