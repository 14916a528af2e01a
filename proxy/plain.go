package proxy

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

var (
	lineEnd = []byte("\r\n")
	space   = []byte(" ")
	colon   = []byte(":")
)

// isPlain reports whether a header, with the empty line at its end, is one that net/http accepts and ends at the same
// byte, for a request without a body after which the connection goes on. Doubtful headers are not plain.
func isPlain(header []byte, r *http.Request) bool {
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Close || !r.ProtoAtLeast(1, 1) ||
		r.Host == "" || !httpguts.ValidHostHeader(r.Host) ||
		r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return false
	}
	lines := bytes.Split(bytes.TrimSuffix(header, headerEnd), lineEnd)
	if !isPlainRequestLine(lines[0]) {
		return false
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, found := bytes.Cut(line, colon)
		// A folded line begins with a space, which is no part of a name; a line feed alone is no part of a value.
		if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
			return false
		}
		if strings.EqualFold(string(name), "Host") {
			hosts++
		}
	}
	return hosts == 1
}

// isPlainRequestLine reports whether a line has a method, a path and the version HTTP/1.1, with single spaces.
func isPlainRequestLine(line []byte) bool {
	parts := bytes.Split(line, space)
	if len(parts) != 3 || string(parts[2]) != "HTTP/1.1" || !httpguts.ValidHeaderFieldName(string(parts[0])) {
		return false
	}
	target := parts[1]
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range target {
		if c < '!' || c > '~' {
			return false
		}
	}
	return true
}
