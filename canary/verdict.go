package canary

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"tanagershunt.example/shunt/count"
)

// Kinds of verdicts.
const (
	Undecided Kind = iota
	GoodEnough
	Bad
)

// Names of the two tests.
const (
	TestFailures = "failures"
	TestSlow     = "slow calls"
)

// undecidedShare is the share of the limit, in logarithms, at which the evidence delays the next step although the
// version is not bad.
const undecidedShare = 0.75

// maxListed is the maximum number of figures or routes in a text, because texts are stored in records.
const maxListed = 5

type (
	// Kind is the kind of a verdict.
	Kind uint8

	// Verdict is the result of the test at one time. GoodEnough means good enough for the next step.
	Verdict struct {
		Kind     Kind
		Missing  []string // conditions not met yet, if Undecided
		Requests uint64   // in this step, to warm servers of the new version
		Figures  []Figure // largest evidence relative to its limit first
	}

	// Figure is the evidence of one test on one route.
	Figure struct {
		Route       string
		Test        string
		OldRequests uint64
		OldEvents   uint64
		NewRequests uint64
		NewEvents   uint64
		Log10       float64 // logarithm of the evidence against the new version
		Limit10     float64 // at which the version is bad
		// Threshold is the latency above which a request is slow, for TestSlow. It is 0 for all routes combined, because
		// each route is compared with its own threshold.
		Threshold time.Duration
	}
)

func (k Kind) String() string {
	switch k {
	case Undecided:
		return "undecided"
	case GoodEnough:
		return "good enough"
	case Bad:
		return "bad"
	default:
		return "invalid"
	}
}

// Bad reports whether the new version is bad. It is cheaper than Verdict.
func (t *Test) Bad() bool {
	if t.all.bad(t.alarmLevel(-1), t.cfg.SlowShare) {
		return true
	}
	for i, r := range t.routes {
		if r.bad(t.alarmLevel(i), t.cfg.SlowShare) {
			return true
		}
	}
	return false
}

// Verdict returns the verdict at the given time. Bad is final only if the caller acts on it, because the evidence may
// decrease again.
func (t *Test) Verdict(now time.Time) Verdict {
	v := Verdict{Requests: t.step.requests, Figures: t.figures()}
	for i := range v.Figures {
		f := &v.Figures[i]
		switch {
		case f.Test == TestSlow && float64(f.NewEvents) < t.cfg.SlowShare*float64(f.NewRequests):
		case f.Log10 >= f.Limit10:
			v.Kind = Bad
		case f.Log10 >= undecidedShare*f.Limit10:
			if len(v.Missing) < maxListed {
				v.Missing = append(v.Missing, "clear evidence on "+f.String())
			}
		}
	}
	if v.Kind == Bad {
		v.Missing = nil
		return v
	}
	if t.step.requests < t.cfg.MinRequests {
		v.Missing = append(v.Missing, fmt.Sprintf("%d of %d requests to the new version in this step",
			t.cfg.MinRequests-t.step.requests, t.cfg.MinRequests))
	}
	if elapsed := now.Sub(t.step.startedAt); elapsed < t.step.minObserve {
		v.Missing = append(v.Missing, fmt.Sprintf("%s of %s of observation",
			(t.step.minObserve-elapsed).Round(time.Second), t.step.minObserve))
	}
	if len(v.Missing) == 0 {
		v.Kind = GoodEnough
	}
	return v
}

// Text returns the verdict and its evidence on one line.
func (v *Verdict) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s after %d requests in this step", v.Kind, v.Requests)
	if len(v.Missing) > 0 {
		fmt.Fprintf(&b, "; missing: %s", strings.Join(v.Missing, ", "))
	}
	for i := range v.Figures {
		if f := &v.Figures[i]; i == 0 || (i < maxListed && f.Log10 >= f.Limit10) {
			fmt.Fprintf(&b, "; %s", f)
		}
	}
	if names := v.untestedRoutes(); len(names) > 0 {
		if more := len(names) - maxListed; more > 0 {
			names = append(names[:maxListed], fmt.Sprintf("%d more", more))
		}
		fmt.Fprintf(&b, "; no request to the new version on: %s", strings.Join(names, ", "))
	}
	return b.String()
}

func (f *Figure) String() string {
	test := f.Test
	if f.Threshold > 0 {
		test = fmt.Sprintf("%s above %s", f.Test, f.Threshold)
	}
	return fmt.Sprintf("route %s, %s: new %d of %d, old %d of %d, evidence 10^%.1f, limit 10^%.1f",
		f.Route, test, f.NewEvents, f.NewRequests, f.OldEvents, f.OldRequests, f.Log10, f.Limit10)
}

func (v *Verdict) untestedRoutes() []string {
	var names []string
	for i := range v.Figures {
		if f := &v.Figures[i]; f.Test == TestFailures && f.NewRequests == 0 && f.Route != allRoutes {
			names = append(names, f.Route)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Test) figures() []Figure {
	list := make([]Figure, 0, 2*len(t.routes)+2)
	list = t.all.figures(list, t.alarmLevel(-1), 0, t.all.old.Latency.Total() >= minHistory)
	for i, r := range t.routes {
		bucket, hasThreshold := r.threshold()
		list = r.figures(list, t.alarmLevel(i), count.BucketBound(bucket+t.cfg.SlowMargin), hasThreshold)
	}
	slices.SortStableFunc(list, func(a, b Figure) int { return cmp.Compare(b.Log10-b.Limit10, a.Log10-a.Limit10) })
	return list
}

func (r *route) bad(alarmLevel, slowShare float64) bool {
	return r.failures.logEvidence() >= alarmLevel ||
		float64(r.newSlow) >= slowShare*float64(r.new.Requests) && r.slow.logEvidence() >= alarmLevel
}

// figures appends the figures of one route.
func (r *route) figures(list []Figure, alarmLevel float64, threshold time.Duration, slow bool) []Figure {
	f := Figure{
		Route: r.name, Test: TestFailures,
		OldRequests: r.old.Requests, OldEvents: r.old.Failures,
		NewRequests: r.new.Requests, NewEvents: r.new.Failures,
		Log10: r.failures.logEvidence() / math.Ln10, Limit10: alarmLevel / math.Ln10,
	}
	list = append(list, f)
	if slow {
		f.Test, f.Threshold = TestSlow, threshold
		f.OldEvents, f.NewEvents = r.oldSlow, r.newSlow
		f.Log10 = r.slow.logEvidence() / math.Ln10
		list = append(list, f)
	}
	return list
}
