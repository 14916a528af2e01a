package admit_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admit"
)

const queueBound = 4

type (
	// machine drives a Limiter and remembers what it must have done.
	machine struct {
		limiter  *admit.Limiter
		slots    int
		requests []*request
		steps    int
		waiting  []*request // queued at the end of the last step
	}

	request struct {
		class    shunt.Class
		deadline time.Time
		cancel   context.CancelFunc
		ended    bool // Acquire has returned
		admitted int  // step of admission, 0 when not admitted
		ticket   shunt.Ticket
		err      error
		result   chan func() // sets ticket and err
	}
)

func (m *machine) acquire(class shunt.Class, wait time.Duration) *request {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	deadline, _ := ctx.Deadline()
	r := &request{class: class, deadline: deadline, cancel: cancel, result: make(chan func(), 1)}
	m.requests = append(m.requests, r)
	go func() {
		ticket, err := m.limiter.Acquire(ctx, class)
		r.result <- func() { r.ticket, r.err, r.ended = ticket, err, true }
	}()
	return r
}

// wait lets all goroutines come to rest and takes over their results.
func (m *machine) wait() {
	synctest.Wait()
	for _, r := range m.requests {
		select {
		case set := <-r.result:
			set()
		default:
		}
	}
}

func (m *machine) pick(keep func(*request) bool) []*request {
	return slices.DeleteFunc(slices.Clone(m.requests), func(r *request) bool { return !keep(r) })
}

func queued(r *request) bool  { return !r.ended }
func running(r *request) bool { return r.ticket != nil }

func (m *machine) done(r *request, s shunt.Sample) {
	r.ticket.Done(s)
	r.ticket.Done(s) // a second call must have no effect
	r.cancel()
	m.requests = slices.DeleteFunc(m.requests, func(other *request) bool { return other == r })
}

// check is the oracle after each step.
func (m *machine) check(t *rapid.T) {
	m.wait()
	m.steps++
	load := m.limiter.Load()
	if load.Limit < 1 || load.Limit > m.slots {
		t.Fatalf("limit %d with %d slots", load.Limit, m.slots)
	}
	var started []*request
	for _, r := range m.pick(func(r *request) bool { return r.ended && r.admitted == 0 }) {
		if r.err != nil {
			if r.ticket != nil || !errors.Is(r.err, shunt.ErrNotAdmitted) {
				t.Fatalf("refusal %v with ticket %v", r.err, r.ticket)
			}
			m.requests = slices.DeleteFunc(m.requests, func(other *request) bool { return other == r })
			continue
		}
		r.admitted = m.steps
		started = append(started, r)
	}
	if load.InFlight != len(m.pick(running)) || load.Queued != len(m.pick(queued)) {
		t.Fatalf("%+v, want %d running and %d queued", load, len(m.pick(running)), len(m.pick(queued)))
	}
	if len(started) > 0 && load.InFlight > load.Limit {
		t.Fatalf("admitted above the limit: %+v", load)
	}
	m.checkQueue(t, load, started)
	m.waiting = m.pick(queued)
}

func (m *machine) checkQueue(t *rapid.T, load shunt.Load, started []*request) {
	reserve := max(1, load.Limit/5)
	for _, r := range m.pick(queued) {
		if !time.Now().Before(r.deadline) {
			t.Fatalf("queued after its deadline")
		}
		if load.InFlight < load.Limit-reserve || r.class == shunt.ClassUrgent && load.InFlight < load.Limit {
			t.Fatalf("%s request waits although %+v", r.class, load)
		}
		for _, s := range started {
			if !slices.Contains(m.waiting, r) || !slices.Contains(m.waiting, s) {
				continue
			}
			if r.class == s.class && r.deadline.Before(s.deadline) {
				t.Fatalf("%s request started before one with an earlier deadline", s.class)
			}
			if r.class == shunt.ClassUrgent && s.class != shunt.ClassUrgent {
				t.Fatalf("%s request started while an urgent one waited", s.class)
			}
		}
	}
	for c := range shunt.Class(shunt.NumClasses) {
		if n := len(m.pick(func(r *request) bool { return queued(r) && r.class == c })); n > queueBound {
			t.Fatalf("%d %s requests queued", n, c)
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	choose := func(t *rapid.T, keep func(*request) bool) *request {
		list := m.pick(keep)
		if len(list) == 0 {
			t.Skip("no such request")
		}
		return list[rapid.IntRange(0, len(list)-1).Draw(t, "request")]
	}
	acquire := func(t *rapid.T) {
		class := shunt.Class(rapid.IntRange(0, shunt.NumClasses-1).Draw(t, "class"))
		m.acquire(class, time.Duration(rapid.IntRange(-1, 900).Draw(t, "wait"))*time.Millisecond)
	}
	sample := func(t *rapid.T) shunt.Sample {
		return shunt.Sample{
			Latency: time.Duration(rapid.SampledFrom([]int{10, 10, 10, 15, 100}).Draw(t, "ms")) * time.Millisecond,
			Shed:    rapid.IntRange(0, 15).Draw(t, "shed") == 0,
			Failed:  rapid.IntRange(0, 15).Draw(t, "failed") == 0,
			Ignore:  rapid.IntRange(0, 7).Draw(t, "ignore") == 0,
		}
	}
	done := func(t *rapid.T) { m.done(choose(t, running), sample(t)) }
	return map[string]func(*rapid.T){
		"acquire":  acquire,
		"acquire2": acquire,
		"acquire3": acquire,
		"done":     done,
		"done2":    done,
		"cancel":   func(t *rapid.T) { choose(t, queued).cancel() },
		"cancel and done": func(t *rapid.T) { // the slot may be granted to a request that is cancelled
			first, last := choose(t, running), sample(t)
			for _, r := range m.pick(queued) {
				r.cancel()
			}
			m.done(first, last)
		},
		"advance": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
		"slots": func(t *rapid.T) {
			m.slots = rapid.IntRange(1, 8).Draw(t, "slots")
			m.limiter.SetSlots(m.slots)
		},
		"reset": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
				old := m.pick(running)
				m.limiter.Reset(m.slots)
				for _, r := range old { // requests of the old server must not give slots of the new one
					m.done(r, shunt.Sample{Shed: true})
				}
			}
		},
		"": m.check,
	}
}

// Guards against requests above the limit, lost slots, refused requests that ran, a wrong order, and queues
// that grow or hold requests past their deadlines.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := &machine{slots: 8}
			// A window of 1 ms lets the limit grow within the steps of a case.
			m.limiter = admit.New(clockwork.NewRealClock(), m.slots,
				admit.Options{Queue: queueBound, Window: time.Millisecond})
			defer func() {
				for _, r := range m.requests {
					r.cancel()
				}
			}()
			t.Repeat(m.actions())
			for list := m.pick(running); len(list) > 0; list = m.pick(running) {
				m.done(list[0], shunt.Sample{Latency: time.Millisecond})
				m.check(t)
			}
			if load := m.limiter.Load(); load.InFlight != 0 || load.Queued != 0 {
				t.Fatalf("slots lost: %+v", load)
			}
		})
	})
}

func drive(t *testing.T, slots int, test func(t *testing.T, m *machine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, &machine{slots: slots, limiter: admit.New(clockwork.NewRealClock(), slots, admit.Options{})})
	})
}

// grow lets requests of 10 ms fill the limiter until it has a limit.
func (m *machine) grow(t *testing.T, limit int) {
	t.Helper()
	for range 10_000 {
		if m.limiter.Load().Limit >= limit {
			return
		}
		m.fill(shunt.ClassNormal, m.limiter.Load().Limit)
		time.Sleep(10 * time.Millisecond)
		m.wait()
		for _, r := range m.pick(running) {
			m.done(r, shunt.Sample{Latency: 10 * time.Millisecond})
		}
	}
	t.Fatalf("limit stays at %+v", m.limiter.Load())
}

func (m *machine) fill(class shunt.Class, n int) {
	for range n {
		m.acquire(class, time.Hour)
		m.wait()
	}
}

// Guards against urgent requests that wait for others, and background requests that never start.
func TestClasses(t *testing.T) {
	drive(t, 10, func(t *testing.T, m *machine) {
		m.grow(t, 10)
		m.fill(shunt.ClassUrgent, 1)
		m.fill(shunt.ClassNormal, 30)
		m.fill(shunt.ClassBackground, 10)
		if load := m.limiter.Load(); load.InFlight != 8 {
			t.Errorf("%+v, want 8 running and 2 slots reserved", load)
		}
		m.fill(shunt.ClassUrgent, 1)
		if load := m.limiter.Load(); load.InFlight != 9 {
			t.Errorf("%+v, want the urgent request in the reserve", load)
		}
		background := 0
		for range 24 {
			m.done(m.pick(running)[0], shunt.Sample{Latency: 10 * time.Millisecond})
			m.wait()
			background = len(m.pick(func(r *request) bool {
				return r.class == shunt.ClassBackground && r.ended
			}))
		}
		if background == 0 {
			t.Error("no background request started in 24 starts beside normal ones")
		}
		for _, r := range m.pick(queued) {
			r.cancel()
		}
	})
}

// Guards against requests that wait although they cannot start in time, and against a drain that runs or
// interrupts requests.
func TestRefusals(t *testing.T) {
	drive(t, 1, func(t *testing.T, m *machine) {
		m.fill(shunt.ClassNormal, 1)
		time.Sleep(time.Second)
		m.done(m.pick(running)[0], shunt.Sample{Latency: time.Second}) // a request holds its slot for 1 s
		m.fill(shunt.ClassNormal, 2)
		begin := time.Now()
		late := m.acquire(shunt.ClassNormal, 900*time.Millisecond)
		m.wait()
		if !errors.Is(late.err, admit.ErrTooLate) || !errors.Is(late.err, shunt.ErrNotAdmitted) ||
			time.Since(begin) > 0 {
			t.Errorf("%v after %v, want %v at once", late.err, time.Since(begin), admit.ErrTooLate)
		}
		m.fill(shunt.ClassBackground, admit.DefaultQueue+1)
		if last := m.requests[len(m.requests)-1]; !errors.Is(last.err, admit.ErrQueueFull) {
			t.Errorf("%v, want %v", last.err, admit.ErrQueueFull)
		}
		var drained error
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		go func() { drained = m.limiter.Drain(ctx) }()
		m.wait()
		m.fill(shunt.ClassUrgent, 1)
		refused := m.pick(func(r *request) bool { return errors.Is(r.err, admit.ErrLeaving) })
		if len(refused) != admit.DefaultQueue+2 {
			t.Errorf("drain refused %d requests, want the queued ones and the new one", len(refused))
		}
		m.done(m.pick(running)[0], shunt.Sample{})
		m.wait()
		if load := m.limiter.Load(); drained != nil || ctx.Err() != nil || load.InFlight != 0 {
			t.Errorf("drain: %v, %+v", drained, load)
		}
		m.limiter.Reset(1)
		m.fill(shunt.ClassNormal, 1)
		if load := m.limiter.Load(); load.InFlight != 1 {
			t.Errorf("new server after the drain: %+v", load)
		}
	})
}

// Guards against a start after the deadline when the limiter notices it before the context does.
func TestExpiredRequestIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewFakeClockAt(time.Now())
		m := &machine{limiter: admit.New(clock, 1, admit.Options{})}
		m.fill(shunt.ClassNormal, 2)
		clock.Advance(2 * time.Hour)
		m.done(m.pick(running)[0], shunt.Sample{})
		m.wait()
		if r := m.requests[0]; !errors.Is(r.err, admit.ErrExpired) {
			t.Errorf("%v, want %v", r.err, admit.ErrExpired)
		}
	})
}

// endedContext ends after Acquire has looked at it for the first time.
type endedContext struct{ context.Context }

// Done implements context.Context.
func (endedContext) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// Guards against a slot lost when a request is cancelled while it is admitted.
func TestCancelledWhileAdmitted(t *testing.T) {
	limiter, refused := admit.New(clockwork.NewRealClock(), 1, admit.Options{}), 0
	for range 64 {
		ticket, err := limiter.Acquire(endedContext{t.Context()}, shunt.ClassNormal)
		if err != nil {
			refused++
			if load := limiter.Load(); load.InFlight != 0 {
				t.Fatalf("%+v after a refusal", load)
			}
			continue
		}
		ticket.Done(shunt.Sample{Ignore: true})
	}
	if refused == 0 {
		t.Error("no request was cancelled while it was admitted")
	}
}
