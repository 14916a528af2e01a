package move

import (
	"fmt"
	"strings"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/state"
)

// Kinds of decisions.
const (
	Wait Kind = iota
	TakeStep
	Complete
	Halt
	Done // the move has ended and needs no controller
)

const (
	// MaxSkew is the clock difference above which a controller appends no records, because the time of a record
	// is taken from the writer's clock.
	MaxSkew = time.Second
	// WarmUpTime is how long a server counts as one slot after it became ready.
	WarmUpTime = time.Minute
	// loadHeadroom is the factor by which the required slots exceed the measured mean load, to allow for its
	// variation.
	loadHeadroom = 1.5
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Decision is a controller's current decision on a move.
	Decision struct {
		Kind     Kind
		Number   int      // set for TakeStep
		Share    float64  // set for TakeStep
		Reasons  []string // reasons for Wait or Halt
		Evidence string
		// Urgent is set for Halt if nodes must stop before the log records it, because the new version is bad or the
		// facts already halt the move.
		Urgent bool
	}

	// Evidence holds the observations of a move's traffic.
	Evidence struct {
		Verdict canary.Verdict
		Load    float64      // mean number of requests in progress at the service, 0 if unknown
		Facts   []shunt.Fact // about this move as published
		Halted  bool         // the facts halt the move on every node
		Missing []string     // failure domains whose counters are missing
	}

	// Servers are the ready servers of a move's two versions.
	Servers struct {
		Old []shunt.Member
		New []shunt.Member
	}
)

func (k Kind) String() string {
	names := [...]string{"wait", "step", "complete", "halt", "done"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Decide returns the decision on a move. It is a pure function of its arguments.
func Decide(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time, skew time.Duration) Decision {
	switch {
	case m.Phase == state.PhaseRolledBack,
		m.Phase == state.PhaseCompleted && now.After(m.CompletedAt.Add(holdPeriod(&m.Spec))):
		return Decision{Kind: Done}
	case skew.Abs() > MaxSkew:
		return waitDecision(fmt.Sprintf("own clock differs from the peers' median by %s", skew.Round(time.Millisecond)))
	case ev.Halted:
		return haltDecision(ev, factReasons(ev.Facts), true)
	case ev.Verdict.Kind == canary.Bad:
		return haltDecision(ev, []string{"the new version is bad"}, true)
	case m.Phase == state.PhaseCompleted:
		return waitDecision(
			fmt.Sprintf("hold period until %s", m.CompletedAt.Add(holdPeriod(&m.Spec)).Format(time.RFC3339)),
		)
	case !now.Before(m.Spec.Deadline):
		return haltDecision(ev, append([]string{"the deadline has passed"}, missingEvidence(ev)...), false)
	case m.Phase == state.PhasePending:
		return decideFirstStep(m, ev, servers, now)
	default:
		return decideNextStep(m, ev, servers, now)
	}
}

// decideFirstStep decides on a move without a step. The first step requires servers of the new version but no
// evidence.
func decideFirstStep(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time) Decision {
	if len(servers.New) == 0 {
		reason := fmt.Sprintf("no ready server of version %q", m.Spec.To)
		return waitOrOutOfTime(latestStepTime(&m.Spec, 0), now, ev, reason)
	}
	if now.After(latestStepTime(&m.Spec, 0)) {
		return outOfTimeDecision(ev, now, latestStepTime(&m.Spec, 0), nil)
	}
	share := min(m.Spec.ShareSteps()[0], capacityShare(ev, servers, now))
	return Decision{Kind: TakeStep, Number: 1, Share: share, Evidence: capacityReason(ev, servers, now)}
}

// decideNextStep decides on a move with at least one step.
func decideNextStep(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time) Decision {
	last := m.Steps[len(m.Steps)-1]
	latest := latestStepTime(&m.Spec, last.Share)
	missing := missingEvidence(ev)
	higher := higherShares(&m.Spec, last.Share)
	if len(higher) > 0 {
		if available := capacityShare(ev, servers, now); available < higher[0] {
			missing = append(
				missing,
				fmt.Sprintf("servers for a share of %.3g: %s", higher[0], capacityReason(ev, servers, now)),
			)
		}
	}
	if planned := plannedStepTime(m, last.Share, last.At); now.Before(planned) {
		return waitDecision(append(missing, fmt.Sprintf("planned for %s", planned.Format(time.RFC3339)))...)
	}
	if now.After(latest) {
		return outOfTimeDecision(ev, now, latest, missing)
	}
	if len(missing) > 0 {
		return waitDecision(missing...)
	}
	if len(higher) == 0 {
		return Decision{Kind: Complete, Evidence: ev.Verdict.Text()}
	}
	return Decision{Kind: TakeStep, Number: last.Number + 1, Share: higher[0], Evidence: ev.Verdict.Text()}
}

// missingEvidence names the evidence that is missing for the next step.
func missingEvidence(ev *Evidence) []string {
	var missing []string
	if ev.Verdict.Kind != canary.GoodEnough {
		missing = append(missing, ev.Verdict.Missing...)
	}
	if len(ev.Missing) > 0 {
		missing = append(missing, "counters of failure domains "+strings.Join(ev.Missing, ", "))
	}
	return missing
}

// capacityShare returns the share of the service's traffic that the ready servers of the new version can take.
func capacityShare(ev *Evidence, servers *Servers, now time.Time) float64 {
	required := requiredSlots(ev, servers)
	if required == 0 {
		return 1
	}
	return min(1, float64(usableSlots(servers.New, now))/required)
}

func capacityReason(ev *Evidence, servers *Servers, now time.Time) string {
	return fmt.Sprintf("%d usable slots of %.1f needed", usableSlots(servers.New, now), requiredSlots(ev, servers))
}

// requiredSlots returns the number of slots for all of the service's traffic: the measured load with headroom, but
// at most the slots of the old version, or the old version's slots when the load is unknown. Without old servers
// there is no upper bound.
func requiredSlots(ev *Evidence, servers *Servers) float64 {
	var slots float64
	for i := range servers.Old {
		slots += float64(max(1, servers.Old[i].Slots))
	}
	load := ev.Load * loadHeadroom
	if load > 0 && (slots == 0 || load < slots) {
		return load
	}
	return slots
}

// usableSlots returns the number of slots of the servers. A server that became ready less than WarmUpTime ago counts
// as one slot.
func usableSlots(servers []shunt.Member, now time.Time) int {
	n := 0
	for i := range servers {
		if now.Sub(servers[i].ReadySince) < WarmUpTime {
			n++
			continue
		}
		n += max(1, servers[i].Slots)
	}
	return n
}

// factReasons describes only the first facts, because every node may have added one.
func factReasons(facts []shunt.Fact) []string {
	const maxReasons = 5
	reasons := make([]string, 0, maxReasons+1)
	for i := range facts {
		if i == maxReasons {
			return append(reasons, fmt.Sprintf("%d more facts", len(facts)-maxReasons))
		}
		f := &facts[i]
		reasons = append(reasons, fmt.Sprintf("%s by node %s in %s: %s", f.Kind, f.Node, f.Domain, f.Reason))
	}
	return reasons
}

// waitOrOutOfTime waits until the latest time of the next step and halts the move after it.
func waitOrOutOfTime(latest, now time.Time, ev *Evidence, reason string) Decision {
	if now.After(latest) {
		return outOfTimeDecision(ev, now, latest, []string{reason})
	}
	return waitDecision(reason)
}

func outOfTimeDecision(ev *Evidence, now, latest time.Time, missing []string) Decision {
	if len(missing) == 0 {
		missing = []string{"no step was written in time"}
	}
	reason := fmt.Sprintf("no time left: the next step was due by %s, missing: %s",
		latest.Format(time.RFC3339), strings.Join(missing, ", "))
	if late := now.Sub(latest); late > conf.MaxPropagationTime {
		reason += fmt.Sprintf(" (found %s late)", late.Round(time.Second))
	}
	return haltDecision(ev, []string{reason}, false)
}

func waitDecision(reasons ...string) Decision { return Decision{Kind: Wait, Reasons: reasons} }

func haltDecision(ev *Evidence, reasons []string, urgent bool) Decision {
	return Decision{Kind: Halt, Reasons: reasons, Evidence: ev.Verdict.Text(), Urgent: urgent}
}
