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
		DomainIn: maps.Collect(s.domainIn.All()),
	}
	for o := range s.set.All() {
		d.Objects = append(d.Objects, dumpObject{Version: s.Version(o.Key()), Object: o})
	}
	slices.SortFunc(d.Objects, func(a, b dumpObject) int { return a.Object.Key().Compare(b.Object.Key()) })
	for i := s.seen.first; i < s.seen.next; i++ {
		id, _ := s.seen.order.Get(i)
		o, _ := s.seen.outcomes.Get(id)
		d.Outcomes = append(d.Outcomes, o)
	}
	return d
}

// restore builds the state entry by entry, so that its hash is computed from what was read.
func (d *dump) restore(offset shunt.Offset) *State {
	s := new(State)
	if offset != 0 {
		s.setOffset(offset)
	}
	for _, o := range d.Objects {
		s.setObject(o.Object)
		put(&s.hash, "version", &s.versions, o.Object.Key(), o.Version)
	}
	for _, m := range d.Moves {
		if m != nil {
			s.putMove(m)
		}
	}
	for name, t := range d.Services {
		s.putTraffic(name, t)
	}
	for name, at := range d.DomainIn {
		put(&s.hash, "domain", &s.domainIn, name, at)
	}
	for _, o := range d.Outcomes {
		put(&s.hash, "outcome", &s.seen.outcomes, o.ID, o)
		s.seen.order = s.seen.order.Set(s.seen.next, o.ID)
		s.seen.next++
	}
	return s
}
