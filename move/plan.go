// Package move decides and writes the steps of moves, and stops moves whose new version is bad.
package move

import (
	"fmt"
	"time"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/state"
)

// Times of a plan.
const (
	// MinStep is the least time at a share: the bound within which a step is in force everywhere, and half as
	// much again for counters to arrive.
	MinStep = conf.SpreadBound + conf.SpreadBound/2
	// Margin is the time before the deadline by which a move must be complete, so that the completion is known
	// everywhere before nodes return to the old version on their own.
	Margin = conf.SpreadBound
	// maxSlack bounds the time that the plan leaves unused for evidence that comes late.
	maxSlack = 5 * time.Minute
	// lag is the time from a due step to the controller's seeing it in the configuration.
	lag = 2 * ControlEvery
)

// Feasible returns an error when even the shortest plan of a move does not end before its deadline.
func Feasible(spec *conf.Move, now time.Time) error {
	need := Margin
	for _, share := range spec.Ladder() {
		need += minDwell(spec, share) + lag
	}
	if left := spec.Deadline.Sub(now); left < need {
		return fmt.Errorf("deadline %s leaves %s, the shortest plan needs %s",
			spec.Deadline.Format(time.RFC3339), left.Round(time.Second), need)
	}
	return nil
}

// rungs returns the shares of the ladder above a share.
func rungs(spec *conf.Move, share float64) []float64 {
	ladder := spec.Ladder()
	for i, s := range ladder {
		if s > share {
			return ladder[i:]
		}
	}
	return nil
}

// latest returns the time by which the move must leave its share for the shortest remaining plan to fit.
func latest(spec *conf.Move, share float64) time.Time {
	t := spec.Deadline.Add(-Margin)
	for _, s := range rungs(spec, share) {
		t = t.Add(-minDwell(spec, s))
	}
	return t
}

// planned returns the time at which the move leaves its share by plan. The time from the beginning of the step
// to the deadline is divided by the weights of the remaining shares, so that most of it is spent where few
// requests are exposed, and a delay shortens all later steps alike.
func planned(m *state.MoveStatus, share float64, begun time.Time) time.Time {
	spec := &m.Spec
	slack := min(maxSlack, spec.Deadline.Sub(m.Published)/10)
	available := spec.Deadline.Add(-Margin - slack).Sub(begun)
	weights := weight(spec, share)
	for _, s := range rungs(spec, share) {
		weights += weight(spec, s)
	}
	dwell := time.Duration(float64(available) * weight(spec, share) / weights)
	due := min(dwell, latest(spec, share).Add(-lag).Sub(begun))
	return begun.Add(max(due, minDwell(spec, share)))
}

// minDwell returns the least time at a share.
func minDwell(spec *conf.Move, share float64) time.Duration {
	if share != spec.Ladder()[1] {
		return MinStep
	}
	observe := time.Duration(spec.MinObserve)
	if observe == 0 {
		observe = conf.DefaultMinObserve
	}
	return max(observe, MinStep)
}

func weight(spec *conf.Move, share float64) float64 {
	switch ladder := spec.Ladder(); {
	case share >= ladder[3]:
		return 1
	case share == ladder[1]:
		return 4
	default:
		return 2
	}
}

func minRequests(spec *conf.Move) uint64 {
	if spec.MinRequests > 0 {
		return uint64(spec.MinRequests)
	}
	return conf.DefaultMinRequests
}

func hold(spec *conf.Move) time.Duration {
	if spec.Hold > 0 {
		return time.Duration(spec.Hold)
	}
	return conf.DefaultHold
}
