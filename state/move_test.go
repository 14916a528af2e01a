package state

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// TestMove guards against a share that increases too fast, a move that completes too late, and a move that ends
// twice. Each case applies records to a move published at offset 2 with a deadline of 100 s and a hold period of
// 30 s. A record is written as kind and time, for steps also number and share. A "!" marks records that must be
// ignored.
func TestMove(t *testing.T) {
	const firstSteps = "step 1 1 0.01;step 2 2 0.05;step 3 3 0.25;step 4 4 0.5"
	cases := []struct {
		records string
		phase   Phase
		active  string
	}{
		{firstSteps + ";step 5 5 1", PhaseRunning, "v1"},
		{"step 1 1 0.01;!step 2 1 0.02;!step 2 3 0.02;!step 2 0 0.02", PhaseRunning, "v1"},
		{"!step 1 1 0.011;!step 1 2 0.01", PhasePending, "v1"},
		{"step 1 1 0.01;!step 2 2 0.01;!step 2 2 0.06;!step 2 2 -1;step 2 2 0.03;!step 3 3 0.051", PhaseRunning, "v1"},
		{"step 1 1 0.01;!step 0.9 2 0.05;step 1 2 0.05", PhaseRunning, "v1"},
		{"step 99.9 1 0.01;!step 100 2 0.05", PhaseRunning, "v1"},
		{"!other 1", PhasePending, "v1"},
		{"!complete 5;" + firstSteps + ";!complete 5", PhaseRunning, "v1"},
		{firstSteps + ";step 5 5 1;complete 90;!complete 90;!step 91 6 1", PhaseCompleted, "v2"},
		{firstSteps + ";step 5 5 1;!complete 90.1", PhaseRunning, "v1"},
		{"halt 200;!halt 200;!step 1 1 0.01", PhaseRolledBack, "v1"},
		{firstSteps + ";step 5 5 1;halt 6;!complete 7;!step 7 6 1", PhaseRolledBack, "v1"},
		{firstSteps + ";step 5 5 1;complete 10;halt 40;!halt 40", PhaseRolledBack, "v1"},
		{firstSteps + ";step 5 5 1;complete 10;!halt 40.1", PhaseCompleted, "v2"},
	}
	for _, c := range cases {
		s := stateWithMove(t)
		for script := range strings.SplitSeq(c.records, ";") {
			text, ignored := strings.CutPrefix(script, "!")
			next, out, err := s.Apply(s.offset+1, parseMoveRecord(text))
			if err != nil || (out.Verdict == VerdictIgnored) != ignored {
				t.Errorf("%q, record %q: outcome %+v, error %v", c.records, text, out, err)
			}
			s = next
		}
		if m, _ := s.Move("m"); m.Phase != c.phase || s.ActiveVersion("s") != c.active {
			t.Errorf("%q: phase %q, active version %q", c.records, m.Phase, s.ActiveVersion("s"))
		}
	}
}

func parseMoveRecord(text string) []byte {
	var kind string
	var seconds float64
	step := Step{Move: "m", Version: 2}
	_, _ = fmt.Sscan(text, &kind, &seconds, &step.Number, &step.Share)
	return moveRecord(afterEpoch(seconds), map[string]any{
		"step": step, "complete": Complete{Move: "m", Version: 2}, "halt": Halt{Move: "m", Version: 2},
		"other": Halt{Move: "m", Version: 1},
	}[kind])
}

func stateWithMove(tb rapid.TB) *State {
	s := smallState(tb)
	return mustApply(tb, s, publishRecord("move", epoch, s, []conf.Object{conf.New("m", &conf.Move{
		Service: "s", From: "v1", To: "v2", Deadline: afterEpoch(100), Hold: 30e9,
	})}))
}

// applySteps applies steps with the given shares, one per second.
func applySteps(tb rapid.TB, s *State, shares ...float64) *State {
	for n, share := range shares {
		s = mustApply(
			tb,
			s,
			moveRecord(afterEpoch(float64(n)), Step{Move: "m", Version: 2, Number: n + 1, Share: share}),
		)
	}
	return s
}

// TestForkedStates guards against two successors of one state sharing its slice of steps, so that a step applied to one
// changes the other, and against a late halt of a move that resets the active version although a later move has been
// published.
func TestForkedStates(t *testing.T) {
	s := applySteps(t, stateWithMove(t), 0.01, 0.05, 0.25)
	one, other := mustApply(t, s, parseMoveRecord("step 4 4 0.5")), mustApply(t, s, parseMoveRecord("step 4 4 0.3"))
	if m, _ := one.Move("m"); m.Steps[3].Share != 0.5 || other.hash == one.hash {
		t.Error(m.Steps)
	}
	s = mustApply(t, mustApply(t, one, parseMoveRecord("step 5 5 1")), parseMoveRecord("complete 10"))
	s = mustApply(t, s, publishRecord("next", afterEpoch(41), s, []conf.Object{conf.New("n", &conf.Move{
		Service: "s", From: "v2", To: "v1", Deadline: afterEpoch(200),
	})}))
	if end, out, _ := s.Apply(s.offset+1, parseMoveRecord("halt 30")); end.ActiveVersion("s") != "v2" {
		t.Errorf("outcome %+v, active version %q", out, end.ActiveVersion("s"))
	}
}

// TestTarget guards against requests that take the wrong route, or reach the new version of a move that is pending,
// halted, rolled back or past its deadline.
func TestTarget(t *testing.T) {
	s := smallState(t)
	for request, want := range map[[2]string]string{
		{"GET", "/"}: "root", {"GET", "/x/y"}: "root", {"GET", "/ab"}: "root", {"GET", "/a"}: "a", {"POST", "/a/"}: "a",
		{"PUT", "/a/b/c"}: "ab-put", {"GET", "/a/b"}: "a", {"POST", "/ab"}: "", {"GET", "*"}: "", {"GET", ""}: "",
		{"PUT", "/a/b/" + string(make([]byte, 2*conf.MaxPrefixBytes))}: "ab-put",
	} {
		if name, _, ok := s.Match(request[0], request[1]); name != want || ok != (want != "") {
			t.Errorf("%.20q: route %q instead of %q", request, name, want)
		}
	}
	running := applySteps(t, stateWithMove(t), 0.01, 0.05)
	full := applySteps(t, stateWithMove(t), 0.01, 0.05, 0.25, 0.5, 1)
	completed := mustApply(t, full, moveRecord(afterEpoch(90), Complete{Move: "m", Version: 2}))
	rolledBack := mustApply(t, completed, moveRecord(afterEpoch(91), Halt{Move: "m", Version: 2}))
	next := mustApply(t, completed, publishRecord("end", afterEpoch(121), completed, nil, "move/m"))
	closing := mustApply(t, s, publishRecord("close", epoch, s, []conf.Object{
		conf.New("s", &conf.Service{Version: "v1", State: conf.ServiceClosing}),
	}))
	for i, c := range []struct {
		s      *State
		draw   float64
		at     float64
		halted bool
		want   string // version and move
	}{
		{s, 0, 0, false, "v1 "},
		{stateWithMove(t), 0, 0, false, "v1 m"},
		{running, 0.049, 99.9, false, "v2 m"},
		{running, 0.05, 99.9, false, "v1 m"},
		{running, 0, 100, false, "v1 m"},
		{running, 0, 50, true, "v1 m"},
		{full, 0.999, 99.9, false, "v2 m"},
		{full, 0, 100, false, "v1 m"},
		{completed, 0.999, 100, false, "v2 m"},
		{completed, 0, 100, true, "v1 m"},
		{rolledBack, 0, 100, false, "v1 "},
		{next, 0.999, 200, true, "v2 "},
		{closing, 0, 0, false, `no target for GET "/a": service "s" is closing`},
	} {
		got, err := c.s.Target("GET", "/a", c.draw, afterEpoch(c.at), func(move string, version shunt.Offset) bool {
			return c.halted && move == "m" && version == 2
		})
		text := got.Version + " " + got.Move
		var refused *shunt.RouteError
		if errors.As(err, &refused) {
			text = err.Error()
		}
		contract := shunt.RoutePolicy{Repeatable: true, Class: shunt.ClassUrgent, Timeout: conf.DefaultTimeout}
		if text != c.want || err == nil && (got.Contract != contract || got.Service != "s" || got.Route != "a") {
			t.Errorf("case %d: %+v, error %v instead of %q", i, got, err, c.want)
		}
	}
	if _, err := s.Target("PUT", "/ab", 0, epoch, nil); !errors.As(err, new(*shunt.RouteError)) {
		t.Errorf("request without route: error %v", err)
	}
}
