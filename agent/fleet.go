package agent

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/server"
	"tanagershunt.example/shunt/state"
)

// operatorBackend provides the operator API with this node's view of the fleet. It implements admin.Node.
type operatorBackend struct {
	view
	reporter *counterReporter
	history  *history
	meter    *meter
	clock    clockwork.Clock
}

// State implements admin.Node.
func (b *operatorBackend) State() *state.State { return b.Hub.Current() }

// WaitForOffset implements admin.Node.
func (b *operatorBackend) WaitForOffset(ctx context.Context, offset shunt.Offset) error {
	return b.Hub.WaitForOffset(ctx, offset)
}

// InForce implements admin.Node.
func (b *operatorBackend) InForce(ctx context.Context, offset shunt.Offset) (opapi.InForce, error) {
	response := opapi.InForce{Offset: offset}
	for _, d := range b.Hub.OffsetStatus(ctx, offset) {
		response.InForce += d.InForce
		response.Total += d.InForce + len(d.Missing) + d.Unknown
		response.Missing = append(response.Missing, d.Missing...)
		if d.Unknown > 0 {
			response.Unknown = append(response.Unknown, fmt.Sprintf("%s (%d nodes)", d.Domain, d.Unknown))
		}
	}
	return response, nil
}

// Moves implements admin.Node.
func (b *operatorBackend) Moves() []opapi.Move {
	status := b.Hub.Status()
	now := b.clock.Now()
	moves := []opapi.Move{}
	for _, m := range b.Hub.Current().Moves() {
		entry := opapi.Move{MoveStatus: *m, Share: m.Share(now)}
		if b.Hub.Halted(m.Name, m.Version) {
			entry.Share = 0
		}
		entry.Statement, entry.Final = b.statement(m, status, now)
		moves = append(moves, entry)
	}
	return moves
}

// statement describes the state of a move and reports whether it is final. Only a record in the log ends a move, so the
// statement of a node that cannot read the log says that an open move is undecided. A completed move is not final while
// the log is unreachable.
func (b *operatorBackend) statement(m *state.MoveStatus, status relay.Status, now time.Time) (string, bool) {
	halted := b.Hub.Halted(m.Name, m.Version)
	switch {
	case m.Phase == state.PhaseRolledBack:
		return fmt.Sprintf("rolled back at %s because of %s", m.EndedAt.Format(time.RFC3339), m.Reason), true
	case m.Phase == state.PhaseCompleted && halted:
		return "stopped by this node after completion, not yet confirmed in the log", false
	case m.Phase == state.PhaseCompleted:
		text := "completed at " + m.CompletedAt.Format(time.RFC3339)
		if now.Before(m.HeldUntil()) || status.LogDownFor > 0 {
			return fmt.Sprintf("%s, can be rolled back until %s", text, m.HeldUntil().Format(time.RFC3339)), false
		}
		return text, true
	case status.LogDownFor > 0:
		return fmt.Sprintf(
			"undecided, log unreachable since %s",
			now.Add(-status.LogDownFor).Format(time.RFC3339),
		), false
	case halted:
		return "stopped by this node, not yet confirmed in the log", false
	case !now.Before(m.Spec.Deadline):
		return "deadline passed, rollback not yet confirmed in the log", false
	default:
		return string(m.Phase), false
	}
}

// Status implements admin.Node.
func (b *operatorBackend) Status() opapi.Status {
	hub := b.Hub.Status()
	current := b.Hub.Current()
	self := b.Table.Self()
	s := opapi.Status{
		Node:         self.Control,
		Domain:       self.Domain,
		Offset:       hub.Offset,
		Hash:         hub.Hash,
		Serving:      hub.Waiting == "",
		Waiting:      hub.Waiting,
		Domains:      b.domains(current),
		Configured:   current.Set().Len(),
		GeneratedAt:  b.clock.Now().UTC(),
		ServerStatus: serverSummary(b.Server.Current()),
	}
	if hub.LogDownFor > 0 {
		s.LogStaleFor = hub.LogDownFor.Round(time.Second).String()
	}
	for _, m := range current.Moves() {
		if m.Open() {
			s.OpenMoves++
		}
	}
	return s
}

func (b *operatorBackend) domains(current *state.State) []opapi.Domain {
	unreachable := b.Table.Unreachable()
	byName := make(map[string]*opapi.Domain)
	domain := func(name string) *opapi.Domain {
		if byName[name] == nil {
			byName[name] = &opapi.Domain{Name: name, State: "in", Unreachable: slices.Contains(unreachable, name)}
		}
		return byName[name]
	}
	for _, o := range current.Objects(conf.KindDomain) {
		domain(o.Name)
	}
	for _, m := range b.members() {
		if m.Status == shunt.StatusDead {
			continue
		}
		d := domain(m.Domain)
		d.Nodes++
		switch {
		case m.Status == shunt.StatusSuspect:
			d.Suspect++
		case m.Status == shunt.StatusLeaving:
			d.Leaving++
		case m.Ready:
			d.Ready++
		}
	}
	list := make([]opapi.Domain, 0, len(byName))
	for name, d := range byName {
		switch {
		case current.DomainOut(name):
			d.State = "out by operators"
		case d.Unreachable:
			d.State = "unreachable, not by operators"
		}
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b opapi.Domain) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (b *operatorBackend) members() []shunt.Member {
	return b.Table.ChangesSince(member.Query{}).Members
}

// CapacityProblems implements admin.Node.
func (b *operatorBackend) CapacityProblems(domains []string) []conf.Problem {
	var problems []conf.Problem
	for _, o := range b.Hub.Current().Objects(conf.KindService) {
		servers := b.Table.Servers(o.Name, "")
		if slices.ContainsFunc(servers, func(m shunt.Member) bool { return !slices.Contains(domains, m.Domain) }) {
			continue
		}
		for _, d := range domains {
			if !slices.ContainsFunc(servers, func(m shunt.Member) bool { return m.Domain == d }) {
				continue
			}
			problems = append(problems, conf.Problem{
				Object: conf.Key{Kind: conf.KindDomain, Name: d}.String(),
				Field:  "state",
				Text: fmt.Sprintf(
					"service %q would lose all of its %d ready servers; set override to take it out anyway",
					o.Name,
					len(servers),
				),
			})
		}
	}
	return problems
}

// Dump implements admin.Node.
func (b *operatorBackend) Dump() any { return b.dump() }

// WriteMetrics implements admin.Node.
func (b *operatorBackend) WriteMetrics(w io.Writer) { b.meter.write(w) }

// History implements admin.Node.
func (b *operatorBackend) History() opapi.History { return b.history.list() }

func serverSummary(r server.Record) string {
	switch {
	case r.Service == "":
		return "none announced"
	case r.Leaving:
		return fmt.Sprintf("%s %s leaving", r.Service, r.Version)
	case !r.Ready:
		return fmt.Sprintf("%s %s not ready", r.Service, r.Version)
	default:
		return fmt.Sprintf("%s %s ready", r.Service, r.Version)
	}
}
