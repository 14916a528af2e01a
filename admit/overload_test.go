package admit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admit"
)

// TestOverloadWastesNoSlots guards against running requests that can't end before their deadline: under four
// times the load that a server bears, nearly every request that starts must be answered in time.
func TestOverloadWastesNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots    = 4
			takes    = 40 * time.Millisecond
			timeout  = 300 * time.Millisecond
			arrivals = 4000
			every    = 2500 * time.Microsecond
		)
		l := admit.New(clockwork.NewRealClock(), slots, admit.Options{})
		var started, wasted atomic.Int64
		var wg sync.WaitGroup
		for range arrivals {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				ticket, err := l.Acquire(ctx, shunt.ClassNormal)
				if err != nil {
					return
				}
				started.Add(1)
				begin := time.Now()
				select {
				case <-time.After(takes):
				case <-ctx.Done():
					wasted.Add(1)
				}
				ticket.Done(shunt.Sample{Latency: time.Since(begin), Failed: ctx.Err() != nil})
			})
			time.Sleep(every)
		}
		wg.Wait()
		if wasted.Load()*50 > started.Load() {
			t.Errorf("%d of %d started requests ended after their deadline", wasted.Load(), started.Load())
		}
		// From limit 1 to 4 takes some windows, so that a fifth of the full capacity is a safe lower bound.
		if all := int64(arrivals * every / takes * slots); started.Load()*5 < all {
			t.Errorf("%d requests started, the server bears %d", started.Load(), all)
		}
		if load := l.Load(); load.Limit != slots {
			t.Errorf("limit is %d after the overload, want %d", load.Limit, slots)
		}
	})
}
