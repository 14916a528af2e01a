package conf

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

type (
	// Context is what validation knows beyond the set. The zero value is for a set that nothing precedes.
	Context struct {
		// Old is the set in force, which is valid. What neither differs from it nor refers to something that
		// does is not checked again, so that the work depends on the size of a change and not on that of the set.
		Old Set
		// At is the time of the publish record. Deadlines are not checked when it is zero.
		At time.Time
		// Active returns the version that carries a service's traffic, empty when the service is new.
		// When Active is nil, all services count as new.
		Active func(service string) string
		// Moves returns the status of a move in Old. When it is nil, moves in Old count as open.
		Moves func(name string) MoveState
		// Capacity returns the problems of taking a failure domain out of service. It is called for each one
		// that is newly out without override. The reduction has no knowledge of servers and leaves it nil; a
		// publisher may set it.
		Capacity func(domain string) []Problem
	}

	// MoveState is what validation needs to know of a published move.
	MoveState struct {
		Open bool      // may still take steps
		Held time.Time // with a completed move: end of the hold period, until which it may be halted
	}

	checker struct {
		Context
		set      Set
		change   Change
		problems []Problem
	}
)

// Validate returns all problems of a set, sorted by object and field.
func Validate(set Set, c Context) []Problem {
	v := &checker{Context: c, set: set, change: Diff(c.Old, set)}
	affected := v.affected()
	for key := range affected {
		if o, ok := set.Get(key); ok {
			v.object(o)
		}
	}
	v.duplicateRoutes()
	v.concurrentMoves(affected)
	v.deletions()
	v.domainsOut()
	sortProblems(v.problems)
	return v.problems
}

// affected returns the keys of all objects that changed or that refer to one.
func (v *checker) affected() map[Key]bool {
	keys := make(map[Key]bool)
	add := func(key Key) {
		keys[key] = true
		users, _ := v.set.users.Get(key)
		for _, k := range users {
			keys[k] = true
		}
	}
	for o := range v.changedObjects() {
		add(o.Key())
	}
	for _, key := range v.change.Deleted {
		add(key)
	}
	return keys
}

// Final reports whether the move can no longer change at a given time.
func (m MoveState) Final(at time.Time) bool { return !m.Open && at.After(m.Held) }

// changedObjects returns the objects of the set that are new or changed.
func (v *checker) changedObjects() iter.Seq[Object] {
	return slices.Values(slices.Concat(v.change.Added, v.change.Changed))
}

func (v *checker) object(o Object) {
	key := o.Key()
	if !validName(o.Name) {
		v.add(key, "name", "%q does not match [a-z0-9][a-z0-9-]{0,62}", o.Name)
	}
	if want := kindOf(o.Spec); want == "" || want != o.Kind {
		v.add(key, "spec", "type %T is not that of the kind", o.Spec)
		return
	}
	switch spec := o.Spec.(type) {
	case *Domain:
		v.domain(key, spec)
	case *Service:
		v.service(key, spec)
	case *Version:
		v.version(key, spec)
	case *Route:
		v.route(key, spec)
	case *Move:
		v.move(key, spec)
	}
}

func (v *checker) domain(key Key, d *Domain) {
	if !validName(d.Region) {
		v.add(key, "region", "%q does not match [a-z0-9][a-z0-9-]{0,62}", d.Region)
	}
	v.oneOf(key, "state", d.State, "", DomainIn, DomainOut)
}

func (v *checker) service(key Key, s *Service) {
	v.oneOf(key, "state", s.State, "", ServiceOpen, ServiceClosing)
	if !v.versionOf(key, "version", s.Version, key.Name) {
		return
	}
	// Traffic would change at once and without a verdict if the version of a known service could be set freely.
	if active := v.active(key.Name); active != "" && active != s.Version && v.changesVersion(key.Name, s) {
		v.add(key, "version", "the active version is %q; a move is needed to change it to %q", active, s.Version)
	}
}

func (v *checker) version(key Key, spec *Version) {
	v.serviceExists(key, spec.Service)
	// An active version is not always referred to by an object, so a change could take it away from its service.
	if old, ok := v.Old.Version(key.Name); ok && old.Service != spec.Service {
		v.add(key, "service", "cannot change from %q to %q", old.Service, spec.Service)
	}
}

func (v *checker) changesVersion(name string, s *Service) bool {
	old, ok := v.Old.Service(name)
	return ok && old.Version != s.Version
}

func (v *checker) active(service string) string {
	if v.Active == nil {
		return ""
	}
	return v.Active(service)
}

func (v *checker) serviceExists(key Key, name string) {
	v.exists(key, "service", Key{KindService, name})
}

// versionOf checks that a field refers to a version of a service.
func (v *checker) versionOf(key Key, field, version, service string) bool {
	if !v.exists(key, field, Key{KindVersion, version}) {
		return false
	}
	spec, ok := v.set.Version(version)
	if ok && spec.Service != service {
		v.add(key, field, "version %q belongs to service %q, not to %q", version, spec.Service, service)
		return false
	}
	return ok
}

func (v *checker) exists(key Key, field string, target Key) bool {
	if target.Name == "" {
		v.add(key, field, "missing")
		return false
	}
	if _, ok := v.set.Get(target); ok {
		return true
	}
	for _, kind := range []Kind{KindDomain, KindService, KindVersion, KindRoute, KindMove} {
		if _, ok := v.set.Get(Key{kind, target.Name}); ok {
			v.add(key, field, "%q is a %s, not a %s", target.Name, kind, target.Kind)
			return false
		}
	}
	if _, ok := v.Old.Get(target); ok {
		v.add(key, field, "%s %q is deleted but still referred to", target.Kind, target.Name)
		return false
	}
	v.add(key, field, "%s %q does not exist", target.Kind, target.Name)
	return false
}

// deletions checks what may not be deleted although no object refers to it.
func (v *checker) deletions() {
	for _, key := range v.change.Deleted {
		o, _ := v.Old.Get(key)
		switch spec := o.Spec.(type) {
		case *Domain:
			if spec.State == DomainOut {
				v.add(o.Key(), "state", "cannot be deleted while it is out: its servers would receive requests again")
			}
		case *Move:
			if !v.moveState(o.Name).Final(v.At) {
				v.add(o.Key(), "name", "cannot be deleted before it is rolled back or its hold period has passed")
			}
		case *Version:
			_, serviceKept := v.set.Service(spec.Service)
			if serviceKept && v.active(spec.Service) == o.Name {
				v.add(o.Key(), "name", "cannot be deleted: it is the active version of service %q", spec.Service)
			}
		}
	}
}

func (v *checker) oneOf(key Key, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(key, field, "%q is not one of %q", value, allowed[1:])
	}
}

func (v *checker) add(key Key, field, format string, args ...any) {
	v.problems = append(v.problems, Problem{key.String(), field, fmt.Sprintf(format, args...)})
}

func validName(name string) bool {
	if name == "" || len(name) > 63 || name[0] == '-' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

func sortProblems(list []Problem) {
	slices.SortFunc(list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Text, b.Text))
	})
}
