package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/pmap"
)

type (
	// index finds routes by prefix; that of "/" is the empty text. Each list is replaced, never modified.
	index struct {
		byPrefix pmap.Map[string, []indexed]
	}

	indexed struct {
		name string
		spec *conf.Route
	}
)

// Match returns the route with the longest prefix among those that allow the method. Prefixes match whole
// segments: "/a" matches "/a" and "/a/b" but not "/ab". The path is matched as it is, without cleaning.
func (s *State) Match(method, path string) (string, *conf.Route, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", nil, false
	}
	end := len(path)
	if end > conf.MaxPrefix {
		end = strings.LastIndexByte(path[:conf.MaxPrefix+1], '/')
	}
	for ; end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		list, _ := s.routes.byPrefix.Get(path[:end])
		for _, r := range list {
			if len(r.spec.Methods) == 0 || slices.Contains(r.spec.Methods, method) {
				return r.name, r.spec, true
			}
		}
	}
	return "", nil, false
}

// Target returns the route and version of a request. Draw is uniform in [0, 1). Halted reports whether this node
// knows a halt fact for a move; it may be nil. While a service's last move is open or completed and not
// deleted, the target names it, whichever of its versions is chosen. The error is a *shunt.RouteError.
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

func (x index) with(o conf.Object) index {
	r, ok := o.Spec.(*conf.Route)
	if !ok {
		return x
	}
	key := strings.TrimSuffix(r.Prefix, "/")
	list, _ := x.byPrefix.Get(key)
	return index{x.byPrefix.Set(key, append(slices.Clone(list), indexed{o.Name, r}))}
}

func (x index) without(o conf.Object) index {
	r, ok := o.Spec.(*conf.Route)
	if !ok {
		return x
	}
	key := strings.TrimSuffix(r.Prefix, "/")
	list, _ := x.byPrefix.Get(key)
	list = slices.DeleteFunc(slices.Clone(list), func(i indexed) bool { return i.name == o.Name })
	if len(list) == 0 {
		return index{x.byPrefix.Delete(key)}
	}
	return index{x.byPrefix.Set(key, list)}
}
