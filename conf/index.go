package conf

import (
	"slices"
	"strings"
)

// domainsKey stands for all failure domains in the index of users.
var domainsKey = Key{Kind: KindDomain}

// Match returns the route with the longest prefix among those that allow the method. Prefixes match whole
// segments: "/a" matches "/a" and "/a/b" but not "/ab". The path is matched as it is, without cleaning.
func (s Set) Match(method, path string) (string, *Route, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", nil, false
	}
	end := len(path)
	if end > MaxPrefix {
		end = strings.LastIndexByte(path[:MaxPrefix+1], '/')
	}
	for ; end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		list, _ := s.prefixes.Get(path[:end])
		for _, o := range list {
			if r, ok := o.Spec.(*Route); ok && r.allows(method) {
				return o.Name, r, true
			}
		}
	}
	return "", nil, false
}

func (r *Route) allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// prefixKey returns the key of a route's prefix in the index of routes; that of "/" is empty.
func prefixKey(prefix string) string { return strings.TrimSuffix(prefix, "/") }

// withIndex adds an object to the indexes.
func (s Set) withIndex(o Object) Set {
	for _, target := range references(o) {
		list, _ := s.users.Get(target)
		s.users = s.users.Set(target, append(slices.Clone(list), o.Key()))
	}
	if r, ok := o.Spec.(*Route); ok {
		list, _ := s.prefixes.Get(prefixKey(r.Prefix))
		s.prefixes = s.prefixes.Set(prefixKey(r.Prefix), append(slices.Clone(list), o))
	}
	return s
}

// withoutIndex removes an object from the indexes.
func (s Set) withoutIndex(o Object) Set {
	for _, target := range references(o) {
		list, _ := s.users.Get(target)
		list = slices.DeleteFunc(slices.Clone(list), func(k Key) bool { return k == o.Key() })
		if s.users = s.users.Set(target, list); len(list) == 0 {
			s.users = s.users.Delete(target)
		}
	}
	if r, ok := o.Spec.(*Route); ok {
		key := prefixKey(r.Prefix)
		list, _ := s.prefixes.Get(key)
		list = slices.DeleteFunc(slices.Clone(list), func(other Object) bool { return other.Name == o.Name })
		if s.prefixes = s.prefixes.Set(key, list); len(list) == 0 {
			s.prefixes = s.prefixes.Delete(key)
		}
	}
	return s
}

// references returns the keys that an object refers to, without repeats.
func references(o Object) []Key {
	switch spec := o.Spec.(type) {
	case *Domain:
		return []Key{domainsKey}
	case *Service:
		return []Key{{KindVersion, spec.Version}}
	case *Version:
		return []Key{{KindService, spec.Service}}
	case *Route:
		return []Key{{KindService, spec.Service}}
	case *Move:
		keys := []Key{{KindService, spec.Service}, {KindVersion, spec.From}}
		if spec.To != spec.From {
			keys = append(keys, Key{KindVersion, spec.To})
		}
		return keys
	default:
		return nil
	}
}

// usersOf returns the objects of a kind that refer to a key, sorted by name.
func (s Set) usersOf(target Key, kind Kind) []Object {
	keys, _ := s.users.Get(target)
	var list []Object
	for _, k := range keys {
		if o, ok := s.Get(k); ok && k.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, byKey)
	return list
}
