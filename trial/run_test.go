package trial_test

import (
	"os"
	"runtime"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"tanagershunt.example/shunt/trial"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// TestMoves guards both errors of the whole decision: a bad version that stays, and a good one that is rolled back
// or late. The baseline runs in the same harness and makes both errors.
func TestMoves(t *testing.T) {
	run := func(p trial.Policy) trial.Summary {
		s := trial.All(trial.Cases(), []uint64{1}, p, runtime.GOMAXPROCS(0))
		for i := range s.Results {
			r := &s.Results[i]
			t.Logf("%-10s %-42s completed=%-5t received=%-6d harmed=%-6d toZero=%-8s %s",
				p, r.Case, r.Completed, r.Received, r.Harmed, r.ToZero, r.Reason)
			if p == trial.Sequential && r.Completed != r.Good {
				t.Errorf("%s: completed=%t", r.Case, r.Completed)
			}
		}
		t.Logf("%s: good on time %.2f, bad rolled back %.2f, received mean %.0f max %d, time to zero mean %s max %s",
			p, s.GoodOnTime, s.BadRolledBack, s.MeanReceived, s.MaxReceived, s.MeanToZero, s.MaxToZero)
		return s
	}
	sequential, timer := run(trial.Sequential), run(trial.Timer)
	if timer.GoodOnTime >= sequential.GoodOnTime || timer.BadRolledBack >= sequential.BadRolledBack {
		t.Error("the baseline is not worse in both errors: the trial does not tell policies apart")
	}
}
