package conf

import (
	"fmt"
	"slices"
	"strings"
)

func (v *validator) checkRoute(key Key, route *Route) {
	v.checkServiceExists(key, route.Service)
	v.checkOneOf(key, "class", route.Class, "", "urgent", "normal", "background")
	v.checkNotNegative(key, "timeout", route.Timeout)
	if reason := unreachableReason(route.Prefix); reason != "" {
		v.report(key, "prefix", "%.64q is unreachable: %s", route.Prefix, reason)
	}
	for i, method := range route.Methods {
		if !validMethod(method) {
			v.report(key, "methods", "%q is unreachable: methods are upper-case letters and hyphens", method)
		}
		if slices.Contains(route.Methods[:i], method) {
			v.report(key, "methods", "%q is listed twice", method)
		}
	}
}

// checkDuplicateRoutes reports routes with the same prefix and a common method, between which a request would be
// ambiguous.
func (v *validator) checkDuplicateRoutes() {
	checked := make(map[string]bool)
	for object := range v.changedObjects() {
		route, ok := object.Spec.(*Route)
		if !ok || checked[prefixKey(route.Prefix)] {
			continue
		}
		checked[prefixKey(route.Prefix)] = true
		routes, _ := v.set.routesByPrefix.Get(prefixKey(route.Prefix))
		v.reportOverlaps(slices.SortedFunc(slices.Values(routes), compareByKey))
	}
}

// reportOverlaps reports each route that shares a method with an earlier one of the same prefix.
func (v *validator) reportOverlaps(routes []Object) {
	for i, o := range routes {
		for _, earlier := range routes[:i] {
			route, other := o.Spec.(*Route), earlier.Spec.(*Route)
			if method, ok := commonMethod(route, other); ok {
				v.report(
					o.Key(),
					"prefix",
					"%q with %s is already that of route %q",
					route.Prefix,
					method,
					earlier.Name,
				)
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

// unreachableReason returns why no request path can match a prefix, or an empty string. Prefixes match whole
// segments.
func unreachableReason(prefix string) string {
	rest, absolute := strings.CutPrefix(prefix, "/")
	switch {
	case !absolute:
		return "a path begins with a slash"
	case rest == "":
		return ""
	case len(prefix) > MaxPrefixBytes:
		return fmt.Sprintf("it is longer than %d bytes", MaxPrefixBytes)
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
