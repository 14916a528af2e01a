package admit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admit"
)

const modelSlots = 10

// serverModel simulates a backend server; runUnderLoad calls it with two more callers than slots. Its latency is
// base/(1-0.75*running/capacity), which is four times the base latency at full capacity, and 20 times the base
// latency above it. With processorSharing the latency is the base latency up to the capacity instead, and above it
// grows in proportion to the load.
type serverModel struct {
	limiter *admit.Limiter

	mu               sync.Mutex
	random           *rand.Rand
	base             time.Duration
	capacity         int
	processorSharing bool
	slowShare        float64 // share of requests that take ten times as long
	running          int
	startCount       int
	maxExcess        int // maximum number of running requests above the capacity
}

func newServerModel(base time.Duration, capacity int, seed uint64) *serverModel {
	return &serverModel{
		limiter: admit.New(clockwork.NewRealClock(), modelSlots, admit.Options{}),
		base:    base, capacity: capacity, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// startRequest starts a request on the server and returns its latency, with 5% noise.
func (m *serverModel) startRequest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.startCount++
	m.maxExcess = max(m.maxExcess, m.running-m.capacity)
	use, slowdown := float64(m.running)/float64(m.capacity), 20.0
	switch {
	case m.processorSharing:
		slowdown = max(use, 1)
	case use <= 1:
		slowdown = 1 / (1 - 0.75*use)
	}
	if m.random.Float64() < m.slowShare {
		slowdown *= 10
	}
	return time.Duration(float64(m.base) * slowdown * (0.95 + 0.1*m.random.Float64()))
}

func (m *serverModel) endRequest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *serverModel) setServer(base time.Duration, capacity int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.base, m.capacity = base, capacity
}

func (m *serverModel) started() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startCount
}

// startCallers sends requests until the context ends.
func (m *serverModel) startCallers(ctx context.Context, callers int) *sync.WaitGroup {
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				ticket, err := m.limiter.Acquire(ctx, shunt.ClassNormal)
				if err != nil {
					continue
				}
				latency := m.startRequest()
				time.Sleep(latency)
				m.endRequest()
				ticket.Done(shunt.Sample{Latency: latency})
			}
		})
	}
	return &group
}

// runUnderLoad calls change while callers send requests to the model.
func (m *serverModel) runUnderLoad(change func()) {
	ctx, cancel := context.WithCancel(context.Background())
	group := m.startCallers(ctx, modelSlots+2)
	change()
	cancel()
	group.Wait()
}

func (m *serverModel) limit() int { return m.limiter.Load().Limit }

// coldStart simulates a server that warms up for some seconds, followed by a period at full load.
func (m *serverModel) coldStart(base time.Duration, initialCapacity, seconds int) {
	m.setServer(3*base, initialCapacity)
	m.runUnderLoad(func() {
		for s := range seconds {
			time.Sleep(time.Second)
			warmed := float64(s+1) / float64(seconds)
			m.setServer(
				base*time.Duration(300-200*warmed)/100,
				initialCapacity+int(warmed*float64(2*modelSlots-initialCapacity)),
			)
		}
		// Each window lasts at least 1 s and at least 16 responses; trials add windows.
		time.Sleep(15*time.Second + 200*base)
	})
}

// Guards against a limiter that raises the load on a cold server above its capacity, or never uses a warm server
// fully. A server with an initial capacity of one request is left out: its overload shows only with the second
// request.
func TestGrowthDoesNotOverloadColdServer(t *testing.T) {
	for _, c := range []struct {
		base                     time.Duration
		initialCapacity, seconds int
	}{{40, 2, 60}, {60, 2, 30}} { // regression cases: the baseline is outdated while the server warms up
		synctest.Test(t, func(t *testing.T) {
			m := newServerModel(0, 0, 0)
			m.coldStart(c.base*time.Millisecond, c.initialCapacity, c.seconds)
			if m.maxExcess > 0 {
				t.Errorf("%v: %d requests above the capacity of the server", c, m.maxExcess)
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(30, 250).Draw(t, "base ms")) * time.Millisecond
		initialCapacity := rapid.IntRange(2, modelSlots).Draw(t, "initial capacity")
		warmUp := rapid.IntRange(5, 60).Draw(t, "seconds of warm-up")
		seed := rapid.Uint64().Draw(t, "seed")
		rapid.SyncTest(t, func(t *rapid.T) {
			m := newServerModel(0, 0, seed)
			m.coldStart(base, initialCapacity, warmUp)
			if m.maxExcess > 0 || m.limit() != modelSlots {
				t.Fatalf("%d requests above the capacity of the server, limit %d when warm", m.maxExcess, m.limit())
			}
		})
	})
}

// Guards against a baseline that rises with latency caused by the limiter's own concurrency, so that the limit grows
// above the server's capacity.
func TestLimitStaysNearLowCapacity(t *testing.T) {
	for _, processorSharing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newServerModel(50*time.Millisecond, 4, 1)
			highest := 0
			m.processorSharing = processorSharing
			if processorSharing {
				m.capacity = 2
			}
			m.runUnderLoad(func() {
				time.Sleep(9 * time.Minute)
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					highest = max(highest, m.limit())
				}
			})
			if highest < 3 || highest > 5 || !processorSharing && m.maxExcess > 0 {
				t.Errorf(
					"processor sharing %v: limit up to %d, %d requests above the capacity",
					processorSharing,
					highest,
					m.maxExcess,
				)
			}
		})
	}
}

// Guards against sending many requests to a server that became cold without notice, and against a limit that does
// not rise again when the server recovers.
func TestLimitDropsWhenServerBecomesCold(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			m := newServerModel(20*time.Millisecond, 4*modelSlots, seed)
			m.runUnderLoad(func() {
				for range 200 {
					time.Sleep(100 * time.Millisecond)
				}
				before, started := m.limit(), m.started()
				m.setServer(200*time.Millisecond, 4*modelSlots)
				for m.limit() > 1 && m.started() < started+100 {
					time.Sleep(time.Millisecond)
				}
				if n := m.started() - started; before != modelSlots || n > before+4 {
					t.Fatalf("%d requests started on the cold server, want at most %d + 4", n, before)
				}
				time.Sleep(5 * time.Second)
				m.setServer(20*time.Millisecond, 4*modelSlots)
				time.Sleep(20 * time.Second)
				if m.limit() != modelSlots {
					t.Fatalf("limit %d after the server warmed up again", m.limit())
				}
			})
		})
	}
}

// Guards against a limit that stays low permanently after latency rose for a reason other than load.
func TestBaselineFollowsGeneralLatencyIncrease(t *testing.T) {
	tests := []struct {
		name   string
		factor time.Duration
		within time.Duration
	}{
		{"limit stays, growth resumes", 2, 30 * time.Second},
		{"limit is halved", 3, 60 * time.Second},
		{"cut to 1", 8, 2 * time.Minute},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			m := newServerModel(20*time.Millisecond, 4*modelSlots, 1)
			m.runUnderLoad(func() {
				time.Sleep(20 * time.Second)
				m.setServer(tt.factor*20*time.Millisecond+10*time.Millisecond, 4*modelSlots)
				time.Sleep(time.Second)
				m.limiter.SetSlots(3) // the limit must grow again after the latency increase
				time.Sleep(time.Second)
				m.limiter.SetSlots(modelSlots)
				time.Sleep(tt.within + 30*time.Second)
				if m.limit() < modelSlots {
					t.Errorf("%s: limit %d, baseline %v", tt.name, m.limit(), m.limiter.BaselineLatency())
				}
			})
		})
	}
}

// Guards against repeatedly mistaking a server with a slow route for a cold one.
func TestSlowRouteIsNotTakenForColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newServerModel(10*time.Millisecond, 4*modelSlots, 1)
		m.slowShare = 0.3
		m.runUnderLoad(func() {
			time.Sleep(2 * time.Minute)
			lowest := modelSlots
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				lowest = min(lowest, m.limit())
			}
			if lowest < modelSlots/2 {
				t.Errorf("limit fell to %d", lowest)
			}
		})
	})
}

// Guards against several cuts for one overload, and against no cut at all.
func TestLimitCuts(t *testing.T) {
	runWithLimiter(t, 8, func(t *testing.T, h *harness) {
		h.growTo(t, 8)
		h.fill(shunt.ClassNormal, 8)
		for i, s := range []shunt.Sample{{Ignore: true, Shed: true}, {Shed: true}, {Shed: true}} {
			h.done(h.filter(running)[0], s)
			if got, want := h.limiter.Load().Limit, []int{8, 4, 4}[i]; got != want {
				t.Errorf("limit %d after shed response %d of one batch, want %d", got, i, want)
			}
		}
		for len(h.filter(running)) > 0 {
			h.done(h.filter(running)[0], shunt.Sample{Latency: time.Second, Ignore: true})
		}
		for i := range 16 { // minSamples responses
			want := 4 - 2*(i/15)
			h.fill(shunt.ClassNormal, 1)
			h.done(h.filter(running)[0], shunt.Sample{Failed: true})
			if got := h.limiter.Load().Limit; got != want {
				t.Errorf("limit %d after %d fast failures, want %d", got, i+1, want)
			}
		}
		for i := range 16 {
			h.fill(shunt.ClassNormal, 1)
			h.done(h.filter(running)[0], shunt.Sample{Latency: 35 * time.Millisecond})
			if got, want := h.limiter.Load().Limit, 2-i/15; got != want {
				t.Errorf("limit %d after %d responses at 3.5 times the baseline, want %d", got, i+1, want)
			}
		}
	})
}

// Guards against missing that a server has become cold because responses from before the change still arrive.
func TestEarlierResponsesDoNotHideColdServer(t *testing.T) {
	runWithLimiter(t, 10, func(t *testing.T, h *harness) {
		h.growTo(t, 10)
		h.fill(shunt.ClassNormal, 10)
		for i := range 5 {
			h.done(h.filter(running)[0], shunt.Sample{Latency: 10 * time.Millisecond})
			h.fill(shunt.ClassNormal, 1)
			list := h.filter(running)
			h.done(list[len(list)-1], shunt.Sample{Latency: 50 * time.Millisecond})
			if got := h.limiter.Load().Limit; (got == 1) != (i == 4) {
				t.Errorf("limit %d after %d slow responses", got, i+1)
			}
			h.fill(shunt.ClassNormal, 1)
		}
		for _, r := range h.filter(queued) {
			r.cancel()
		}
	})
}
