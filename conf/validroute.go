package conf

import (
	"fmt"
	"slices"
	"strings"
)

func (v *checker) route(key Key, r *Route) {
	v.serviceExists(key, r.Service)
	v.oneOf(key, "class", r.Class, "", "urgent", "normal", "background")
	v.notNegative(key, "timeout", r.Timeout)
	if fault := prefixFault(r.Prefix); fault != "" {
		v.add(key, "prefix", "%.64q is unreachable: %s", r.Prefix, fault)
	}
	for i, method := range r.Methods {
		if !validMethod(method) {
			v.add(key, "methods", "%q is unreachable: methods are upper-case letters and hyphens", method)
		}
		if slices.Contains(r.Methods[:i], method) {
			v.add(key, "methods", "%q is listed twice", method)
		}
	}
}

// duplicateRoutes finds routes of which a request could match several equally well.
func (v *checker) duplicateRoutes() {
	done := make(map[string]bool)
	for o := range v.changedObjects() {
		r, ok := o.Spec.(*Route)
		if !ok || done[prefixKey(r.Prefix)] {
			continue
		}
		done[prefixKey(r.Prefix)] = true
		routes, _ := v.set.prefixes.Get(prefixKey(r.Prefix))
		v.overlaps(slices.SortedFunc(slices.Values(routes), byKey))
	}
}

// overlaps reports each route that shares a prefix and a method with an earlier one.
func (v *checker) overlaps(routes []Object) {
	for i, o := range routes {
		for _, earlier := range routes[:i] {
			r, other := o.Spec.(*Route), earlier.Spec.(*Route)
			if method, ok := commonMethod(r, other); ok {
				v.add(o.Key(), "prefix", "%q with %s is already that of route %q", r.Prefix, method, earlier.Name)
			}
		}
	}
}

func commonMethod(a, b *Route) (string, bool) {
	if len(a.Methods) == 0 && len(b.Methods) == 0 {
		return "any method", true
	}
	for _, method := range slices.Concat(a.Methods, b.Methods) {
		if a.allows(method) && b.allows(method) {
			return "method " + method, true
		}
	}
	return "", false
}

// prefixFault says why no path of a request can match a prefix. Matching compares whole segments.
func prefixFault(prefix string) string {
	rest, rooted := strings.CutPrefix(prefix, "/")
	switch {
	case !rooted:
		return "a path begins with a slash"
	case rest == "":
		return ""
	case len(prefix) > MaxPrefix:
		return fmt.Sprintf("it is longer than %d bytes", MaxPrefix)
	case strings.ContainsAny(rest, "?#"):
		return "a path has no query or fragment"
	}
	for segment := range strings.SplitSeq(rest, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return "a segment is empty or a dot segment"
		}
	}
	return ""
}

func validMethod(method string) bool {
	return method != "" && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == ""
}
