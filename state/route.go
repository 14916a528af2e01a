package state

import (
	"fmt"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// Match returns the route with the longest prefix among those that allow the method. Prefixes match whole
// segments: "/a" matches "/a" and "/a/b" but not "/ab". The path is not cleaned before matching.
func (s *State) Match(method, path string) (string, *conf.Route, bool) {
	return s.set.Match(method, path)
}

// Target returns the route and version of a request. draw is a random number, uniform in [0, 1). halted reports
// whether a fact received by this node forbids traffic to the new version of a move; it may be nil. While a
// service's last move is open or completed and not deleted, the target includes its name, whichever version is
// selected. The error is a *shunt.RouteError.
func (s *State) Target(
	method, path string, draw float64, now time.Time, halted func(move string, version shunt.Offset) bool,
) (shunt.Target, error) {
	name, route, ok := s.Match(method, path)
	if !ok {
		return shunt.Target{}, &shunt.RouteError{Method: method, Path: path, Reason: "no route matches"}
	}
	if s.Closing(route.Service) {
		reason := fmt.Sprintf("service %q is closing", route.Service)
		return shunt.Target{}, &shunt.RouteError{Method: method, Path: path, Reason: reason}
	}
	t := shunt.Target{
		Service: route.Service, Route: name, Version: s.ActiveVersion(route.Service), Contract: route.Contract(),
	}
	m, ok := s.LastMove(route.Service)
	if !ok || m.Phase == PhaseRolledBack {
		return t, nil
	}
	t.Move, t.Version = m.Name, m.Spec.From
	if (halted == nil || !halted(m.Name, m.Version)) && draw < m.Share(now) {
		t.Version = m.Spec.To
	}
	return t, nil
}
