package state

import (
	"maps"
	"slices"

	"tanagershunt.example/shunt"
)

func (s *State) dump() *dump {
	d := &dump{
		Moves:    s.Moves(),
		Services: maps.Collect(s.services.All()),
		DomainIn: maps.Collect(s.domainInSince.All()),
	}
	for o := range s.set.All() {
		d.Objects = append(d.Objects, dumpObject{Version: s.Version(o.Key()), Object: o})
	}
	slices.SortFunc(d.Objects, func(a, b dumpObject) int { return a.Object.Key().Compare(b.Object.Key()) })
	for i := s.history.first; i < s.history.next; i++ {
		id, _ := s.history.order.Get(i)
		o, _ := s.history.outcomes.Get(id)
		d.Outcomes = append(d.Outcomes, o)
	}
	return d
}

// restore adds the entries one by one, so that the hash is computed from the decoded data.
func (d *dump) restore(offset shunt.Offset) *State {
	s := new(State)
	if offset != 0 {
		s.setOffset(offset)
	}
	for _, o := range d.Objects {
		s.setObject(o.Object)
		putEntry(&s.hash, "version", &s.versions, o.Object.Key(), o.Version)
	}
	for _, m := range d.Moves {
		if m != nil {
			s.putMove(m)
		}
	}
	for name, t := range d.Services {
		s.putServiceState(name, t)
	}
	for name, at := range d.DomainIn {
		putEntry(&s.hash, "domain", &s.domainInSince, name, at)
	}
	for _, o := range d.Outcomes {
		putEntry(&s.hash, "outcome", &s.history.outcomes, o.ID, o)
		s.history.order = s.history.order.Set(s.history.next, o.ID)
		s.history.next++
	}
	return s
}
