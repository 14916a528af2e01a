package proxy

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1, and the older Proxy- forms).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of a header without the hop-by-hop headers. Values are shared with the original.
func EndToEndHeaders(h http.Header) http.Header {
	out := maps.Clone(h)
	if out == nil {
		out = make(http.Header)
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// forwardedRequestHeader returns the header to forward with a request. Connection upgrades are never forwarded; HTTP
// allows any server to ignore them. Expect is not forwarded, because net/http answers it for the proxy; attachTo sets it
// again for a streamed body. Of the TE header only trailers is forwarded.
func forwardedRequestHeader(h http.Header) http.Header {
	out := EndToEndHeaders(h)
	delete(out, "Expect")
	for _, v := range h["Te"] {
		if strings.Contains(strings.ToLower(v), "trailers") {
			out["Te"] = []string{"trailers"}
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps net/http from adding its default
	}
	return out
}

// setHeaders sets headers whose values share one allocation.
func setHeaders(h http.Header, pairs [][2]string) {
	values := make([]string, len(pairs))
	for i, p := range pairs {
		values[i] = p[1]
		h[p[0]] = values[i : i+1 : i+1]
	}
}

// StripTanagerHeaders removes all Tanager- headers except the given ones.
func StripTanagerHeaders(h http.Header, keep ...string) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) && !contains(keep, name) {
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
