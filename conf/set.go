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
		objects        pmap.Map[Key, Object]
		referrers      pmap.Map[Key, []Key]       // keys of the objects that refer to the key
		routesByPrefix pmap.Map[string, []Object] // routes with the prefix
	}

	// Change is the difference between two sets. Its lists are sorted by key.
	Change struct {
		Added   []Object
		Changed []Object // the object in the new set
		Deleted []Key
	}
)

// NewSet returns a set of the objects. If several have the same key, the last one is kept.
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

// With returns a set with the object added, which replaces any object with the same key.
func (s Set) With(o Object) Set {
	s = s.Without(o.Key()).addToIndexes(o)
	s.objects = s.objects.Set(o.Key(), o)
	return s
}

// Without returns a set without the object with the given key.
func (s Set) Without(key Key) Set {
	if old, ok := s.Get(key); ok {
		s = s.removeFromIndexes(old)
		s.objects = s.objects.Delete(key)
	}
	return s
}

// All iterates over the objects in no particular order.
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
	slices.SortFunc(list, compareByKey)
	return list
}

// Service returns the spec of a service.
func (s Set) Service(name string) (*Service, bool) {
	return lookupSpec[*Service](s, Key{KindService, name})
}

// Version returns the spec of a version.
func (s Set) Version(name string) (*Version, bool) {
	return lookupSpec[*Version](s, Key{KindVersion, name})
}

// Domain returns the spec of a failure domain.
func (s Set) Domain(name string) (*Domain, bool) {
	return lookupSpec[*Domain](s, Key{KindDomain, name})
}

// Route returns the spec of a route.
func (s Set) Route(name string) (*Route, bool) { return lookupSpec[*Route](s, Key{KindRoute, name}) }

// Move returns the spec of a move.
func (s Set) Move(name string) (*Move, bool) { return lookupSpec[*Move](s, Key{KindMove, name}) }

// Diff returns the changes from one set to another. It is cheap when one set was derived from the other.
func Diff(from, to Set) Change {
	var c Change
	for key := range pmap.DiffCandidates(from.objects, to.objects) {
		old, existed := from.Get(key)
		object, exists := to.Get(key)
		switch {
		case !exists:
			c.Deleted = append(c.Deleted, key)
		case !existed:
			c.Added = append(c.Added, object)
		case !object.Equal(old):
			c.Changed = append(c.Changed, object)
		}
	}
	slices.SortFunc(c.Added, compareByKey)
	slices.SortFunc(c.Changed, compareByKey)
	slices.SortFunc(c.Deleted, Key.Compare)
	return c
}

// Empty reports whether there are no changes.
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

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

func compareByKey(a, b Object) int { return a.Key().Compare(b.Key()) }

func lookupSpec[T any](s Set, key Key) (T, bool) {
	o, _ := s.Get(key)
	spec, ok := o.Spec.(T)
	return spec, ok
}
