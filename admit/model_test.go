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

// model is a backend server under as many callers as it has slots, and more waiting. Its latency is
// base/(1-0.75*running/bears), so that it is four times the base figure when it bears no more, and it
// collapses above that.
type model struct {
	limiter *admit.Limiter

	mu       sync.Mutex
	random   *rand.Rand
	base     time.Duration
	bears    int
	shared   bool    // no collapse: the server shares itself between its requests, latency grows with them
	slow     float64 // share of requests that take ten times as long
	running  int
	started  int
	overload int // most requests above what it bears
}

func newModel(base time.Duration, bears int, seed uint64) *model {
	return &model{
		limiter: admit.New(clockwork.NewRealClock(), modelSlots, admit.Options{}),
		base:    base, bears: bears, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// begin starts a request on the server and returns its latency, with 5% of noise.
func (m *model) begin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.started++
	m.overload = max(m.overload, m.running-m.bears)
	use, slowdown := float64(m.running)/float64(m.bears), 20.0
	switch {
	case m.shared:
		slowdown = max(use, 1)
	case use <= 1:
		slowdown = 1 / (1 - 0.75*use)
	}
	if m.random.Float64() < m.slow {
		slowdown *= 10
	}
	return time.Duration(float64(m.base) * slowdown * (0.95 + 0.1*m.random.Float64()))
}

func (m *model) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *model) set(base time.Duration, bears int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.base, m.bears = base, bears
}

func (m *model) starts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// load sends requests until the context ends.
func (m *model) load(ctx context.Context, callers int) *sync.WaitGroup {
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				ticket, err := m.limiter.Acquire(ctx, shunt.ClassNormal)
				if err != nil {
					continue
				}
				latency := m.begin()
				time.Sleep(latency)
				m.end()
				ticket.Done(shunt.Sample{Latency: latency})
			}
		})
	}
	return &group
}

// run drives the model while a test watches and changes it.
func (m *model) run(test func()) {
	ctx, cancel := context.WithCancel(context.Background())
	group := m.load(ctx, modelSlots+2)
	test()
	cancel()
	group.Wait()
}

func (m *model) limit() int { return m.limiter.Load().Limit }

// coldStart runs a server that needs some seconds to warm up, and then as full load some more.
func (m *model) coldStart(base time.Duration, cold, seconds int) {
	m.set(3*base, cold)
	m.run(func() {
		for s := range seconds {
			time.Sleep(time.Second)
			done := float64(s+1) / float64(seconds)
			m.set(base*time.Duration(300-200*done)/100, cold+int(done*float64(2*modelSlots-cold)))
		}
		// Each step of the limit takes 16 responses, and those of a trial, or 1 s.
		time.Sleep(15*time.Second + 200*base)
	})
}

// Guards against a limiter that pushes a cold server over what it bears (I5), or never uses a warm one.
// A server that bears a single request at first shows nothing before the second one, so it is left out.
func TestColdStartIsNeverOverloadedByGrowth(t *testing.T) {
	for _, c := range []struct {
		base          time.Duration
		cold, seconds int
	}{{40, 2, 60}, {60, 2, 30}} { // overloaded by earlier versions of the rules
		synctest.Test(t, func(t *testing.T) {
			m := newModel(0, 0, 0)
			m.coldStart(c.base*time.Millisecond, c.cold, c.seconds)
			if m.overload > 0 {
				t.Errorf("%v: %d requests above what the server bears", c, m.overload)
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(30, 250).Draw(t, "base ms")) * time.Millisecond
		cold := rapid.IntRange(2, modelSlots).Draw(t, "bears cold")
		warmUp := rapid.IntRange(5, 60).Draw(t, "seconds of warm-up")
		seed := rapid.Uint64().Draw(t, "seed")
		rapid.SyncTest(t, func(t *rapid.T) {
			m := newModel(0, 0, seed)
			m.coldStart(base, cold, warmUp)
			if m.overload > 0 || m.limit() != modelSlots {
				t.Fatalf("%d requests above what the server bears, limit %d when warm", m.overload, m.limit())
			}
		})
	})
}

// Guards against a limit that creeps up with latency of its own making.
func TestLastingColdServerIsNeverOverloaded(t *testing.T) {
	for _, shared := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(50*time.Millisecond, 4, 1)
			highest := 0
			m.shared = shared
			if shared {
				m.bears = 2
			}
			m.run(func() {
				time.Sleep(9 * time.Minute)
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					highest = max(highest, m.limit())
				}
			})
			if highest < 3 || highest > 5 || !shared && m.overload > 0 {
				t.Errorf("shared %v: limit up to %d, overload %d", shared, highest, m.overload)
			}
		})
	}
}

// Guards against many requests to a server that became cold without notice, and against a limit that does
// not recover with it.
func TestColdAgain(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(20*time.Millisecond, 4*modelSlots, seed)
			m.run(func() {
				for range 200 {
					time.Sleep(100 * time.Millisecond)
				}
				before, started := m.limit(), m.starts()
				m.set(200*time.Millisecond, 4*modelSlots)
				for m.limit() > 1 && m.starts() < started+100 {
					time.Sleep(time.Millisecond)
				}
				if n := m.starts() - started; before != modelSlots || n > before+4 {
					t.Fatalf("%d requests started on the cold server, want at most %d + 4", n, before)
				}
				time.Sleep(5 * time.Second)
				m.set(20*time.Millisecond, 4*modelSlots)
				time.Sleep(20 * time.Second)
				if m.limit() != modelSlots {
					t.Fatalf("limit %d after the server warmed up again", m.limit())
				}
			})
		})
	}
}

// Guards against a limit that stays low for good after latency rose for another reason than load.
func TestGeneralRiseOfLatencyIsLearned(t *testing.T) {
	tests := []struct {
		name   string
		factor time.Duration
		within time.Duration
	}{
		{"limit stays, growth resumes", 2, 30 * time.Second},
		{"cut in halves", 3, 60 * time.Second},
		{"cut to 1", 8, 2 * time.Minute},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(20*time.Millisecond, 4*modelSlots, 1)
			m.run(func() {
				time.Sleep(20 * time.Second)
				m.set(tt.factor*20*time.Millisecond+10*time.Millisecond, 4*modelSlots)
				time.Sleep(time.Second)
				m.limiter.SetSlots(3) // growth is needed after the rise
				time.Sleep(time.Second)
				m.limiter.SetSlots(modelSlots)
				time.Sleep(tt.within + 30*time.Second)
				if m.limit() < modelSlots {
					t.Errorf("%s: limit %d, warm figure %v", tt.name, m.limit(), m.limiter.Warm())
				}
			})
		})
	}
}

// Guards against a server with a slow route being taken for a cold one again and again.
func TestSlowRouteIsNotACold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(10*time.Millisecond, 4*modelSlots, 1)
		m.slow = 0.3
		m.run(func() {
			time.Sleep(2 * time.Minute)
			lowest := modelSlots
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				lowest = min(lowest, m.limit())
			}
			if lowest < modelSlots/2 {
				t.Errorf("limit down to %d", lowest)
			}
		})
	})
}

// Guards against several cuts for one overload, and against none.
func TestCuts(t *testing.T) {
	drive(t, 8, func(t *testing.T, m *machine) {
		m.grow(t, 8)
		m.fill(shunt.ClassNormal, 8)
		for i, s := range []shunt.Sample{{Ignore: true, Shed: true}, {Shed: true}, {Shed: true}} {
			m.done(m.pick(running)[0], s)
			if got, want := m.limiter.Load().Limit, []int{8, 4, 4}[i]; got != want {
				t.Errorf("limit %d after refusal %d of one round, want %d", got, i, want)
			}
		}
		for len(m.pick(running)) > 0 {
			m.done(m.pick(running)[0], shunt.Sample{Latency: time.Second, Ignore: true})
		}
		for i := range 16 { // the least that is judged
			want := 4 - 2*(i/15)
			m.fill(shunt.ClassNormal, 1)
			m.done(m.pick(running)[0], shunt.Sample{Failed: true})
			if got := m.limiter.Load().Limit; got != want {
				t.Errorf("limit %d after %d fast failures, want %d", got, i+1, want)
			}
		}
		for i := range 16 {
			m.fill(shunt.ClassNormal, 1)
			m.done(m.pick(running)[0], shunt.Sample{Latency: 35 * time.Millisecond})
			if got, want := m.limiter.Load().Limit, 2-i/15; got != want {
				t.Errorf("limit %d after %d responses of 3.5 times the warm figure, want %d", got, i+1, want)
			}
		}
	})
}

// Guards against responses of a server's warm time that hide that it is cold now.
func TestEarlierResponsesDoNotHideACold(t *testing.T) {
	drive(t, 10, func(t *testing.T, m *machine) {
		m.grow(t, 10)
		m.fill(shunt.ClassNormal, 10)
		for i := range 5 {
			m.done(m.pick(running)[0], shunt.Sample{Latency: 10 * time.Millisecond})
			m.fill(shunt.ClassNormal, 1)
			list := m.pick(running)
			m.done(list[len(list)-1], shunt.Sample{Latency: 50 * time.Millisecond})
			if got := m.limiter.Load().Limit; (got == 1) != (i == 4) {
				t.Errorf("limit %d after %d slow responses", got, i+1)
			}
			m.fill(shunt.ClassNormal, 1)
		}
		for _, r := range m.pick(queued) {
			r.cancel()
		}
	})
}
