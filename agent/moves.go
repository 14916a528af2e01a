package agent

import (
	"context"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/state"
)

type (
	// moveConfig gives the move controller and the guard access to the current configuration.
	moveConfig struct{ hub *relay.Hub }

	// moveFacts selects the facts about a single move.
	moveFacts struct{ *relay.Hub }
)

func newMoveFacts(hub *relay.Hub) moveFacts { return moveFacts{hub} }

// Offset implements move.StateReader.
func (c moveConfig) Offset() shunt.Offset { return c.hub.Current().Offset() }

// Moves implements move.Lister.
func (c moveConfig) Moves() []state.MoveStatus {
	current := c.hub.Current().Moves()
	list := make([]state.MoveStatus, 0, len(current))
	for _, status := range current {
		list = append(list, *status)
	}
	return list
}

func (c moveConfig) routeCount(service string) int {
	n := 0
	for _, o := range c.hub.Current().Objects(conf.KindRoute) {
		if r, ok := o.Spec.(*conf.Route); ok && r.Service == service {
			n++
		}
	}
	return n
}

// unconfirmed returns the nodes and failure domains that have not confirmed an offset.
func (c moveConfig) unconfirmed(ctx context.Context, at shunt.Offset) []string {
	var names []string
	for _, d := range c.hub.OffsetStatus(ctx, at) {
		names = append(names, d.Missing...)
		if d.Unknown > 0 {
			names = append(names, d.Domain)
		}
	}
	return names
}

// ForMove returns the facts about the version of a move that was published at an offset.
func (f moveFacts) ForMove(move string, version shunt.Offset) []shunt.Fact {
	var list []shunt.Fact
	for _, fact := range f.List() {
		if fact.Move == move && fact.Version == version {
			list = append(list, fact)
		}
	}
	return list
}

// HaltedFleetwide reports whether the facts halt a move on every node: one of them is a halt, or they come from
// more than one failure domain.
func (f moveFacts) HaltedFleetwide(move string, version shunt.Offset) bool {
	domains := make(map[string]bool)
	for _, fact := range f.ForMove(move, version) {
		if fact.Kind == shunt.FactHalt {
			return true
		}
		domains[fact.Domain] = true
	}
	return len(domains) > 1
}
