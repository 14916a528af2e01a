package agent

import (
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/state"
)

type (
	// source implements shunt.RouterSource with the node's current configuration.
	source struct {
		hub   *relay.Hub
		clock clockwork.Clock
	}

	// router routes requests by an immutable configuration and the current facts.
	router struct {
		state *state.State
		source
	}
)

// Router implements shunt.RouterSource.
func (s source) Router() (shunt.Router, error) {
	current, err := s.hub.Serving()
	if err != nil {
		return nil, err
	}
	return router{state: current, source: s}, nil
}

// Offset implements shunt.Router.
func (r router) Offset() shunt.Offset { return r.state.Offset() }

// Route implements shunt.Router.
func (r router) Route(method, path string, draw float64) (shunt.Target, error) {
	return r.state.Target(method, path, draw, r.clock.Now(), r.hub.Halted)
}
