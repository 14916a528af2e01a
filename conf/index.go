package conf

import (
	"slices"
	"strings"
)

// allDomainsKey is the key in the index of referrers under which all failure domains are listed.
var allDomainsKey = Key{Kind: KindDomain}

// Match returns the route with the longest matching prefix among those that allow the method. Prefixes match whole
// segments: "/a" matches "/a" and "/a/b" but not "/ab". The path is not normalized.
func (s Set) Match(method, path string) (string, *Route, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", nil, false
	}
	segmentEnd := len(path)
	if segmentEnd > MaxPrefixBytes {
		segmentEnd = strings.LastIndexByte(path[:MaxPrefixBytes+1], '/')
	}
	for ; segmentEnd >= 0; segmentEnd = strings.LastIndexByte(path[:segmentEnd], '/') {
		routes, _ := s.routesByPrefix.Get(path[:segmentEnd])
		for _, object := range routes {
			if r, ok := object.Spec.(*Route); ok && r.allows(method) {
				return object.Name, r, true
			}
		}
	}
	return "", nil, false
}

func (r *Route) allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// prefixKey returns the key of a route's prefix in the index of routes. The key of "/" is empty.
func prefixKey(prefix string) string { return strings.TrimSuffix(prefix, "/") }

// addToIndexes returns a set whose indexes include the object.
func (s Set) addToIndexes(object Object) Set {
	for _, target := range references(object) {
		list, _ := s.referrers.Get(target)
		s.referrers = s.referrers.Set(target, append(slices.Clone(list), object.Key()))
	}
	if r, ok := object.Spec.(*Route); ok {
		list, _ := s.routesByPrefix.Get(prefixKey(r.Prefix))
		s.routesByPrefix = s.routesByPrefix.Set(prefixKey(r.Prefix), append(slices.Clone(list), object))
	}
	return s
}

// removeFromIndexes returns a set whose indexes do not include the object.
func (s Set) removeFromIndexes(object Object) Set {
	for _, target := range references(object) {
		list, _ := s.referrers.Get(target)
		list = slices.DeleteFunc(slices.Clone(list), func(k Key) bool { return k == object.Key() })
		if s.referrers = s.referrers.Set(target, list); len(list) == 0 {
			s.referrers = s.referrers.Delete(target)
		}
	}
	if r, ok := object.Spec.(*Route); ok {
		key := prefixKey(r.Prefix)
		list, _ := s.routesByPrefix.Get(key)
		list = slices.DeleteFunc(slices.Clone(list), func(other Object) bool { return other.Name == object.Name })
		if s.routesByPrefix = s.routesByPrefix.Set(key, list); len(list) == 0 {
			s.routesByPrefix = s.routesByPrefix.Delete(key)
		}
	}
	return s
}

// references returns the keys that an object refers to, without duplicates.
func references(object Object) []Key {
	switch spec := object.Spec.(type) {
	case *Domain:
		return []Key{allDomainsKey}
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

// referrersOf returns the objects of a kind that refer to a key, sorted by name.
func (s Set) referrersOf(target Key, kind Kind) []Object {
	keys, _ := s.referrers.Get(target)
	var referrers []Object
	for _, k := range keys {
		if object, ok := s.Get(k); ok && k.Kind == kind {
			referrers = append(referrers, object)
		}
	}
	slices.SortFunc(referrers, compareByKey)
	return referrers
}
