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

const maxQueued = 4

type (
	// harness runs requests against a Limiter and records their results for checkInvariants.
	harness struct {
		limiter  *admit.Limiter
		slots    int
		requests []*request
		steps    int
		waiting  []*request // queued at the end of the previous step
	}

	request struct {
		class    shunt.Class
		deadline time.Time
		cancel   context.CancelFunc
		ended    bool // Acquire has returned
		admitted int  // step of admission, 0 if not admitted
		ticket   shunt.Ticket
		err      error
		result   chan func() // delivers a function that sets ticket and err
	}
)

func (h *harness) acquire(class shunt.Class, timeout time.Duration) *request {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	deadline, _ := ctx.Deadline()
	r := &request{class: class, deadline: deadline, cancel: cancel, result: make(chan func(), 1)}
	h.requests = append(h.requests, r)
	go func() {
		ticket, err := h.limiter.Acquire(ctx, class)
		r.result <- func() { r.ticket, r.err, r.ended = ticket, err, true }
	}()
	return r
}

// collectResults waits until all goroutines are blocked and stores the results of Acquire.
func (h *harness) collectResults() {
	synctest.Wait()
	for _, r := range h.requests {
		select {
		case set := <-r.result:
			set()
		default:
		}
	}
}

func (h *harness) filter(keep func(*request) bool) []*request {
	return slices.DeleteFunc(slices.Clone(h.requests), func(r *request) bool { return !keep(r) })
}

func queued(r *request) bool  { return !r.ended }
func running(r *request) bool { return r.ticket != nil }

func (h *harness) done(r *request, s shunt.Sample) {
	r.ticket.Done(s)
	r.ticket.Done(s) // a second call must have no effect
	r.cancel()
	h.requests = slices.DeleteFunc(h.requests, func(other *request) bool { return other == r })
}

// checkInvariants is run after each step.
func (h *harness) checkInvariants(t *rapid.T) {
	h.collectResults()
	h.steps++
	load := h.limiter.Load()
	if load.Limit < 1 || load.Limit > h.slots {
		t.Fatalf("limit %d out of range for %d slots", load.Limit, h.slots)
	}
	var started []*request
	for _, r := range h.filter(func(r *request) bool { return r.ended && r.admitted == 0 }) {
		if r.err != nil {
			if r.ticket != nil || !errors.Is(r.err, shunt.ErrNotAdmitted) {
				t.Fatalf("rejection %v with ticket %v", r.err, r.ticket)
			}
			h.requests = slices.DeleteFunc(h.requests, func(other *request) bool { return other == r })
			continue
		}
		r.admitted = h.steps
		started = append(started, r)
	}
	if load.InFlight != len(h.filter(running)) || load.Queued != len(h.filter(queued)) {
		t.Fatalf("%+v, want %d running and %d queued", load, len(h.filter(running)), len(h.filter(queued)))
	}
	if len(started) > 0 && load.InFlight > load.Limit {
		t.Fatalf("admitted above the limit: %+v", load)
	}
	h.checkQueue(t, load, started)
	h.waiting = h.filter(queued)
}

func (h *harness) checkQueue(t *rapid.T, load shunt.Load, started []*request) {
	reserve := max(1, load.Limit/5)
	for _, r := range h.filter(queued) {
		if !time.Now().Before(r.deadline) {
			t.Fatalf("request still queued after its deadline")
		}
		if load.InFlight < load.Limit-reserve || r.class == shunt.ClassUrgent && load.InFlight < load.Limit {
			t.Fatalf("%s request waits although %+v", r.class, load)
		}
		for _, s := range started {
			if !slices.Contains(h.waiting, r) || !slices.Contains(h.waiting, s) {
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
		if n := len(h.filter(func(r *request) bool { return queued(r) && r.class == c })); n > maxQueued {
			t.Fatalf("%d %s requests queued", n, c)
		}
	}
}

func (h *harness) actions() map[string]func(*rapid.T) {
	choose := func(t *rapid.T, keep func(*request) bool) *request {
		list := h.filter(keep)
		if len(list) == 0 {
			t.Skip("no such request")
		}
		return list[rapid.IntRange(0, len(list)-1).Draw(t, "request")]
	}
	acquire := func(t *rapid.T) {
		class := shunt.Class(rapid.IntRange(0, shunt.NumClasses-1).Draw(t, "class"))
		h.acquire(class, time.Duration(rapid.IntRange(-1, 900).Draw(t, "wait"))*time.Millisecond)
	}
	sample := func(t *rapid.T) shunt.Sample {
		return shunt.Sample{
			Latency: time.Duration(rapid.SampledFrom([]int{10, 10, 10, 15, 100}).Draw(t, "ms")) * time.Millisecond,
			Shed:    rapid.IntRange(0, 15).Draw(t, "shed") == 0,
			Failed:  rapid.IntRange(0, 15).Draw(t, "failed") == 0,
			Ignore:  rapid.IntRange(0, 7).Draw(t, "ignore") == 0,
		}
	}
	done := func(t *rapid.T) { h.done(choose(t, running), sample(t)) }
	return map[string]func(*rapid.T){ // duplicates raise the probability of an action
		"acquire":  acquire,
		"acquire2": acquire,
		"acquire3": acquire,
		"done":     done,
		"done2":    done,
		"cancel":   func(t *rapid.T) { choose(t, queued).cancel() },
		"cancel and done": func(t *rapid.T) { // the released slot may be granted to a cancelled request
			r, s := choose(t, running), sample(t)
			for _, waiting := range h.filter(queued) {
				waiting.cancel()
			}
			h.done(r, s)
		},
		"advance": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		},
		"slots": func(t *rapid.T) {
			h.slots = rapid.IntRange(1, 8).Draw(t, "slots")
			h.limiter.SetSlots(h.slots)
		},
		"reset": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
				old := h.filter(running)
				h.limiter.Reset(h.slots)
				for _, r := range old { // requests of the old server must not release slots of the new one
					h.done(r, shunt.Sample{Shed: true})
				}
			}
		},
		"": h.checkInvariants,
	}
}

// Guards against running requests above the limit, leaked slots, rejected requests that ran, a wrong order, and
// queues that exceed their bound or keep requests past their deadlines.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			h := &harness{slots: 8}
			// With a window of 1 ms the limit can grow within the steps of one case.
			h.limiter = admit.New(clockwork.NewRealClock(), h.slots,
				admit.Options{Queue: maxQueued, Window: time.Millisecond})
			defer func() {
				for _, r := range h.requests {
					r.cancel()
				}
			}()
			t.Repeat(h.actions())
			for list := h.filter(running); len(list) > 0; list = h.filter(running) {
				h.done(list[0], shunt.Sample{Latency: time.Millisecond})
				h.checkInvariants(t)
			}
			if load := h.limiter.Load(); load.InFlight != 0 || load.Queued != 0 {
				t.Fatalf("slots leaked: %+v", load)
			}
		})
	})
}

func runWithLimiter(t *testing.T, slots int, run func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t, &harness{slots: slots, limiter: admit.New(clockwork.NewRealClock(), slots, admit.Options{})})
	})
}

// growTo runs requests of 10 ms at full concurrency until the limit is reached.
func (h *harness) growTo(t *testing.T, limit int) {
	t.Helper()
	for range 10_000 {
		if h.limiter.Load().Limit >= limit {
			return
		}
		h.fill(shunt.ClassNormal, h.limiter.Load().Limit)
		time.Sleep(10 * time.Millisecond)
		h.collectResults()
		for _, r := range h.filter(running) {
			h.done(r, shunt.Sample{Latency: 10 * time.Millisecond})
		}
	}
	t.Fatalf("limit not reached: %+v", h.limiter.Load())
}

func (h *harness) fill(class shunt.Class, n int) {
	for range n {
		h.acquire(class, time.Hour)
		h.collectResults()
	}
}

// Guards against urgent requests that wait behind others, and background requests that never start.
func TestClassPriority(t *testing.T) {
	runWithLimiter(t, 10, func(t *testing.T, h *harness) {
		h.growTo(t, 10)
		h.fill(shunt.ClassUrgent, 1)
		h.fill(shunt.ClassNormal, 30)
		h.fill(shunt.ClassBackground, 10)
		if load := h.limiter.Load(); load.InFlight != 8 {
			t.Errorf("%+v, want 8 running and 2 slots reserved", load)
		}
		h.fill(shunt.ClassUrgent, 1)
		if load := h.limiter.Load(); load.InFlight != 9 {
			t.Errorf("%+v, want the urgent request in a reserved slot", load)
		}
		background := 0
		for range 24 {
			h.done(h.filter(running)[0], shunt.Sample{Latency: 10 * time.Millisecond})
			h.collectResults()
			background = len(h.filter(func(r *request) bool {
				return r.class == shunt.ClassBackground && r.ended
			}))
		}
		if background == 0 {
			t.Error("no background request among 24 starts with normal requests waiting")
		}
		for _, r := range h.filter(queued) {
			r.cancel()
		}
	})
}

// Guards against requests that wait although they cannot start in time, a queue that exceeds its bound, a drain that
// starts or interrupts requests, and a Reset that does not end the drain.
func TestRejections(t *testing.T) {
	runWithLimiter(t, 1, func(t *testing.T, h *harness) {
		h.fill(shunt.ClassNormal, 1)
		time.Sleep(time.Second)
		h.done(h.filter(running)[0], shunt.Sample{Latency: time.Second}) // sets the mean service time to 1 s
		h.fill(shunt.ClassNormal, 2)
		begin := time.Now()
		late := h.acquire(shunt.ClassNormal, 900*time.Millisecond)
		h.collectResults()
		if !errors.Is(late.err, admit.ErrTooLate) || !errors.Is(late.err, shunt.ErrNotAdmitted) ||
			time.Since(begin) > 0 {
			t.Errorf("%v after %v, want %v at once", late.err, time.Since(begin), admit.ErrTooLate)
		}
		h.fill(shunt.ClassBackground, admit.DefaultQueue+1)
		if last := h.requests[len(h.requests)-1]; !errors.Is(last.err, admit.ErrQueueFull) {
			t.Errorf("%v, want %v", last.err, admit.ErrQueueFull)
		}
		var drained error
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		go func() { drained = h.limiter.Drain(ctx) }()
		h.collectResults()
		h.fill(shunt.ClassUrgent, 1)
		rejected := h.filter(func(r *request) bool { return errors.Is(r.err, admit.ErrLeaving) })
		if len(rejected) != admit.DefaultQueue+2 {
			t.Errorf("drain rejected %d requests, want the queued ones and the new one", len(rejected))
		}
		h.done(h.filter(running)[0], shunt.Sample{})
		h.collectResults()
		if load := h.limiter.Load(); drained != nil || ctx.Err() != nil || load.InFlight != 0 {
			t.Errorf("drain: %v, %+v", drained, load)
		}
		h.limiter.Reset(1)
		h.fill(shunt.ClassNormal, 1)
		if load := h.limiter.Load(); load.InFlight != 1 {
			t.Errorf("new server after the drain: %+v, want 1 running", load)
		}
	})
}

// Guards against starting a request after its deadline when the limiter detects the expiry before the context
// does.
func TestExpiredRequestIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewFakeClockAt(time.Now())
		h := &harness{limiter: admit.New(clock, 1, admit.Options{})}
		h.fill(shunt.ClassNormal, 2)
		clock.Advance(2 * time.Hour)
		h.done(h.filter(running)[0], shunt.Sample{})
		h.collectResults()
		if r := h.requests[0]; !errors.Is(r.err, admit.ErrExpired) {
			t.Errorf("%v, want %v", r.err, admit.ErrExpired)
		}
	})
}

// endedContext never reports an error although its Done channel is closed.
type endedContext struct{ context.Context }

// Done implements context.Context.
func (endedContext) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// Guards against a slot leaked when a request is cancelled during its admission. With ready and Done both closed,
// select chooses at random; 64 runs cover both.
func TestCancelledWhileAdmitted(t *testing.T) {
	limiter, rejected := admit.New(clockwork.NewRealClock(), 1, admit.Options{}), 0
	for range 64 {
		ticket, err := limiter.Acquire(endedContext{t.Context()}, shunt.ClassNormal)
		if err != nil {
			rejected++
			if load := limiter.Load(); load.InFlight != 0 {
				t.Fatalf("%+v after a rejection", load)
			}
			continue
		}
		ticket.Done(shunt.Sample{Ignore: true})
	}
	if rejected == 0 {
		t.Error("no request was cancelled while it was admitted")
	}
}
