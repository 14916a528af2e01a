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
	// MaxSkew is the clock difference from which a controller writes nothing, since the writer's clock decides.
	MaxSkew = time.Second
	// Ramp is the time for which a server that became ready counts as one slot.
	Ramp = time.Minute
	// headroom is the part by which the slots needed exceed the measured mean load, for its variation.
	headroom = 1.5
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Decision is what a controller does about a move now.
	Decision struct {
		Kind     Kind
		Number   int      // with TakeStep
		Share    float64  // with TakeStep
		Reasons  []string // why it waits or halts
		Evidence string
		Urgent   bool // with Halt: the version is bad, so nodes must stop before the log says so
	}

	// Evidence is what is known of a move's traffic.
	Evidence struct {
		Verdict canary.Verdict
		Load    float64      // mean requests in progress at the service, 0 when not known
		Facts   []shunt.Fact // of this move as published
		Halted  bool         // the facts halt the move everywhere
		Missing []string     // failure domains whose counters did not arrive
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

// Decide returns what to do about a move. It is a pure function of its arguments.
func Decide(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time, skew time.Duration) Decision {
	switch {
	case m.Phase == state.PhaseRolledBack,
		m.Phase == state.PhaseCompleted && now.After(m.CompletedAt.Add(hold(&m.Spec))):
		return Decision{Kind: Done}
	case skew.Abs() > MaxSkew:
		return wait(fmt.Sprintf("own clock differs from the peers' median by %s", skew.Round(time.Millisecond)))
	case ev.Halted:
		return halt(ev, factReasons(ev.Facts), true)
	case ev.Verdict.Kind == canary.Bad:
		return halt(ev, []string{"the new version is bad"}, true)
	case m.Phase == state.PhaseCompleted:
		return wait(fmt.Sprintf("hold period until %s", m.CompletedAt.Add(hold(&m.Spec)).Format(time.RFC3339)))
	case !now.Before(m.Spec.Deadline):
		return halt(ev, append([]string{"the deadline has passed"}, missing(ev)...), false)
	case m.Phase == state.PhasePending:
		return first(m, ev, servers, now)
	default:
		return next(m, ev, servers, now)
	}
}

// first decides on a move without a step. The first step needs no evidence, only servers.
func first(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time) Decision {
	if len(servers.New) == 0 {
		reason := fmt.Sprintf("no ready server of version %q", m.Spec.To)
		return waitUntil(latest(&m.Spec, 0), now, ev, reason)
	}
	if now.After(latest(&m.Spec, 0)) {
		return outOfTime(ev, now, latest(&m.Spec, 0), nil)
	}
	share := min(m.Spec.Ladder()[0], capacity(ev, servers, now))
	return Decision{Kind: TakeStep, Number: 1, Share: share, Evidence: capacityText(ev, servers, now)}
}

// next decides on a move with at least one step.
func next(m *state.MoveStatus, ev *Evidence, servers *Servers, now time.Time) Decision {
	last := m.Steps[len(m.Steps)-1]
	end := latest(&m.Spec, last.Share)
	lacks := missing(ev)
	above := rungs(&m.Spec, last.Share)
	if len(above) > 0 {
		if room := capacity(ev, servers, now); room < above[0] {
			lacks = append(
				lacks,
				fmt.Sprintf("servers for a share of %.3g: %s", above[0], capacityText(ev, servers, now)),
			)
		}
	}
	if at := planned(m, last.Share, last.At); now.Before(at) {
		return wait(append(lacks, fmt.Sprintf("planned for %s", at.Format(time.RFC3339)))...)
	}
	if now.After(end) {
		return outOfTime(ev, now, end, lacks)
	}
	if len(lacks) > 0 {
		return wait(lacks...)
	}
	if len(above) == 0 {
		return Decision{Kind: Complete, Evidence: ev.Verdict.Text()}
	}
	return Decision{Kind: TakeStep, Number: last.Number + 1, Share: above[0], Evidence: ev.Verdict.Text()}
}

// missing names the evidence that the next step lacks.
func missing(ev *Evidence) []string {
	var lacks []string
	if ev.Verdict.Kind != canary.GoodEnough {
		lacks = append(lacks, ev.Verdict.Missing...)
	}
	if len(ev.Missing) > 0 {
		lacks = append(lacks, "counters of failure domains "+strings.Join(ev.Missing, ", "))
	}
	return lacks
}

// capacity returns the share of the service's traffic that the new version's ready servers can take.
func capacity(ev *Evidence, servers *Servers, now time.Time) float64 {
	need := needed(ev, servers)
	if need == 0 {
		return 1
	}
	return min(1, float64(usable(servers.New, now))/need)
}

func capacityText(ev *Evidence, servers *Servers, now time.Time) string {
	return fmt.Sprintf("%d usable slots of %.1f needed", usable(servers.New, now), needed(ev, servers))
}

// needed returns the slots for all of the service's traffic: the measured load with headroom, and never more
// than the old version has.
func needed(ev *Evidence, servers *Servers) float64 {
	var slots float64
	for i := range servers.Old {
		slots += float64(max(1, servers.Old[i].Slots))
	}
	load := ev.Load * headroom
	if load > 0 && (slots == 0 || load < slots) {
		return load
	}
	return slots
}

// usable returns the slots of servers, counting one for each server in its ramp.
func usable(servers []shunt.Member, now time.Time) int {
	n := 0
	for i := range servers {
		if now.Sub(servers[i].ReadySince) < Ramp {
			n++
			continue
		}
		n += max(1, servers[i].Slots)
	}
	return n
}

// factReasons names the first facts; every node of the fleet may have added one.
func factReasons(facts []shunt.Fact) []string {
	const most = 5
	reasons := make([]string, 0, most+1)
	for i := range facts {
		if i == most {
			return append(reasons, fmt.Sprintf("%d more facts", len(facts)-most))
		}
		f := &facts[i]
		reasons = append(reasons, fmt.Sprintf("%s by node %s in %s: %s", f.Kind, f.Node, f.Domain, f.Reason))
	}
	return reasons
}

func waitUntil(end, now time.Time, ev *Evidence, reason string) Decision {
	if now.After(end) {
		return outOfTime(ev, now, end, []string{reason})
	}
	return wait(reason)
}

func outOfTime(ev *Evidence, now, end time.Time, lacks []string) Decision {
	if len(lacks) == 0 {
		lacks = []string{"no step was written in time"}
	}
	reason := fmt.Sprintf("no time left: the next step was due by %s, missing: %s",
		end.Format(time.RFC3339), strings.Join(lacks, ", "))
	if late := now.Sub(end); late > conf.SpreadBound {
		reason += fmt.Sprintf(" (found %s late)", late.Round(time.Second))
	}
	return halt(ev, []string{reason}, false)
}

func wait(reasons ...string) Decision { return Decision{Kind: Wait, Reasons: reasons} }

func halt(ev *Evidence, reasons []string, urgent bool) Decision {
	return Decision{Kind: Halt, Reasons: reasons, Evidence: ev.Verdict.Text(), Urgent: urgent}
}
