package canary_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

// randomCounts returns a random window of n requests to one version with the given rates of failures and slow requests.
func randomCounts(rng *rand.Rand, n int, fail, slow float64) canary.Counts {
	c := canary.Counts{Requests: uint64(n)}
	for range n {
		if rng.Float64() < fail {
			c.Failures++
		}
		bucket := 8 + rng.IntN(4)
		if rng.Float64() < slow {
			bucket = 20
		}
		c.Latency[bucket]++
	}
	return c
}

// TestFalseAlarmRate guards against more false alarms than configured, which evaluation after every window would cause.
// The simulated versions are equally good; there are faults common to both, failure domains of different failure rate
// and size, and routes with few requests. The rate is set to one in twenty and no odds ratio above 1 is tolerated, so
// that an excess is visible in few runs.
func TestFalseAlarmRate(t *testing.T) {
	const runs, falseAlarm = 300, 0.05
	alarms := 0
	for run := range runs {
		rng := rand.New(rand.NewPCG(3, uint64(run)))
		test := canary.NewTest(canary.Config{FalseAlarm: falseAlarm, Routes: 3, Tolerance: 1, SlowFactor: 1})
		for w := range 150 {
			fail, slow := 0.01, 0.04
			if w%50 > 40 {
				fail, slow = 0.3, 0.5
			}
			at := time.Unix(int64(30*w), 0) // every window adds a start point of the evidence
			test.Observe(at, []canary.Sample{
				{
					Route:  "a",
					Domain: "x",
					Old:    randomCounts(rng, 40, fail, slow),
					New:    randomCounts(rng, 2, fail, slow),
				},
				{
					Route:  "a",
					Domain: "y",
					Old:    randomCounts(rng, 5, 5*fail/2, slow),
					New:    randomCounts(rng, 10, 5*fail/2, slow),
				},
				{
					Route:  "b",
					Domain: "x",
					Old:    randomCounts(rng, 3, fail, slow),
					New:    randomCounts(rng, w%2, fail, slow),
				},
				{
					Route:  "late",
					Domain: "x",
					Old:    randomCounts(rng, w/50, fail, slow),
					New:    randomCounts(rng, 1, fail, slow),
				},
			})
			if test.Bad() {
				alarms++
				break
			}
		}
	}
	t.Logf("%d alarms in %d runs", alarms, runs)
	// Three standard deviations above 0.05 in 300 runs are 0.088.
	if rate := float64(alarms) / runs; rate > 0.088 {
		t.Errorf("false alarms in %.3f of the runs, want at most %.2f", rate, falseAlarm)
	}
}

// TestVerdict guards against a bad version that passes, a good one that is found bad or passes on too few requests, and
// a text without the evidence.
func TestVerdict(t *testing.T) {
	old := canary.Counts{Requests: 1000, Latency: count.Histogram{10: 1000}}
	healthy := canary.Counts{Requests: 50, Latency: count.Histogram{10: 50}}
	failing := canary.Counts{Requests: 50, Failures: 20, Latency: count.Histogram{10: 50}}
	doubtful := canary.Counts{Requests: 150, Failures: 1, Latency: count.Histogram{10: 150}}
	slow := canary.Counts{Requests: 50, Latency: count.Histogram{10: 35, 16: 15}}
	tests := []struct {
		name    string
		windows int
		new     canary.Counts
		cold    canary.Counts
		old     canary.Counts
		kind    canary.Kind
		text    string
	}{
		{"too few requests", 2, healthy, canary.Counts{}, old, canary.Undecided, "200 of 300 requests"},
		{"too short", 8, healthy, canary.Counts{}, old, canary.Undecided, "of 1m0s of observation"},
		{"good", 31, healthy, canary.Counts{}, old, canary.GoodEnough, "good enough after 1550 requests"},
		{
			"new version fails, old one does not",
			3,
			failing,
			canary.Counts{},
			old,
			canary.Bad,
			"new 60 of 150, old 0 of 3000",
		},
		{
			"single bad window",
			1,
			failing,
			canary.Counts{},
			old,
			canary.Undecided,
			"new 20 of 50, old 0 of 1000",
		},
		{"doubtful", 4, doubtful, canary.Counts{}, old, canary.Undecided, "clear evidence on"},
		{"slow", 8, slow, canary.Counts{}, old, canary.Bad, "slow calls above 8ms: new 105 of 400"},
		{"failures of cold servers", 6, canary.Counts{}, failing, old, canary.Bad, "new 120 of 300"},
		{
			"failures without an old version",
			20,
			failing,
			canary.Counts{},
			canary.Counts{},
			canary.Bad,
			"new 400 of 1000, old 0 of 0",
		},
		{
			"both versions fail",
			31,
			failing,
			canary.Counts{},
			canary.Counts{Requests: 1000, Failures: 400},
			canary.GoodEnough,
			"evidence",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			test := canary.NewTest(canary.Config{MinRequests: 300})
			test.BeginStep(time.Unix(0, 0), time.Minute)
			at := time.Unix(0, 0)
			for w := range tt.windows {
				at = time.Unix(int64(2*w), 0)
				test.Observe(at, []canary.Sample{{Route: "r", Domain: "d", Old: tt.old, New: tt.new, Cold: tt.cold}})
			}
			v := test.Verdict(at)
			if v.Kind != tt.kind || !strings.Contains(v.Text(), tt.text) {
				t.Errorf("verdict %s, want %s with text %q: %s", v.Kind, tt.kind, tt.text, v.Text())
			}
			if test.Bad() != (v.Kind == canary.Bad) {
				t.Errorf("Bad returns %t for verdict %s", test.Bad(), v.Kind)
			}
		})
	}
}
