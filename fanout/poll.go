package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/state"
)

const maxPollRecords = 256

type (
	// pollingFleet is the baseline: every node polls the log.
	pollingFleet struct {
		nodes   []*pollingNode
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	pollingNode struct {
		mu      sync.Mutex
		state   *state.State
		changed chan struct{}
	}
)

func startPollingFleet(ctx context.Context, opts Options, log shunt.Log) *pollingFleet {
	ctx, cancel := context.WithCancel(ctx)
	p := &pollingFleet{cancel: cancel}
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	for range opts.Nodes {
		n := &pollingNode{state: &state.State{}, changed: make(chan struct{})}
		p.nodes = append(p.nodes, n)
		phase := time.Duration(rng.Int64N(int64(opts.Poll)))
		p.running.Go(func() { n.run(ctx, log, phase, opts.Poll) })
	}
	return p
}

func (p *pollingFleet) wait(ctx context.Context, offset shunt.Offset) error {
	return forEachConcurrently(len(p.nodes), func(i int) error { return p.nodes[i].wait(ctx, offset) })
}

func (p *pollingFleet) bytes() uint64 { return 0 }

func (p *pollingFleet) stop() {
	p.cancel()
	p.running.Wait()
}

// run polls at a fixed interval. The phase delays the first poll, so that nodes do not poll at the same time.
func (n *pollingNode) run(ctx context.Context, log shunt.Log, phase, interval time.Duration) {
	for pause := phase; sleep(ctx, pause) == nil; pause = interval {
		n.mu.Lock()
		s := n.state
		n.mu.Unlock()
		b, err := log.Read(ctx, shunt.StreamConfig, s.Offset()+1, maxPollRecords, 0)
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

func (n *pollingNode) wait(ctx context.Context, offset shunt.Offset) error {
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
