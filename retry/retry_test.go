package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/retry"
)

// Events of one attempt in the chain.
const (
	answered  = iota // the backend server answers, after its own calls
	refused          // the remote node refuses the request without forwarding it
	failed           // the backend server fails after its own calls
	lost             // the backend server runs the request, the answer is lost
	lostEarly        // the request is lost on the way to the backend server
	numEvents
)

// chain simulates nested calls: the backend server at hop h makes fanOut[h] sequential calls.
type chain struct {
	t          *rapid.T
	repeatable bool
	fanOut     []int
	attempts   int
	runs       []int
}

// send makes one call at a hop, as the outbound proxy does, and returns its outcome and header Retries-Used.
func (c *chain) send(hop, left int) (shunt.Outcome, string) {
	allowance := retry.NewAllowance(left)
	for n := 1; ; n++ {
		c.attempts++
		passedOn := allowance.Remaining()
		outcome, header := c.attempt(hop, passedOn)
		used := retry.ParseUsage(header, passedOn)
		if outcome == shunt.OutcomeOK {
			allowance.Succeeded(used)
			return outcome, allowance.Used().String()
		}
		if outcome == shunt.OutcomeNotRun {
			used = retry.Usage{}
		}
		allowance.Failed(used)
		reason := retry.Decide(retry.Attempt{
			Contract: shunt.RoutePolicy{Repeatable: c.repeatable}, Outcome: outcome, Enough: allowance.CanRetry(),
			Tokens: 1, Remaining: time.Second, Attempts: n,
		})
		if reason != retry.ReasonRetry {
			return outcome, allowance.Used().String()
		}
		allowance.Retry()
	}
}

// attempt makes one attempt at a hop and returns the outcome and header that its caller receives.
func (c *chain) attempt(hop, left int) (shunt.Outcome, string) {
	event := rapid.IntRange(0, numEvents-1).Draw(c.t, "event")
	switch event {
	case refused:
		return shunt.OutcomeNotRun, ""
	case lostEarly:
		return shunt.OutcomeUnknown, ""
	}
	c.runs[hop]++
	used, ok := retry.Usage{}, true
	for range c.fanOut[hop] {
		outcome, header := c.send(hop+1, left-used.Extra)
		used = used.Add(retry.ParseUsage(header, left-used.Extra))
		ok = ok && outcome == shunt.OutcomeOK
	}
	fallback := !ok && rapid.Bool().Draw(c.t, "fallback")
	switch {
	case event == lost:
		return shunt.OutcomeUnknown, ""
	case event == failed || !ok && !fallback:
		return shunt.OutcomeFailed, used.String()
	default:
		return shunt.OutcomeOK, used.String()
	}
}

// TestAllowanceBoundsAttempts guards against retries that multiply over several hops, and against a request on a
// non-repeatable route that runs more than once.
func TestAllowanceBoundsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 18).Draw(t, "depth")
		allowance := rapid.IntRange(0, retry.MaxAllowance).Draw(t, "allowance")
		c := &chain{
			t: t, repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") > 0,
			fanOut: make([]int, depth), runs: make([]int, depth),
		}
		withoutRetries := 0 // number of attempts if none fails
		for h := depth - 1; h >= 0; h-- {
			if h < depth-1 {
				c.fanOut[h] = 1
				if depth <= 5 {
					c.fanOut[h] = rapid.IntRange(1, 2).Draw(t, "width")
				}
			}
			withoutRetries = 1 + c.fanOut[h]*withoutRetries
		}
		c.send(0, allowance)
		if c.attempts > withoutRetries+allowance {
			t.Fatalf("%d attempts, want at most %d and %d retries", c.attempts, withoutRetries, allowance)
		}
		if c.repeatable || withoutRetries != depth { // with a fan-out above 1 a hop receives several calls
			return
		}
		for h, n := range c.runs {
			if n > 1 {
				t.Fatalf("non-repeatable request ran %d times at hop %d", n, h)
			}
		}
	})
}

// TestDecide guards against a retry that runs a non-repeatable request twice, or that exceeds the attempts, the
// allowance, the budget or the remaining time.
func TestDecide(t *testing.T) {
	base := retry.Attempt{
		Contract: shunt.RoutePolicy{Repeatable: true}, Outcome: shunt.OutcomeFailed, Enough: true, Tokens: 1,
		Remaining: time.Second, Attempts: 1,
	}
	tests := []struct {
		name   string
		modify func(*retry.Attempt)
		want   retry.Reason
	}{
		{"failed, repeatable", func(*retry.Attempt) {}, retry.ReasonRetry},
		{"answered", func(a *retry.Attempt) { a.Outcome = shunt.OutcomeOK }, retry.ReasonAnswered},
		{"failed, not repeatable", func(a *retry.Attempt) { a.Contract.Repeatable = false }, retry.ReasonNotRepeatable},
		{"unknown, not repeatable", func(a *retry.Attempt) {
			a.Contract.Repeatable, a.Outcome = false, shunt.OutcomeUnknown
		}, retry.ReasonNotRepeatable},
		{"not run, not repeatable", func(a *retry.Attempt) {
			a.Contract.Repeatable, a.Outcome = false, shunt.OutcomeNotRun
		}, retry.ReasonRetry},
		{"attempts", func(a *retry.Attempt) { a.Attempts = retry.MaxAttempts }, retry.ReasonAttempts},
		{"allowance", func(a *retry.Attempt) { a.Enough = false }, retry.ReasonAllowance},
		{"time", func(a *retry.Attempt) { a.Remaining = time.Millisecond }, retry.ReasonTime},
		{"budget", func(a *retry.Attempt) { a.Tokens = 0.9 }, retry.ReasonBudget},
	}
	for _, tt := range tests {
		a := base
		tt.modify(&a)
		if got := retry.Decide(a); got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestBudget guards against retries beyond the initial burst plus a tenth of the calls, which would add to an overload.
func TestBudget(t *testing.T) {
	var b retry.Budget
	retries := 0
	for n := 1; n <= 1000; n++ {
		b.RecordCall()
		for b.Take() {
			retries++
		}
		if limit := retry.BudgetBurst + float64(n)*retry.BudgetRatio; float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries after %d calls, want at most %v", retries, n, limit)
		}
	}
	// 10 + 1000 * 0.1 = 110 retries, less one for rounding.
	if retries < 109 {
		t.Errorf("%d retries after 1000 calls, want at least 109", retries)
	}
	for range 1000 {
		b.RecordCall()
	}
	if got := b.Tokens(); got > retry.BudgetMax {
		t.Errorf("%v tokens in the budget, want at most %d", got, retry.BudgetMax)
	}
}

// TestHeaders guards against a hop that answers after its caller has timed out, and against header values that raise a
// limit.
func TestHeaders(t *testing.T) {
	for _, remaining := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second, time.Hour} {
		next := retry.NextHopTimeout(remaining)
		if next < 0 || remaining > 0 && remaining-next < retry.MinMargin || remaining-next > retry.MaxMargin {
			t.Errorf("remaining time %v gives %v for the next hop", remaining, next)
		}
	}
	for header, want := range map[string]time.Duration{
		"": time.Second, "x": time.Second, "250": 250 * time.Millisecond, "5000": time.Second, "0": 0, "-7": 0,
		"99999999999999999": time.Second,
	} {
		if got := retry.ParseTimeout(header, time.Second); got != want {
			t.Errorf("timeout header %q gives %v, want %v", header, got, want)
		}
	}
	for header, want := range map[string]int{"": 2, "0": 0, "-1": 0, "99": retry.MaxAllowance, "x": 0} {
		if got := retry.ParseAllowance(header); got != want {
			t.Errorf("allowance header %q gives %d, want %d", header, got, want)
		}
	}
	for _, header := range []string{"", "1", "x/1", "1/x", "-1/0", "0/-1"} {
		if got := retry.ParseUsage(header, 2); got != retry.UnknownUsage(2) {
			t.Errorf("usage header %q gives %v, want the whole allowance", header, got)
		}
	}
}
