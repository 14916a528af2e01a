package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"tanagershunt.example/shunt/canary"
)

// Parameters of a comparison: one route with a share of 5%, in windows of two seconds, for twenty minutes.
const (
	windowCount        = 600
	oldPerWindow       = 190.0
	newPerWindow       = 10.0
	compareFailureRate = 0.002 // usual failure rate, which the SPRT takes as known
	compareFalseAlarm  = 0.01
	sprtMissRate       = 0.05
	sprtRateRatio      = 3 // failure rate of the SPRT's alternative hypothesis, as a multiple of the usual rate
)

type (
	// Comparison records how often, and after what mean time, a test raised an alarm under one condition.
	Comparison struct {
		Test      string
		Condition string
		Alarms    float64       // share of runs with an alarm
		Mean      time.Duration // mean time to the alarm in the runs with one
	}

	condition struct {
		name string
		rate func(window int) (oldRate, newRate float64)
	}

	windowCounts struct{ oldRequests, oldFailures, newRequests, newFailures uint64 }

	// detector receives the counts of each window in order and reports whether the version is bad.
	detector func(window int, c windowCounts) bool
)

// Compare runs the test of package canary and its alternatives on the same draws.
func Compare(runs int, seed uint64) []Comparison {
	tests := []struct {
		name string
		make func() detector
	}{
		{"sequential", sequentialTest},
		{"two proportions, at the end", func() detector { return twoProportionsTest(false) }},
		{"two proportions, every window", func() detector { return twoProportionsTest(true) }},
		{"sprt with known rate", sprtTest},
	}
	var list []Comparison
	for _, c := range conditions() {
		for _, t := range tests {
			list = append(list, compare(t.name, t.make, c, runs, seed))
		}
	}
	return list
}

func conditions() []condition {
	constant := func(oldRate, newRate float64) func(int) (float64, float64) {
		return func(int) (float64, float64) { return oldRate, newRate }
	}
	return []condition{
		{"good", constant(compareFailureRate, compareFailureRate)},
		{"good, common failures for a minute", func(w int) (float64, float64) {
			if w >= 200 && w < 230 {
				return 0.2, 0.2
			}
			return compareFailureRate, compareFailureRate
		}},
		{"good, no failure on either side", constant(0, 0)},
		{"good, usual rate ten times the known one", constant(10*compareFailureRate, 10*compareFailureRate)},
		{"bad, 3 times the rate", constant(compareFailureRate, 3*compareFailureRate)},
		{"bad, 10 times the rate", constant(compareFailureRate, 10*compareFailureRate)},
		{"bad, 30% fail", constant(compareFailureRate, 0.3)},
		{"bad, 5% fail, old side has no failure", constant(0, 0.05)},
		{"bad, 10% fail from the tenth minute on", func(w int) (float64, float64) {
			if w >= 300 {
				return compareFailureRate, 0.1
			}
			return compareFailureRate, compareFailureRate
		}},
	}
}

func compare(name string, newTest func() detector, c condition, runs int, seed uint64) Comparison {
	result := Comparison{Test: name, Condition: c.name}
	alarmCount := 0
	var total time.Duration
	for run := range runs {
		src := rand.NewPCG(seed, uint64(run))
		detect := newTest()
		for w := range windowCount {
			oldRate, newRate := c.rate(w)
			counts := windowCounts{oldRequests: oldPerWindow, newRequests: newPerWindow}
			counts.oldFailures, counts.newFailures = drawFailures(src, oldPerWindow, oldRate),
				drawFailures(src, newPerWindow, newRate)
			if detect(w, counts) {
				alarmCount++
				total += time.Duration(w+1) * 2 * time.Second
				break
			}
		}
	}
	result.Alarms = float64(alarmCount) / float64(runs)
	result.Mean = total / time.Duration(max(1, alarmCount))
	return result
}

func drawFailures(src rand.Source, n, rate float64) uint64 {
	if rate == 0 {
		return 0
	}
	return uint64(distuv.Binomial{N: n, P: rate, Src: src}.Rand())
}

func sequentialTest() detector {
	t := canary.NewTest(canary.Config{FalseAlarm: compareFalseAlarm, Routes: 1})
	start := time.Unix(0, 0)
	return func(w int, c windowCounts) bool {
		at := start.Add(time.Duration(w) * 2 * time.Second)
		t.Observe(at, []canary.Sample{
			{
				Route: "r",
				Old: canary.Counts{
					Requests: c.oldRequests,
					Failures: c.oldFailures,
				},
				New: canary.Counts{Requests: c.newRequests, Failures: c.newFailures},
			},
		})
		return t.Bad()
	}
}

// twoProportionsTest compares the two failure rates, either after the last window only or after every window.
func twoProportionsTest(everyWindow bool) detector {
	limit := distuv.UnitNormal.Quantile(1 - compareFalseAlarm)
	var sum windowCounts
	return func(w int, c windowCounts) bool {
		sum.oldRequests, sum.oldFailures = sum.oldRequests+c.oldRequests, sum.oldFailures+c.oldFailures
		sum.newRequests, sum.newFailures = sum.newRequests+c.newRequests, sum.newFailures+c.newFailures
		if !everyWindow && w != windowCount-1 {
			return false
		}
		newTotal, oldTotal := float64(sum.newRequests), float64(sum.oldRequests)
		pooled := float64(sum.newFailures+sum.oldFailures) / (newTotal + oldTotal)
		stdErr := math.Sqrt(pooled * (1 - pooled) * (1/newTotal + 1/oldTotal))
		return stdErr > 0 && (float64(sum.newFailures)/newTotal-float64(sum.oldFailures)/oldTotal)/stdErr > limit
	}
}

// sprtTest is Wald's sequential probability ratio test of the new version's failure rate alone. It restarts when it
// accepts the version.
func sprtTest() detector {
	p0, p1 := compareFailureRate, sprtRateRatio*compareFailureRate
	upper, lower := math.Log((1-sprtMissRate)/compareFalseAlarm), math.Log(sprtMissRate/(1-compareFalseAlarm))
	var logRatio float64
	return func(_ int, c windowCounts) bool {
		logRatio += float64(c.newFailures)*math.Log(p1/p0) +
			float64(c.newRequests-c.newFailures)*math.Log((1-p1)/(1-p0))
		if logRatio <= lower {
			logRatio = 0
		}
		return logRatio >= upper
	}
}
