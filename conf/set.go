package conf

import (
	"bytes"
	"cmp"
	"encoding/json"
	"iter"
	"slices"

	"tanagershunt.example/shunt/pmap"
)

type (
	// Set is an immutable set of objects by key. Its zero value is empty. Objects in a set must not be modified.
	Set struct {
		objects  pmap.Map[Key, Object]
		users    pmap.Map[Key, []Key]       // by key: objects that refer to it
		prefixes pmap.Map[string, []Object] // by prefix: routes
	}

	// Change is the difference between two sets. Its lists are sorted by key.
	Change struct {
		Added   []Object
		Changed []Object // as in the new set
		Deleted []Key
	}
)

// NewSet returns a set of the objects. Of several objects with one key it keeps the last.
func NewSet(objects ...Object) Set {
	var s Set
	for _, o := range objects {
		s = s.With(o)
	}
	return s
}

// Get returns the object with the given key.
func (s Set) Get(key Key) (Object, bool) { return s.objects.Get(key) }

// Len returns the number of objects.
func (s Set) Len() int { return s.objects.Len() }

// With returns a set in which the object replaces the one with its key.
func (s Set) With(o Object) Set {
	s = s.Without(o.Key()).withIndex(o)
	s.objects = s.objects.Set(o.Key(), o)
	return s
}

// Without returns a set without the key.
func (s Set) Without(key Key) Set {
	if old, ok := s.Get(key); ok {
		s = s.withoutIndex(old)
		s.objects = s.objects.Delete(key)
	}
	return s
}

// All returns the objects in no particular order.
func (s Set) All() iter.Seq[Object] {
	return func(yield func(Object) bool) {
		for _, o := range s.objects.All() {
			if !yield(o) {
				return
			}
		}
	}
}

// Objects returns the objects of a kind, sorted by name.
func (s Set) Objects(kind Kind) []Object {
	var list []Object
	for k, o := range s.objects.All() {
		if k.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, byKey)
	return list
}

// Service returns the spec of a service.
func (s Set) Service(name string) (*Service, bool) {
	return lookup[*Service](s, Key{KindService, name})
}

// Version returns the spec of a version.
func (s Set) Version(name string) (*Version, bool) {
	return lookup[*Version](s, Key{KindVersion, name})
}

// Domain returns the spec of a failure domain.
func (s Set) Domain(name string) (*Domain, bool) { return lookup[*Domain](s, Key{KindDomain, name}) }

// Route returns the spec of a route.
func (s Set) Route(name string) (*Route, bool) { return lookup[*Route](s, Key{KindRoute, name}) }

// Move returns the spec of a move.
func (s Set) Move(name string) (*Move, bool) { return lookup[*Move](s, Key{KindMove, name}) }

// Diff returns the changes that lead from one set to another. It is cheap for sets that come from one another.
func Diff(from, to Set) Change {
	var c Change
	for key := range pmap.Candidates(from.objects, to.objects) {
		old, before := from.Get(key)
		o, after := to.Get(key)
		switch {
		case !after:
			c.Deleted = append(c.Deleted, key)
		case !before:
			c.Added = append(c.Added, o)
		case !o.Equal(old):
			c.Changed = append(c.Changed, o)
		}
	}
	slices.SortFunc(c.Added, byKey)
	slices.SortFunc(c.Changed, byKey)
	slices.SortFunc(c.Deleted, Key.Compare)
	return c
}

// Empty reports whether the sets are equal.
func (c Change) Empty() bool { return len(c.Added)+len(c.Changed)+len(c.Deleted) == 0 }

// Equal reports whether two objects have the same JSON form.
func (o Object) Equal(other Object) bool {
	if o == other {
		return true
	}
	a, err := json.Marshal(o)
	if err != nil {
		return false
	}
	b, err := json.Marshal(other)
	return err == nil && bytes.Equal(a, b)
}

// Compare orders keys by kind, then name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

func byKey(a, b Object) int { return a.Key().Compare(b.Key()) }

func lookup[T any](s Set, key Key) (T, bool) {
	o, _ := s.Get(key)
	spec, ok := o.Spec.(T)
	return spec, ok
}
