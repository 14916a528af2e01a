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

// TestOverloadRunsNoExpiredRequests guards against starting requests that cannot end before their deadline: at four
// times the server's capacity, nearly every started request must end in time.
func TestOverloadRunsNoExpiredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots       = 4
			serviceTime = 40 * time.Millisecond
			timeout     = 300 * time.Millisecond
			arrivals    = 4000
			interval    = 2500 * time.Microsecond
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
				case <-time.After(serviceTime):
				case <-ctx.Done():
					wasted.Add(1)
				}
				ticket.Done(shunt.Sample{Latency: time.Since(begin), Failed: ctx.Err() != nil})
			})
			time.Sleep(interval)
		}
		wg.Wait()
		if wasted.Load()*50 > started.Load() {
			t.Errorf("%d of %d started requests ended after their deadline", wasted.Load(), started.Load())
		}
		// The limit needs several windows to grow from 1 to 4, so a fifth of the full capacity is a safe lower
		// bound.
		if capacity := int64(arrivals * interval / serviceTime * slots); started.Load()*5 < capacity {
			t.Errorf("%d requests started, at full capacity %d could", started.Load(), capacity)
		}
		if load := l.Load(); load.Limit != slots {
			t.Errorf("limit is %d after the overload, want %d", load.Limit, slots)
		}
	})
}
