package conf

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

type (
	// ValidationState is the state outside the set that validation depends on. Its zero value is for a first set.
	ValidationState struct {
		// Old is the set in force, which is valid. Objects that are unchanged and refer only to unchanged objects are
		// not checked again, so the cost depends on the size of the change and not on that of the set.
		Old Set
		// At is the time of the publish record. Deadlines are not checked when it is zero.
		At time.Time
		// Active returns the version that receives a service's traffic, empty for a new service. When Active is nil,
		// all services count as new.
		Active func(service string) string
		// Moves returns the status of a move in Old. When it is nil, moves in Old count as open.
		Moves func(name string) MoveState
		// Capacity returns the problems of taking a failure domain out of service. It is called for each domain that
		// the change takes out without override. It may be set only to check a publish before it is appended, and is
		// nil while log records are applied, since the servers are not known there.
		Capacity func(domain string) []Problem
	}

	// MoveState is the state of a published move.
	MoveState struct {
		Open bool      // may still step to another share
		Held time.Time // for a completed move: end of the hold period, until which it may be halted
	}

	validator struct {
		ValidationState
		set      Set
		change   Change
		problems []Problem
	}
)

// Validate returns the problems that the change from state.Old to set introduces, sorted by object, field and text.
func Validate(set Set, state ValidationState) []Problem {
	v := &validator{ValidationState: state, set: set, change: Diff(state.Old, set)}
	affected := v.affectedKeys()
	for key := range affected {
		if object, ok := set.Get(key); ok {
			v.checkObject(object)
		}
	}
	v.checkDuplicateRoutes()
	v.checkConcurrentMoves(affected)
	v.checkDeletions()
	v.checkDomainsInService()
	sortProblems(v.problems)
	return v.problems
}

// affectedKeys returns the keys of all objects that changed or that refer to a changed or deleted one.
func (v *validator) affectedKeys() map[Key]bool {
	keys := make(map[Key]bool)
	add := func(key Key) {
		keys[key] = true
		referrers, _ := v.set.referrers.Get(key)
		for _, k := range referrers {
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

// Final reports whether the state of the move can no longer change at the given time.
func (m MoveState) Final(at time.Time) bool { return !m.Open && at.After(m.Held) }

// changedObjects returns the objects of the set that are new or changed.
func (v *validator) changedObjects() iter.Seq[Object] {
	return slices.Values(slices.Concat(v.change.Added, v.change.Changed))
}

func (v *validator) checkObject(object Object) {
	key := object.Key()
	if !validName(object.Name) {
		v.report(key, "name", "%q does not match [a-z0-9][a-z0-9-]{0,62}", object.Name)
	}
	if want := kindOf(object.Spec); want == "" || want != object.Kind {
		v.report(key, "spec", "type %T is not that of the kind", object.Spec)
		return
	}
	switch spec := object.Spec.(type) {
	case *Domain:
		v.checkDomain(key, spec)
	case *Service:
		v.checkService(key, spec)
	case *Version:
		v.checkVersion(key, spec)
	case *Route:
		v.checkRoute(key, spec)
	case *Move:
		v.checkMove(key, spec)
	}
}

func (v *validator) checkDomain(key Key, domain *Domain) {
	if !validName(domain.Region) {
		v.report(key, "region", "%q does not match [a-z0-9][a-z0-9-]{0,62}", domain.Region)
	}
	v.checkOneOf(key, "state", domain.State, "", DomainIn, DomainOut)
}

func (v *validator) checkService(key Key, s *Service) {
	v.checkOneOf(key, "state", s.State, "", ServiceOpen, ServiceClosing)
	if !v.checkVersionOf(key, "version", s.Version, key.Name) {
		return
	}
	// Changing the version of an existing service directly would shift all its traffic at once, without the gradual
	// shares and checks of a move.
	if active := v.activeVersion(key.Name); active != "" && active != s.Version && v.versionChanged(key.Name, s) {
		v.report(key, "version", "the active version is %q; a move is needed to change it to %q", active, s.Version)
	}
}

func (v *validator) checkVersion(key Key, spec *Version) {
	v.checkServiceExists(key, spec.Service)
	// After a completed move is deleted, possibly no object refers to the active version, so checkVersionOf would not
	// detect that it was assigned to another service.
	if old, ok := v.Old.Version(key.Name); ok && old.Service != spec.Service {
		v.report(key, "service", "cannot change from %q to %q", old.Service, spec.Service)
	}
}

func (v *validator) versionChanged(name string, s *Service) bool {
	old, ok := v.Old.Service(name)
	return ok && old.Version != s.Version
}

func (v *validator) activeVersion(service string) string {
	if v.Active == nil {
		return ""
	}
	return v.Active(service)
}

func (v *validator) checkServiceExists(key Key, name string) {
	v.checkExists(key, "service", Key{KindService, name})
}

// checkVersionOf checks that a field refers to a version of a service.
func (v *validator) checkVersionOf(key Key, field, version, service string) bool {
	if !v.checkExists(key, field, Key{KindVersion, version}) {
		return false
	}
	spec, ok := v.set.Version(version)
	if ok && spec.Service != service {
		v.report(key, field, "version %q belongs to service %q, not to %q", version, spec.Service, service)
		return false
	}
	return ok
}

func (v *validator) checkExists(key Key, field string, target Key) bool {
	if target.Name == "" {
		v.report(key, field, "missing")
		return false
	}
	if _, ok := v.set.Get(target); ok {
		return true
	}
	for _, kind := range []Kind{KindDomain, KindService, KindVersion, KindRoute, KindMove} {
		if _, ok := v.set.Get(Key{kind, target.Name}); ok {
			v.report(key, field, "%q is a %s, not a %s", target.Name, kind, target.Kind)
			return false
		}
	}
	if _, ok := v.Old.Get(target); ok {
		v.report(key, field, "%s %q is deleted but still referred to", target.Kind, target.Name)
		return false
	}
	v.report(key, field, "%s %q does not exist", target.Kind, target.Name)
	return false
}

// checkDeletions reports objects that may not be deleted although no other object refers to them.
func (v *validator) checkDeletions() {
	for _, key := range v.change.Deleted {
		o, _ := v.Old.Get(key)
		switch spec := o.Spec.(type) {
		case *Domain:
			if spec.State == DomainOut {
				v.report(
					o.Key(),
					"state",
					"cannot be deleted while it is out: its servers would receive requests again",
				)
			}
		case *Move:
			if !v.moveState(o.Name).Final(v.At) {
				v.report(o.Key(), "name", "cannot be deleted before it is rolled back or its hold period has passed")
			}
		case *Version:
			_, serviceKept := v.set.Service(spec.Service)
			if serviceKept && v.activeVersion(spec.Service) == o.Name {
				v.report(o.Key(), "name", "cannot be deleted: it is the active version of service %q", spec.Service)
			}
		}
	}
}

func (v *validator) checkOneOf(key Key, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.report(key, field, "%q is not one of %q", value, allowed[1:])
	}
}

func (v *validator) report(key Key, field, format string, args ...any) {
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
