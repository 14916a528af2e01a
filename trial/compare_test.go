package trial_test

import (
	"testing"

	"tanagershunt.example/shunt/trial"
)

// TestSequentialAgainstAlternatives guards against a false-alarm rate of the sequential test above 1%, faults that it
// misses, and results that contradict the comparison in docs/verdict.md: the two-proportions test raises false alarms
// when evaluated after every window, and the SPRT when failures affect both versions.
func TestSequentialAgainstAlternatives(t *testing.T) {
	const runs = 400
	alarms := make(map[string]map[string]float64)
	for _, c := range trial.Compare(runs, 11) {
		t.Logf("%-42s | %-30s | %5.3f | %s", c.Condition, c.Test, c.Alarms, c.Mean.Round(1e9))
		if alarms[c.Test] == nil {
			alarms[c.Test] = make(map[string]float64)
		}
		alarms[c.Test][c.Condition] = c.Alarms
	}
	for condition, rate := range alarms["sequential"] {
		// At a rate of 1% in 400 runs, three standard deviations above the mean are 2.5%.
		if condition[:4] == "good" && rate > 0.025 {
			t.Errorf("%s: false alarms in %.3f of the runs, want at most 0.01", condition, rate)
		}
		if condition[:3] == "bad" && condition != "bad, 3 times the rate" && rate < 1 {
			t.Errorf("%s: detected in only %.3f of the runs", condition, rate)
		}
	}
	if rate := alarms["two proportions, every window"]["good"]; rate < 0.025 {
		t.Errorf("testing every window alarms in %.3f of the runs; docs/verdict.md says that it exceeds its rate", rate)
	}
	if rate := alarms["sprt with known rate"]["good, common failures for a minute"]; rate < 0.5 {
		t.Errorf("the sprt alarms in %.3f of the runs; docs/verdict.md says that common failures mislead it", rate)
	}
}
