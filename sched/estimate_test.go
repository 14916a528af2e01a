package sched_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt/sched"
)

// TestEstimateIsCorrected guards against an expected service time that excludes a route's requests for good: whatever was
// observed and asked before, once the server is fast enough for the requests, they are let through within 2 s. It also
// guards against a slow server that gets more than one request a second although none can end.
func TestEstimateIsCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e sched.Estimate
		now := time.Unix(1_770_000_000, 0)
		millis := func(low, high int, label string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
		}
		run := func(work, left time.Duration) (ran, probe bool) {
			expected, probe := e.Expect(left, now)
			if !probe && expected*7/10 > left {
				return false, false
			}
			e.Observe(sched.Observation{Took: min(work, left), Censored: work > left, Probe: probe}, now)
			return true, probe
		}
		for range rapid.IntRange(0, 30).Draw(t, "history") {
			left := millis(1, 3000, "time left")
			if rapid.Bool().Draw(t, "refused by the queue") {
				if _, probe := e.Expect(left, now); probe {
					e.ReturnProbe(now)
				}
			} else {
				run(millis(1, 5000, "service time"), left)
			}
			now = now.Add(millis(0, 2000, "pause"))
		}
		left, pause := millis(50, 2000, "time left from now on"), millis(1, 100, "pause from now on")
		slow, probes := left+time.Millisecond, 0
		slowUntil := now.Add(5 * time.Second)
		for now.Before(slowUntil) {
			if _, probe := run(slow, left); probe {
				probes++
			}
			now = now.Add(pause)
		}
		if probes > 6 {
			t.Fatalf("%d probes in 5 s, want 6 at most", probes)
		}
		fast := left * 7 / 10
		correctedAt := now.Add(2 * time.Second)
		for now.Before(correctedAt) {
			run(fast, left)
			now = now.Add(pause)
		}
		for range 20 {
			if ran, _ := run(fast, left); !ran {
				t.Fatalf("request with %s left refused, expected %s, takes %s", left, e.Mean(), fast)
			}
			now = now.Add(pause)
		}
	})
}

// TestEstimateOfCutRequests guards against a mean that falls because the server gave up early on requests with little time
// left, as if they had been served fast.
func TestEstimateOfCutRequests(t *testing.T) {
	var e sched.Estimate
	now := time.Unix(1_770_000_000, 0)
	e.Observe(sched.Observation{Took: time.Second}, now)
	for range 20 {
		e.Observe(sched.Observation{Took: 100 * time.Millisecond, Censored: true, Probe: true}, now)
	}
	if got := e.Mean(); got != time.Second {
		t.Errorf("mean is %s after requests that were cut, want 1 s", got)
	}
	e.Observe(sched.Observation{Took: 2 * time.Second, Censored: true}, now)
	if got := e.Mean(); got != 1100*time.Millisecond {
		t.Errorf("mean is %s after a request that was cut later, want 1.1 s", got)
	}
}
