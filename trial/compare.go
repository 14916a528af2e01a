package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"tanagershunt.example/shunt/canary"
)

// Shape of a comparison: one route at a share of 5%, in windows of two seconds, for twenty minutes.
const (
	windows      = 600
	windowOld    = 190.0
	windowNew    = 10.0
	compareRate  = 0.002 // usual failure rate, which the SPRT supposes to be known
	compareAlarm = 0.01
	sprtMiss     = 0.05
	sprtMultiple = 3 // failure rate of the SPRT's alternative, as a multiple of the usual one
)

type (
	// Comparison is how often and how fast a test called a version bad in one condition.
	Comparison struct {
		Test      string
		Condition string
		Alarms    float64       // share of runs in which the version was called bad
		Mean      time.Duration // mean time to the alarm, over the runs with one
	}

	condition struct {
		name string
		rate func(window int) (oldRate, newRate float64)
	}

	counted struct{ oldN, oldX, newN, newX uint64 }

	// alarm is told window after window and returns whether it calls the version bad.
	alarm func(window int, c counted) bool
)

// Compare runs the test of package canary and its alternatives on the same draws.
func Compare(runs int, seed uint64) []Comparison {
	tests := []struct {
		name string
		make func() alarm
	}{
		{"sequential", sequentialTest},
		{"two proportions, at the end", func() alarm { return proportions(false) }},
		{"two proportions, every window", func() alarm { return proportions(true) }},
		{"sprt with known rate", sprt},
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
		{"good", constant(compareRate, compareRate)},
		{"good, common failures for a minute", func(w int) (float64, float64) {
			if w >= 200 && w < 230 {
				return 0.2, 0.2
			}
			return compareRate, compareRate
		}},
		{"good, no failure on either side", constant(0, 0)},
		{"good, usual rate ten times the known one", constant(10*compareRate, 10*compareRate)},
		{"bad, 3 times the rate", constant(compareRate, 3*compareRate)},
		{"bad, 10 times the rate", constant(compareRate, 10*compareRate)},
		{"bad, 30% fail", constant(compareRate, 0.3)},
		{"bad, 5% fail, old side has no failure", constant(0, 0.05)},
		{"bad, 10% fail from the tenth minute on", func(w int) (float64, float64) {
			if w >= 300 {
				return compareRate, 0.1
			}
			return compareRate, compareRate
		}},
	}
}

func compare(name string, newTest func() alarm, c condition, runs int, seed uint64) Comparison {
	result := Comparison{Test: name, Condition: c.name}
	alarms := 0
	var total time.Duration
	for run := range runs {
		src := rand.NewPCG(seed, uint64(run))
		test := newTest()
		for w := range windows {
			oldRate, newRate := c.rate(w)
			d := counted{oldN: windowOld, newN: windowNew}
			d.oldX, d.newX = failures(src, windowOld, oldRate), failures(src, windowNew, newRate)
			if test(w, d) {
				alarms++
				total += time.Duration(w+1) * 2 * time.Second
				break
			}
		}
	}
	result.Alarms = float64(alarms) / float64(runs)
	result.Mean = total / time.Duration(max(1, alarms))
	return result
}

func failures(src rand.Source, n, rate float64) uint64 {
	if rate == 0 {
		return 0
	}
	return uint64(distuv.Binomial{N: n, P: rate, Src: src}.Rand())
}

func sequentialTest() alarm {
	t := canary.NewTest(canary.Config{FalseAlarm: compareAlarm, Routes: 1})
	start := time.Unix(0, 0)
	return func(w int, c counted) bool {
		at := start.Add(time.Duration(w) * 2 * time.Second)
		t.Observe(at, []canary.Sample{
			{
				Route: "r",
				Old: canary.Counts{
					Requests: c.oldN,
					Failures: c.oldX,
				},
				New: canary.Counts{Requests: c.newN, Failures: c.newX},
			},
		})
		return t.Bad()
	}
}

// proportions is the test of two proportions, taken at the horizon only or at every window.
func proportions(every bool) alarm {
	limit := distuv.UnitNormal.Quantile(1 - compareAlarm)
	var sum counted
	return func(w int, c counted) bool {
		sum.oldN, sum.oldX = sum.oldN+c.oldN, sum.oldX+c.oldX
		sum.newN, sum.newX = sum.newN+c.newN, sum.newX+c.newX
		if !every && w != windows-1 {
			return false
		}
		n, m := float64(sum.newN), float64(sum.oldN)
		pooled := float64(sum.newX+sum.oldX) / (n + m)
		spread := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/m))
		return spread > 0 && (float64(sum.newX)/n-float64(sum.oldX)/m)/spread > limit
	}
}

// sprt is Wald's test of the new version's failure rate alone, restarted when it accepts the version.
func sprt() alarm {
	p0, p1 := compareRate, sprtMultiple*compareRate
	bad, good := math.Log((1-sprtMiss)/compareAlarm), math.Log(sprtMiss/(1-compareAlarm))
	var sum float64
	return func(_ int, c counted) bool {
		sum += float64(c.newX)*math.Log(p1/p0) + float64(c.newN-c.newX)*math.Log((1-p1)/(1-p0))
		if sum <= good {
			sum = 0
		}
		return sum >= bad
	}
}
