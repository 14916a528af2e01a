package proxy

import (
	"maps"
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1, and the older Proxy- forms).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// Forwardable returns a copy of a header without what concerns one connection. Values are shared.
func Forwardable(h http.Header) http.Header {
	out := maps.Clone(h)
	if out == nil {
		out = make(http.Header)
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// forwardableRequest returns the header to forward with a request. An upgrade of the connection is never
// forwarded, which HTTP allows any server. The only transfer coding parameter that passes is trailers.
func forwardableRequest(h http.Header) http.Header {
	out := Forwardable(h)
	delete(out, "Expect")
	for _, v := range h["Te"] {
		if strings.Contains(strings.ToLower(v), "trailers") {
			out["Te"] = []string{"trailers"}
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out
}

// set sets headers, whose values share one allocation.
func set(h http.Header, pairs [][2]string) {
	values := make([]string, len(pairs))
	for i, p := range pairs {
		values[i] = p[1]
		h[p[0]] = values[i : i+1 : i+1]
	}
}

// Strip removes the headers of the system except the given ones.
func Strip(h http.Header, keep ...string) {
	for name := range h {
		if strings.HasPrefix(name, prefix) && !contains(keep, name) {
			delete(h, name)
		}
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
