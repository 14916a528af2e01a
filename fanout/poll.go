package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/state"
)

const pollBatch = 256

type (
	// pollers is the baseline fleet: every node polls the log.
	pollers struct {
		nodes  []*poller
		cancel context.CancelFunc
		done   sync.WaitGroup
	}

	poller struct {
		mu      sync.Mutex
		state   *state.State
		changed chan struct{}
	}
)

func startPollers(ctx context.Context, opts Options, log shunt.Log) *pollers {
	ctx, cancel := context.WithCancel(ctx)
	p := &pollers{cancel: cancel}
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	for range opts.Nodes {
		n := &poller{state: &state.State{}, changed: make(chan struct{})}
		p.nodes = append(p.nodes, n)
		phase := time.Duration(rng.Int64N(int64(opts.Poll)))
		p.done.Go(func() { n.run(ctx, log, phase, opts.Poll) })
	}
	return p
}

func (p *pollers) wait(ctx context.Context, offset shunt.Offset) error {
	return each(len(p.nodes), func(i int) error { return p.nodes[i].wait(ctx, offset) })
}

func (p *pollers) bytes() uint64 { return 0 }

func (p *pollers) stop() {
	p.cancel()
	p.done.Wait()
}

// run polls at a fixed interval. The phase spreads the nodes over it.
func (n *poller) run(ctx context.Context, log shunt.Log, phase, interval time.Duration) {
	for pause := phase; sleep(ctx, pause) == nil; pause = interval {
		n.mu.Lock()
		s := n.state
		n.mu.Unlock()
		b, err := log.Read(ctx, shunt.StreamConfig, s.Offset()+1, pollBatch, 0)
		if err != nil || len(b.Entries) == 0 {
			continue
		}
		for _, e := range b.Entries {
			if s, _, err = s.Apply(e.Offset, e.Data); err != nil {
				break
			}
		}
		n.mu.Lock()
		n.state = s
		close(n.changed)
		n.changed = make(chan struct{})
		n.mu.Unlock()
	}
}

func (n *poller) wait(ctx context.Context, offset shunt.Offset) error {
	for {
		n.mu.Lock()
		at, changed := n.state.Offset(), n.changed
		n.mu.Unlock()
		if at >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
