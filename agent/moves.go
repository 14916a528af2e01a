package agent

import (
	"context"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/state"
)

type (
	// moves gives the controller and the guard what they need of the configuration.
	moves struct{ hub *relay.Hub }

	// fleetFacts gives the controller the facts of single moves.
	fleetFacts struct{ *relay.Hub }
)

func newFacts(hub *relay.Hub) fleetFacts { return fleetFacts{hub} }

// Offset implements move.States.
func (m moves) Offset() shunt.Offset { return m.hub.Current().Offset() }

// Moves implements move.Moves.
func (m moves) Moves() []state.MoveStatus {
	current := m.hub.Current().Moves()
	list := make([]state.MoveStatus, 0, len(current))
	for _, x := range current {
		list = append(list, *x)
	}
	return list
}

func (m moves) routes(service string) int {
	n := 0
	for _, o := range m.hub.Current().Objects(conf.KindRoute) {
		if r, ok := o.Spec.(*conf.Route); ok && r.Service == service {
			n++
		}
	}
	return n
}

func (m moves) unconfirmed(ctx context.Context, at shunt.Offset) []string {
	var names []string
	for _, d := range m.hub.ReadBack(ctx, at) {
		names = append(names, d.Missing...)
		if d.Unknown > 0 {
			names = append(names, d.Domain)
		}
	}
	return names
}

// Of returns the facts of a move as published at an offset.
func (f fleetFacts) Of(move string, version shunt.Offset) []shunt.Fact {
	var list []shunt.Fact
	for _, x := range f.List() {
		if x.Move == move && x.Version == version {
			list = append(list, x)
		}
	}
	return list
}

// HaltedEverywhere reports whether the facts halt a move on every node.
func (f fleetFacts) HaltedEverywhere(move string, version shunt.Offset) bool {
	stops := make(map[string]bool)
	for _, x := range f.Of(move, version) {
		if x.Kind == shunt.FactHalt {
			return true
		}
		stops[x.Domain] = true
	}
	return len(stops) > 1
}
