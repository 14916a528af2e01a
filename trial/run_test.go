package trial_test

import (
	"os"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"tanagershunt.example/shunt/trial"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	debug.SetGCPercent(400) // trials allocate much but keep a small heap
	os.Exit(m.Run())
}

// TestMoves guards against both errors of the decision: a bad version that completes, and a good one that is rolled
// back or late. The baseline policy makes both errors in the cases that it is run on here; BenchmarkMoves runs it on
// all cases.
func TestMoves(t *testing.T) {
	cases := trial.Cases()
	run := func(p trial.Policy, cases []trial.Case) trial.Summary {
		s := trial.RunAll(cases, []uint64{1}, p, runtime.GOMAXPROCS(0))
		show(t, &s)
		return s
	}
	all := run(trial.Sequential, cases)
	for i := range all.Results {
		if r := &all.Results[i]; r.Completed != r.Good {
			t.Errorf("%s: completed=%t: %s", r.Case, r.Completed, r.Reason)
		}
	}
	var hard []trial.Case
	for _, c := range cases {
		switch c.Name {
		case "slow on one route of twenty", "fails six times as often", "good, common failures":
			hard = append(hard, c)
		}
	}
	if s := run(trial.Timer, hard); len(hard) != 3 || s.GoodOnTime > 0 || s.BadRolledBack > 0 {
		t.Error("baseline policy decided correctly in cases where it must fail")
	}
}

// BenchmarkMoves compares the policies over all cases and three seeds. Run it with -benchtime 1x.
func BenchmarkMoves(b *testing.B) {
	for _, p := range []trial.Policy{trial.Sequential, trial.Timer} {
		b.Run(string(p), func(b *testing.B) {
			for b.Loop() {
				s := trial.RunAll(trial.Cases(), []uint64{1, 2, 3}, p, runtime.GOMAXPROCS(0))
				if testing.Verbose() {
					show(b, &s)
				}
				b.ReportMetric(s.GoodOnTime, "good-on-time")
				b.ReportMetric(s.BadRolledBack, "bad-rolled-back")
				b.ReportMetric(s.MeanReceived, "received-mean")
				b.ReportMetric(float64(s.MaxReceived), "received-max")
				b.ReportMetric(s.MeanToZero.Seconds(), "s-to-zero-mean")
				b.ReportMetric(s.MaxToZero.Seconds(), "s-to-zero-max")
			}
		})
	}
}

func show(t testing.TB, s *trial.Summary) {
	for i := range s.Results {
		r := &s.Results[i]
		t.Logf("%-10s %-42s seed=%d completed=%-5t received=%-6d harmed=%-6d toZero=%-8s %s",
			s.Policy, r.Case, r.Seed, r.Completed, r.Received, r.Harmed, r.ToZero, r.Reason)
	}
	t.Logf("%s: good on time %.2f, bad rolled back %.2f, received mean %.0f max %d, time to zero mean %s max %s",
		s.Policy, s.GoodOnTime, s.BadRolledBack, s.MeanReceived, s.MaxReceived, s.MeanToZero, s.MaxToZero)
}
