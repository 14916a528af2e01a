// Package move decides on the steps of version moves, appends them to the log, and stops moves whose new version is
// bad. A move shifts a service's traffic from one version to another in steps; each step raises the share of the new
// version. A halt ends a move and rolls it back. A stop means that one node stops sending requests to the new
// version. Halts and stops are facts, which nodes exchange without the log.
package move

import (
	"fmt"
	"time"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/state"
)

// Durations of a plan.
const (
	// MinStepTime is the minimum time at a share: the bound within which a step takes effect on all nodes, plus half
	// of it for counters to arrive.
	MinStepTime = conf.MaxPropagationTime + conf.MaxPropagationTime/2
	// CompletionMargin is the time before the deadline by which a move must be complete, so that the completion reaches
	// every node before nodes return to the old version on their own.
	CompletionMargin = conf.MaxPropagationTime
	// maxSlack is the maximum time that the plan reserves for late evidence.
	maxSlack = 5 * time.Minute
	// stepLag is the time from a due step until the controller reads it in the configuration.
	stepLag = 2 * ControlInterval
)

// CheckFeasible returns an error if even the shortest plan of a move does not end before its deadline.
func CheckFeasible(spec *conf.Move, now time.Time) error {
	required := CompletionMargin
	for _, share := range spec.ShareSteps() {
		required += minDwell(spec, share) + stepLag
	}
	if available := spec.Deadline.Sub(now); available < required {
		return fmt.Errorf("deadline %s leaves %s, the shortest plan needs %s",
			spec.Deadline.Format(time.RFC3339), available.Round(time.Second), required)
	}
	return nil
}

// higherShares returns the shares of the move's steps above the given share.
func higherShares(spec *conf.Move, share float64) []float64 {
	shares := spec.ShareSteps()
	for i, s := range shares {
		if s > share {
			return shares[i:]
		}
	}
	return nil
}

// latestStepTime returns the time by which the move must leave its share so that the shortest remaining plan still
// meets the deadline, assuming the minimum time at each later share and no stepLag.
func latestStepTime(spec *conf.Move, share float64) time.Time {
	t := spec.Deadline.Add(-CompletionMargin)
	for _, s := range higherShares(spec, share) {
		t = t.Add(-minDwell(spec, s))
	}
	return t
}

// plannedStepTime returns the time at which the move is planned to leave its share. The time from the start of the
// step to the deadline, less CompletionMargin and the slack reserved for late evidence, is divided among the
// remaining steps in proportion to their weights, so that most of it is spent while few requests are exposed, and a
// delay shortens all later steps in proportion.
func plannedStepTime(m *state.MoveStatus, share float64, start time.Time) time.Time {
	spec := &m.Spec
	// The slack is a tenth of the time from the publish to the deadline, at most maxSlack.
	slack := min(maxSlack, spec.Deadline.Sub(m.Published)/10)
	available := spec.Deadline.Add(-CompletionMargin - slack).Sub(start)
	weights := dwellWeight(spec, share)
	for _, s := range higherShares(spec, share) {
		weights += dwellWeight(spec, s)
	}
	dwell := time.Duration(float64(available) * dwellWeight(spec, share) / weights)
	due := min(dwell, latestStepTime(spec, share).Add(-stepLag).Sub(start))
	return start.Add(max(due, minDwell(spec, share)))
}

// minDwell returns the minimum time at a share. MinObserve applies only at the second of ShareSteps, the move's
// MaxShare.
func minDwell(spec *conf.Move, share float64) time.Duration {
	if share != spec.ShareSteps()[1] {
		return MinStepTime
	}
	observe := time.Duration(spec.MinObserve)
	if observe == 0 {
		observe = conf.DefaultMinObserve
	}
	return max(observe, MinStepTime)
}

// dwellWeight returns the weight of a share in the division of the planned time. Most time is planned at the second
// of ShareSteps, the move's MaxShare, so that evidence is gathered while few requests are exposed, and least from 50%
// on.
func dwellWeight(spec *conf.Move, share float64) float64 {
	switch shares := spec.ShareSteps(); {
	case share >= shares[3]:
		return 1
	case share == shares[1]:
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

func holdPeriod(spec *conf.Move) time.Duration {
	if spec.Hold > 0 {
		return time.Duration(spec.Hold)
	}
	return conf.DefaultHold
}
