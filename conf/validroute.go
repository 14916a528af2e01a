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
		v.add(key, "prefix", "%q is unreachable: %s", r.Prefix, fault)
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
	type match struct{ prefix, method string }
	routes := v.set.Objects(KindRoute)
	first := make(map[match]string, len(routes))
	shared := make(map[string]string, len(routes)) // by prefix: a route of any method
	for _, o := range routes {
		r, ok := o.Spec.(*Route)
		if !ok {
			continue
		}
		other, taken := first[match{r.Prefix, ""}]
		if len(r.Methods) == 0 && !taken {
			other, taken = shared[r.Prefix]
		}
		if taken {
			v.add(o.Key(), "prefix", "%q is already that of route %q for all or some of the methods", r.Prefix, other)
			continue
		}
		if len(r.Methods) == 0 {
			first[match{r.Prefix, ""}] = o.Name
		}
		shared[r.Prefix] = o.Name
		for _, method := range r.Methods {
			m := match{r.Prefix, method}
			if name, dup := first[m]; dup && name != o.Name {
				v.add(o.Key(), "prefix", "%q with method %s is already that of route %q", r.Prefix, method, name)
			}
			first[m] = o.Name
		}
	}
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
