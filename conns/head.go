package conns

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// minStatus and maxStatus bound the status of a response.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the length of a status.
	statusDigits = 3
	// unknownLength is the length of a body that ends with its last chunk or with the connection.
	unknownLength = -1
	// tokenSymbols are the bytes, besides letters and digits, that a field name may contain.
	tokenSymbols = "!#$%&'*+-.^_`|~"
	// quotedBytes bounds the part of a malformed line that an error quotes.
	quotedBytes = 40
)

// ErrMalformed means that the head or the trailer of a response is not well formed. Nothing of the response is used.
var ErrMalformed = errors.New("malformed answer")

// head is the status line and the header fields of a response.
type head struct {
	status  int
	header  http.Header // without Transfer-Encoding
	length  int64       // of the body, or unknownLength
	chunked bool
	noBody  bool // a body never follows, whatever the fields announce
	closes  bool // the peer ends the connection after the response
}

// untilClose reports whether the body ends with the connection.
func (h *head) untilClose() bool { return !h.noBody && !h.chunked && h.length < 0 }

// parseHead decides whether a head is well formed, and parses it. It is stricter than http.ReadResponse, which accepts
// statuses such as 000, +20 and 999, field names with blanks, folded lines, and a length beside chunks. Raw is the head
// up to and including the empty line at its end. A line may end with a line feed alone.
func parseHead(raw, method string) (*head, error) {
	line, rest := cutLine(raw)
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	h := &head{status: status, length: unknownLength}
	if h.header, err = parseFields(rest); err != nil {
		return nil, err
	}
	if err = h.parseFraming(method, minor); err != nil {
		return nil, err
	}
	h.closes = hasToken(h.header["Connection"], "close") ||
		minor == 0 && !hasToken(h.header["Connection"], "keep-alive")
	return h, nil
}

// cutLine returns the first line, without its end, and what follows it.
func cutLine(raw string) (line, rest string) {
	line, rest, _ = strings.Cut(raw, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// parseStatusLine returns the minor version of HTTP/1 and the status.
func parseStatusLine(line string) (minor byte, status int, err error) {
	text, ok := strings.CutPrefix(line, protocolPrefix)
	if !ok || len(text) < 2 || text[0] != '0' && text[0] != '1' || text[1] != ' ' {
		return 0, 0, malformed("protocol", line)
	}
	minor, text = text[0]-'0', text[2:]
	if len(text) < statusDigits || len(text) > statusDigits && text[statusDigits] != ' ' {
		return 0, 0, malformed("status", line)
	}
	for _, c := range []byte(text[:statusDigits]) {
		if c < '0' || c > '9' {
			return 0, 0, malformed("status", line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, 0, malformed("status", line)
	}
	if hasControl(text) {
		return 0, 0, malformed("control byte in the status line", line)
	}
	return minor, status, nil
}

// parseFields parses field lines up to and including the empty line at their end.
func parseFields(raw string) (http.Header, error) {
	lines := strings.Count(raw, "\n")
	h := make(http.Header, lines)
	values := make([]string, 0, lines) // of all fields, in one allocation
	for {
		line, rest := cutLine(raw)
		if len(line) == 0 {
			if len(rest) > 0 {
				return nil, malformed("bytes after the head", rest)
			}
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return nil, malformed("folded line", line)
		case !ok:
			return nil, malformed("line without a colon", line)
		case !isToken(name):
			return nil, malformed("field name", line)
		case hasControl(value):
			return nil, malformed("control byte in a field", line)
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		if earlier := h[key]; earlier != nil {
			h[key] = append(earlier, strings.Trim(value, " \t"))
		} else {
			values = append(values, strings.Trim(value, " \t"))
			h[key] = values[len(values)-1 : len(values) : len(values)]
		}
		raw = rest
	}
}

// parseFraming determines how the body ends. Two framings are malformed, because the peer may mean the other one than
// is read.
func (h *head) parseFraming(method string, minor byte) error {
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	for _, text := range lengths {
		n, err := parseLength(text)
		if err != nil {
			return err
		}
		if h.length >= 0 && h.length != n {
			return malformed("differing lengths", strings.Join(lengths, ", "))
		}
		h.length = n
	}
	if len(lengths) > 1 {
		h.header["Content-Length"] = lengths[:1]
	}
	if len(codings) > 0 {
		text := strings.Join(codings, ", ")
		switch {
		case len(lengths) > 0:
			return malformed("length beside a transfer coding", text)
		case minor == 0 || !strings.EqualFold(text, "chunked"):
			return malformed("transfer coding", text)
		}
		h.chunked = true
		delete(h.header, "Transfer-Encoding")
	}
	bodyless := h.status < http.StatusOK || h.status == http.StatusNoContent
	if bodyless && (h.chunked || h.length > 0) {
		return malformed("body announced with status", strconv.Itoa(h.status))
	}
	h.noBody = bodyless || h.status == http.StatusNotModified || method == http.MethodHead
	return nil
}

// parseLength parses a Content-Length, which consists of digits only.
func parseLength(text string) (int64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || text[0] == '+' {
		return 0, malformed("length", text)
	}
	return int64(n), nil
}

func malformed(what, text string) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, text[:min(len(text), quotedBytes)])
}

func isToken(name string) bool {
	for _, c := range []byte(name) {
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// hasControl reports whether a text has a control byte other than a tab.
func hasControl(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// hasToken reports whether one of the values, which are lists separated by commas, contains a token.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}
