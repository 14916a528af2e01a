package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/retry"
)

// What happens to one attempt in the chain.
const (
	answered  = iota // the backend server answers, after its own calls
	refused          // the other node refuses before it forwards
	failed           // the backend server fails after its own calls
	lost             // the backend server runs, the answer is lost
	lostEarly        // the request is lost before the backend server runs
	numEvents
)

// chain is a model of nested calls: the backend server of hop h makes width[h] calls one after another.
type chain struct {
	t          *rapid.T
	repeatable bool
	width      []int
	attempts   int
	runs       []int
}

// call makes one call at a hop like an outbound half and returns the outcome and the header Retries-Used.
func (c *chain) call(hop, left int) (shunt.Outcome, string) {
	allowance := retry.NewAllowance(left)
	for n := 1; ; n++ {
		c.attempts++
		passed := allowance.Pass()
		outcome, header := c.attempt(hop, passed)
		used := retry.ParseUsed(header, passed)
		if outcome == shunt.OutcomeOK {
			allowance.Succeeded(used)
			return outcome, allowance.Used().String()
		}
		if outcome == shunt.OutcomeNotRun {
			used = retry.Used{}
		}
		allowance.Failed(used)
		reason := retry.Decide(retry.Attempt{
			Contract: shunt.Contract{Repeatable: c.repeatable}, Outcome: outcome, Enough: allowance.Enough(),
			Tokens: 1, Remaining: time.Second, Attempts: n,
		})
		if reason != retry.ReasonRetry {
			return outcome, allowance.Used().String()
		}
		allowance.Retry()
	}
}

// attempt is one attempt at a hop as its caller sees it.
func (c *chain) attempt(hop, left int) (shunt.Outcome, string) {
	event := rapid.IntRange(0, numEvents-1).Draw(c.t, "event")
	switch event {
	case refused:
		return shunt.OutcomeNotRun, ""
	case lostEarly:
		return shunt.OutcomeUnknown, ""
	}
	c.runs[hop]++
	used, ok := retry.Used{}, true
	for range c.width[hop] {
		outcome, header := c.call(hop+1, left-used.Extra)
		used = used.Add(retry.ParseUsed(header, left-used.Extra))
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

// Guards against retries at several hops multiplying, and against a second run of what must run once.
func TestAttemptsInAChainAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 18).Draw(t, "depth")
		allowance := rapid.IntRange(0, retry.MaxAllowance).Draw(t, "allowance")
		c := &chain{
			t: t, repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") > 0,
			width: make([]int, depth), runs: make([]int, depth),
		}
		first := 0 // attempts without any failure
		for h := depth - 1; h >= 0; h-- {
			if h < depth-1 {
				c.width[h] = 1
				if depth <= 5 {
					c.width[h] = rapid.IntRange(1, 2).Draw(t, "width")
				}
			}
			first = 1 + c.width[h]*first
		}
		c.call(0, allowance)
		if c.attempts > first+allowance {
			t.Fatalf("%d attempts, want at most %d + %d", c.attempts, first, allowance)
		}
		if c.repeatable || first != depth { // wider trees call one hop several times
			return
		}
		for h, n := range c.runs {
			if n > 1 {
				t.Fatalf("non-repeatable request ran %d times at hop %d", n, h)
			}
		}
	})
}

// Guards against retries without a reason to believe that they are safe, allowed and useful.
func TestDecide(t *testing.T) {
	good := retry.Attempt{
		Contract: shunt.Contract{Repeatable: true}, Outcome: shunt.OutcomeFailed, Enough: true, Tokens: 1,
		Remaining: time.Second, Attempts: 1,
	}
	tests := []struct {
		name   string
		change func(*retry.Attempt)
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
		a := good
		tt.change(&a)
		if got := retry.Decide(a); got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}

// Guards against a node whose retries add more than a tenth to its calls.
func TestBudget(t *testing.T) {
	var b retry.Budget
	retries := 0
	for n := 1; n <= 1000; n++ {
		b.Call()
		for b.Take() {
			retries++
		}
		if limit := retry.BudgetBurst + float64(n)*retry.BudgetRatio; float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries after %d calls, want at most %v", retries, n, limit)
		}
	}
	if retries < 109 {
		t.Errorf("%d retries after 1000 calls, want 109 at least", retries)
	}
	for range 1000 {
		b.Call()
	}
	if got := b.Tokens(); got > retry.BudgetMax {
		t.Errorf("%v tokens saved, want at most %d", got, retry.BudgetMax)
	}
}

// Guards against a hop that waits longer than its caller, and against headers that raise a limit.
func TestHeaders(t *testing.T) {
	for _, remaining := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second, time.Hour} {
		next := retry.NextHop(remaining)
		if next < 0 || remaining > 0 && remaining-next < retry.MinMargin || remaining-next > retry.MaxMargin {
			t.Errorf("next hop of %v has %v", remaining, next)
		}
	}
	for header, want := range map[string]time.Duration{
		"": time.Second, "x": time.Second, "250": 250 * time.Millisecond, "5000": time.Second, "0": 0, "-7": 0,
		"99999999999999999": time.Second,
	} {
		if got := retry.ParseTimeout(header, time.Second); got != want {
			t.Errorf("timeout %q is %v, want %v", header, got, want)
		}
	}
	for header, want := range map[string]int{"": 2, "0": 0, "-1": 0, "99": retry.MaxAllowance, "x": 0} {
		if got := retry.ParseLeft(header); got != want {
			t.Errorf("allowance %q is %d, want %d", header, got, want)
		}
	}
	for _, header := range []string{"", "1", "x/1", "1/x", "-1/0", "0/-1"} {
		if got := retry.ParseUsed(header, 2); got != retry.Lost(2) {
			t.Errorf("used %q is %v, want all", header, got)
		}
	}
}
